package scheduler

import (
	"cmp"
	"math"
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

// quotaCoverage tells whether a guarantee speaks of a need at all, and whether the need
// is within it. A guarantee of 0 is none: it neither covers nor bounds what is used
// of that resource, or jobs that take processors beside their cards would never be
// owed anything by a guarantee in cards alone.
func quotaCoverage(quota allocation.TeamQuota, need allocation.Resources) (applies, isWithin bool) {
	isWithin = true
	for _, dimension := range [][2]int64{{quota.GuaranteedMilliCPU, need.MilliCPU}, {quota.GuaranteedMilliGPU, need.MilliGPU}} {
		if dimension[0] > 0 && dimension[1] > 0 {
			applies = true
			isWithin = isWithin && dimension[1] <= dimension[0]
		}
	}
	return applies, isWithin
}

// quotaEntitlements tells which jobs fit into their team's guarantee together with the
// team's earlier unfinished jobs.
func (scheduler *Scheduler) quotaEntitlements(tracker *allocation.Tracker) map[*allocation.Job]bool {
	byTeam := map[string][]*allocation.Job{}
	for _, job := range tracker.Jobs {
		if quota := scheduler.Teams[job.Spec.Team]; !job.Cancelled && !job.IsComplete() && (quota.GuaranteedMilliCPU > 0 || quota.GuaranteedMilliGPU > 0) {
			byTeam[job.Spec.Team] = append(byTeam[job.Spec.Team], job)
		}
	}
	entitled := map[*allocation.Job]bool{}
	for team, jobs := range byTeam {
		slices.SortFunc(jobs, func(a, b *allocation.Job) int {
			return cmp.Or(cmp.Compare(a.ReleasedAt, b.ReleasedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
		})
		quota := scheduler.Teams[team]
		var usage allocation.Resources
		for _, job := range jobs {
			usage = usage.Add(job.Request.Times(len(job.Tasks)))
			if _, isWithin := quotaCoverage(quota, usage); !isWithin {
				break
			}
			if applies, _ := quotaCoverage(quota, job.Request); applies {
				entitled[job] = true
			}
		}
	}
	return entitled
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

// isUrgent tells whether a job's time has come: its run still fits before its due
// time, with little to spare. By need and run time alone, the last tasks of a
// long job wait for every shorter one that comes. A job that is late anyway has
// no such claim.
func (scheduler *Scheduler) isUrgent(job *allocation.Job, runSeconds float64, wall clock.Micros) bool {
	deadline := scheduler.deadlineSeconds(job)
	if deadline == 0 {
		return false
	}
	slack := deadline - (wall - job.ReleasedAt).Seconds() - runSeconds
	return slack >= 0 && slack < max(runSeconds/4, minUrgentSlackSeconds)
}

// minCompletionSeconds is how long, in seconds, what waits of a job takes at the least: its
// team's limit may not let all tasks run at a time.
func (scheduler *Scheduler) minCompletionSeconds(job *allocation.Job, runSeconds float64) float64 {
	quota := scheduler.Teams[job.Spec.Team]
	waves := 1.0
	for _, dimension := range [][2]int64{{quota.MaxMilliCPU, job.Request.MilliCPU}, {quota.MaxMilliGPU, job.Request.MilliGPU}} {
		if dimension[0] > 0 && dimension[1] > 0 {
			waves = max(waves, math.Ceil(float64(job.WaitingCount())/float64(max(dimension[0]/dimension[1], 1))))
		}
	}
	return waves * runSeconds
}

// deadlineSeconds is when a job should be done, in seconds from the moment from which its waits
// count; 0: no such time.
func (scheduler *Scheduler) deadlineSeconds(job *allocation.Job) float64 {
	const alreadyLate = 0.001 // its time was over before it could start
	switch {
	case job.IsService():
		return 0
	case job.Deadline > 0:
		return max((job.Deadline - job.ReleasedAt).Seconds(), alreadyLate)
	case job.Spec.DeadlineSeconds > 0:
		return job.Spec.DeadlineSeconds
	}
	return scheduler.CompletionObjectives[job.Spec.Class]
}

// isCritical tells whether a job that has started will miss its time with the
// machines it has, though more could still help. For such a one an ordinary
// machine is worth its price when no spot machine is to be had.
func (scheduler *Scheduler) isCritical(queued *queuedJob, wall clock.Micros) bool {
	job := queued.job
	deadline := scheduler.deadlineSeconds(job)
	if deadline == 0 || queued.lateness > 0 || job.ActiveCount() == 0 {
		return false
	}
	waves := 1 + float64(len(queued.readyTasks))/float64(job.ActiveCount())
	return (wall-job.ReleasedAt).Seconds()+waves*queued.runSeconds > deadline
}

// latenessLevel is 0 for a job that can still be in time, 1 for one that can not, and
// 2 for one that is late by half as much again: when not all can be done in
// time, those that can are not held up by those that cannot.
func (scheduler *Scheduler) latenessLevel(job *allocation.Job, runSeconds float64, wall clock.Micros) int {
	deadline := scheduler.deadlineSeconds(job)
	if deadline == 0 {
		return 0
	}
	switch end := (wall - job.ReleasedAt).Seconds() + runSeconds; {
	case end <= deadline:
		return 0
	case end <= 1.5*deadline:
		return 1
	}
	return 2
}

// minUrgentSlackSeconds is the least slack, in seconds, that makes a job go first.
const minUrgentSlackSeconds = 20

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
