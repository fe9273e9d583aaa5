// Package server owns the listeners: evio's event loop, the framing of
// connections, the routes. It decodes requests and hands them on; replies may
// come at any time from any goroutine.
package server

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/tidwall/evio"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/connlimit"
	"firwood.dev/firwood/internal/http1"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/wire"
)

// App is what the routes lead to. Its methods must not block.
type App interface {
	SubmitJob(job *wire.Job, reply *Reply)
	ShowJob(id string, reply *Reply)
	CancelJob(id string, reply *Reply)
	HandleHeartbeat(heartbeat *wire.Heartbeat, reply *Reply)
	IsHealthy() bool
	SendJobReport(reply *Reply)
	SendStandbyStatus(reply *Reply)
	HandlePeerHeartbeat(heartbeat *peer.Heartbeat)
}

// Config holds addresses and bounds.
type Config struct {
	ServeAddress, PeerAddress string
	// Limiter bounds the connections; EvictOutbound closes one of those that the
	// budget holds beside the incoming ones, if it can.
	Limiter       *connlimit.Limiter
	EvictOutbound func() bool
	// WorkerLeaseTTL is how long a worker may be away before its connection is of no use.
	WorkerLeaseTTL clock.Micros
	// IdleTimeout bounds how long a connection may lie idle, Half how long a request
	// may take to arrive.
	IdleTimeout, ReadTimeout clock.Micros
}

// Server serves an App.
type Server struct {
	cfg          Config
	app          App
	log          *slog.Logger
	connections  map[*conn]struct{} // owned by the event loop
	closingCount int                // of those, told to go for others to come
}

// New makes a server.
func New(cfg Config, app App, log *slog.Logger) *Server {
	return &Server{cfg: cfg, app: app, log: log, connections: map[*conn]struct{}{}}
}

// Run serves until the listeners fail, and begins anew then: one failed accept
// ends evio's loop, and that must not end the process.
func (server *Server) Run() error {
	failures := 0
	for {
		startedAt := clock.Now()
		server.cfg.Limiter.ReleaseInbound(len(server.connections))
		server.connections, server.closingCount = map[*conn]struct{}{}, 0
		err := evio.Serve(server.eventHandlers(), "tcp://"+server.cfg.ServeAddress, "tcp://"+server.cfg.PeerAddress)
		server.log.Error("listeners ended", "error", err)
		if clock.Now()-startedAt > 10*clock.Second {
			failures = 0
		}
		if failures++; failures > 20 {
			return fmt.Errorf("server: listeners cannot be kept open: %w", err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (server *Server) eventHandlers() evio.Events {
	return evio.Events{
		NumLoops: 1,
		Opened:   server.handleOpened,
		Closed:   server.handleClosed,
		Data:     server.handleData,
		Tick:     server.handleTick,
	}
}

func (server *Server) handleOpened(evioConn evio.Conn) ([]byte, evio.Options, evio.Action) {
	opts := evio.Options{ReuseInputBuffer: true}
	if !server.admit() {
		return nil, opts, evio.Close
	}
	connection := &conn{evioConn: evioConn, stateChangedAt: clock.Now()}
	if evioConn.AddrIndex() == 1 {
		connection.frames, connection.role = &peer.FrameReader{}, roleController
	} else {
		connection.parser = http1.NewRequestParser(http1.DefaultLimits)
	}
	evioConn.SetContext(connection)
	server.connections[connection] = struct{}{}
	return nil, opts, evio.None
}

func (server *Server) handleClosed(evioConn evio.Conn, _ error) evio.Action {
	connection, ok := evioConn.Context().(*conn)
	if !ok {
		return evio.None
	}
	if _, isTracked := server.connections[connection]; isTracked {
		delete(server.connections, connection)
		server.cfg.Limiter.ReleaseInbound(1)
		if connection.isClosing {
			server.closingCount--
		}
	}
	return evio.None
}

// maxPipelinedBytes bounds what a client may send while its request is worked on.
const maxPipelinedBytes = 128 << 10

// handleData takes what came in on a connection, or a wake. A reply that was there at
// once has still woken the loop, and evio closes only after it has written: such a
// wake would have the next of several requests worked on, its answer written over
// the one that is on its way, and the close taken back.
func (server *Server) handleData(evioConn evio.Conn, input []byte) ([]byte, evio.Action) {
	connection, ok := evioConn.Context().(*conn)
	if !ok || connection.isClosed {
		return nil, evio.Close
	}
	output, action := server.processInput(connection, input)
	connection.isClosed = action == evio.Close
	return output, action
}

// appendReply appends an answer. evio replaces what it has not written yet when a
// later wake has more to write, and an answer would be lost. Without pipelining,
// as the protocol has it, that cannot happen: the next request comes after this
// answer. A client that pipelines all the same gets one answer and a close.
func (server *Server) appendReply(output []byte, connection *conn, response *storedResponse) []byte {
	connection.closeAfterReply = connection.closeAfterReply || connection.parser.Buffered() > 0
	response = response.enforceDeadline()
	return http1.AppendResponse(output, response.status, response.body, response.retryAfter, connection.closeAfterReply)
}
