package http1

import (
	"fmt"
	"net/http"
)

// Limits bounds the sizes of the parts of a message, in bytes.
type Limits struct {
	Line int // of a request line, status line, header line or chunk size line
	Head int // of all lines of the head and trailer together, line ends included
	Body int // of the body
	// RequestBody, if not nil, returns the bound of the body of a request with a target, in place of Body.
	RequestBody func(target string) int
}

// DefaultLimits are the limits for requests of users and workers. Clients change Body for responses.
var DefaultLimits = Limits{Line: 8 << 10, Head: 16 << 10, Body: 64 << 10}

// Error is a violation of the protocol or of a limit. Status is the HTTP status with which a server
// answers it. A client can tell by Status whether the response exceeded a limit (413 or 431) or was
// malformed (400).
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
	Method string // set for requests
	Target string // set for requests
	Status int    // set for responses
	Body   []byte
	// Close is true if the sender closes the connection after this exchange.
	Close bool
	// RetryAfter is the value of the Retry-After header in seconds, or 0 if it is absent or not a number.
	RetryAfter int
	// ExpectContinue is true if the sender waits for a 100 Continue before it sends the body.
	ExpectContinue bool
}
