package controller

import (
	"cmp"
	"encoding/json"
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// SendJobReport implements server.App.
func (controller *Controller) SendJobReport(reply *server.Reply) {
	controller.postUserRequest(reply, func() { controller.replyJobReport(reply) })
}

// JobProblem is one line of the morning report.
type JobProblem struct {
	Job      string  `json:"job"`
	Class    string  `json:"class"`
	State    string  `json:"state"`
	IsLate   bool    `json:"late"`
	Reason   string  `json:"why"`
	TookS    float64 `json:"took_s"`
	LateByS  float64 `json:"late_by_s,omitempty"`
	WaitedS  float64 `json:"waited_s,omitempty"`
	Errors   int     `json:"errors,omitempty"`
	Restarts int     `json:"restarts,omitempty"`
}

// JobReport says what failed or ran late, and why.
type JobReport struct {
	Member    string       `json:"member"`
	Jobs      int          `json:"jobs"`
	Done      int          `json:"done"`
	Cancelled int          `json:"aborted"`
	Active    int          `json:"active"`
	Problems  []JobProblem `json:"troubles"`
}

// maxProblems bounds the answer.
const maxProblems = 200

func (controller *Controller) replyJobReport(reply *server.Reply) {
	now := int64(clock.WallTime())
	evicted := controller.history.evicted.counts
	report := JobReport{
		Member: controller.cfg.Member, Jobs: len(controller.view.Jobs) + evicted.Done + evicted.Cancelled, Done: evicted.Done, Cancelled: evicted.Cancelled,
		Problems: append([]JobProblem{}, controller.history.evicted.problems...),
	}
	for id, record := range controller.view.Jobs {
		switch record.EffectiveState() {
		case wire.JobDone:
			report.Done++
		case wire.JobCancelled:
			report.Cancelled++
		default:
			report.Active++
		}
		if problem, ok := controller.problemOf(id, record, now); ok {
			report.Problems = append(report.Problems, problem)
		}
	}
	report.Problems = worstProblems(report.Problems)
	body, err := json.Marshal(report)
	if err != nil {
		replyUnavailable(reply, "cannot be encoded")
		return
	}
	reply.Send(200, body, 0)
}

// worstProblems is the worst of some troubles, as many as are told.
func worstProblems(problems []JobProblem) []JobProblem {
	slices.SortFunc(problems, func(a, b JobProblem) int {
		return cmp.Or(-cmp.Compare(a.LateByS, b.LateByS), cmp.Compare(a.Job, b.Job))
	})
	return problems[:min(len(problems), maxProblems)]
}

// completionObjective is the class's aim for finishing, 0 if it has none.
func (controller *Controller) completionObjective(class string) clock.Micros {
	var longest clock.Micros
	for _, objective := range controller.cfg.Deployment.Objectives {
		if objective.Kind == "finished" && objective.Class == class {
			longest = max(longest, clock.FromSeconds(objective.TargetSeconds))
		}
	}
	return longest
}

func (controller *Controller) problemOf(id string, record *storeview.Job, now int64) (JobProblem, bool) {
	problem := JobProblem{Job: id, Class: record.Class, State: record.State, Errors: record.Errors, Restarts: record.Restarts}
	end, deadline, firstStart := record.EndedAt, record.DeadlineAt, record.FirstStartAt
	if !record.HasEnded() {
		problem.Class, problem.State, end = record.Spec.Class, "active", now
		if record.Spec.DeadlineSeconds > 0 {
			deadline = record.SubmittedAt + int64(clock.FromSeconds(record.Spec.DeadlineSeconds))
		}
		if controller.term != nil {
			if job := controller.term.tracker.Jobs[id]; job != nil {
				problem.Errors, problem.Restarts = job.FailureCount, job.RestartCount
				if job.FirstStartAt != 0 {
					firstStart = now - int64(clock.Now()-job.FirstStartAt)
				}
			}
		}
		if record.Spec.Kind == wire.KindService {
			deadline = 0
		}
	}
	if objective := controller.completionObjective(problem.Class); deadline == 0 && objective > 0 {
		deadline = max(record.SubmittedAt, record.ReleasedAt) + int64(objective)
	}
	if record.EffectiveState() == wire.JobCancelled {
		return problem, false
	}
	problem.TookS = clock.Micros(end - record.SubmittedAt).Seconds()
	released := max(record.SubmittedAt, record.ReleasedAt)
	if !record.HasEnded() {
		released = int64(controller.dependencyGraph.ReleasedAt(id, clock.Micros(record.SubmittedAt)))
	}
	if firstStart > released {
		problem.WaitedS = clock.Micros(firstStart - released).Seconds()
	}
	if deadline > 0 && end > deadline {
		problem.IsLate, problem.LateByS = true, clock.Micros(end-deadline).Seconds()
	}
	switch {
	case problem.Errors > 0:
		problem.Reason = "tasks failed with an error and were started again"
	case problem.Restarts > 0:
		problem.Reason = "tasks were lost with their machines and were started again"
	case !record.HasEnded() && controller.dependencyGraph.IsBlocked(id):
		problem.Reason = "waits for " + controller.dependencyGraph.PendingDependencies(id)[0]
	case problem.IsLate && clock.Micros(released-record.SubmittedAt).Seconds() > problem.TookS/2:
		problem.Reason = "waited for jobs before it in its pipeline"
	case firstStart == 0 && !record.HasEnded() && controller.view.Progress[id] == nil:
		problem.Reason = "no task has started yet"
	case problem.IsLate && problem.WaitedS > problem.TookS/2:
		problem.Reason = "waited for machines"
	case problem.IsLate:
		problem.Reason = "ran longer than estimated"
	}
	return problem, problem.IsLate || problem.Errors > 0
}
