package leader

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/standby"
	"firwood.dev/firwood/wire"
)

// The methods in this file are what the controller calls on its term, besides those for heartbeats,
// records and ticks.

// Token returns the fencing token that the lock was won with.
func (term *Term) Token() uint64 { return term.token }

// IssuedToken returns the highest fencing token that this leader has issued.
func (term *Term) IssuedToken() uint64 { return term.tracker.IssuedToken() }

// CancellationsKnownAt returns the latest instant known to this leader before which every confirmed
// cancellation is in the view.
func (term *Term) CancellationsKnownAt() clock.Micros {
	return term.renewals.cancellationsKnownAt
}

// TrackedJob returns a job from the allocation table, or nil if the table doesn't have it.
func (term *Term) TrackedJob(id string) *allocation.Job { return term.tracker.Jobs[id] }

// IsTracking reports whether this leader still holds any state of a job.
func (term *Term) IsTracking(id string) bool {
	return term.tracker.Jobs[id] != nil || term.jobs[id] != nil
}

// AddImpliedCancellations queues writes of the end of jobs that were cancelled because a job that they
// depend on was cancelled, and stops their tasks, if a version that knows no dependencies started any.
func (term *Term) AddImpliedCancellations(ids ...string) {
	for _, id := range ids {
		term.stopIfTracked(id)
	}
	term.persistence.cleanup.addImpliedCancellations(ids...)
}

// SetMachineTypes sets the machine types that the scheduler plans with.
func (term *Term) SetMachineTypes(types []wire.MachineType) {
	term.scheduler.SetMachineTypes(types)
}

// MayConstrainZone reports whether a constraint recorded by this leader or an earlier one, which forbids
// renewing leases in the zone, is or may be in force.
func (term *Term) MayConstrainZone(zone string) bool {
	return term.renewals.constraints.MayConstrainZone(zone)
}

// ObserveConstraints applies newer renewal constraints from the view.
func (term *Term) ObserveConstraints(constraints delegation.Constraints, version uint64) {
	term.renewals.constraints.ObserveStored(constraints, version)
}

// RecordDelegatedRenewal records that this member, as delegate, may renew the lease of a machine's
// worker until the given instant.
func (term *Term) RecordDelegatedRenewal(machineName string, until clock.Micros) {
	if machine := term.tracker.Machines[machineName]; machine != nil {
		term.tracker.RecordLeaseRenewal(machine, until)
	}
}

// AcknowledgementFor returns the timestamp of a member that this leader has acknowledged, which extends
// the member's grant.
func (term *Term) AcknowledgementFor(member string) delegation.Timestamp {
	return term.renewals.acknowledgements[member]
}

// RecordReceipt records that a member has received the heartbeat that this leader sent at stampedAt, and
// that the member, when it reported this, had replied to no worker as delegate for silentFor. See
// delegation.Grants.
func (term *Term) RecordReceipt(member string, now, stampedAt, silentFor clock.Micros) {
	term.renewals.grants.RecordReceipt(member, now, stampedAt, silentFor)
}

// AddToHeartbeat adds the leader's name and token, the progress of jobs and the hints to a heartbeat for
// the other members.
func (term *Term) AddToHeartbeat(heartbeat *peer.Heartbeat) {
	heartbeat.Leader, heartbeat.Token = term.environment.Config.Member, term.tracker.IssuedToken()
	term.hints.progress.Add(heartbeat, term.tracker.Jobs)
	term.addHints(heartbeat)
}

// ResendHints causes the hints of all machines to be sent again, for a member that may have missed some.
func (term *Term) ResendHints(now clock.Micros) { term.hints.images.ResendAll(now) }

// ObserveStandbyRecord applies a newer record of the in-sync members from the view.
func (term *Term) ObserveStandbyRecord(record standby.InSyncRecord, version uint64) {
	if term.standby != nil {
		term.standby.inSync.ObserveRecord(record, version)
	}
}

// RecordReplicaPosition records how far a member's replica has come.
func (term *Term) RecordReplicaPosition(member string, position standby.Position) {
	if term.standby != nil {
		term.standby.publisher.RecordPosition(member, position)
		term.tracker.RetryUnreplicatedStarts()
	}
}
