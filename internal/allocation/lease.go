package allocation

import (
	"firwood.dev/firwood/internal/clock"
)

// Answered takes until when other controllers may have answered workers in this
// leader's name or an earlier one's, as far as can be known now, and in which
// zones something else is known. No lease ends sooner than one that was renewed
// then.
func (l *Ledger) Answered(until clock.Micros, zones map[string]clock.Micros) {
	l.delegated, l.delegatedIn = until, zones
}

// LastHeardBy takes what an earlier leader has promised: no report of the
// machine was answered after that. It holds as long as this leader answers none.
func (l *Ledger) LastHeardBy(m *Machine, at clock.Micros) { m.granted = min(m.granted, at) }

// LastHeard is the last instant at which a report of the machine may have been
// answered, by delegates left out.
func (m *Machine) LastHeard() clock.Micros { return m.granted }

// LeaseEnd is when the machine's lease has provably run out, if nothing is
// answered to it any more. The slack covers drift of both clocks.
func (l *Ledger) LeaseEnd(m *Machine) clock.Micros {
	delegated, ok := l.delegatedIn[m.Zone]
	if !ok {
		delegated = l.delegated
	}
	return max(m.granted, delegated) + l.cfg.Lease + l.cfg.Lease/500 + clock.Second
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
	clear(m.sent)
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
