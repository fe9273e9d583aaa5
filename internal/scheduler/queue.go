package scheduler

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// queuedJob is a waiting job in the order of the plan.
type queuedJob struct {
	job        *allocation.Job
	isEntitled bool // within its team's guaranteed quota
	isAged     bool // has waited for the aging threshold, and nothing of it has started
	urgency    urgency
	lateness   lateness

	machinesNeeded int     // r (4): a gang's machines; 1 for a task of an array or a service
	runSeconds     float64 // the predicted run time of a task
	remainingWork  float64 // seconds of work that wait: what the job still asks for

	readyTasks []int // indices of waiting tasks that may be placed now
	unplaced   int   // of those, not placed by this plan
	taskLimit  int   // of those, allowed by the team's limit

	// isLossUnconfirmed: its tasks may still run. Machines may be requested for it, and
	// nothing may be started.
	isLossUnconfirmed bool
	// hasShortfall: it wants more than what will be free one boot time from now.
	hasShortfall bool
	// hasReservation: room is reserved for it, and nothing else is done for it.
	hasReservation bool
}

// buildQueue lists the waiting jobs in the order of the plan.
func (scheduler *Scheduler) buildQueue(tracker *allocation.Tracker, entitled map[*allocation.Job]bool, now, wall clock.Micros) []*queuedJob {
	var queue []*queuedJob
	for _, job := range tracker.Jobs {
		if !isWaiting(job) {
			continue
		}
		if ready := readyTasks(job, now); len(ready) > 0 {
			queue = append(queue, scheduler.newQueuedJob(job, ready, entitled[job], wall))
		}
	}
	slices.SortFunc(queue, compareQueued)
	return queue
}

// isWaiting tells whether a job has tasks that may have to be started. Unconfirmed tasks
// may still run. A gang starts whole or waits; one that has not been complete yet gets the
// tasks that it lacks.
func isWaiting(job *allocation.Job) bool {
	if job.Cancelled || job.WaitingCount() == 0 || job.ActiveCount() == 0 && job.WaitingCount() == job.UnconfirmedCount() {
		return false
	}
	return !job.IsGang() || job.UnconfirmedCount() == 0 && (job.ActiveCount() == 0 || job.CanReplaceLostTasks())
}

// readyTasks lists the tasks of a job that may be placed now; none of a gang while one of
// them is backing off.
func readyTasks(job *allocation.Job, now clock.Micros) []int {
	var ready []int
	for i := range job.Tasks {
		task := &job.Tasks[i]
		if task.State != allocation.TaskWaiting || task.Unconfirmed || task.Placement != nil {
			continue
		}
		if task.RetryAt <= now {
			ready = append(ready, i)
		} else if job.IsGang() {
			return nil
		}
	}
	return ready
}

func (scheduler *Scheduler) newQueuedJob(job *allocation.Job, ready []int, isEntitled bool, wall clock.Micros) *queuedJob {
	queued := &queuedJob{job: job, isEntitled: isEntitled, isAged: scheduler.isAged(job, wall), machinesNeeded: 1, readyTasks: ready, unplaced: len(ready)}
	queued.runSeconds = scheduler.predictedRunSeconds(job)
	if job.IsGang() {
		queued.machinesNeeded = scheduler.MachinesNeeded(job)
		queued.runSeconds = max(queued.runSeconds-job.CheckpointedSeconds, 0)
	}
	queued.remainingWork = queued.runSeconds
	if !job.IsGang() {
		queued.remainingWork *= float64(len(ready))
	}
	minSeconds := scheduler.minCompletionSeconds(job, queued.runSeconds)
	queued.lateness = scheduler.latenessOf(job, minSeconds, wall)
	switch {
	case scheduler.isCritical(queued, wall):
		queued.urgency = critical
	case scheduler.isUrgent(job, minSeconds, wall):
		queued.urgency = urgent
	}
	return queued
}

// isAged tells whether a job has waited so long for its first start that it goes first
// within its priority. With the smallest need always first, the largest would wait as long
// as small ones come.
func (scheduler *Scheduler) isAged(job *allocation.Job, wall clock.Micros) bool {
	threshold := scheduler.Settings.AgingThreshold
	return threshold > 0 && wall-job.ReleasedAt >= threshold && job.ActiveCount() == 0 && job.DoneCount() == 0
}

// compareQueued is the order of the plan: smallest need first (4) within priority, age,
// quota entitlement and deadlines. Aged jobs go by age alone: when many have waited too
// long, the smallest of them first would have the largest wait on.
func compareQueued(a, b *queuedJob) int {
	if c := cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), compareTrueFirst(a.isAged, b.isAged)); c != 0 {
		return c
	}
	if a.isAged {
		return compareByAge(a.job, b.job)
	}
	return cmp.Or(
		compareTrueFirst(a.isEntitled, b.isEntitled),
		compareTrueFirst(a.urgency.hasPrecedence(), b.urgency.hasPrecedence()),
		cmp.Compare(a.lateness, b.lateness),
		cmp.Compare(a.machinesNeeded, b.machinesNeeded),
		cmp.Compare(a.remainingWork, b.remainingWork),
		compareByAge(a.job, b.job))
}

// compareByAge orders jobs by when their waits began, then by ID.
func compareByAge(a, b *allocation.Job) int {
	return cmp.Or(cmp.Compare(a.ReleasedAt, b.ReleasedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
}

func compareTrueFirst(a, b bool) int { return cmp.Compare(boolToInt(b), boolToInt(a)) }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
