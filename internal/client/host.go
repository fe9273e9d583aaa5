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
	// typicalHeadSize is the capacity for a request's head in bytes; it grows as needed.
	typicalHeadSize = 160
	// readBufferSize is the size of the shared buffers for reads in bytes.
	readBufferSize = 8 << 10
)

// Host is the address of a service with its idle connections.
type Host struct {
	dial    Dialer
	address string
	limits  http1.Limits

	pool    *Pool // nil: the number of connections is not limited
	maxIdle int

	mu   sync.Mutex
	idle []*conn // the latest used last
}

// conn is one connection. It is used by one request at a time, or idle.
type conn struct {
	netConn     net.Conn
	parser      *http1.Parser
	lastUsedAt  clock.Micros // end of its latest request
	host        *Host
	idleElement *list.Element // in the pool's list of idle connections; nil while in use or closed
}

// NewHost returns a host that keeps at most maxIdle idle connections and accepts response bodies up
// to maxBody bytes.
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

// closeConn closes a connection that is in use, and gives back its reservation.
func (host *Host) closeConn(connection *conn) {
	connection.netConn.Close()
	if host.pool != nil {
		host.pool.release()
	}
}

// claimIdle claims an idle connection for use; false means that the pool has closed it meanwhile.
func (host *Host) claimIdle(connection *conn) bool {
	return host.pool == nil || host.pool.claimIdle(connection)
}

// Close closes the idle connections; those in use are not affected.
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

// takeIdle returns the connection that was used last, or nil. Connections over maxIdleAge are closed.
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

// returnIdle keeps a connection for reuse, or closes it if enough are idle.
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
	Body           []byte // nil: none
	// Timeout bounds the whole exchange, dialing included.
	Timeout clock.Micros
	// SendDeadline, if not nil, returns the instant from which on the request must not be sent
	// any more. It is called immediately before the write, after any waiting.
	SendDeadline func() clock.Micros
}

// Do sends the request and waits for its response. After an error that is not a *NotSentError or
// ErrSendDeadlinePassed it is unknown whether the request was carried out.
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

// connect dials a new connection, with a reservation of the pool.
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
	// This check is the last step before the write: a process that was paused between the
	// decision and this line must not act on a lease that has expired.
	if request.SendDeadline != nil {
		if sendDeadline := request.SendDeadline(); clock.Now() >= sendDeadline {
			return nil, ErrSendDeadlinePassed
		}
	}
	// A failed write is no NotSentError, since a part may have been sent.
	if _, err := connection.netConn.Write(encoded); err != nil {
		return nil, err
	}
	return connection.readResponse()
}

// readResponse reads until the parser has a whole response.
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

// readBuffers are shared by all connections, since most of them are idle.
var readBuffers = sync.Pool{New: func() any { buffer := make([]byte, readBufferSize); return &buffer }}
