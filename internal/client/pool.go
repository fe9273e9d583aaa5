package client

import (
	"container/list"
	"sync"

	"firwood.dev/firwood/internal/connlimit"
)

// Pool bounds the total number of connections to many hosts. Its limiter also counts other connections
// of the process. When the limit is reached, the pool closes the connection that has been idle longest
// to make room for a new one.
type Pool struct {
	dial    Dialer
	limiter *connlimit.Limiter

	// mu guards idle and the idleElement of all connections. Lock order: a host's mutex may be held
	// when mu is locked, but no host's mutex may be locked while mu is held.
	mu   sync.Mutex
	idle *list.List // of *conn; the connection that has been idle longest is first
}

// NewPool returns a pool whose connections the limiter counts as outbound.
func NewPool(dial Dialer, limiter *connlimit.Limiter) *Pool {
	return &Pool{dial: dial, limiter: limiter, idle: list.New()}
}

// acquire reserves a connection, if necessary by closing an idle one. It reports whether it succeeded.
func (pool *Pool) acquire() bool {
	// The new connection takes over the reservation of the closed one, so the limiter isn't called.
	return pool.limiter.AcquireOutbound() || pool.closeOldestIdle()
}

// EvictIdle closes the connection that has been idle longest. It returns false if none is idle.
func (pool *Pool) EvictIdle() bool {
	if !pool.closeOldestIdle() {
		return false
	}
	pool.limiter.ReleaseOutbound()
	return true
}

// closeOldestIdle closes the connection that has been idle longest and leaves its reservation to
// the caller. It returns false if none is idle.
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
	// No other goroutine can use the connection now: a host that takes it from its own list at the
	// same time finds idleElement nil in claimIdle and skips the connection.
	connection.netConn.Close()
	connection.host.removeIdle(connection)
	return true
}

// release releases the reservation of one connection.
func (pool *Pool) release() { pool.limiter.ReleaseOutbound() }

// claimIdle removes an idle connection from the pool's list for use. It returns false if the pool has
// already closed it.
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

// addIdle appends a connection to the pool's list of idle connections.
func (pool *Pool) addIdle(connection *conn) {
	pool.mu.Lock()
	connection.idleElement = pool.idle.PushBack(connection)
	pool.mu.Unlock()
}

// NewHost returns a host whose connections belong to the pool. The package function NewHost describes
// the parameters.
func (pool *Pool) NewHost(address string, maxIdle, maxBody int) *Host {
	host := NewHost(pool.dial, address, maxIdle, maxBody)
	host.pool = pool
	return host
}
