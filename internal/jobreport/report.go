// Package jobreport builds the reports for operators: which jobs failed or ran late and why
// (`firwood report`), and which replicas of the leader's allocation table exist (`firwood standby`). It
// decides what is reported and how it is encoded; the controller supplies the data.
package jobreport

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/wire"
)

// Problem describes one job that failed or ran late.
type Problem struct {
	// Job is the job's ID, and Class is its class.
	Job   string `json:"job"`
	Class string `json:"class"`
	// State is StateActive, or the state in which the job ended.
	State string `json:"state"`
	// IsLate is true if the job ended, or is still running, after its deadline.
	IsLate bool `json:"late"`
	// Reason is the likely cause in words, or "" if no cause is known.
	Reason string `json:"why"`
	// TookS is the time from the submission to the end of the job, or until now, in seconds.
	TookS float64 `json:"took_s"`
	// LateByS is the time from the deadline to the end of the job, or until now, in seconds.
	LateByS float64 `json:"late_by_s,omitempty"`
	// WaitedS is the time from the job's release to the first start of a task, in seconds.
	WaitedS float64 `json:"waited_s,omitempty"`
	// Errors counts exits of tasks with an error. Restarts counts restarts of tasks that were lost
	// with their machines.
	Errors   int `json:"errors,omitempty"`
	Restarts int `json:"restarts,omitempty"`
}

// Report lists the jobs that failed or ran late, with the likely causes.
type Report struct {
	// Member is the controller that sends the report.
	Member string `json:"member"`
	// Jobs counts all jobs. Done, Cancelled and Active count the jobs in each state.
	Jobs      int `json:"jobs"`
	Done      int `json:"done"`
	Cancelled int `json:"aborted"`
	Active    int `json:"active"`
	// Problems holds at most maxProblems problems, those with the greatest LateByS first.
	Problems []Problem `json:"troubles"`
}

// maxProblems bounds the number of reported problems.
const maxProblems = 200

// CountJob counts a job under the state that users see.
func (report *Report) CountJob(state string) {
	switch state {
	case wire.JobDone:
		report.Done++
	case wire.JobCancelled:
		report.Cancelled++
	default:
		report.Active++
	}
}

// SelectWorst sorts problems by LateByS, the greatest first and equal ones by job, and returns the first
// maxProblems of them.
func SelectWorst(problems []Problem) []Problem {
	slices.SortFunc(problems, func(a, b Problem) int {
		return cmp.Or(-cmp.Compare(a.LateByS, b.LateByS), cmp.Compare(a.Job, b.Job))
	})
	return problems[:min(len(problems), maxProblems)]
}
