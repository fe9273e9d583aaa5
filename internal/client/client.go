// Package client is the outbound HTTP client: hosts with keep-alive connections and timeouts, a pool
// that bounds the connections to many hosts, and token buckets that keep this process within the rate
// limits of the services that it calls.
package client

import (
	"errors"
	"net"
	"time"
)

// Dialer opens a connection to an address within a timeout.
type Dialer func(address string, timeout time.Duration) (net.Conn, error)

// DialTCP dials over TCP.
func DialTCP(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp4", address, timeout)
}

// ErrSendDeadlinePassed reports that a request was not sent because its SendDeadline had passed.
var ErrSendDeadlinePassed = errors.New("client: the send deadline passed before the request was written")

// NotSentError reports that no part of the request was sent, so that the caller may send it again.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string { return "client: not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// ErrPoolExhausted reports that the pool cannot open a connection: its limiter has no room, and none
// of the pool's connections is idle. Do returns it within a *NotSentError.
var ErrPoolExhausted = errors.New("client: no room for another connection and none is idle")
