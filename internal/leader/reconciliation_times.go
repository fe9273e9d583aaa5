package leader

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/metrics"
)

// reconciledPercents are the parts of the machines of earlier leaders for which it is measured how
// long they take to be reconciled.
var reconciledPercents = [...]int{50, 90, 99}

// reconciliationTimes measures how long after the rebuild of the allocation table the machines of
// earlier leaders are reconciled: they may be commanded from then on, or are gone.
type reconciliationTimes struct {
	machines     int // that had to be reconciled when the table was rebuilt
	reachedAfter [len(reconciledPercents)]clock.Micros
	isLogged     bool
}

// recordReconciliation notes which parts of the machines are reconciled, and logs the times once all
// parts are.
func (term *Term) recordReconciliation(now clock.Micros) {
	times := &term.reconciliation
	if times.isLogged || times.machines == 0 {
		return
	}
	reconciled := times.machines - term.tracker.UnreconciledCount()
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
