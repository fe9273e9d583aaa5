package server

import (
	"net/http"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// unsentReply is a reply that waits to be written.
type unsentReply struct {
	status      int
	retryAfter  int    // Retry-After header in seconds; 0 for no header
	contentType string // media type; "" means JSON
	body        []byte
	deadline    clock.Micros // instant from which a 503 is sent in place of this reply; 0 for no deadline
}

// Reply sends the reply to one request. The zero Reply discards what it is given to send.
type Reply struct {
	conn *conn
	// ReceivedAt is the instant at which the whole request had been received.
	ReceivedAt clock.Micros
	// callback, if not nil, receives the reply instead of a connection.
	callback func(status int, body []byte, retryAfter int)
}

// NewReply returns a Reply that passes the reply to callback. It is for callers of an App that have
// no connection.
func NewReply(callback func(status int, body []byte, retryAfter int)) *Reply {
	return &Reply{ReceivedAt: clock.Now(), callback: callback}
}

// Send sends the reply. retryAfter is in seconds, or 0 for no Retry-After header. Send may be called
// once, from any goroutine.
func (reply *Reply) Send(status int, body []byte, retryAfter int) {
	reply.SendBefore(status, body, retryAfter, 0)
}

// SendBefore is Send with a deadline, which is an instant on the monotonic clock, or 0 for no deadline. If
// the deadline has passed when the event loop takes the reply, a 503 is sent instead, since the process
// may have stalled and may no longer be entitled to reply.
func (reply *Reply) SendBefore(status int, body []byte, retryAfter int, deadline clock.Micros) {
	reply.deliver(&unsentReply{status: status, retryAfter: retryAfter, body: body, deadline: deadline})
}

// SendText sends a reply with status 200 whose body has a media type other than JSON.
func (reply *Reply) SendText(contentType string, body []byte) {
	reply.deliver(&unsentReply{status: http.StatusOK, contentType: contentType, body: body})
}

// deliver has the event loop write the reply, or passes the reply to the callback.
func (reply *Reply) deliver(pending *unsentReply) {
	if reply.callback != nil {
		pending = pending.enforceDeadline()
		reply.callback(pending.status, pending.body, pending.retryAfter)
		return
	}
	if reply.conn == nil {
		return
	}
	reply.conn.setPendingReply(pending)
	reply.conn.evioConn.Wake()
}

// expiredRetryAfter is the Retry-After, in seconds, of the 503 that replaces an expired reply.
const expiredRetryAfter = 1

// enforceDeadline returns the reply, or a 503 if the reply's deadline has passed.
func (pending *unsentReply) enforceDeadline() *unsentReply {
	if pending.deadline != 0 && clock.Now() >= pending.deadline {
		return &unsentReply{status: http.StatusServiceUnavailable, retryAfter: expiredRetryAfter, body: ErrorBody("no longer entitled to answer")}
	}
	return pending
}

// ErrorBody returns the JSON body of an error reply.
func ErrorBody(text string) []byte {
	encoded, err := wire.ErrorResponse{Error: text}.MarshalJSON()
	if err != nil {
		return []byte("{}")
	}
	return encoded
}
