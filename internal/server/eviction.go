package server

import (
	"time"

	"github.com/tidwall/evio"

	"firwood.dev/firwood/internal/clock"
)

const (
	// maxClosingConnections bounds the number of connections that are being closed to make room for
	// others, and thereby by how many connections the limit may be exceeded.
	maxClosingConnections = 16
	// evictionGrace is how long a connection is safe from eviction after its state has changed. A
	// connection that was just opened may be about to send its first request.
	evictionGrace = clock.Second
	// tickInterval is the interval between checks for connections whose timeout has passed.
	tickInterval = time.Second
)

// admitConnection reserves an inbound connection. It returns false if there is no room. At the limit it
// makes room by closing, in this order of preference, an idle outbound connection, a connection that has
// sent no request, or an idle connection of a user. It never closes a controller's connection, nor that of
// a worker that has sent a heartbeat, since the worker could lose its lease.
func (server *Server) admitConnection() bool {
	if server.cfg.Limiter.AcquireInbound() {
		return true
	}
	if server.evictOutbound() && server.cfg.Limiter.AcquireInbound() {
		return true
	}
	if server.closingCount >= maxClosingConnections {
		return false
	}
	victim := server.evictionVictim(clock.Now())
	if victim == nil {
		return false
	}
	server.requestClose(victim)
	server.cfg.Limiter.ForceInbound()
	return true
}

// evictOutbound closes an idle outbound connection. It returns false if there is none.
func (server *Server) evictOutbound() bool {
	return server.cfg.EvictOutbound != nil && server.cfg.EvictOutbound()
}

// evictionVictim returns the connection to close for a new one, or nil if no connection may be evicted.
func (server *Server) evictionVictim(now clock.Micros) *conn {
	var victim *conn
	for connection := range server.connections {
		if connection.isEvictable(now) && (victim == nil || connection.isEvictedBefore(victim)) {
			victim = connection
		}
	}
	return victim
}

func (connection *conn) isEvictable(now clock.Micros) bool {
	hasJustChanged := now-connection.stateChangedAt < evictionGrace
	return connection.role.isEvictable() && !connection.isBusy && !connection.isClosing && !hasJustChanged
}

// isEvictedBefore orders connections by role, and within a role by the time that they have been in their
// current state, longest first.
func (connection *conn) isEvictedBefore(other *conn) bool {
	if connection.role != other.role {
		return connection.role < other.role
	}
	return connection.stateChangedAt < other.stateChangedAt
}

// requestClose has the event loop close a connection in its next iteration.
func (server *Server) requestClose(connection *conn) {
	if !connection.isClosing {
		connection.isClosing = true
		server.closingCount++
	}
	connection.evioConn.Wake()
}

// handleTick closes connections that have been idle, or receiving a request, for too long. While the
// limiter is under pressure it also closes idle outbound connections, and idle inbound ones sooner.
func (server *Server) handleTick() (time.Duration, evio.Action) {
	now := clock.Now()
	idleTimeout := server.cfg.IdleTimeout
	for server.cfg.Limiter.IsUnderPressure() {
		idleTimeout = min(idleTimeout, server.cfg.ReadTimeout)
		if !server.evictOutbound() {
			break
		}
	}
	for connection := range server.connections {
		isExpired := now-connection.stateChangedAt > server.stateTimeout(connection, idleTimeout)
		if isExpired && !connection.isBusy && !connection.isClosing {
			server.requestClose(connection)
		}
	}
	return tickInterval, evio.None
}

// stateTimeout returns how long a connection may stay in its current state. ReadTimeout also bounds the
// time to the first request.
func (server *Server) stateTimeout(connection *conn, idleTimeout clock.Micros) clock.Micros {
	switch {
	case connection.isReceiving() || connection.role == roleUnidentified:
		return server.cfg.ReadTimeout
	case connection.role == roleWorker:
		return max(server.cfg.WorkerLeaseTTL, server.cfg.ReadTimeout)
	}
	return idleTimeout
}
