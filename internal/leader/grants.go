package leader

import (
	"maps"

	"firwood.dev/firwood/internal/clock"
)

// AcknowledgeTimestamps renews the other members' grants to renew leases as delegates. It acknowledges
// the timestamps received so far once the view is known to be newer than they are, and only while no
// task of a cancelled job is overdue to stop. The tasks of a cancelled job in a zone that is cut off
// therefore end in time; see delegation.Config. done is called in any case, also after a failed read and
// once the term is closed.
func (term *Term) AcknowledgeTimestamps(now clock.Micros, done func()) {
	timestamps := maps.Clone(term.host.Timestamps())
	term.environment.View.RequestSync(func(err error) {
		defer done()
		if err != nil || term.isClosed {
			return
		}
		term.recordViewRead(now)
		if !term.host.IsEntitled() {
			return
		}
		if term.isCancellationOverdue() {
			return
		}
		term.renewals.cancellationsKnownAt = now
		for member, timestamp := range timestamps {
			if !term.renewals.constraints.MayConstrainMember(member) {
				term.renewals.acknowledgements[member] = timestamp
				term.renewals.grants.RecordAck(member, now)
			}
		}
	}, now+HeartbeatInterval)
}

// isCancellationOverdue reports whether tasks of any cancelled job may still be on machines although
// CancellationGrace has passed since the cancellation.
func (term *Term) isCancellationOverdue() bool {
	for _, job := range term.tracker.Jobs {
		if job.Cancelled && !term.tracker.IsVacated(job) && clock.Now()-job.CancelledAt > term.environment.Delegation.CancellationGrace {
			return true
		}
	}
	return false
}
