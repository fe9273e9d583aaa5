package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/commandqueue"
	"firwood.dev/firwood/internal/server"
)

const (
	// syncTimeout bounds how long a user's request waits for a sync of the view. Users wait at most
	// 2 s for the reply to a poll.
	syncTimeout = 1500 * clock.Millisecond
	// submitTimeout bounds how long a submission or a cancellation waits for its write to be durable.
	submitTimeout = 2500 * clock.Millisecond
)

// These reasons are sent in the bodies of 404 and 503 replies. Their texts must not change, since users'
// tools may show them.
const (
	reasonOverloaded       = "overloaded"
	reasonNotReady         = "not ready"
	reasonNotEncodable     = "cannot be encoded"
	reasonNoSuchJob        = "no such job"
	reasonStoreUnavailable = "the state service does not answer"
	reasonNotStored        = "the state service did not take it"
	reasonRateLimited      = "the state service is asked for more than it takes"
)

// postUserRequest queues a user's request, or replies 503 at once if too many requests are waiting.
func (controller *Controller) postUserRequest(reply *server.Reply, command func()) {
	if !controller.commands.Post(commandqueue.User, command) {
		replyUnavailable(reply, reasonOverloaded)
	}
}

// replyUnavailable replies 503 with a Retry-After of one second.
func replyUnavailable(reply *server.Reply, reason string) {
	reply.Send(503, server.ErrorBody(reason), 1)
}

// maxRetryAfterS bounds the Retry-After of a 503 reply, in seconds.
const maxRetryAfterS = 30

// replyRateLimited replies 503 to a request whose write the store's write rate does not allow now.
// Retry-After is the time until the rate allows it, up to maxRetryAfterS.
func (controller *Controller) replyRateLimited(reply *server.Reply) {
	delay := controller.store.InteractiveDelay()
	reply.Send(503, server.ErrorBody(reasonRateLimited), int(min(delay/clock.Second+1, maxRetryAfterS)))
}

// replyIfStoreFailing replies 503 if the store is known to be failing, so that a write would not become
// durable now. It reports whether it has replied.
func (controller *Controller) replyIfStoreFailing(reply *server.Reply) bool {
	if controller.store.IsFailing(clock.Now()) {
		replyUnavailable(reply, reasonStoreUnavailable)
		return true
	}
	return false
}
