// Package client owns outgoing HTTP: keep-alive connections, time limits, and
// the rate budgets that keep this process under the limits of the services it
// calls.
package client

import (
	"container/list"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/connlimit"
	"firwood.dev/firwood/internal/http1"
)

// Dialer opens a connection to an address.
type Dialer func(address string, timeout time.Duration) (net.Conn, error)

// DialTCP dials over TCP.
func DialTCP(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp4", address, timeout)
}

// ErrLate tells that a request was not sent because its sender was no longer
// entitled to send it.
var ErrLate = errors.New("client: the time to send has passed")

// SendError tells that the request certainly did not reach the other side.
type SendError struct{ Err error }

func (e *SendError) Error() string { return "client: not sent: " + e.Err.Error() }
func (e *SendError) Unwrap() error { return e.Err }

// Host is one place that is called, with its idle connections.
type Host struct {
	dial   Dialer
	addr   string
	limits http1.Limits

	pool *Pool // nil: unbounded

	mu   sync.Mutex
	idle []*conn
	most int
}

type conn struct {
	c      net.Conn
	parser *http1.Parser
	used   clock.Micros
	host   *Host
	place  *list.Element // in the pool's list of idle ones
}

// ErrBusy tells that every connection of the pool is in use.
var ErrBusy = errors.New("client: no connection is free")

// Pool bounds the connections to many hosts together. When the budget allows no
// more, the one that has lain idle longest makes room.
type Pool struct {
	dial   Dialer
	budget *connlimit.Budget

	mu   sync.Mutex
	idle *list.List // of *conn, the longest idle first
}

// NewPool makes a pool of connections that go out, within the budget.
func NewPool(dial Dialer, b *connlimit.Budget) *Pool {
	return &Pool{dial: dial, budget: b, idle: list.New()}
}

// reserve books a connection, at the cost of an idle one if need be.
func (p *Pool) reserve() bool {
	// The booking of the one that makes room passes on.
	return p.budget.Out() || p.closeIdle()
}

// MakeRoom closes the connection that has lain idle longest; false if none does.
func (p *Pool) MakeRoom() bool {
	if !p.closeIdle() {
		return false
	}
	p.budget.OutDone()
	return true
}

// closeIdle closes the connection that has lain idle longest; its booking is left.
func (p *Pool) closeIdle() bool {
	p.mu.Lock()
	e := p.idle.Front()
	if e == nil {
		p.mu.Unlock()
		return false
	}
	c := p.idle.Remove(e).(*conn)
	c.place = nil
	p.mu.Unlock()
	// The list has given it to us alone, unless its host takes it just now:
	// then that host finds it missing from the list and leaves it.
	c.c.Close()
	c.host.forget(c)
	return true
}

func (p *Pool) release() { p.budget.OutDone() }

// claim takes an idle connection for use; false means that it made room for
// another meanwhile.
func (p *Pool) claim(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.place == nil {
		return false
	}
	p.idle.Remove(c.place)
	c.place = nil
	return true
}

func (p *Pool) rest(c *conn) {
	p.mu.Lock()
	c.place = p.idle.PushBack(c)
	p.mu.Unlock()
}

// idleFor bounds how long a connection may lie unused: after a cut an old one
// may be dead without saying so.
const idleFor = 20 * clock.Second

// NewHost makes a place to call; at most `most` idle connections are kept.
func NewHost(dial Dialer, addr string, most, maxBody int) *Host {
	l := http1.DefaultLimits
	l.Body = maxBody
	return &Host{dial: dial, addr: addr, limits: l, most: most}
}

// Host makes a place to call whose connections count towards the pool.
func (p *Pool) Host(addr string, most, maxBody int) *Host {
	h := NewHost(p.dial, addr, most, maxBody)
	h.pool = p
	return h
}

// forget drops a connection that the pool has closed.
func (h *Host) forget(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.Index(h.idle, c); i >= 0 {
		h.idle = slices.Delete(h.idle, i, i+1)
	}
}

// end closes a connection that is in use.
func (h *Host) end(c *conn) {
	c.c.Close()
	if h.pool != nil {
		h.pool.release()
	}
}

// claimed tells whether an idle connection is this host's to use.
func (h *Host) claimed(c *conn) bool { return h.pool == nil || h.pool.claim(c) }

// Close drops the idle connections.
func (h *Host) Close() {
	h.mu.Lock()
	idle := h.idle
	h.idle = nil
	h.mu.Unlock()
	for _, c := range idle {
		if h.claimed(c) {
			h.end(c)
		}
	}
}

func (h *Host) take(now clock.Micros) *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if !h.claimed(c) {
			continue
		}
		if now-c.used < idleFor {
			return c
		}
		h.end(c)
	}
	return nil
}

func (h *Host) give(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idle) >= h.most {
		h.end(c)
		return
	}
	c.used = clock.Now()
	h.idle = append(h.idle, c)
	if h.pool != nil {
		h.pool.rest(c)
	}
}

// Request is one call.
type Request struct {
	Method, Target string
	Body           []byte
	Timeout        clock.Micros
	// Until, if not nil, tells the last instant at which the request may be
	// sent; it is asked right before the write.
	Until func() clock.Micros
}

// Do sends the request and waits for its answer. An error that is not a
// *SendError or ErrLate leaves open whether the request was carried out.
func (h *Host) Do(r Request) (*http1.Message, error) {
	deadline := time.Now().Add(r.Timeout.Duration())
	c := h.take(clock.Now())
	if c == nil {
		if h.pool != nil && !h.pool.reserve() {
			return nil, &SendError{ErrBusy}
		}
		nc, err := h.dial(h.addr, r.Timeout.Duration())
		if err != nil {
			if h.pool != nil {
				h.pool.release()
			}
			return nil, &SendError{err}
		}
		c = &conn{c: nc, parser: http1.NewResponseParser(h.limits), host: h}
	}
	m, err := c.roundTrip(h.addr, r, deadline)
	if err != nil || m.Close {
		h.end(c)
		return m, err
	}
	h.give(c)
	return m, nil
}

func (c *conn) roundTrip(host string, r Request, deadline time.Time) (*http1.Message, error) {
	if err := c.c.SetDeadline(deadline); err != nil {
		return nil, &SendError{err}
	}
	out := http1.AppendRequest(make([]byte, 0, 160+len(r.Body)), r.Method, r.Target, host, r.Body)
	// The check comes last before the write: a process that was paused between
	// the decision and this line must not act on an entitlement that is over.
	if r.Until != nil {
		if until := r.Until(); clock.Now() >= until {
			return nil, ErrLate
		}
	}
	if _, err := c.c.Write(out); err != nil {
		return nil, err
	}
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		m, err := c.parser.Next()
		if err != nil || m != nil {
			return m, err
		}
		n, err := c.c.Read(*buf)
		if n > 0 {
			c.parser.Feed((*buf)[:n])
			continue
		}
		if err != nil {
			if m, perr := c.parser.End(); m != nil && perr == nil {
				return m, nil
			}
			return nil, err
		}
	}
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 8<<10); return &b }}

// Budget is a token bucket in which callers wait their turn.
type Budget struct {
	mu   sync.Mutex
	rate float64 // a second
	most float64
	have float64
	last clock.Micros
}

// NewBudget allows rate a second with bursts of `burst`.
func NewBudget(rate, burst float64) *Budget {
	return &Budget{rate: rate, most: burst, have: burst, last: clock.Now()}
}

// SetRate changes the allowance, as when the leader changes.
func (b *Budget) SetRate(rate, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(clock.Now())
	b.rate, b.most = rate, burst
	b.have = min(b.have, burst)
}

func (b *Budget) refill(now clock.Micros) {
	if now > b.last {
		b.have = min(b.most, b.have+b.rate*(now-b.last).Seconds())
		b.last = now
	}
}

// Take books n and returns how long to wait until they may be used.
func (b *Budget) Take(n float64) clock.Micros {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(clock.Now())
	b.have -= n
	if b.have >= 0 {
		return 0
	}
	return clock.FromSeconds(-b.have / b.rate)
}

// Wait books n and sleeps until they may be used.
func (b *Budget) Wait(n float64) {
	if d := b.Take(n); d > 0 {
		time.Sleep(d.Duration())
	}
}

// Delay is how long it takes until n may be used.
func (b *Budget) Delay(n float64) clock.Micros {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(clock.Now())
	return clock.FromSeconds((n - b.have) / b.rate)
}

// Has tells whether n may be used now.
func (b *Budget) Has(n float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(clock.Now())
	return b.have >= min(n, b.most)
}

// Drain empties the bucket: the service has said that it is being asked too
// often, so what this side believed it had was wrong.
func (b *Budget) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(clock.Now())
	b.have = min(b.have, 0)
}
