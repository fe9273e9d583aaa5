package leader

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/metrics"
)

// reconciledPercents are the shares, in percent, of the machines of earlier leaders for which the time
// until they are reconciled is measured.
var reconciledPercents = [...]int{50, 90, 99}

// reconciliationTimes measures how long after the start of the term the machines of earlier leaders are
// reconciled. A machine is reconciled once it may get commands or is gone.
type reconciliationTimes struct {
	machines     int                                   // the number to be reconciled, counted when the table had been rebuilt
	reachedAfter [len(reconciledPercents)]clock.Micros // the time until each percentage was reached, or 0 before
	isLogged     bool
}

// recordReconciliation records the time at which each share of the machines is reconciled, and logs the
// times once all shares are.
func (term *Term) recordReconciliation(now clock.Micros) {
	times := &term.reconciliation
	if times.isLogged || times.machines == 0 {
		return
	}
	reconciled := times.machines - term.tracker.UnreconciledMachineCount()
	for i, percent := range reconciledPercents {
		if times.reachedAfter[i] == 0 && reconciled*100 >= times.machines*percent {
			times.reachedAfter[i] = now - term.liveness.startedAt
		}
	}
	if times.reachedAfter[len(times.reachedAfter)-1] == 0 {
		return
	}
	times.isLogged = true
	term.environment.Metrics.ObserveFailover(metrics.FailoverReconciled, times.reachedAfter[1])
	term.environment.Log.Info("machines reconciled after failover", "token", term.token, "machines", times.machines,
		"half_s", times.reachedAfter[0].Seconds(), "p90_s", times.reachedAfter[1].Seconds(), "p99_s", times.reachedAfter[2].Seconds())
}
