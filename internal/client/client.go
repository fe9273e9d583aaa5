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

// ErrSendDeadlinePassed tells that a request was not sent because its sender was no longer
// entitled to send it.
var ErrSendDeadlinePassed = errors.New("client: the time to send has passed")

// NotSentError tells that the request certainly did not reach the other side.
type NotSentError struct{ Err error }

func (e *NotSentError) Error() string { return "client: not sent: " + e.Err.Error() }
func (e *NotSentError) Unwrap() error { return e.Err }

// Host is one place that is called, with its idle connections.
type Host struct {
	dial    Dialer
	address string
	limits  http1.Limits

	pool *Pool // nil: unbounded

	mu      sync.Mutex
	idle    []*conn
	maxIdle int
}

type conn struct {
	netConn     net.Conn
	parser      *http1.Parser
	lastUsedAt  clock.Micros
	host        *Host
	idleElement *list.Element // in the pool's list of idle ones
}

// ErrPoolExhausted tells that every connection of the pool is in use.
var ErrPoolExhausted = errors.New("client: no connection is free")

// Pool bounds the connections to many hosts together. When the budget allows no
// more, the one that has lain idle longest makes room.
type Pool struct {
	dial    Dialer
	limiter *connlimit.Limiter

	mu   sync.Mutex
	idle *list.List // of *conn, the longest idle first
}

// NewPool makes a pool of connections that go out, within the budget.
func NewPool(dial Dialer, limiter *connlimit.Limiter) *Pool {
	return &Pool{dial: dial, limiter: limiter, idle: list.New()}
}

// acquire books a connection, at the cost of an idle one if need be.
func (pool *Pool) acquire() bool {
	// The booking of the one that makes room passes on.
	return pool.limiter.AcquireOutbound() || pool.closeOldestIdle()
}

// EvictIdle closes the connection that has lain idle longest; false if none does.
func (pool *Pool) EvictIdle() bool {
	if !pool.closeOldestIdle() {
		return false
	}
	pool.limiter.ReleaseOutbound()
	return true
}

// closeOldestIdle closes the connection that has lain idle longest; its booking is left.
func (pool *Pool) closeOldestIdle() bool {
	pool.mu.Lock()
	oldest := pool.idle.Front()
	if oldest == nil {
		pool.mu.Unlock()
		return false
	}
	connection := pool.idle.Remove(oldest).(*conn)
	connection.idleElement = nil
	pool.mu.Unlock()
	// The list has given it to us alone, unless its host takes it just now:
	// then that host finds it missing from the list and leaves it.
	connection.netConn.Close()
	connection.host.removeIdle(connection)
	return true
}

func (pool *Pool) release() { pool.limiter.ReleaseOutbound() }

// claimIdle takes an idle connection for use; false means that it made room for
// another meanwhile.
func (pool *Pool) claimIdle(connection *conn) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if connection.idleElement == nil {
		return false
	}
	pool.idle.Remove(connection.idleElement)
	connection.idleElement = nil
	return true
}

func (pool *Pool) addIdle(connection *conn) {
	pool.mu.Lock()
	connection.idleElement = pool.idle.PushBack(connection)
	pool.mu.Unlock()
}

// maxIdleAge bounds how long a connection may lie unused: after a cut an old one
// may be dead without saying so.
const maxIdleAge = 20 * clock.Second

// NewHost makes a place to call; at most `most` idle connections are kept.
func NewHost(dial Dialer, address string, maxIdle, maxBody int) *Host {
	limits := http1.DefaultLimits
	limits.Body = maxBody
	return &Host{dial: dial, address: address, limits: limits, maxIdle: maxIdle}
}

// NewHost makes a place to call whose connections count towards the pool.
func (pool *Pool) NewHost(address string, maxIdle, maxBody int) *Host {
	host := NewHost(pool.dial, address, maxIdle, maxBody)
	host.pool = pool
	return host
}

// removeIdle drops a connection that the pool has closed.
func (host *Host) removeIdle(connection *conn) {
	host.mu.Lock()
	defer host.mu.Unlock()
	if i := slices.Index(host.idle, connection); i >= 0 {
		host.idle = slices.Delete(host.idle, i, i+1)
	}
}

// closeConn closes a connection that is in use.
func (host *Host) closeConn(connection *conn) {
	connection.netConn.Close()
	if host.pool != nil {
		host.pool.release()
	}
}

// claimIdle tells whether an idle connection is this host's to use.
func (host *Host) claimIdle(connection *conn) bool {
	return host.pool == nil || host.pool.claimIdle(connection)
}

// Close drops the idle connections.
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

// Request is one call.
type Request struct {
	Method, Target string
	Body           []byte
	Timeout        clock.Micros
	// SendDeadline, if not nil, tells the last instant at which the request may be
	// sent; it is asked right before the write.
	SendDeadline func() clock.Micros
}

// Do sends the request and waits for its answer. An error that is not a
// *NotSentError or ErrSendDeadlinePassed leaves open whether the request was carried out.
func (host *Host) Do(request Request) (*http1.Message, error) {
	deadline := time.Now().Add(request.Timeout.Duration())
	connection := host.takeIdle(clock.Now())
	if connection == nil {
		if host.pool != nil && !host.pool.acquire() {
			return nil, &NotSentError{ErrPoolExhausted}
		}
		netConn, err := host.dial(host.address, request.Timeout.Duration())
		if err != nil {
			if host.pool != nil {
				host.pool.release()
			}
			return nil, &NotSentError{err}
		}
		connection = &conn{netConn: netConn, parser: http1.NewResponseParser(host.limits), host: host}
	}
	response, err := connection.roundTrip(host.address, request, deadline)
	if err != nil || response.Close {
		host.closeConn(connection)
		return response, err
	}
	host.returnIdle(connection)
	return response, nil
}

func (connection *conn) roundTrip(address string, request Request, deadline time.Time) (*http1.Message, error) {
	if err := connection.netConn.SetDeadline(deadline); err != nil {
		return nil, &NotSentError{err}
	}
	encoded := http1.AppendRequest(make([]byte, 0, 160+len(request.Body)), request.Method, request.Target, address, request.Body)
	// The check comes last before the write: a process that was paused between
	// the decision and this line must not act on an entitlement that is over.
	if request.SendDeadline != nil {
		if sendDeadline := request.SendDeadline(); clock.Now() >= sendDeadline {
			return nil, ErrSendDeadlinePassed
		}
	}
	if _, err := connection.netConn.Write(encoded); err != nil {
		return nil, err
	}
	buffer := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buffer)
	for {
		response, err := connection.parser.Next()
		if err != nil || response != nil {
			return response, err
		}
		n, err := connection.netConn.Read(*buffer)
		if n > 0 {
			connection.parser.Feed((*buffer)[:n])
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

var readBuffers = sync.Pool{New: func() any { b := make([]byte, 8<<10); return &b }}

// TokenBucket is a token bucket in which callers wait their turn.
type TokenBucket struct {
	mu              sync.Mutex
	tokensPerSecond float64 // a second
	burst           float64
	tokens          float64
	refilledAt      clock.Micros
}

// NewTokenBucket allows rate a second with bursts of `burst`.
func NewTokenBucket(rate, burst float64) *TokenBucket {
	return &TokenBucket{tokensPerSecond: rate, burst: burst, tokens: burst, refilledAt: clock.Now()}
}

// SetRate changes the allowance, as when the leader changes.
func (bucket *TokenBucket) SetRate(rate, burst float64) {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	bucket.refill(clock.Now())
	bucket.tokensPerSecond, bucket.burst = rate, burst
	bucket.tokens = min(bucket.tokens, burst)
}

func (bucket *TokenBucket) refill(now clock.Micros) {
	if now > bucket.refilledAt {
		bucket.tokens = min(bucket.burst, bucket.tokens+bucket.tokensPerSecond*(now-bucket.refilledAt).Seconds())
		bucket.refilledAt = now
	}
}

// Reserve books n and returns how long to wait until they may be used.
func (bucket *TokenBucket) Reserve(tokens float64) clock.Micros {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	bucket.refill(clock.Now())
	bucket.tokens -= tokens
	if bucket.tokens >= 0 {
		return 0
	}
	return clock.FromSeconds(-bucket.tokens / bucket.tokensPerSecond)
}

// Wait books n and sleeps until they may be used.
func (bucket *TokenBucket) Wait(tokens float64) {
	if delay := bucket.Reserve(tokens); delay > 0 {
		time.Sleep(delay.Duration())
	}
}

// Delay is how long it takes until n may be used.
func (bucket *TokenBucket) Delay(tokens float64) clock.Micros {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	bucket.refill(clock.Now())
	return clock.FromSeconds((tokens - bucket.tokens) / bucket.tokensPerSecond)
}

// HasTokens tells whether n may be used now.
func (bucket *TokenBucket) HasTokens(tokens float64) bool {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	bucket.refill(clock.Now())
	return bucket.tokens >= min(tokens, bucket.burst)
}

// Drain empties the bucket: the service has said that it is being asked too
// often, so what this side believed it had was wrong.
func (bucket *TokenBucket) Drain() {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	bucket.refill(clock.Now())
	bucket.tokens = min(bucket.tokens, 0)
}
