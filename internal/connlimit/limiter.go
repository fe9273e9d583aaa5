// Package connlimit limits the connections of a process. Inbound connections (from workers, users,
// probes and other controllers) and outbound connections (for command requests to workers and probes of
// them) share one limit. Inbound connections have priority: a worker without one loses its lease, while a
// command request only saves time.
package connlimit

import "sync"

// Limiter counts connections. The sum of inbound and outbound connections exceeds the limit only by
// the few that ForceInbound admits while others are being closed for them. Package server bounds the
// number of connections that are being closed.
type Limiter struct {
	limit           int
	outboundMinimum int // outbound connections that may use the headroom; AcquireInbound leaves room for them
	inboundHeadroom int // room that outbound connections beyond the minimum leave free for inbound ones

	mu                sync.Mutex
	inbound, outbound int
}

const (
	// outboundMinimumDivisor and maxOutboundMinimum define the outbound minimum: a 64th of the limit,
	// but at least 1 and at most 32.
	outboundMinimumDivisor = 64
	maxOutboundMinimum     = 32
	// inboundHeadroomDivisor defines the inbound headroom: a 16th of the limit.
	inboundHeadroomDivisor = 16
)

// New returns a limiter that allows limit connections.
func New(limit int) *Limiter {
	return &Limiter{
		limit:           limit,
		outboundMinimum: max(min(limit/outboundMinimumDivisor, maxOutboundMinimum), 1),
		inboundHeadroom: limit / inboundHeadroomDivisor,
	}
}

// isFull reports whether the limit is reached. The caller holds the mutex.
func (limiter *Limiter) isFull() bool { return limiter.inbound+limiter.outbound >= limiter.limit }

// hasOnlyHeadroomLeft reports whether the remaining room does not exceed the inbound headroom, so that
// another outbound connection would use the headroom. The caller holds the mutex.
func (limiter *Limiter) hasOnlyHeadroomLeft() bool {
	return limiter.inbound+limiter.outbound >= limiter.limit-limiter.inboundHeadroom
}

// AcquireInbound reserves an inbound connection. It returns false if there is no room besides the
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

// ForceInbound reserves an inbound connection, even beyond the limit. The caller must be closing
// another connection for it.
func (limiter *Limiter) ForceInbound() {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.inbound++
}

// ReleaseInbound releases count inbound connections.
func (limiter *Limiter) ReleaseInbound(count int) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.inbound -= count
}

// AcquireOutbound reserves an outbound connection. It returns false if there is no room. Connections
// beyond the outbound minimum must not use the inbound headroom.
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

// IsUnderPressure reports whether outbound connections should be closed to restore the headroom for
// inbound connections.
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
