package scheduler

import (
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/forecast"
)

// PendingScaleOut is a request for machines that the cloud has not answered yet.
type PendingScaleOut struct {
	Pool  Pool
	Count int
}

// ScaleOutRequest is a decision to request machines.
type ScaleOutRequest struct {
	Pool  Pool
	Count int
}

// Decision is what a plan wants done beside placements and stops, which the tracker has
// already.
type Decision struct {
	// RecordStarts are jobs that have room and whose starts are to be recorded first.
	RecordStarts []*allocation.Job
	ScaleOut     []ScaleOutRequest     // in the order of need
	ScaleIn      []*allocation.Machine // to be deleted
	// Drain is a machine whose replicas go to others; nil: there is none.
	Drain *allocation.Machine
	// SpotSpares and OnDemandSpares tell how the spare targets came about.
	SpotSpares, OnDemandSpares SpareReport
}

// SpareReport is the record of one choice of a spare target.
type SpareReport struct {
	ArrivalScreen, RunTimeScreen forecast.ScreenResult
	IsEnabled                    bool // the screen passed, nothing waits in vain, an arrival is recent
	Cost                         forecast.SpareCost
}

// Plan places what fits, and works out which machines to request, delete and drain. now is
// of the steady clock; wall is the time of day, which deadlines are in.
func (scheduler *Scheduler) Plan(tracker *allocation.Tracker, now, wallNow clock.Micros, pendingScaleOuts []PendingScaleOut) Decision {
	var decision Decision
	entitled := scheduler.quotaEntitlements(tracker)
	queue := scheduler.buildQueue(tracker, entitled, now, wallNow)
	cycle := scheduler.newCycle(tracker, queue, now)
	cycle.entitled = entitled
	for _, queued := range queue {
		cycle.placeJob(queued, &decision)
	}
	queue = slices.DeleteFunc(queue, func(queued *queuedJob) bool { return queued.hasReservation })
	cycle.preemptForQueue(queue)
	cycle.planScaleOut(queue, pendingScaleOuts, &decision)
	cycle.planSpares(queue, pendingScaleOuts, &decision)
	return decision
}

// placeJob places as much of a job as fits, or of one whose starts are not recorded yet
// reserves the room.
func (cycle *schedulingCycle) placeJob(queued *queuedJob, decision *Decision) {
	job := queued.job
	queued.taskLimit = cycle.quotaAllowance(job)
	placed := 0
	if job.IsGang() {
		placed = cycle.placeGang(queued)
	} else {
		placed = cycle.placeTasks(queued)
	}
	job.StartedByAging = job.StartedByAging || placed > 0 && queued.isAged && !queued.isEntitled
	if placed > 0 && !job.StartsRecorded {
		decision.RecordStarts = append(decision.RecordStarts, job)
	}
	queued.unplaced = min(queued.unplaced, queued.taskLimit) - placed
}
