// Package connlimit owns the budget of connections that a process may have: what
// comes in (workers, users, probes, other controllers) and what goes out to
// workers share it by need. Incoming connections come first: without one a
// worker's lease runs out, while a direct message only saves time.
package connlimit

import "sync"

// Budget counts connections. The sum never passes the bound, but for the few
// that Force lets in while others are being closed for them.
type Budget struct {
	most, least, spare int

	mu      sync.Mutex
	in, out int
}

// New makes a budget of so many connections. A few going out are always allowed,
// and beyond those, going out leaves some room for what may come in.
func New(most int) *Budget {
	return &Budget{most: most, least: max(min(most/64, 32), 1), spare: most / 16}
}

// In books an incoming connection; false means that there is no room.
func (b *Budget) In() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.in >= b.most-b.least || b.in+b.out >= b.most {
		return false
	}
	b.in++
	return true
}

// Force books an incoming connection for which another is being closed.
func (b *Budget) Force() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.in++
}

// InDone gives back so many incoming connections.
func (b *Budget) InDone(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.in -= n
}

// Out books a connection to a worker; false means that there is no room.
func (b *Budget) Out() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.out >= b.least && b.in+b.out >= b.most-b.spare || b.in+b.out >= b.most {
		return false
	}
	b.out++
	return true
}

// OutDone gives back a connection to a worker.
func (b *Budget) OutDone() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.out--
}

// Tight tells that what comes in is about to need what goes out.
func (b *Budget) Tight() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out > b.least && b.in+b.out >= b.most-b.spare
}

// Open is how many there are of each.
func (b *Budget) Open() (in, out int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.in, b.out
}
