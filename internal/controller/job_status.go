package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/jobhistory"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// The status of a job that has ended is sent from the view at once. Another status could be outdated by what
// another member has confirmed, so the reply waits for a sync of the view. A job that may have been evicted
// from the view is looked up in the store, and so are the job's dependencies that may have been: the job is
// cancelled if one of them is, and another member may have told a user so.

// maxDependenciesShown bounds how many pending dependencies a job's status lists.
const maxDependenciesShown = 50

// ShowJob replies with a job's status. It may be called on any goroutine.
func (controller *Controller) ShowJob(id string, reply *server.Reply) {
	controller.postUserRequest(reply, func() { controller.showJob(id, reply) })
}

// maxStatusAttempts is how often the status of a job is determined, each time after a look-up of dependencies, before
// it is sent although some are unknown. Every dependency was accepted, so a look-up that succeeds finds it.
const maxStatusAttempts = 3

func (controller *Controller) showJob(id string, reply *server.Reply) {
	controller.showJobWithin(id, reply, maxStatusAttempts)
}

func (controller *Controller) showJobWithin(id string, reply *server.Reply, attemptsLeft int) {
	if record := controller.view.Jobs[id]; record != nil && record.HasEnded() {
		if record.IsFinished() {
			controller.history.finished.Touch(id)
		}
		reply.Send(200, controller.encodeJobStatus(id, record), 0) // final, so it cannot be outdated
		return
	}
	if !controller.view.IsLoaded {
		replyUnavailable(reply, reasonNotReady)
		return
	}
	if controller.mayBeEvicted(id) {
		controller.showEvictedJob(id, reply, attemptsLeft)
		return
	}
	controller.view.RequestSync(func(err error) {
		switch {
		case err != nil:
			replyUnavailable(reply, err.Error())
		case controller.mayBeEvicted(id):
			controller.showEvictedJob(id, reply, attemptsLeft) // the job was evicted during the sync
		default:
			controller.replyOnceDependenciesKnown(id, reply, attemptsLeft)
		}
	}, clock.Now()+syncTimeout)
}

// showEvictedJob looks up a job that is not in the view, and replies with its status.
func (controller *Controller) showEvictedJob(id string, reply *server.Reply, attemptsLeft int) {
	controller.lookUpJob(id, clock.Now()+syncTimeout, func(result jobhistory.LookupResult) {
		if result == jobhistory.Unavailable {
			replyUnavailable(reply, reasonStoreUnavailable)
			return
		}
		controller.replyOnceDependenciesKnown(id, reply, attemptsLeft)
	})
}

// replyOnceDependenciesKnown replies with a job's status from a view that has just been proven new enough. If a direct
// or indirect dependency of the job is unknown, it looks the dependency up first and determines the status again.
func (controller *Controller) replyOnceDependenciesKnown(id string, reply *server.Reply, attemptsLeft int) {
	unknown := controller.unknownDependenciesOf(id)
	if len(unknown) == 0 || attemptsLeft <= 1 {
		controller.replyStatusFromFreshView(id, reply)
		return
	}
	controller.lookUpDependencies(unknown, reply, func() { controller.showJobWithin(id, reply, attemptsLeft-1) })
}

// unknownDependenciesOf returns the direct and indirect dependencies of a job that have to be looked up before users are
// told that the job has not ended.
func (controller *Controller) unknownDependenciesOf(id string) []string {
	if record := controller.view.Jobs[id]; record == nil || record.HasEnded() {
		return nil
	}
	return controller.dependencyGraph.UnknownDependenciesOf(id)
}

// lookUpDependencies looks up jobs and calls proceed, or replies 503 if the store gave no result for one of them.
func (controller *Controller) lookUpDependencies(ids []string, reply *server.Reply, proceed func()) {
	controller.lookUpJobs(ids, func(results map[string]jobhistory.LookupResult) {
		for _, result := range results {
			if result == jobhistory.Unavailable {
				replyUnavailable(reply, reasonStoreUnavailable)
				return
			}
		}
		proceed()
	})
}

// replyStatusFromFreshView replies with a job's status from a view that has just been proven new enough. If the
// process stalls after that proof, it must not send the status as if it were new: another member may have told
// a user of the job's end meanwhile. So a reply that isn't final is sent before a deadline or not at all.
func (controller *Controller) replyStatusFromFreshView(id string, reply *server.Reply) {
	sendDeadline := clock.Now() + syncTimeout
	switch record := controller.view.Jobs[id]; {
	case record == nil:
		reply.SendBefore(404, server.ErrorBody(reasonNoSuchJob), 0, sendDeadline)
	case record.HasEnded():
		reply.Send(200, controller.encodeJobStatus(id, record), 0)
	default:
		reply.SendBefore(200, controller.encodeJobStatus(id, record), 0, sendDeadline)
	}
}

// encodeJobStatus encodes the status of a job as this member knows it.
func (controller *Controller) encodeJobStatus(id string, record *storeview.Job) []byte {
	if record.HasEnded() {
		return encodeStatus(wire.JobStatus{ID: id, State: record.EffectiveState()})
	}
	done, running := controller.taskCounts(id)
	status := wire.JobStatus{ID: id, State: wire.JobPending, DoneTasks: &done, RunningTasks: &running}
	if running > 0 {
		status.State = wire.JobRunning
	}
	dependencies := controller.dependencyGraph.PendingDependencies(id)
	status.DependsOn = dependencies[:min(len(dependencies), maxDependenciesShown)]
	return encodeStatus(status)
}

// taskCounts returns how many of a job's tasks are done and running: the leader's own counts,
// or those that the leader sent last.
func (controller *Controller) taskCounts(id string) (done, running int) {
	if controller.term != nil {
		if job := controller.term.TrackedJob(id); job != nil {
			return job.DoneCount(), job.StartedCount
		}
		return 0, 0
	}
	count, _ := controller.users.progressCounts.Progress(id)
	return int(count.Done), int(count.Running)
}

func encodeStatus(status wire.JobStatus) []byte {
	body, err := status.MarshalJSON()
	if err != nil {
		return []byte("{}")
	}
	return body
}
