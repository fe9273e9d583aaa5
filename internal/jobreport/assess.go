package jobreport

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// StateActive is the reported state of a job that has not ended.
const StateActive = "active"

// Job holds the facts about a job that Assess uses. Its times are wall-clock times, or 0 if they are not known.
type Job struct {
	ID, Class string
	State     string // StateActive, or the state in which it ended
	// SubmittedAt is when the job was submitted. ReleasedAt is when the last job that it depends on
	// ended, or SubmittedAt if that is later.
	SubmittedAt, ReleasedAt clock.Micros
	FirstStartAt            clock.Micros // when the first of the job's tasks started
	EndedAt                 clock.Micros // when the job ended, or now if it is active
	DeadlineAt              clock.Micros
	Errors, Restarts        int
	// PendingDependency is a job that an active job waits for, or "" if there is none.
	PendingDependency string
	HasProgress       bool // whether tasks of the job may have started
}

// Assess returns a job's line in the report, and whether the job belongs in the report. Cancelled jobs
// don't.
func Assess(job Job) (problem Problem, isProblem bool) {
	problem = Problem{Job: job.ID, Class: job.Class, State: job.State, Errors: job.Errors, Restarts: job.Restarts}
	if job.State == wire.JobCancelled {
		return problem, false
	}
	problem.TookS = (job.EndedAt - job.SubmittedAt).Seconds()
	if job.FirstStartAt > job.ReleasedAt {
		problem.WaitedS = (job.FirstStartAt - job.ReleasedAt).Seconds()
	}
	if job.DeadlineAt > 0 && job.EndedAt > job.DeadlineAt {
		problem.IsLate, problem.LateByS = true, (job.EndedAt - job.DeadlineAt).Seconds()
	}
	problem.Reason = reasonFor(&job, &problem)
	return problem, problem.IsLate || problem.Errors > 0
}

// reasonFor returns the likely cause of a problem in words, or "" if no cause is known.
func reasonFor(job *Job, problem *Problem) string {
	isActive := job.State == StateActive
	switch {
	case problem.Errors > 0:
		return "tasks failed with an error and were started again"
	case problem.Restarts > 0:
		return "tasks were lost with their machines and were started again"
	case isActive && job.PendingDependency != "":
		return "waits for " + job.PendingDependency
	case problem.IsLate && (job.ReleasedAt-job.SubmittedAt).Seconds() > problem.TookS/2:
		return "waited for jobs before it in its pipeline"
	case isActive && job.FirstStartAt == 0 && !job.HasProgress:
		return "no task has started yet"
	case problem.IsLate && problem.WaitedS > problem.TookS/2:
		return "waited for machines"
	case problem.IsLate:
		return "ran longer than estimated"
	}
	return ""
}
