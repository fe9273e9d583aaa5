package scheduler

import (
	"math"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// urgency is how near a job's deadline is, as long as it can be met.
type urgency int

const (
	relaxed  urgency = iota
	urgent           // can be in time only if it starts soon
	critical         // would be late with the tasks that run now, and in time with more
)

// hasPrecedence tells whether a job goes before others of its priority and entitlement.
func (level urgency) hasPrecedence() bool { return level >= urgent }

// String names the level.
func (level urgency) String() string { return [...]string{"relaxed", "urgent", "critical"}[level] }

// lateness is by how much a job is going to miss its deadline. When not all can be done in
// time, those that can are not held up by those that cannot.
type lateness int

const (
	onTime   lateness = iota
	late              // by up to half of the time that it had
	veryLate          // by more
)

// String names the level.
func (level lateness) String() string {
	return [...]string{"on time", "late", "very late"}[level]
}

const (
	// minUrgencyThresholdSeconds: with less slack than this a job is urgent, however short its run
	// is. A long run is urgent from a quarter of its time on.
	minUrgencyThresholdSeconds = 20
	// alreadyLateSeconds stands for a deadline that had passed before the job could start.
	alreadyLateSeconds = 0.001
	// veryLateFactor is the multiple of its time past which a job is very late.
	veryLateFactor = 1.5
)

// deadlineSeconds is when a job should be done, in seconds from the instant from which its
// waits count; 0: it has no deadline.
func (scheduler *Scheduler) deadlineSeconds(job *allocation.Job) float64 {
	switch {
	case job.IsService():
		return 0
	case job.Deadline > 0:
		return max((job.Deadline - job.ReleasedAt).Seconds(), alreadyLateSeconds)
	case job.Spec.DeadlineSeconds > 0:
		return job.Spec.DeadlineSeconds
	}
	return scheduler.CompletionObjectives[job.Spec.Class]
}

// minCompletionSeconds is how long the waiting tasks of a job take at the least, in seconds:
// its team's limit may not let all of them run at a time.
func (scheduler *Scheduler) minCompletionSeconds(job *allocation.Job, runSeconds float64) float64 {
	quota := scheduler.Teams[job.Spec.Team]
	waves := 1.0
	for _, resource := range [...]struct{ limit, request int64 }{{quota.MaxMilliCPU, job.Request.MilliCPU}, {quota.MaxMilliGPU, job.Request.MilliGPU}} {
		if resource.limit > 0 && resource.request > 0 {
			waves = max(waves, math.Ceil(float64(job.WaitingCount())/float64(max(resource.limit/resource.request, 1))))
		}
	}
	return waves * runSeconds
}

// isUrgent tells whether a job's run still fits before its deadline, with little slack. By
// need and run time alone, the last tasks of a long job would wait for every shorter one
// that comes. A job that is late anyway has no such claim.
func (scheduler *Scheduler) isUrgent(job *allocation.Job, minSeconds float64, wallNow clock.Micros) bool {
	deadline := scheduler.deadlineSeconds(job)
	if deadline == 0 {
		return false
	}
	slack := deadline - (wallNow - job.ReleasedAt).Seconds() - minSeconds
	return slack >= 0 && slack < max(minSeconds/4, minUrgencyThresholdSeconds)
}

// isCritical tells whether a job that has started will miss its deadline with the tasks
// that run now, though more could still help. For such a job an ordinary machine is worth
// its price when there are no spot machines.
func (scheduler *Scheduler) isCritical(queued *queuedJob, wallNow clock.Micros) bool {
	job := queued.job
	deadline := scheduler.deadlineSeconds(job)
	if deadline == 0 || queued.lateness != onTime || job.ActiveCount() == 0 {
		return false
	}
	waves := 1 + float64(len(queued.readyTasks))/float64(job.ActiveCount())
	return (wallNow-job.ReleasedAt).Seconds()+waves*queued.runSeconds > deadline
}

// latenessOf predicts the lateness of a job that takes minSeconds from now on at the least.
func (scheduler *Scheduler) latenessOf(job *allocation.Job, minSeconds float64, wallNow clock.Micros) lateness {
	deadline := scheduler.deadlineSeconds(job)
	end := (wallNow - job.ReleasedAt).Seconds() + minSeconds
	switch {
	case deadline == 0 || end <= deadline:
		return onTime
	case end <= veryLateFactor*deadline:
		return late
	}
	return veryLate
}
