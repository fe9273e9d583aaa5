package server

import (
	"time"

	"github.com/tidwall/evio"

	"firwood.dev/firwood/internal/clock"
)

// admit books a connection. When sockets run out, a direct connection that lies
// idle goes, then one that has not asked anything, then a user's. The price is
// never a worker's lease: a worker's connection, once it has reported, stays.
func (server *Server) admit() bool {
	if server.cfg.Limiter.AcquireInbound() {
		return true
	}
	if server.cfg.EvictOutbound != nil && server.cfg.EvictOutbound() && server.cfg.Limiter.AcquireInbound() {
		return true
	}
	if server.closingCount >= maxClosing {
		return false
	}
	var victim *conn
	now := clock.Now()
	for connection := range server.connections {
		// Who has come just now may be about to say who it is.
		if connection.role >= roleWorker || connection.isBusy || connection.isClosing || now-connection.stateChangedAt < newConnectionGrace {
			continue
		}
		if victim == nil || connection.role < victim.role || connection.role == victim.role && connection.stateChangedAt < victim.stateChangedAt {
			victim = connection
		}
	}
	if victim == nil {
		return false
	}
	server.requestClose(victim)
	server.cfg.Limiter.ForceInbound()
	return true
}

const (
	// maxClosing bounds the connections that are being closed for others.
	maxClosing = 16
	// newConnectionGrace is for how long a connection is left alone.
	newConnectionGrace = clock.Second
)

// requestClose has a connection closed on the event loop's next round.
func (server *Server) requestClose(connection *conn) {
	if !connection.isClosing {
		connection.isClosing = true
		server.closingCount++
	}
	connection.mu.Lock()
	connection.closeRequested = true
	connection.mu.Unlock()
	connection.evioConn.Wake()
}

// handleTick closes what lies idle, what is no worker's sooner when sockets run short.
func (server *Server) handleTick() (time.Duration, evio.Action) {
	now := clock.Now()
	idleTimeout := server.cfg.IdleTimeout
	for server.cfg.Limiter.IsUnderPressure() {
		idleTimeout = min(idleTimeout, server.cfg.ReadTimeout)
		if server.cfg.EvictOutbound == nil || !server.cfg.EvictOutbound() {
			break
		}
	}
	for connection := range server.connections {
		limit := idleTimeout
		switch {
		case connection.parser != nil && !connection.parser.IsIdle() || connection.role == roleUnidentified:
			limit = server.cfg.ReadTimeout
		case connection.role == roleWorker:
			limit = max(server.cfg.WorkerLeaseTTL, server.cfg.ReadTimeout)
		}
		if !connection.isBusy && !connection.isClosing && now-connection.stateChangedAt > limit {
			server.requestClose(connection)
		}
	}
	return time.Second, evio.None
}
