package controller

import (
	"encoding/json"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/jobreport"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// SendJobReport replies with the jobs that failed or ran late, and the reasons, as far as this member knows
// them. It may be called on any goroutine.
func (controller *Controller) SendJobReport(reply *server.Reply) {
	controller.postUserRequest(reply, func() { controller.replyJobReport(reply) })
}

func (controller *Controller) replyJobReport(reply *server.Reply) {
	wallTime := int64(clock.WallTime())
	evicted := &controller.history.evicted
	report := jobreport.Report{
		Member: controller.cfg.Member, Jobs: len(controller.view.Jobs) + evicted.counts.Done + evicted.counts.Cancelled,
		Done: evicted.counts.Done, Cancelled: evicted.counts.Cancelled,
		Problems: append([]jobreport.Problem{}, evicted.worstProblems...),
	}
	for id, record := range controller.view.Jobs {
		report.CountJob(record.EffectiveState())
		if problem, isProblem := controller.problemOf(id, record, wallTime); isProblem {
			report.Problems = append(report.Problems, problem)
		}
	}
	report.Problems = jobreport.SelectWorst(report.Problems)
	body, err := json.Marshal(report)
	if err != nil {
		replyUnavailable(reply, reasonNotEncodable)
		return
	}
	reply.Send(200, body, 0)
}

// problemOf returns a job's line in the report, and whether the job belongs in the report. wallTime is the
// current wall-clock time.
func (controller *Controller) problemOf(id string, record *storeview.Job, wallTime int64) (problem jobreport.Problem, isProblem bool) {
	if record.HasEnded() {
		return jobreport.Assess(controller.reportedEndedJob(id, record))
	}
	return jobreport.Assess(controller.reportedActiveJob(id, record, clock.Micros(wallTime)))
}

// reportedEndedJob returns what the report needs of a job that has ended, from the job's record.
func (controller *Controller) reportedEndedJob(id string, record *storeview.Job) jobreport.Job {
	submittedAt := clock.Micros(record.SubmittedAt)
	job := jobreport.Job{
		ID: id, Class: record.Class, State: record.EffectiveState(),
		SubmittedAt: submittedAt, ReleasedAt: max(submittedAt, clock.Micros(record.ReleasedAt)), FirstStartAt: clock.Micros(record.FirstStartAt), EndedAt: clock.Micros(record.EndedAt),
		DeadlineAt: clock.Micros(record.DeadlineAt), Errors: record.Errors, Restarts: record.Restarts,
	}
	if job.DeadlineAt == 0 {
		job.DeadlineAt = controller.objectiveDeadline(record.Class, record)
	}
	return job
}

// reportedActiveJob returns what the report needs of a job that has not ended. Only the leader knows the job's
// tasks; other members take the numbers from the job's record.
func (controller *Controller) reportedActiveJob(id string, record *storeview.Job, wallTime clock.Micros) jobreport.Job {
	submittedAt := clock.Micros(record.SubmittedAt)
	job := jobreport.Job{
		ID: id, Class: record.Spec.Class, State: jobreport.StateActive,
		SubmittedAt: submittedAt, ReleasedAt: controller.dependencyGraph.ReleasedAt(id, submittedAt), FirstStartAt: clock.Micros(record.FirstStartAt), EndedAt: wallTime,
		DeadlineAt: controller.activeDeadline(record), Errors: record.Errors, Restarts: record.Restarts,
		HasProgress: controller.view.Progress[id] != nil,
	}
	if controller.dependencyGraph.IsBlocked(id) {
		job.PendingDependency = controller.dependencyGraph.PendingDependencies(id)[0]
	}
	if controller.term == nil {
		return job
	}
	if tracked := controller.term.TrackedJob(id); tracked != nil {
		job.Errors, job.Restarts = tracked.FailureCount, tracked.RestartCount
		if tracked.FirstStartAt != 0 {
			job.FirstStartAt = wallTime - (clock.Now() - tracked.FirstStartAt)
		}
	}
	return job
}

// activeDeadline returns the wall-clock time by which a job that has not ended should end, or 0 if there is
// none. A service has no deadline of its own. For a service, and for a job without a deadline, the objective of
// the class applies.
func (controller *Controller) activeDeadline(record *storeview.Job) clock.Micros {
	deadline := clock.Micros(record.DeadlineAt)
	if record.Spec.DeadlineSeconds > 0 {
		deadline = clock.Micros(record.SubmittedAt) + clock.FromSeconds(record.Spec.DeadlineSeconds)
	}
	if deadline == 0 || record.Spec.Kind == wire.KindService {
		return controller.objectiveDeadline(record.Spec.Class, record)
	}
	return deadline
}

// objectiveDeadline returns the wall-clock time by which a job should end according to its class's objective,
// or 0 if the class has none.
func (controller *Controller) objectiveDeadline(class string, record *storeview.Job) clock.Micros {
	objective := controller.completionObjective(class)
	if objective <= 0 {
		return 0
	}
	return clock.Micros(max(record.SubmittedAt, record.ReleasedAt)) + objective
}

// objectiveKindFinished is the kind of objectives for the time until a job has finished.
const objectiveKindFinished = "finished"

// completionObjective returns the time within which jobs of a class should finish, according to the most
// lenient of the class's objectives, or 0 if it has none.
func (controller *Controller) completionObjective(class string) clock.Micros {
	var longest clock.Micros
	for _, objective := range controller.cfg.Deployment.Objectives {
		if objective.Kind == objectiveKindFinished && objective.Class == class {
			longest = max(longest, clock.FromSeconds(objective.TargetSeconds))
		}
	}
	return longest
}
