// Package client owns outgoing HTTP: keep-alive connections, time limits, and
// the rate budgets that keep this process under the limits of the services it
// calls.
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

// ErrSendDeadlinePassed tells that a request was not sent because its sender was no longer
// entitled to send it.
var ErrSendDeadlinePassed = errors.New("client: the time to send has passed")

// NotSentError tells that the request certainly did not reach the other side.
type NotSentError struct{ Err error }

func (e *NotSentError) Error() string { return "client: not sent: " + e.Err.Error() }
func (e *NotSentError) Unwrap() error { return e.Err }

// ErrPoolExhausted tells that every connection of the pool is in use.
var ErrPoolExhausted = errors.New("client: no connection is free")
