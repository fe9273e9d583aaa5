package client

import (
	"container/list"
	"sync"

	"firwood.dev/firwood/internal/connlimit"
)

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

// NewHost makes a place to call whose connections count towards the pool.
func (pool *Pool) NewHost(address string, maxIdle, maxBody int) *Host {
	host := NewHost(pool.dial, address, maxIdle, maxBody)
	host.pool = pool
	return host
}
