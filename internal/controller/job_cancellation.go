package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/jobhistory"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// A cancellation first needs the job's record: from the view, from the view after a sync, or by a lookup in
// the store if the job may have been evicted. It then writes the job's end on the condition that the record in
// the store is still the one in the view. After a conflict it starts over.

// maxCancelAttempts bounds how often a cancellation starts over, after a sync, a lookup
// or a conflict.
const maxCancelAttempts = 3

// CancelJob makes a job's cancellation durable, and replies with the job's status. It may be called on any
// goroutine.
func (controller *Controller) CancelJob(id string, reply *server.Reply) {
	controller.postUserRequest(reply, func() { controller.cancelJob(id, reply, maxCancelAttempts) })
}

func (controller *Controller) cancelJob(id string, reply *server.Reply, attemptsLeft int) {
	record := controller.view.Jobs[id]
	switch {
	case record != nil && record.HasEnded():
		reply.Send(200, controller.encodeJobStatus(id, record), 0)
	case !controller.view.IsLoaded || attemptsLeft == 0:
		replyUnavailable(reply, reasonNotReady)
	case controller.mayBeEvicted(id):
		controller.cancelEvictedJob(id, reply, attemptsLeft)
	case record == nil:
		controller.cancelAfterSync(id, reply, attemptsLeft)
	case controller.replyIfStoreFailing(reply):
	default:
		controller.commitCancellation(id, record, reply, attemptsLeft)
	}
}

// cancelAfterSync cancels a job that is not in the view, after a sync has made the view new enough to tell
// whether the job exists.
func (controller *Controller) cancelAfterSync(id string, reply *server.Reply, attemptsLeft int) {
	controller.view.RequestSync(func(err error) {
		switch {
		case err != nil:
			replyUnavailable(reply, err.Error())
		case controller.mayBeEvicted(id):
			controller.cancelEvictedJob(id, reply, attemptsLeft-1) // the job was evicted during the sync
		default:
			controller.cancelJobIfPresent(id, reply, attemptsLeft-1)
		}
	}, clock.Now()+syncTimeout)
}

// cancelEvictedJob looks up a job that may have been evicted from the view, and cancels it.
func (controller *Controller) cancelEvictedJob(id string, reply *server.Reply, attemptsLeft int) {
	controller.lookUpJob(id, clock.Now()+syncTimeout, func(result jobhistory.LookupResult) {
		if result == jobhistory.Unavailable {
			replyUnavailable(reply, reasonStoreUnavailable)
			return
		}
		controller.cancelJobIfPresent(id, reply, attemptsLeft-1)
	})
}

// cancelJobIfPresent cancels a job if it is in the view, and replies 404 if not. The view must have been proven
// new enough to tell whether the job exists.
func (controller *Controller) cancelJobIfPresent(id string, reply *server.Reply, attemptsLeft int) {
	if controller.view.Jobs[id] == nil {
		reply.Send(404, server.ErrorBody(reasonNoSuchJob), 0)
		return
	}
	controller.cancelJob(id, reply, attemptsLeft)
}

// commitCancellation writes a job's end, on the condition that the record in the store is still the one in the
// view.
func (controller *Controller) commitCancellation(id string, record *storeview.Job, reply *server.Reply, attemptsLeft int) {
	end := storeview.NewEndedJob(record, wire.JobCancelled, clock.WallTime())
	value, err := records.EncodeEnded(&end.Job, leader.StoreLimits(controller.cfg))
	if err != nil {
		replyUnavailable(reply, reasonNotEncodable)
		return
	}
	write := &kvstore.Write{
		Conditions: []wire.Condition{{Key: records.JobKey(id), Version: record.Version}},
		Changes:    []wire.Change{{PutKey: records.JobKey(id), Value: value}},
		Deadline:   clock.Now() + submitTimeout,
	}
	write.Done = func(outcome kvstore.Outcome, revision uint64) {
		controller.postResult(func() {
			switch outcome {
			case kvstore.Committed:
				end.Version = revision
				controller.applyCancellation(id, end)
				reply.Send(200, encodeStatus(wire.JobStatus{ID: id, State: wire.JobCancelled}), 0)
			case kvstore.Conflict:
				controller.retryCancellation(id, reply, attemptsLeft-1)
			default:
				replyUnavailable(reply, reasonNotStored)
			}
		})
	}
	if !controller.store.Commit(write) {
		controller.replyRateLimited(reply)
	}
}

// applyCancellation applies the durable end of a job to the view, unless the watch has already done so.
func (controller *Controller) applyCancellation(id string, end *storeview.Job) {
	if current := controller.view.Jobs[id]; current == nil || current.Version < end.Version {
		controller.view.SetJob(id, end)
	}
}

// retryCancellation starts over after a conflict, once a sync has brought the conflicting record into the view.
func (controller *Controller) retryCancellation(id string, reply *server.Reply, attemptsLeft int) {
	controller.view.RequestSync(func(err error) {
		if err != nil {
			replyUnavailable(reply, err.Error())
			return
		}
		controller.cancelJob(id, reply, attemptsLeft)
	}, clock.Now()+syncTimeout)
}
