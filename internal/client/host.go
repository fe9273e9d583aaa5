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

const (
	// maxIdleAge bounds the reuse of an idle connection: after a network partition an old
	// connection may be dead without an error.
	maxIdleAge = 20 * clock.Second
	// typicalHeadSize is the initial capacity for the head of an encoded request, in bytes. Longer
	// heads grow the slice.
	typicalHeadSize = 160
	// readBufferSize is the size of each shared read buffer, in bytes.
	readBufferSize = 8 << 10
)

// Host is a service at one address, with the idle connections to it.
type Host struct {
	dial    Dialer
	address string
	limits  http1.Limits

	pool    *Pool // bounds the number of connections; nil if it is not limited
	maxIdle int

	mu   sync.Mutex
	idle []*conn // the most recently used connection is last
}

// conn is one connection. At any time it is either used by one request or idle.
type conn struct {
	netConn     net.Conn
	parser      *http1.Parser
	lastUsedAt  clock.Micros // when its latest request ended
	host        *Host
	idleElement *list.Element // element in the pool's idle list; nil while the connection is in use or closed
}

// NewHost returns a host that keeps at most maxIdle idle connections and accepts response bodies up
// to maxBody bytes.
func NewHost(dial Dialer, address string, maxIdle, maxBody int) *Host {
	limits := http1.DefaultLimits
	limits.Body = maxBody
	return &Host{dial: dial, address: address, limits: limits, maxIdle: maxIdle}
}

// removeIdle removes a connection that the pool has closed from the host's idle connections.
func (host *Host) removeIdle(connection *conn) {
	host.mu.Lock()
	defer host.mu.Unlock()
	if i := slices.Index(host.idle, connection); i >= 0 {
		host.idle = slices.Delete(host.idle, i, i+1)
	}
}

// closeConn closes a connection that is in use and releases its reservation.
func (host *Host) closeConn(connection *conn) {
	connection.netConn.Close()
	if host.pool != nil {
		host.pool.release()
	}
}

// claimIdle claims an idle connection for use. It returns false if the pool has already closed it.
func (host *Host) claimIdle(connection *conn) bool {
	return host.pool == nil || host.pool.claimIdle(connection)
}

// Close closes the idle connections. Connections in use are not affected.
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

// takeIdle returns the most recently used idle connection, or nil if there is none. It closes
// connections that have been idle for maxIdleAge or longer.
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

// returnIdle keeps a connection for reuse, or closes it if maxIdle connections are idle already.
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

// Request is an HTTP request.
type Request struct {
	Method, Target string
	Body           []byte // nil if the request has no body
	// Timeout bounds the whole exchange, dialing included.
	Timeout clock.Micros
	// SendDeadline, if not nil, returns the instant from which the request must no longer be sent.
	// It is called immediately before the write, after any waiting.
	SendDeadline func() clock.Micros
}

// Do sends the request and waits for its response. After an error other than a *NotSentError or
// ErrSendDeadlinePassed, it is unknown whether the service carried out the request.
func (host *Host) Do(request Request) (*http1.Message, error) {
	deadline := time.Now().Add(request.Timeout.Duration())
	connection := host.takeIdle(clock.Now())
	if connection == nil {
		var err error
		if connection, err = host.connect(request.Timeout); err != nil {
			return nil, &NotSentError{err}
		}
	}
	response, err := connection.roundTrip(request, deadline)
	if err != nil {
		host.closeConn(connection)
		return nil, err
	}
	if response.Close {
		host.closeConn(connection)
	} else {
		host.returnIdle(connection)
	}
	return response, nil
}

// connect reserves a connection with the pool, if the host has one, and dials it.
func (host *Host) connect(timeout clock.Micros) (*conn, error) {
	if host.pool != nil && !host.pool.acquire() {
		return nil, ErrPoolExhausted
	}
	netConn, err := host.dial(host.address, timeout.Duration())
	if err != nil {
		if host.pool != nil {
			host.pool.release()
		}
		return nil, err
	}
	return &conn{netConn: netConn, parser: http1.NewResponseParser(host.limits), host: host}, nil
}

// roundTrip writes a request and reads its response. After an error the connection must be closed.
func (connection *conn) roundTrip(request Request, deadline time.Time) (*http1.Message, error) {
	if err := connection.netConn.SetDeadline(deadline); err != nil {
		return nil, &NotSentError{err}
	}
	encoded := make([]byte, 0, typicalHeadSize+len(request.Body))
	encoded = http1.AppendRequest(encoded, request.Method, request.Target, connection.host.address, request.Body)
	// This check is the last step before the write: a process that was paused between its
	// decision to send and this line must not act on a lease that has expired.
	if request.SendDeadline != nil {
		if sendDeadline := request.SendDeadline(); clock.Now() >= sendDeadline {
			return nil, ErrSendDeadlinePassed
		}
	}
	// A failed write is not a NotSentError, since a part of the request may have been sent.
	if _, err := connection.netConn.Write(encoded); err != nil {
		return nil, err
	}
	return connection.readResponse()
}

// readResponse reads from the connection until the parser has a whole response.
func (connection *conn) readResponse() (*http1.Message, error) {
	buffer := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buffer)
	for {
		response, err := connection.parser.Next()
		if err != nil || response != nil {
			return response, err
		}
		size, err := connection.netConn.Read(*buffer)
		if size > 0 {
			connection.parser.Feed((*buffer)[:size])
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

// readBuffers are shared by all connections, since most connections are idle at any time.
var readBuffers = sync.Pool{New: func() any { buffer := make([]byte, readBufferSize); return &buffer }}
