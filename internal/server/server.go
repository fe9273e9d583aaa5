// Package server owns the listeners: evio's event loop, the framing of
// connections, the routes. It decodes requests and hands them on; replies may
// come at any time from any goroutine.
package server

import (
	"fmt"
	"log/slog"
	"sync"
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
	Submit(j *wire.Job, r *Reply)
	Show(id string, r *Reply)
	Withdraw(id string, r *Reply)
	Checkin(rep *wire.Report, r *Reply)
	Up() bool
	Morning(r *Reply)
	Standby(r *Reply)
	Beat(b *peer.Heartbeat)
}

// Config holds addresses and bounds.
type Config struct {
	Serve, Peer string
	// Sockets bounds the connections; MakeRoom closes one of those that the
	// budget holds beside the incoming ones, if it can.
	Sockets  *connlimit.Budget
	MakeRoom func() bool
	// Lease is how long a worker may be away before its connection is of no use.
	Lease clock.Micros
	// Idle bounds how long a connection may lie idle, Half how long a request
	// may take to arrive.
	Idle, Half clock.Micros
}

// Server serves an App.
type Server struct {
	cfg   Config
	app   App
	log   *slog.Logger
	conns map[*conn]struct{} // owned by the event loop
	going int                // of those, told to go for others to come
}

// conn is one connection. Its parser belongs to the event loop; out is shared.
type conn struct {
	ev     evio.Conn
	parser *http1.Parser
	frames *peer.FrameReader
	since  clock.Micros // when the present state began: idle, or half a request
	kind   kind
	busy   bool // a request is being worked on
	last   bool // the peer will close after this answer
	over   bool // to be closed once what was written is out
	going  bool // told to go

	mu    sync.Mutex
	ready *answer
	drop  bool
}

// kind is who speaks on a connection, in the order in which they have to go when
// sockets run out; from worker on they do not.
type kind uint8

const (
	unknown kind = iota // has not asked anything
	user
	worker
	controller
)

// New makes a server.
func New(cfg Config, app App, log *slog.Logger) *Server {
	return &Server{cfg: cfg, app: app, log: log, conns: map[*conn]struct{}{}}
}

// Run serves until the listeners fail, and begins anew then: one failed accept
// ends evio's loop, and that must not end the process.
func (s *Server) Run() error {
	failed := 0
	for {
		began := clock.Now()
		s.cfg.Sockets.InDone(len(s.conns))
		s.conns, s.going = map[*conn]struct{}{}, 0
		err := evio.Serve(s.events(), "tcp://"+s.cfg.Serve, "tcp://"+s.cfg.Peer)
		s.log.Error("listeners ended", "error", err)
		if clock.Now()-began > 10*clock.Second {
			failed = 0
		}
		if failed++; failed > 20 {
			return fmt.Errorf("server: listeners cannot be kept open: %w", err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (s *Server) events() evio.Events {
	return evio.Events{
		NumLoops: 1,
		Opened:   s.opened,
		Closed:   s.closed,
		Data:     s.data,
		Tick:     s.tick,
	}
}

func (s *Server) opened(c evio.Conn) ([]byte, evio.Options, evio.Action) {
	opts := evio.Options{ReuseInputBuffer: true}
	if !s.room() {
		return nil, opts, evio.Close
	}
	k := &conn{ev: c, since: clock.Now()}
	if c.AddrIndex() == 1 {
		k.frames, k.kind = &peer.FrameReader{}, controller
	} else {
		k.parser = http1.NewRequestParser(http1.DefaultLimits)
	}
	c.SetContext(k)
	s.conns[k] = struct{}{}
	return nil, opts, evio.None
}

// room books a connection. When sockets run out, a direct connection that lies
// idle goes, then one that has not asked anything, then a user's. The price is
// never a worker's lease: a worker's connection, once it has reported, stays.
func (s *Server) room() bool {
	if s.cfg.Sockets.In() {
		return true
	}
	if s.cfg.MakeRoom != nil && s.cfg.MakeRoom() && s.cfg.Sockets.In() {
		return true
	}
	if s.going >= mostGoing {
		return false
	}
	var least *conn
	now := clock.Now()
	for k := range s.conns {
		// Who has come just now may be about to say who it is.
		if k.kind >= worker || k.busy || k.going || now-k.since < newcomer {
			continue
		}
		if least == nil || k.kind < least.kind || k.kind == least.kind && k.since < least.since {
			least = k
		}
	}
	if least == nil {
		return false
	}
	s.drop(least)
	s.cfg.Sockets.Force()
	return true
}

const (
	// mostGoing bounds the connections that are being closed for others.
	mostGoing = 16
	// newcomer is for how long a connection is left alone.
	newcomer = clock.Second
)

// drop has a connection closed on the event loop's next round.
func (s *Server) drop(k *conn) {
	if !k.going {
		k.going = true
		s.going++
	}
	k.mu.Lock()
	k.drop = true
	k.mu.Unlock()
	k.ev.Wake()
}

func (s *Server) closed(c evio.Conn, _ error) evio.Action {
	k, ok := c.Context().(*conn)
	if !ok {
		return evio.None
	}
	if _, held := s.conns[k]; held {
		delete(s.conns, k)
		s.cfg.Sockets.InDone(1)
		if k.going {
			s.going--
		}
	}
	return evio.None
}

// tick closes what lies idle, what is no worker's sooner when sockets run short.
func (s *Server) tick() (time.Duration, evio.Action) {
	now := clock.Now()
	idle := s.cfg.Idle
	for s.cfg.Sockets.Tight() {
		idle = min(idle, s.cfg.Half)
		if s.cfg.MakeRoom == nil || !s.cfg.MakeRoom() {
			break
		}
	}
	for k := range s.conns {
		limit := idle
		switch {
		case k.parser != nil && !k.parser.Idle() || k.kind == unknown:
			limit = s.cfg.Half
		case k.kind == worker:
			limit = max(s.cfg.Lease, s.cfg.Half)
		}
		if !k.busy && !k.going && now-k.since > limit {
			s.drop(k)
		}
	}
	return time.Second, evio.None
}

// maxWaiting bounds what a client may send while its request is worked on.
const maxWaiting = 128 << 10

// data takes what came in on a connection, or a wake. A reply that was there at
// once has still woken the loop, and evio closes only after it has written: such a
// wake would have the next of several requests worked on, its answer written over
// the one that is on its way, and the close taken back.
func (s *Server) data(c evio.Conn, in []byte) ([]byte, evio.Action) {
	k, ok := c.Context().(*conn)
	if !ok || k.over {
		return nil, evio.Close
	}
	out, action := s.serve(k, in)
	k.over = action == evio.Close
	return out, action
}

// write appends an answer. evio replaces what it has not written yet when a
// later wake has more to write, and an answer would be lost. Without pipelining,
// as the protocol has it, that cannot happen: the next request comes after this
// answer. A client that pipelines all the same gets one answer and a close.
func (s *Server) write(out []byte, k *conn, a *answer) []byte {
	k.last = k.last || k.parser.Held() > 0
	a = a.checked()
	return http1.AppendResponse(out, a.status, a.body, a.retry, k.last)
}
