package server

import (
	"net/http"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// pendingResponse is a response that waits to be written.
type pendingResponse struct {
	status      int
	retryAfter  int    // seconds; 0: no header
	contentType string // "" is JSON
	body        []byte
	deadline    clock.Micros // instant from which on a 503 is sent in its place; 0: none
}

// Reply takes the response to one request. The zero Reply discards it.
type Reply struct {
	conn *conn
	// ReceivedAt is when the whole request had been received.
	ReceivedAt clock.Micros
	// send, if not nil, receives the response in place of a connection.
	callback func(status int, body []byte, retryAfter int)
}

// NewReply returns a Reply that passes the response to a function, for callers of an App without a
// connection.
func NewReply(callback func(status int, body []byte, retryAfter int)) *Reply {
	return &Reply{ReceivedAt: clock.Now(), callback: callback}
}

// Send sends the response; retryAfter is in seconds, 0 for none. It may be called once, from any
// goroutine.
func (reply *Reply) Send(status int, body []byte, retryAfter int) {
	reply.SendBefore(status, body, retryAfter, 0)
}

// SendBefore is Send with a deadline, an instant of the steady clock: if it has passed when the event
// loop takes the response, a 503 is sent in its place, since the process may have stalled meanwhile
// and be no longer entitled to answer. A deadline of 0 is none.
func (reply *Reply) SendBefore(status int, body []byte, retryAfter int, deadline clock.Micros) {
	reply.deliverResponse(&pendingResponse{status: status, retryAfter: retryAfter, body: body, deadline: deadline})
}

// SendText sends a response of status 200 whose body is of another media type than JSON.
func (reply *Reply) SendText(contentType string, body []byte) {
	reply.deliverResponse(&pendingResponse{status: http.StatusOK, contentType: contentType, body: body})
}

// store has the event loop write a response, or passes it on.
func (reply *Reply) deliverResponse(response *pendingResponse) {
	if reply.callback != nil {
		response = response.enforceDeadline()
		reply.callback(response.status, response.body, response.retryAfter)
		return
	}
	if reply.conn == nil {
		return
	}
	reply.conn.setPendingReply(response)
	reply.conn.evioConn.Wake()
}

// expiredRetryAfter is the Retry-After of a response whose deadline has passed, in seconds.
const expiredRetryAfter = 1

// enforceDeadline returns the response, or a 503 in its place if its deadline has passed.
func (response *pendingResponse) enforceDeadline() *pendingResponse {
	if response.deadline != 0 && clock.Now() >= response.deadline {
		return &pendingResponse{status: http.StatusServiceUnavailable, retryAfter: expiredRetryAfter, body: ErrorBody("no longer entitled to answer")}
	}
	return response
}

// ErrorBody encodes the body of an error response.
func ErrorBody(text string) []byte {
	encoded, err := wire.ErrorResponse{Error: text}.MarshalJSON()
	if err != nil {
		return []byte("{}")
	}
	return encoded
}
