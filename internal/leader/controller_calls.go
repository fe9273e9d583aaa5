package leader

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/standby"
	"firwood.dev/firwood/wire"
)

// What the controller asks of its term, and tells it, besides heartbeats, records and ticks.

// Token is the fencing token that the lock was won with.
func (term *Term) Token() uint64 { return term.token }

// IssuedToken is the highest fencing token that this leader has issued.
func (term *Term) IssuedToken() uint64 { return term.tracker.IssuedToken() }

// CancellationsKnownAt is the last instant before which every cancellation is in the view.
func (term *Term) CancellationsKnownAt() clock.Micros {
	return term.renewals.cancellationsKnownAt
}

// TrackedJob returns a job as the allocation table has it, nil for one that it doesn't have.
func (term *Term) TrackedJob(id string) *allocation.Job { return term.tracker.Jobs[id] }

// IsTracking tells whether this leader still has to do with a job.
func (term *Term) IsTracking(id string) bool {
	return term.tracker.Jobs[id] != nil || term.jobs[id] != nil
}

// AddImpliedCancellations has the end of jobs written that were cancelled with another one.
func (term *Term) AddImpliedCancellations(ids ...string) {
	term.persistence.cleanup.addImpliedCancellations(ids...)
}

// SetMachineTypes has the scheduler plan with these machine types.
func (term *Term) SetMachineTypes(types []wire.MachineType) {
	term.scheduler.SetMachineTypes(types)
}

// MayConstrainZone tells whether this leader has, or may have, recorded that it renews no
// leases in a zone.
func (term *Term) MayConstrainZone(zone string) bool {
	return term.renewals.constraints.MayConstrainZone(zone)
}

// ObserveConstraints takes newer renewal constraints from the view.
func (term *Term) ObserveConstraints(constraints delegation.Constraints, version uint64) {
	term.renewals.constraints.ObserveStored(constraints, version)
}

// RecordDelegatedRenewal notes that this member, as a delegate, may renew the lease of a
// machine's worker until an instant.
func (term *Term) RecordDelegatedRenewal(machineName string, until clock.Micros) {
	if machine := term.tracker.Machines[machineName]; machine != nil {
		term.tracker.RecordLeaseRenewal(machine, until)
	}
}

// AcknowledgementFor is the timestamp of a member that extends its grant.
func (term *Term) AcknowledgementFor(member string) delegation.Timestamp {
	return term.renewals.acknowledgements[member]
}

// RecordReceipt takes which of this leader's timestamps a member has received, and for how long
// it has answered no worker; see delegation.Grants.
func (term *Term) RecordReceipt(member string, now, stampedAt, silentFor clock.Micros) {
	term.renewals.grants.RecordReceipt(member, now, stampedAt, silentFor)
}

// AddToHeartbeat adds what a leader tells the other members to a heartbeat.
func (term *Term) AddToHeartbeat(heartbeat *peer.Heartbeat) {
	heartbeat.Leader, heartbeat.Token = term.environment.Config.Member, term.tracker.IssuedToken()
	term.hints.counts.Add(heartbeat, term.tracker.Jobs)
	term.addHints(heartbeat)
}

// ResendHints has all hints sent again, for a member that may have missed some.
func (term *Term) ResendHints(now clock.Micros) { term.hints.images.ResendAll(now) }

// ObserveStandbyRecord takes a newer record of the members in step from the view.
func (term *Term) ObserveStandbyRecord(record standby.InSyncRecord, version uint64) {
	if term.standby != nil {
		term.standby.inSync.ObserveRecord(record, version)
	}
}

// RecordReplicaPosition takes how far a member's replica has come.
func (term *Term) RecordReplicaPosition(member string, position standby.Position) {
	if term.standby != nil {
		term.standby.publisher.RecordPosition(member, position)
		term.tracker.RetryUnreplicatedStarts()
	}
}
