// Package server serves HTTP and the links from other controllers: the listeners with evio's event
// loop, the framing of connections, the routes. It decodes requests and hands them to an App, whose
// replies may come at any time from any goroutine.
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

// App handles the requests. Its methods run on the event loop and must not block: all connections
// would wait. Those with a Reply send it once, at once or later, from any goroutine.
type App interface {
	SubmitJob(job *wire.Job, reply *Reply)
	ShowJob(id string, reply *Reply)
	CancelJob(id string, reply *Reply)
	HandleHeartbeat(heartbeat *wire.Heartbeat, reply *Reply)
	IsHealthy() bool
	SendJobReport(reply *Reply)
	SendStandbyStatus(reply *Reply)
	SendMetrics(reply *Reply)
	HandlePeerHeartbeat(heartbeat *peer.Heartbeat)
}

// Config holds addresses and limits.
type Config struct {
	ServeAddress, PeerAddress string
	// Limiter counts the connections. EvictOutbound closes one idle outbound connection, which the
	// Limiter counts too; false if there is none. EvictOutbound may be nil: there are none.
	Limiter       *connlimit.Limiter
	EvictOutbound func() bool
	// WorkerLeaseTTL bounds how long a worker's connection may be idle: afterwards its lease has
	// expired, and keeping the connection doesn't help.
	WorkerLeaseTTL clock.Micros
	// IdleTimeout bounds how long other connections may be idle. ReadTimeout bounds how long the
	// first request may take to begin and any request to arrive, and under pressure the idle time.
	IdleTimeout, ReadTimeout clock.Micros
}

// Server serves an App.
type Server struct {
	cfg Config
	app App
	log *slog.Logger
	// The event loop owns these.
	connections  map[*conn]struct{}
	closingCount int // connections with isClosing
}

const (
	// Run gives up at the failure after maxConsecutiveFailures in a row. A failure after the listeners
	// have worked for longer than failureCountResetAfter begins a new row.
	maxConsecutiveFailures = 20
	failureCountResetAfter = 10 * clock.Second
	restartBackoff         = 200 * time.Millisecond
	// peerListenerIndex is the index of the peer address among the arguments of evio.Serve.
	peerListenerIndex = 1
)

// New returns a server; Run starts it.
func New(cfg Config, app App, log *slog.Logger) *Server {
	return &Server{cfg: cfg, app: app, log: log, connections: map[*conn]struct{}{}}
}

// Run serves until the listeners fail, and restarts them: one failed accept ends evio's loop, which
// must not end the process. It returns an error if they fail again and again.
func (server *Server) Run() error {
	failures := 0
	for {
		startedAt := clock.Now()
		server.cfg.Limiter.ReleaseInbound(len(server.connections))
		server.connections, server.closingCount = map[*conn]struct{}{}, 0
		err := evio.Serve(server.eventHandlers(), "tcp://"+server.cfg.ServeAddress, "tcp://"+server.cfg.PeerAddress)
		servedFor := clock.Now() - startedAt
		if servedFor > failureCountResetAfter {
			failures = 0
		}
		failures++
		server.log.Error("listeners failed", "error", err, "failures", failures, "served_for_s", servedFor.Seconds())
		if failures > maxConsecutiveFailures {
			return fmt.Errorf("server: listeners cannot be kept open: %w", err)
		}
		time.Sleep(restartBackoff)
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
	if !server.admitConnection() {
		return nil, opts, evio.Close
	}
	connection := &conn{evioConn: evioConn, stateChangedAt: clock.Now()}
	if evioConn.AddrIndex() == peerListenerIndex {
		connection.frameReader, connection.role = &peer.FrameReader{}, roleController
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
