package http1

import (
	"fmt"
	"net/http"
)

// Limits bounds the parts of a message, in bytes.
type Limits struct {
	Line int // request line, status line, header line, chunk size line
	Head int // all lines of head and trailer, line ends included
	Body int
}

// DefaultLimits are for requests of users and workers, and with another Body for responses.
var DefaultLimits = Limits{Line: 8 << 10, Head: 16 << 10, Body: 64 << 10}

// Error is a violation of the protocol or of a limit; Status is the HTTP status with which a server
// answers it. A client can tell a limit (413, 431) from a malformed response (400) by it.
type Error struct {
	Status int
	Reason string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("http: %s (%d)", e.Reason, e.Status) }

func newError(status int, reason string) *Error { return &Error{Status: status, Reason: reason} }

var (
	errLineTooLong  = newError(http.StatusRequestHeaderFieldsTooLarge, "line too long")
	errHeadTooLarge = newError(http.StatusRequestHeaderFieldsTooLarge, "head too large")
	errBodyTooLarge = newError(http.StatusRequestEntityTooLarge, "body too large")
)

// Message is a request or a response. It doesn't share memory with the parser.
type Message struct {
	Method string // requests
	Target string // requests
	Status int    // responses
	Body   []byte
	// Close tells that the sender closes the connection after this exchange.
	Close bool
	// RetryAfter is the header of that name in seconds; 0 if it is absent or no number.
	RetryAfter int
	// ExpectContinue tells that the sender waits for a 100 Continue before it sends the body.
	ExpectContinue bool
}
