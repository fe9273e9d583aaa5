// Package connlimit owns the budget of connections that a process may have: what
// comes in (workers, users, probes, other controllers) and what goes out to
// workers share it by need. Incoming connections come first: without one a
// worker's lease runs out, while a direct message only saves time.
package connlimit

import "sync"

// Limiter counts connections. The sum never passes the bound, but for the few
// that Force lets in while others are being closed for them.
type Limiter struct {
	limit, outboundMinimum, inboundHeadroom int

	mu                sync.Mutex
	inbound, outbound int
}

// New makes a budget of so many connections. A few going out are always allowed,
// and beyond those, going out leaves some room for what may come in.
func New(limit int) *Limiter {
	return &Limiter{limit: limit, outboundMinimum: max(min(limit/64, 32), 1), inboundHeadroom: limit / 16}
}

// AcquireInbound books an incoming connection; false means that there is no room.
func (limiter *Limiter) AcquireInbound() bool {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if limiter.inbound >= limiter.limit-limiter.outboundMinimum || limiter.inbound+limiter.outbound >= limiter.limit {
		return false
	}
	limiter.inbound++
	return true
}

// ForceInbound books an incoming connection for which another is being closed.
func (limiter *Limiter) ForceInbound() {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.inbound++
}

// ReleaseInbound gives back so many incoming connections.
func (limiter *Limiter) ReleaseInbound(count int) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.inbound -= count
}

// AcquireOutbound books a connection to a worker; false means that there is no room.
func (limiter *Limiter) AcquireOutbound() bool {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if limiter.outbound >= limiter.outboundMinimum && limiter.inbound+limiter.outbound >= limiter.limit-limiter.inboundHeadroom || limiter.inbound+limiter.outbound >= limiter.limit {
		return false
	}
	limiter.outbound++
	return true
}

// ReleaseOutbound gives back a connection to a worker.
func (limiter *Limiter) ReleaseOutbound() {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.outbound--
}

// IsUnderPressure tells that what comes in is about to need what goes out.
func (limiter *Limiter) IsUnderPressure() bool {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.outbound > limiter.outboundMinimum && limiter.inbound+limiter.outbound >= limiter.limit-limiter.inboundHeadroom
}

// Counts is how many there are of each.
func (limiter *Limiter) Counts() (inbound, outbound int) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.inbound, limiter.outbound
}
