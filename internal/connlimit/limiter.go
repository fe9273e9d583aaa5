// Package connlimit limits the connections of a process. Inbound connections (workers, users,
// probes, other controllers) and outbound ones (command requests to workers) share one limit.
// Inbound connections have priority: without one a worker's lease expires, while a command
// request only saves time.
package connlimit

import "sync"

// Limiter counts connections. Their sum doesn't exceed the limit, except for the few that
// ForceInbound admits while others are being closed for them; package server bounds those.
type Limiter struct {
	limit           int
	outboundMinimum int // outbound connections that may use the headroom; AcquireInbound leaves room for them
	inboundHeadroom int // room that further outbound connections leave for inbound ones

	mu                sync.Mutex
	inbound, outbound int
}

const (
	// outboundMinimumDivisor and maxOutboundMinimum set the outbound minimum: a 64th of the limit,
	// from 1 to 32.
	outboundMinimumDivisor = 64
	maxOutboundMinimum     = 32
	// inboundHeadroomDivisor sets the inbound headroom: a 16th of the limit.
	inboundHeadroomDivisor = 16
)

// New returns a limiter for the given number of connections.
func New(limit int) *Limiter {
	return &Limiter{
		limit:           limit,
		outboundMinimum: max(min(limit/outboundMinimumDivisor, maxOutboundMinimum), 1),
		inboundHeadroom: limit / inboundHeadroomDivisor,
	}
}

// isFull tells whether the limit is reached. The caller holds the mutex.
func (limiter *Limiter) isFull() bool { return limiter.inbound+limiter.outbound >= limiter.limit }

// hasOnlyHeadroomLeft tells whether no more room than the inbound headroom is left, so that further
// outbound connections would take it. The caller holds the mutex.
func (limiter *Limiter) hasOnlyHeadroomLeft() bool {
	return limiter.inbound+limiter.outbound >= limiter.limit-limiter.inboundHeadroom
}

// AcquireInbound reserves an inbound connection; false means that there is no room besides the
// outbound minimum, which inbound connections leave free.
func (limiter *Limiter) AcquireInbound() bool {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if limiter.inbound >= limiter.limit-limiter.outboundMinimum || limiter.isFull() {
		return false
	}
	limiter.inbound++
	return true
}

// ForceInbound reserves an inbound connection, beyond the limit if need be: the caller is closing
// another one for it.
func (limiter *Limiter) ForceInbound() {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.inbound++
}

// ReleaseInbound releases a number of inbound connections.
func (limiter *Limiter) ReleaseInbound(count int) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.inbound -= count
}

// AcquireOutbound reserves an outbound connection; false means that there is no room. Beyond the
// outbound minimum, the inbound headroom counts as none.
func (limiter *Limiter) AcquireOutbound() bool {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	mustLeaveHeadroom := limiter.outbound >= limiter.outboundMinimum
	if limiter.isFull() || mustLeaveHeadroom && limiter.hasOnlyHeadroomLeft() {
		return false
	}
	limiter.outbound++
	return true
}

// ReleaseOutbound releases an outbound connection.
func (limiter *Limiter) ReleaseOutbound() {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.outbound--
}

// IsUnderPressure tells whether outbound connections should be closed, to restore the headroom for
// inbound ones.
func (limiter *Limiter) IsUnderPressure() bool {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.outbound > limiter.outboundMinimum && limiter.hasOnlyHeadroomLeft()
}

// Counts returns the numbers of inbound and outbound connections.
func (limiter *Limiter) Counts() (inbound, outbound int) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.inbound, limiter.outbound
}
