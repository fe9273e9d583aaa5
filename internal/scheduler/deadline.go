package scheduler

import (
	"math"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// urgency classifies how close a job is to missing a deadline that it can still meet.
type urgency int

const (
	relaxed  urgency = iota
	urgent           // meets its deadline only if its waiting tasks start soon
	critical         // misses its deadline with the tasks that run now, but can meet it with more
)

// hasPrecedence reports whether a job is placed before others of the same priority and entitlement.
func (level urgency) hasPrecedence() bool { return level >= urgent }

// String returns the name of the urgency level.
func (level urgency) String() string { return [...]string{"relaxed", "urgent", "critical"}[level] }

// lateness classifies by how much a job will miss its deadline. If not all jobs can meet their
// deadlines, the jobs that can go before the jobs that cannot.
type lateness int

const (
	onTime   lateness = iota
	late              // takes up to half as long again as its deadline allows
	veryLate          // takes longer than that
)

// String returns the name of the lateness level.
func (level lateness) String() string {
	return [...]string{"on time", "late", "very late"}[level]
}

const (
	// minUrgencyThresholdSeconds is the smallest slack threshold for urgency: a job with less slack is
	// urgent, however short its run is. For a long job the threshold is a quarter of the job's
	// minCompletionSeconds.
	minUrgencyThresholdSeconds = 20
	// alreadyLateSeconds replaces the time limit of a job whose deadline had passed before the job
	// could start. It is above 0, because 0 stands for no deadline.
	alreadyLateSeconds = 0.001
	// veryLateFactor is the multiple of its time limit beyond which a job is very late.
	veryLateFactor = 1.5
)

// deadlineSeconds returns the time within which a job should be done, in seconds from its
// ReleasedAt, from which its waiting time counts. It returns 0 if the job has no deadline.
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

// minCompletionSeconds returns the shortest time, in seconds, in which the waiting tasks of a job
// can finish. They may need several waves, since the team's limit may not let all run at once.
func (scheduler *Scheduler) minCompletionSeconds(job *allocation.Job, runSeconds float64) float64 {
	quota := scheduler.Teams[job.Spec.Team]
	waves := 1.0
	for _, resource := range [...]struct{ limit, request int64 }{{quota.MaxMicroCPU, job.Request.MicroCPU}, {quota.MaxMicroGPU, job.Request.MicroGPU}} {
		if resource.limit > 0 && resource.request > 0 {
			waves = max(waves, math.Ceil(float64(job.WaitingCount())/float64(max(resource.limit/resource.request, 1))))
		}
	}
	return waves * runSeconds
}

// isUrgent reports whether a job can still meet its deadline, but with little slack. If jobs were
// ordered by need and run time alone, the last tasks of a long job would wait for every shorter job
// that arrives. A job that will be late anyway gets no such precedence.
func (scheduler *Scheduler) isUrgent(job *allocation.Job, minSeconds float64, wallNow clock.Micros) bool {
	deadline := scheduler.deadlineSeconds(job)
	if deadline == 0 {
		return false
	}
	slack := deadline - (wallNow - job.ReleasedAt).Seconds() - minSeconds
	return slack >= 0 && slack < max(minSeconds/4, minUrgencyThresholdSeconds)
}

// isCritical reports whether a job that has running tasks will miss its deadline with these tasks
// alone, although it could meet the deadline with more. Such a job is worth the price of an
// on-demand machine if no spot machines are available.
func (scheduler *Scheduler) isCritical(queued *queuedJob, wallNow clock.Micros) bool {
	job := queued.job
	deadline := scheduler.deadlineSeconds(job)
	if deadline == 0 || queued.lateness != onTime || job.ActiveCount() == 0 {
		return false
	}
	waves := 1 + float64(len(queued.readyTasks))/float64(job.ActiveCount())
	return (wallNow-job.ReleasedAt).Seconds()+waves*queued.runSeconds > deadline
}

// latenessOf predicts the lateness of a job that needs at least minSeconds from now on.
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
