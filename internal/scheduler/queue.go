package scheduler

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// queuedJob is a waiting job in the order of the plan.
type queuedJob struct {
	job               *allocation.Job
	isEntitled        bool
	isAged            bool // waits long, and nothing of it has started
	isUrgent          bool // can still be in time, if it starts soon
	isLossUnconfirmed bool // its tasks are not known to be gone yet
	machinesNeeded    int
	runSeconds        float64
	remainingWork     float64 // seconds of work that wait: what the job still asks for
	// isCritical: at its present width it will not be in time, but could be.
	isCritical bool
	// hasShortfall: more than what will be free one boot time on is wanted for it.
	hasShortfall bool
	// hasReservation: room is kept for it, and nothing else is done for it.
	hasReservation bool
	lateness       int   // by how much its time is over, see lateness
	readyTasks     []int // waiting tasks that may be placed now
	unplaced       int   // of those, not placed by this plan
	taskLimit      int   // of those, allowed by the team's limit
}

// buildQueue lists the waiting jobs in SNF order, inside rank and guarantee.
func (scheduler *Scheduler) buildQueue(tracker *allocation.Tracker, entitled map[*allocation.Job]bool, now, wall clock.Micros) []*queuedJob {
	var queue []*queuedJob
	for _, job := range tracker.Jobs {
		if job.Cancelled || job.WaitingCount() == 0 || job.ActiveCount() == 0 && job.WaitingCount() == job.UnconfirmedCount() {
			continue
		}
		queued := &queuedJob{job: job, isEntitled: entitled[job], machinesNeeded: 1, runSeconds: scheduler.predictedRunSeconds(job)}
		if job.IsGang() {
			queued.runSeconds = max(queued.runSeconds-job.CheckpointedSeconds, 0)
		}
		minSeconds := scheduler.minCompletionSeconds(job, queued.runSeconds)
		queued.isUrgent = scheduler.isUrgent(job, minSeconds, wall)
		queued.lateness = scheduler.latenessLevel(job, minSeconds, wall)
		// Smallest first alone would have the largest wait as long as small ones
		// come. Once something of it has started it has no claim any more.
		queued.isAged = scheduler.Settings.AgingThreshold > 0 && wall-job.ReleasedAt >= scheduler.Settings.AgingThreshold && job.ActiveCount() == 0 && job.DoneCount() == 0
		if job.IsGang() {
			queued.machinesNeeded = scheduler.MachinesNeeded(job)
			// A gang starts whole, or waits; one that has not been complete yet gets
			// the tasks that it lacks.
			if job.UnconfirmedCount() > 0 || job.ActiveCount() > 0 && !job.CanReplaceLostTasks() {
				continue
			}
		}
		isBackingOff := false
		for i := range job.Tasks {
			task := &job.Tasks[i]
			if task.State != allocation.TaskWaiting || task.Unconfirmed || task.Placement != nil {
				continue
			}
			if task.RetryAt > now {
				isBackingOff = true
				continue
			}
			queued.readyTasks = append(queued.readyTasks, i)
		}
		if len(queued.readyTasks) == 0 || isBackingOff && job.IsGang() {
			continue
		}
		queued.unplaced = len(queued.readyTasks)
		queued.remainingWork = queued.runSeconds
		if !job.IsGang() {
			queued.remainingWork *= float64(len(queued.readyTasks))
		}
		queued.isCritical = scheduler.isCritical(queued, wall)
		queued.isUrgent = queued.isUrgent || queued.isCritical
		queue = append(queue, queued)
	}
	slices.SortFunc(queue, func(a, b *queuedJob) int {
		if c := cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), -cmp.Compare(boolToInt(a.isAged), boolToInt(b.isAged))); c != 0 {
			return c
		}
		if a.isAged {
			// When many have waited too long, the smallest of them first would have
			// the largest wait on.
			return cmp.Or(cmp.Compare(a.job.ReleasedAt, b.job.ReleasedAt), cmp.Compare(a.job.Spec.ID, b.job.Spec.ID))
		}
		return cmp.Or(
			-cmp.Compare(boolToInt(a.isEntitled), boolToInt(b.isEntitled)),
			-cmp.Compare(boolToInt(a.isUrgent), boolToInt(b.isUrgent)),
			cmp.Compare(a.lateness, b.lateness),
			cmp.Compare(a.machinesNeeded, b.machinesNeeded),
			cmp.Compare(a.remainingWork, b.remainingWork),
			cmp.Compare(a.job.ReleasedAt, b.job.ReleasedAt),
			cmp.Compare(a.job.Spec.ID, b.job.Spec.ID))
	})
	return queue
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
