package leader

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/metrics"
)

// MetricsStatus returns the term's part of the metrics. It visits each machine once, and visits tasks only
// if they belong to cancelled jobs and are still listed by workers.
func (term *Term) MetricsStatus(now clock.Micros) metrics.LeaderStatus {
	count, earliest := term.tracker.ListedCancelledTasks()
	status := metrics.LeaderStatus{Machines: len(term.tracker.Machines), UnconfirmedMachines: term.tracker.UnconfirmedMachines(), ListedCancelledTasks: count}
	if count > 0 {
		status.OldestCancellationAge = max(now-earliest, 0)
	}
	return status
}

// ViewAge returns the time since the newest completed read of the store that the term knows of was sent.
func (term *Term) ViewAge(now clock.Micros) clock.Micros { return term.viewAge(now) }
