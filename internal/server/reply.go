package server

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

type answer struct {
	status, retry int
	body          []byte
	until         clock.Micros
}

// Reply takes the answer to one request.
type Reply struct {
	c  *conn
	At clock.Micros // when the request had arrived
	// send, if not nil, takes the answer in place of a connection.
	send func(status int, body []byte, retryAfter int)
}

// NewReply makes a Reply whose answer goes to a function, for callers of an App
// that have no connection.
func NewReply(send func(status int, body []byte, retryAfter int)) *Reply {
	return &Reply{At: clock.Now(), send: send}
}

// Send answers. It may be called once, from any goroutine.
func (r *Reply) Send(status int, body []byte, retryAfter int) {
	r.SendUntil(status, body, retryAfter, 0)
}

// SendUntil answers unless the instant has passed when the answer is written:
// then 503 goes out in its place.
func (r *Reply) SendUntil(status int, body []byte, retryAfter int, until clock.Micros) {
	if r.send != nil {
		a := (&answer{status, retryAfter, body, until}).checked()
		r.send(a.status, a.body, a.retry)
		return
	}
	if r.c == nil {
		return
	}
	r.c.mu.Lock()
	r.c.ready = &answer{status, retryAfter, body, until}
	r.c.mu.Unlock()
	r.c.ev.Wake()
}

// checked is the answer, or a refusal once its time is over.
func (a *answer) checked() *answer {
	if a.until != 0 && clock.Now() >= a.until {
		return &answer{status: 503, retry: 1, body: errorBody("no longer entitled to answer")}
	}
	return a
}

func errorBody(text string) []byte {
	b, err := wire.ErrorBody{Error: text}.MarshalJSON()
	if err != nil {
		return []byte("{}")
	}
	return b
}

// ErrorBody is the body of a refusal.
func ErrorBody(text string) []byte { return errorBody(text) }
