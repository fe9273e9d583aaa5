package server

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

type storedResponse struct {
	status, retryAfter int
	body               []byte
	deadline           clock.Micros
}

// Reply takes the answer to one request.
type Reply struct {
	conn       *conn
	ReceivedAt clock.Micros // when the request had arrived
	// send, if not nil, takes the answer in place of a connection.
	send func(status int, body []byte, retryAfter int)
}

// NewReply makes a Reply whose answer goes to a function, for callers of an App
// that have no connection.
func NewReply(send func(status int, body []byte, retryAfter int)) *Reply {
	return &Reply{ReceivedAt: clock.Now(), send: send}
}

// Send answers. It may be called once, from any goroutine.
func (reply *Reply) Send(status int, body []byte, retryAfter int) {
	reply.SendBefore(status, body, retryAfter, 0)
}

// SendBefore answers unless the instant has passed when the answer is written:
// then 503 goes out in its place.
func (reply *Reply) SendBefore(status int, body []byte, retryAfter int, deadline clock.Micros) {
	if reply.send != nil {
		response := (&storedResponse{status, retryAfter, body, deadline}).enforceDeadline()
		reply.send(response.status, response.body, response.retryAfter)
		return
	}
	if reply.conn == nil {
		return
	}
	reply.conn.mu.Lock()
	reply.conn.pendingReply = &storedResponse{status, retryAfter, body, deadline}
	reply.conn.mu.Unlock()
	reply.conn.evioConn.Wake()
}

// enforceDeadline is the answer, or a refusal once its time is over.
func (response *storedResponse) enforceDeadline() *storedResponse {
	if response.deadline != 0 && clock.Now() >= response.deadline {
		return &storedResponse{status: 503, retryAfter: 1, body: encodeError("no longer entitled to answer")}
	}
	return response
}

func encodeError(text string) []byte {
	encoded, err := wire.ErrorResponse{Error: text}.MarshalJSON()
	if err != nil {
		return []byte("{}")
	}
	return encoded
}

// ErrorBody is the body of a refusal.
func ErrorBody(text string) []byte { return encodeError(text) }
