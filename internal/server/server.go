// Package server serves HTTP and the connections from other controllers. It contains the listeners with
// evio's event loop, the framing of connections and the routes. It decodes requests and passes them to an
// App, which may reply at any time from any goroutine.
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

// App handles the requests. Its methods run on the event loop and must not block, since all connections
// would wait. A method with a Reply sends it exactly once, before or after it returns, from any goroutine.
type App interface {
	SubmitJob(job *wire.Job, reply *Reply)
	ShowJob(id string, reply *Reply)
	CancelJob(id string, reply *Reply)
	HandleHeartbeat(heartbeat *wire.Heartbeat, reply *Reply)
	// RecordOversizedHeartbeat records a heartbeat of size bytes, more than the protocol allows. HandleHeartbeat
	// is called for it as well.
	RecordOversizedHeartbeat(machine string, size int)
	IsHealthy() bool
	SendJobReport(reply *Reply)
	SendStandbyStatus(reply *Reply)
	SendMetrics(reply *Reply)
	HandlePeerHeartbeat(heartbeat *peer.Heartbeat)
}

// Config holds the addresses and limits of a Server.
type Config struct {
	ServeAddress, PeerAddress string
	// Limiter counts inbound and outbound connections. EvictOutbound closes one idle outbound
	// connection, and returns false if none is idle. It may be nil if there are no outbound connections.
	Limiter       *connlimit.Limiter
	EvictOutbound func() bool
	// WorkerLeaseTTL bounds how long a worker's connection may be idle. After that time the worker's
	// lease has expired, so there is no use in keeping the connection.
	WorkerLeaseTTL clock.Micros
	// IdleTimeout bounds how long other connections may be idle. ReadTimeout bounds how long the
	// first request may take to begin and how long any request may take to arrive. When the limiter is
	// under pressure, ReadTimeout bounds the idle time too.
	IdleTimeout, ReadTimeout clock.Micros
}

// Server serves the requests of clients and other controllers with an App.
type Server struct {
	cfg Config
	app App
	log *slog.Logger
	// The event loop owns the following fields.
	connections  map[*conn]struct{}
	closingCount int // number of connections whose isClosing is set
}

const (
	// Run returns an error when the listeners have failed more than maxConsecutiveFailures times in a
	// row. If the listeners worked for longer than failureCountResetAfter, the count starts again.
	maxConsecutiveFailures = 20
	failureCountResetAfter = 10 * clock.Second
	restartBackoff         = 200 * time.Millisecond
	// peerListenerIndex is the index of the peer address among the arguments of evio.Serve.
	peerListenerIndex = 1
)

// New returns a server. Run starts it.
func New(cfg Config, app App, log *slog.Logger) *Server {
	return &Server{cfg: cfg, app: app, log: log, connections: map[*conn]struct{}{}}
}

// Run serves, and restarts the listeners when they fail: a single failed accept ends evio's event loop,
// which must not end the process. It returns an error if the listeners fail too often in a row.
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
			return fmt.Errorf("server: serve on the serve and peer addresses: too many consecutive failures: %w", err)
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
		connection.parser = http1.NewRequestParser(requestLimits)
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
