// Package client is the outbound HTTP client: keep-alive connections, timeouts, a pool of
// connections to many hosts, and token buckets that keep this process within the rate limits of
// the services it calls.
package client

import (
	"errors"
	"net"
	"time"
)

// Dialer opens a connection to an address.
type Dialer func(address string, timeout time.Duration) (net.Conn, error)

// DialTCP dials over TCP.
func DialTCP(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp4", address, timeout)
}

// ErrSendDeadlinePassed reports that a request was not sent because its SendDeadline had passed.
var ErrSendDeadlinePassed = errors.New("client: the time to send has passed")

// NotSentError reports that the request was certainly not sent, so that it may be sent again.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string { return "client: not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// ErrPoolExhausted reports that no connection may be opened: the pool's limiter has no room, and no
// connection of the pool is idle. Do returns it within a *NotSentError.
var ErrPoolExhausted = errors.New("client: no connection is free")
