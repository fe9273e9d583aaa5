package scheduler

import (
	"math"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

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

// minUrgentSlackSeconds is the least slack, in seconds, that makes a job go first.
const minUrgentSlackSeconds = 20

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
