package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/commandqueue"
	"firwood.dev/firwood/internal/server"
)

const (
	// syncTimeout bounds how long a user's request waits for a sync of the view: users
	// themselves wait 2 s for a poll.
	syncTimeout = 1500 * clock.Millisecond
	// submitTimeout bounds how long a submission or a cancellation waits to be durable.
	submitTimeout = 2500 * clock.Millisecond
)

// The reasons that go out in bodies of 404 and 503 replies. Users' tools may show them, so
// their texts stay.
const (
	reasonOverloaded       = "overloaded"
	reasonNotReady         = "not ready"
	reasonNotEncodable     = "cannot be encoded"
	reasonNoSuchJob        = "no such job"
	reasonStoreUnavailable = "the state service does not answer"
	reasonNotStored        = "the state service did not take it"
	reasonRateLimited      = "the state service is asked for more than it takes"
)

// postUserRequest queues a user's request, or refuses it at once if too many wait.
func (controller *Controller) postUserRequest(reply *server.Reply, command func()) {
	if !controller.commands.Post(commandqueue.User, command) {
		replyUnavailable(reply, reasonOverloaded)
	}
}

// replyUnavailable replies 503, to be retried after a second.
func replyUnavailable(reply *server.Reply, reason string) {
	reply.Send(503, server.ErrorBody(reason), 1)
}

// maxRetryAfterS bounds the Retry-After of a 503 reply, in seconds.
const maxRetryAfterS = 30

// replyRateLimited replies 503 to a write that the store's rate does not allow, to be
// retried when it will.
func (controller *Controller) replyRateLimited(reply *server.Reply) {
	delay := controller.store.InteractiveDelay()
	reply.Send(503, server.ErrorBody(reasonRateLimited), int(min(delay/clock.Second+1, maxRetryAfterS)))
}

// replyIfStoreFailing replies at once to what cannot be made durable now, as far as is known.
func (controller *Controller) replyIfStoreFailing(reply *server.Reply) bool {
	if controller.store.IsFailing(clock.Now()) {
		replyUnavailable(reply, reasonStoreUnavailable)
		return true
	}
	return false
}
