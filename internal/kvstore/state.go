// Package kvstore owns the dealings with the state service: reads and watches
// that prove how fresh they are, group commit of writes, and leases. It keeps
// within this process's share of the service's two rates. It decides nothing;
// results go to the callers' functions, on goroutines of this package.
package kvstore

import (
	"errors"
	"sync"
	"sync/atomic"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
)

// Limits are the service's, as the settings give them.
type Limits struct {
	RPS, WriteRPS float64
	TxnOps        int
}

// Errors of reads and leases.
var (
	ErrCompacted = errors.New("state: the revision is too old to watch from")
	ErrGone      = errors.New("state: no such key or lease")
	ErrRefused   = errors.New("state: refused")
)

// Client talks to the state service.
type Client struct {
	host    *client.Host
	limits  Limits
	lockKey string
	reads   *client.TokenBucket
	writes  *client.TokenBucket

	mu       sync.Mutex
	pending  []*Write
	inFlight int
	looking  bool // a look at the waiting writes is due
	// isNeededsTurn: the last transaction began with a binding write.
	isNeededsTurn bool

	// lastOK and lastRefused are instants of the steady clock.
	lastOK, lastRefused atomic.Int64
	// written counts the changes that were carried out.
	written atomic.Int64
	// Dropped counts answers that made no sense.
	Dropped atomic.Int64
}

const (
	maxInFlight    = 3
	requestTimeout = 3 * clock.Second
	// A read's answer has no size limit of the service's; this is ours.
	maxAnswer = 4 << 20
	// leastQueued is how many writes may wait here in any deployment; more than the
	// service takes in queuedFor are refused at once.
	leastQueued = 2048
	queuedFor   = 4 // seconds
)

// New makes a client; lockKey is the key that fenced writes are bound to.
func New(dial client.Dialer, addr string, l Limits, lockKey string) *Client {
	return &Client{
		host: client.NewHost(dial, addr, 6, maxAnswer), limits: l, lockKey: lockKey,
		reads: client.NewTokenBucket(l.RPS/4, l.RPS/4), writes: client.NewTokenBucket(l.WriteRPS/4, l.WriteRPS/4),
	}
}

// SetShare sets which part of the service's rates this process may use.
func (c *Client) SetShare(f float64) {
	// A little is left for renewals, which do not wait in the queue.
	r := f * c.limits.RPS * 0.95
	c.reads.SetRate(r, max(r, 2))
	c.SetWriteShare(f)
}

// Written is how many changes of this process were carried out so far.
func (c *Client) Written() int64 { return c.written.Load() }

// SetWriteShare sets which part of the rate of changes this process may use.
func (c *Client) SetWriteShare(f float64) {
	w := max(f*c.limits.WriteRPS, 1)
	c.writes.SetRate(w, max(w, float64(min(c.limits.TxnOps, 4))))
}

// LastOK is when the service last answered a request as asked.
func (c *Client) LastOK() clock.Micros { return clock.Micros(c.lastOK.Load()) }

// LastRefused is when the service was last out of reach or refusing.
func (c *Client) LastRefused() clock.Micros { return clock.Micros(c.lastRefused.Load()) }

func (c *Client) do(method, target string, body []byte, timeout clock.Micros) (int, []byte, error) {
	m, err := c.host.Do(client.Request{Method: method, Target: target, Body: body, Timeout: timeout})
	if err != nil {
		c.lastRefused.Store(int64(clock.Now()))
		return 0, nil, err
	}
	switch m.Status {
	case 503:
		c.lastRefused.Store(int64(clock.Now()))
	case 429:
		c.reads.Drain()
		c.writes.Drain()
	default:
		c.lastOK.Store(int64(clock.Now()))
	}
	return m.Status, m.Body, nil
}

// Failing tells that the service has not answered this process for a while.
func (c *Client) Failing(now clock.Micros) bool {
	return c.LastRefused() > c.LastOK() && now-c.LastOK() > clock.Second
}
