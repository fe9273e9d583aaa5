package scheduler

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// queuedJob is a waiting job as one plan sees it.
type queuedJob struct {
	job        *allocation.Job
	isEntitled bool // fits into its team's guaranteed quota, see quotaEntitlements
	isAged     bool // has waited for the aging threshold without any of its tasks starting
	urgency    urgency
	lateness   lateness

	machinesNeeded int     // r (4): the machines that a gang needs; 1 for other kinds of jobs
	runSeconds     float64 // the predicted run time of a task
	remainingWork  float64 // seconds of waiting work: one runSeconds for a gang, one per ready task for other jobs

	readyTasks []int // indices of the waiting tasks that may be placed now
	unplaced   int   // tasks within the team's limit that have no room in this plan yet
	taskLimit  int   // how many more tasks the team's limit allows

	// isLossUnconfirmed is true if the job's tasks may still be running on lost machines.
	// Machines may be requested for such a job, but none of its tasks may be started.
	isLossUnconfirmed bool
	// hasShortfall is true if the job needs more room than will be free one boot time from now.
	hasShortfall bool
	// hasReservation is true if this plan has reserved room for the job that will be free as soon as a machine
	// requested now would be ready; the rest of the plan skips it.
	hasReservation bool
	// reservedByZone counts, by zone, the tasks of a gang without such a reservation for which free room is reserved.
	reservedByZone map[string]int
}

// buildQueue returns the waiting jobs in the order in which the plan places them.
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

// isWaiting reports whether a job has tasks that may need to be started. A job whose dependencies are
// not known to be done has none. Unconfirmed tasks do not count, since they may still be running. A gang is started as a whole, so it does not wait while any
// of its tasks is unconfirmed. A gang with active tasks waits only if it has never been complete: it
// then gets replacements for the tasks that it has lost.
func isWaiting(job *allocation.Job) bool {
	if job.Cancelled || !job.IsReleased() || job.WaitingCount() == 0 || job.ActiveCount() == 0 && job.WaitingCount() == job.UnconfirmedCount() {
		return false
	}
	return !job.IsGang() || job.UnconfirmedCount() == 0 && (job.ActiveCount() == 0 || job.CanReplaceLostTasks())
}

// readyTasks lists the tasks of a job that may be placed now. It lists none for a gang while any
// of its tasks is backing off.
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

// isAged reports whether a job has waited so long for its first start that it goes before the
// other jobs of its priority. By smallest need first alone, the largest jobs would wait for as
// long as smaller ones arrive.
func (scheduler *Scheduler) isAged(job *allocation.Job, wall clock.Micros) bool {
	threshold := scheduler.Settings.AgingThreshold
	return threshold > 0 && wall-job.ReleasedAt >= threshold && job.ActiveCount() == 0 && job.DoneCount() == 0
}

// compareQueued defines the order of the queue: smallest need first (4), within priority, aging,
// quota entitlement, urgency and lateness. Aged jobs are ordered by their waiting time alone: when
// many jobs are aged, smallest need first would keep the largest of them waiting.
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

// compareByAge orders jobs by when their waits began, the earliest first, and then by ID.
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
