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
// from the view is looked up in the store.

// maxDependenciesShown bounds how many pending dependencies a job's status lists.
const maxDependenciesShown = 50

// ShowJob replies with a job's status. It may be called on any goroutine.
func (controller *Controller) ShowJob(id string, reply *server.Reply) {
	controller.postUserRequest(reply, func() { controller.showJob(id, reply) })
}

func (controller *Controller) showJob(id string, reply *server.Reply) {
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
		controller.showEvictedJob(id, reply)
		return
	}
	controller.view.RequestSync(func(err error) {
		switch {
		case err != nil:
			replyUnavailable(reply, err.Error())
		case controller.mayBeEvicted(id):
			controller.showEvictedJob(id, reply) // the job was evicted during the sync
		default:
			controller.replyStatusFromFreshView(id, reply)
		}
	}, clock.Now()+syncTimeout)
}

// showEvictedJob looks up a job that is not in the view, and replies with its status.
func (controller *Controller) showEvictedJob(id string, reply *server.Reply) {
	controller.lookUpJob(id, clock.Now()+syncTimeout, func(result jobhistory.LookupResult) {
		if result == jobhistory.Unavailable {
			replyUnavailable(reply, reasonStoreUnavailable)
			return
		}
		controller.replyStatusFromFreshView(id, reply)
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
