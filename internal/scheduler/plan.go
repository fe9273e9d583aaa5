package scheduler

import (
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/forecast"
)

// PendingScaleOut is a rental under way: asked for, no names yet.
type PendingScaleOut struct {
	Pool  Pool
	Count int
}

// ScaleOutRequest is a decision to rent.
type ScaleOutRequest struct {
	Pool  Pool
	Count int
}

// Decision is what a plan wants done; placements are already in the ledger.
type Decision struct {
	RecordStarts []*allocation.Job
	ScaleOut     []ScaleOutRequest
	ScaleIn      []*allocation.Machine
	// Drain is a machine whose replicas go to others, nil if none.
	Drain *allocation.Machine
	// SpotSpares and Ordinary tell how the spare targets came about.
	SpotSpares, OrdinarySpares SpareReport
}

// SpareReport is the record of one choice of a spare target.
type SpareReport struct {
	ArrivalScreen, RunTimeScreen forecast.ScreenResult
	IsEnabled                    bool // the screen passed, the queue is empty, an arrival is recent
	Cost                         forecast.SpareCost
}

// Plan places what fits, and works out what to rent and to give back; wall is
// the time of day, which deadlines are reckoned in.
func (scheduler *Scheduler) Plan(tracker *allocation.Tracker, now, wall clock.Micros, pendingScaleOuts []PendingScaleOut) Decision {
	var decision Decision
	entitled := scheduler.quotaEntitlements(tracker)
	queue := scheduler.buildQueue(tracker, entitled, now, wall)
	cycle := scheduler.newCycle(tracker, queue, now)
	cycle.entitled = entitled
	for _, queued := range queue {
		queued.taskLimit = cycle.quotaAllowance(queued.job)
		var placed int
		if queued.job.IsGang() {
			placed = cycle.placeGang(queued)
		} else {
			placed = cycle.placeTasks(queued)
		}
		queued.job.StartedByAging = queued.job.StartedByAging || placed > 0 && queued.isAged && !queued.isEntitled
		if placed > 0 && !queued.job.StartsRecorded {
			decision.RecordStarts = append(decision.RecordStarts, queued.job)
		}
		queued.unplaced = min(queued.unplaced, queued.taskLimit) - placed
	}
	queue = slices.DeleteFunc(queue, func(queued *queuedJob) bool { return queued.hasReservation })
	cycle.preemptForQueue(queue)
	cycle.planScaleOut(queue, pendingScaleOuts, &decision)
	cycle.planSpares(queue, pendingScaleOuts, &decision)
	return decision
}
