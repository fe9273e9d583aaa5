package http1

import (
	"fmt"
)

// Limits bound what a parser holds.
type Limits struct {
	Line int // request line, status line, header line, chunk size line
	Head int // all of the head
	Body int
}

// DefaultLimits suit requests of users and workers.
var DefaultLimits = Limits{Line: 8 << 10, Head: 16 << 10, Body: 64 << 10}

// Error is a framing fault; Status is the answer that it deserves.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("http: %s (%d)", e.Reason, e.Status) }

func newError(status int, reason string) *Error { return &Error{Status: status, Reason: reason} }

// Message is a request or a response. Its strings and body are its own.
type Message struct {
	Method string // requests
	Target string // requests
	Status int    // responses
	Body   []byte
	// Close tells that the sender will not use the connection again.
	Close bool
	// RetryAfter is the header of that name in seconds, 0 if absent.
	RetryAfter int
	// ExpectContinue tells that the sender waits for a 100 before its body.
	ExpectContinue bool
}
