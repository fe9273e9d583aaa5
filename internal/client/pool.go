package client

import (
	"container/list"
	"sync"

	"firwood.dev/firwood/internal/connlimit"
)

// Pool bounds the connections to many hosts together, by a limiter that other connections of the
// process use too. At the limit, the pool's connection that has been idle longest is closed for a
// new one.
type Pool struct {
	dial    Dialer
	limiter *connlimit.Limiter

	// mu guards idle and the idleElement of all connections. It is taken while a host's mutex is
	// held, never the other way round.
	mu   sync.Mutex
	idle *list.List // of *conn, the longest idle first
}

// NewPool returns a pool whose connections count as outbound ones of the limiter.
func NewPool(dial Dialer, limiter *connlimit.Limiter) *Pool {
	return &Pool{dial: dial, limiter: limiter, idle: list.New()}
}

// acquire reserves a connection with the limiter, closing an idle one if necessary.
func (pool *Pool) acquire() bool {
	// The reservation of the closed connection is reused, so the limiter isn't called for it.
	return pool.limiter.AcquireOutbound() || pool.closeOldestIdle()
}

// EvictIdle closes the connection that has been idle longest; false if none is idle.
func (pool *Pool) EvictIdle() bool {
	if !pool.closeOldestIdle() {
		return false
	}
	pool.limiter.ReleaseOutbound()
	return true
}

// closeOldestIdle closes the connection that has been idle longest and leaves its reservation to
// the caller; false if none is idle.
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
	// Nobody else can use it: a host that takes it from its own list at the same time finds
	// idleElement nil in claimIdle and skips it.
	connection.netConn.Close()
	connection.host.removeIdle(connection)
	return true
}

// release gives a connection's reservation back.
func (pool *Pool) release() { pool.limiter.ReleaseOutbound() }

// claimIdle removes an idle connection from the pool's list for use; false means that the pool has
// closed it meanwhile.
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

// addIdle appends a connection to the list of idle ones.
func (pool *Pool) addIdle(connection *conn) {
	pool.mu.Lock()
	connection.idleElement = pool.idle.PushBack(connection)
	pool.mu.Unlock()
}

// NewHost returns a host whose connections belong to the pool; see the function NewHost.
func (pool *Pool) NewHost(address string, maxIdle, maxBody int) *Host {
	host := NewHost(pool.dial, address, maxIdle, maxBody)
	host.pool = pool
	return host
}
