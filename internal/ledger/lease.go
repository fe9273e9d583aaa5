package ledger

import (
	"firwood.dev/firwood/internal/clock"
)

// Vouched takes until when other controllers may have answered workers in this
// leader's name or an earlier one's, as far as can be known now. No lease ends
// sooner than one that was renewed then.
func (l *Ledger) Vouched(until clock.Micros) { l.vouched = until }

// LeaseEnd is when the machine's lease has provably run out, if nothing is
// answered to it any more. The slack covers drift of both clocks.
func (l *Ledger) LeaseEnd(m *Machine) clock.Micros {
	return max(m.granted, l.vouched) + l.cfg.Lease + l.cfg.Lease/500 + clock.Second
}

// Expire ends what was on a machine whose lease has run out. The machine has
// to be heard anew before it gets anything.
func (l *Ledger) Expire(m *Machine, now clock.Micros) bool {
	if now < l.LeaseEnd(m) {
		return false
	}
	m.Synced = false
	// A report of the session that is over may still come, out of the network.
	m.minSession = m.Session + 1
	for _, p := range m.places {
		p.late, p.directOut = false, 0
		l.end(p, WhyVanished, now)
	}
	clear(m.lateIDs)
	l.account(m)
	return true
}

// MachineGone takes the cloud's word that a machine is gone.
func (l *Ledger) MachineGone(m *Machine, now clock.Micros) {
	for _, p := range m.places {
		l.end(p, WhyVanished, now)
	}
	l.account(m)
	delete(l.Machines, m.Name)
	l.byName = nil
}
