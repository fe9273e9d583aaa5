package leader

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/metrics"
)

// MetricsStatus is what metrics tell of the term. It looks at each machine once, and at tasks only if
// they are of cancelled jobs and listed.
func (term *Term) MetricsStatus(now clock.Micros) metrics.LeaderStatus {
	count, earliest := term.tracker.ListedCancelledTasks()
	status := metrics.LeaderStatus{Machines: len(term.tracker.Machines), UnconfirmedMachines: term.tracker.UnconfirmedMachines(), ListedCancelledTasks: count}
	if count > 0 {
		status.OldestCancellation = max(now-earliest, 0)
	}
	return status
}

// ViewAge is the time since the newest read of the store that the term knows to be completed was sent.
func (term *Term) ViewAge(now clock.Micros) clock.Micros { return term.viewAge(now) }
