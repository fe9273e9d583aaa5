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

// Decision lists what the leader has to carry out after a plan. Placements and stops are not in it,
// because the plan makes them in the tracker directly.
type Decision struct {
	// RecordStarts are the jobs for which there is room, but whose starts have to be recorded before
	// any task is placed.
	RecordStarts []*allocation.Job
	ScaleOut     []ScaleOutRequest     // machines to request, the most needed first
	ScaleIn      []*allocation.Machine // machines to delete
	// Drain is a machine to empty by moving its replicas to other machines, or nil.
	Drain *allocation.Machine
	// SpotSpares and OnDemandSpares report how the spare targets were chosen.
	SpotSpares, OnDemandSpares SpareReport
}

// SpareReport reports how a spare target was chosen.
type SpareReport struct {
	ArrivalScreen, RunTimeScreen forecast.ScreenResult
	// IsEnabled is true if the demand passed the screen, every waiting job will find room within one
	// boot time, and a job has arrived recently.
	IsEnabled bool
	Cost      forecast.SpareCost
}

// Plan places the tasks that fit and decides which machines to request, delete and drain. now is
// monotonic time; wallNow is wall-clock time, in which deadlines are given.
func (scheduler *Scheduler) Plan(tracker *allocation.Tracker, now, wallNow clock.Micros, pendingScaleOuts []PendingScaleOut) Decision {
	var decision Decision
	entitled := scheduler.quotaEntitlements(tracker)
	queue := scheduler.buildQueue(tracker, entitled, now, wallNow)
	cycle := scheduler.newCycle(tracker, queue, now)
	cycle.entitled, cycle.wallNow = entitled, wallNow
	for _, queued := range queue {
		cycle.placeJob(queued, &decision)
	}
	queue = slices.DeleteFunc(queue, func(queued *queuedJob) bool { return queued.hasReservation })
	cycle.preemptForQueue(queue)
	cycle.planScaleOut(queue, pendingScaleOuts, &decision)
	cycle.planSpares(queue, pendingScaleOuts, &decision)
	return decision
}

// placeJob places as many tasks of a job as fit. If the job's starts are not recorded yet, it only
// reserves the room for them.
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
