package client

import (
	"container/list"
	"net"
	"slices"
	"sync"
	"time"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/http1"
)

// Host is one place that is called, with its idle connections.
type Host struct {
	dial    Dialer
	address string
	limits  http1.Limits

	pool *Pool // nil: unbounded

	mu      sync.Mutex
	idle    []*conn
	maxIdle int
}

type conn struct {
	netConn     net.Conn
	parser      *http1.Parser
	lastUsedAt  clock.Micros
	host        *Host
	idleElement *list.Element // in the pool's list of idle ones
}

// maxIdleAge bounds how long a connection may lie unused: after a cut an old one
// may be dead without saying so.
const maxIdleAge = 20 * clock.Second

// NewHost makes a place to call; at most `most` idle connections are kept.
func NewHost(dial Dialer, address string, maxIdle, maxBody int) *Host {
	limits := http1.DefaultLimits
	limits.Body = maxBody
	return &Host{dial: dial, address: address, limits: limits, maxIdle: maxIdle}
}

// removeIdle drops a connection that the pool has closed.
func (host *Host) removeIdle(connection *conn) {
	host.mu.Lock()
	defer host.mu.Unlock()
	if i := slices.Index(host.idle, connection); i >= 0 {
		host.idle = slices.Delete(host.idle, i, i+1)
	}
}

// closeConn closes a connection that is in use.
func (host *Host) closeConn(connection *conn) {
	connection.netConn.Close()
	if host.pool != nil {
		host.pool.release()
	}
}

// claimIdle tells whether an idle connection is this host's to use.
func (host *Host) claimIdle(connection *conn) bool {
	return host.pool == nil || host.pool.claimIdle(connection)
}

// Close drops the idle connections.
func (host *Host) Close() {
	host.mu.Lock()
	idle := host.idle
	host.idle = nil
	host.mu.Unlock()
	for _, connection := range idle {
		if host.claimIdle(connection) {
			host.closeConn(connection)
		}
	}
}

func (host *Host) takeIdle(now clock.Micros) *conn {
	host.mu.Lock()
	defer host.mu.Unlock()
	for len(host.idle) > 0 {
		connection := host.idle[len(host.idle)-1]
		host.idle = host.idle[:len(host.idle)-1]
		if !host.claimIdle(connection) {
			continue
		}
		if now-connection.lastUsedAt < maxIdleAge {
			return connection
		}
		host.closeConn(connection)
	}
	return nil
}

func (host *Host) returnIdle(connection *conn) {
	host.mu.Lock()
	defer host.mu.Unlock()
	if len(host.idle) >= host.maxIdle {
		host.closeConn(connection)
		return
	}
	connection.lastUsedAt = clock.Now()
	host.idle = append(host.idle, connection)
	if host.pool != nil {
		host.pool.addIdle(connection)
	}
}

// Request is one call.
type Request struct {
	Method, Target string
	Body           []byte
	Timeout        clock.Micros
	// SendDeadline, if not nil, tells the last instant at which the request may be
	// sent; it is asked right before the write.
	SendDeadline func() clock.Micros
}

// Do sends the request and waits for its answer. An error that is not a
// *NotSentError or ErrSendDeadlinePassed leaves open whether the request was carried out.
func (host *Host) Do(request Request) (*http1.Message, error) {
	deadline := time.Now().Add(request.Timeout.Duration())
	connection := host.takeIdle(clock.Now())
	if connection == nil {
		if host.pool != nil && !host.pool.acquire() {
			return nil, &NotSentError{ErrPoolExhausted}
		}
		netConn, err := host.dial(host.address, request.Timeout.Duration())
		if err != nil {
			if host.pool != nil {
				host.pool.release()
			}
			return nil, &NotSentError{err}
		}
		connection = &conn{netConn: netConn, parser: http1.NewResponseParser(host.limits), host: host}
	}
	response, err := connection.roundTrip(host.address, request, deadline)
	if err != nil || response.Close {
		host.closeConn(connection)
		return response, err
	}
	host.returnIdle(connection)
	return response, nil
}

func (connection *conn) roundTrip(address string, request Request, deadline time.Time) (*http1.Message, error) {
	if err := connection.netConn.SetDeadline(deadline); err != nil {
		return nil, &NotSentError{err}
	}
	encoded := http1.AppendRequest(make([]byte, 0, 160+len(request.Body)), request.Method, request.Target, address, request.Body)
	// The check comes last before the write: a process that was paused between
	// the decision and this line must not act on an entitlement that is over.
	if request.SendDeadline != nil {
		if sendDeadline := request.SendDeadline(); clock.Now() >= sendDeadline {
			return nil, ErrSendDeadlinePassed
		}
	}
	if _, err := connection.netConn.Write(encoded); err != nil {
		return nil, err
	}
	buffer := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buffer)
	for {
		response, err := connection.parser.Next()
		if err != nil || response != nil {
			return response, err
		}
		n, err := connection.netConn.Read(*buffer)
		if n > 0 {
			connection.parser.Feed((*buffer)[:n])
			continue
		}
		if err != nil {
			if response, parseErr := connection.parser.HandleEOF(); response != nil && parseErr == nil {
				return response, nil
			}
			return nil, err
		}
	}
}

var readBuffers = sync.Pool{New: func() any { b := make([]byte, 8<<10); return &b }}
