// Package jobreport has the reports for operators: which jobs failed or ran late and why
// (`firwood report`), and who stands by for the leader (`firwood standby`). It decides what
// is reported and how it is encoded; the controller supplies what it knows.
package jobreport

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/wire"
)

// Problem is one job that failed or ran late.
type Problem struct {
	// Job is the job's id, Class its class.
	Job   string `json:"job"`
	Class string `json:"class"`
	// State is "active", or the state in which the job ended.
	State string `json:"state"`
	// IsLate tells whether the job ended, or runs, after its deadline.
	IsLate bool `json:"late"`
	// Reason is the likely cause in words.
	Reason string `json:"why"`
	// TookS is the time from the submission to the end, or until now, in seconds.
	TookS float64 `json:"took_s"`
	// LateByS is the time since the deadline, in seconds.
	LateByS float64 `json:"late_by_s,omitempty"`
	// WaitedS is the time from the release to the first start, in seconds.
	WaitedS float64 `json:"waited_s,omitempty"`
	// Errors counts tasks that failed, Restarts tasks that were lost with their machines.
	Errors   int `json:"errors,omitempty"`
	Restarts int `json:"restarts,omitempty"`
}

// Report says which jobs failed or ran late, and why.
type Report struct {
	// Member is the controller that reports.
	Member string `json:"member"`
	// Jobs counts all jobs, Done, Cancelled and Active those in each state.
	Jobs      int `json:"jobs"`
	Done      int `json:"done"`
	Cancelled int `json:"aborted"`
	Active    int `json:"active"`
	// Problems are the worst ones, the latest jobs first.
	Problems []Problem `json:"troubles"`
}

// maxProblems bounds how many problems are reported.
const maxProblems = 200

// CountJob counts a job by the state that users are told of it.
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

// SelectWorst sorts problems, the latest jobs first, and returns as many as are reported.
func SelectWorst(problems []Problem) []Problem {
	slices.SortFunc(problems, func(a, b Problem) int {
		return cmp.Or(-cmp.Compare(a.LateByS, b.LateByS), cmp.Compare(a.Job, b.Job))
	})
	return problems[:min(len(problems), maxProblems)]
}
