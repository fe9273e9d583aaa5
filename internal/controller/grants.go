package controller

import (
	"maps"

	"firwood.dev/firwood/internal/clock"
)

// acknowledgeTimestamps renews the rights of the others to keep leases alive: the stamps that
// have come so far are echoed once the view is known to be newer than them, and
// only while no withdrawn job is taking long to go. So what a withdrawal leaves
// behind in a zone that is cut off ends in time; see delegation.Config.
func (term *leaderTerm) acknowledgeTimestamps(now clock.Micros, then func()) {
	stamps := maps.Clone(term.controller.members.timestamps)
	term.controller.view.RequestSync(func(err error) {
		defer then()
		if err != nil || term.isClosed {
			return
		}
		term.recordViewRead(now)
		if !term.controller.isEntitled() {
			return
		}
		for _, job := range term.tracker.Jobs {
			if job.Cancelled && !term.tracker.IsVacated(job) && clock.Now()-job.CancelledAt > term.controller.delegation.times.CancellationGrace {
				return
			}
		}
		term.renewals.cancellationsKnownAt = now
		for member, timestamp := range stamps {
			if !term.renewals.constraints.MayConstrainMember(member) {
				term.renewals.acknowledgements[member] = timestamp
				term.renewals.grants.RecordAck(member, now)
			}
		}
	}, now+heartbeatInterval)
}
