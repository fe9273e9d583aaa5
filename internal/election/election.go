// Package election owns leadership as a pure state machine: time and answers
// come in, actions go out. The lock is one key of the state service, attached
// to a lease; the revision of the transaction that created it is the fencing
// token.
//
// What must hold: at no instant are two members entitled to act. A member is
// entitled only until the *send* time of its last answered grant or renewal,
// plus the lease's time, less what its clock may be slow by and a slack for
// late timers. The service ends the lease no earlier than that, and no other
// member can create the key before the lease ends.
package election

import "firwood.dev/firwood/internal/clock"

// Config holds the times.
type Config struct {
	Member string
	TTL    clock.Micros
	// Slack is taken off every entitlement, on top of clock drift.
	Slack clock.Micros
}

// driftParts is how many parts in a million two clocks may drift apart.
const driftParts = 1000

// Lock is the lock key as last seen.
type Lock struct {
	Exists  bool
	Holder  string
	Lease   uint64
	Version uint64
}

// ActionKind is what is to be done.
type ActionKind uint8

const (
	// Grant: take a lease; answer with Granted or GrantFailed.
	Grant ActionKind = iota + 1
	// Acquire: create the lock with the lease, if absent; answer with Acquired.
	Acquire
	// Renew: renew the lease; answer with Renewed.
	Renew
	// Revoke: end the lease; no answer is needed.
	Revoke
	// Refresh: learn the lock anew; answer with Seen.
	Refresh
)

// Action is one thing to do.
type Action struct {
	Kind  ActionKind
	Lease uint64
}

// Phase is where a member stands.
type Phase uint8

const (
	// Follower waits for the lock to vanish.
	Follower Phase = iota
	// Granting waits for a lease.
	Granting
	// Acquiring waits for the lock.
	Acquiring
	// Leader holds the lock.
	Leader
)

// Machine is one member's state.
type Machine struct {
	cfg   Config
	phase Phase

	lock  Lock
	known bool // the lock has been seen at all

	lease    uint64
	token    uint64
	deadline clock.Micros // of the entitlement
	sentAt   clock.Micros // of the call in flight
	inFlight bool
	nextTry  clock.Micros
	buryAt   clock.Micros
	standOff clock.Micros // do not stand before this instant
	dead     map[uint64]bool
}

// New makes a follower.
func New(cfg Config) *Machine { return &Machine{cfg: cfg, dead: map[uint64]bool{}} }

// Phase tells where the member stands.
func (m *Machine) Phase() Phase { return m.phase }

// Token is the fencing token, 0 unless leader.
func (m *Machine) Token() uint64 {
	if m.phase == Leader {
		return m.token
	}
	return 0
}

// Until is the end of the present entitlement, 0 unless leader.
func (m *Machine) Until() clock.Micros {
	if m.phase == Leader {
		return m.deadline
	}
	return 0
}

// Entitled tells whether the member may act at this instant.
func (m *Machine) Entitled(now clock.Micros) bool {
	return m.phase == Leader && now < m.deadline
}

// Holder is who holds the lock as far as is known.
func (m *Machine) Holder() (string, uint64) {
	if m.known && m.lock.Exists {
		return m.lock.Holder, m.lock.Version
	}
	return "", 0
}

func (m *Machine) entitlement(sent clock.Micros) clock.Micros {
	return sent + m.cfg.TTL - m.cfg.TTL*driftParts/1_000_000 - m.cfg.Slack
}

// Seen takes the lock as the state service has it, with its revision order
// already sorted out by the caller.
func (m *Machine) Seen(now clock.Micros, l Lock) []Action {
	m.lock, m.known = l, true
	switch m.phase {
	case Leader:
		if !l.Exists || l.Version != m.token {
			return m.demote(now)
		}
	case Acquiring:
		if l.Exists && l.Holder == m.cfg.Member && l.Lease == m.lease && !m.inFlight {
			// The answer to our transaction was lost, but it was carried out.
			return m.lead(l.Version)
		}
		if l.Exists && l.Lease != m.lease && !m.inFlight {
			return m.demote(now)
		}
	}
	return m.buryOld(now, l)
}

// buryOld ends the lease of an earlier life of this member. That process is
// dead: the platform runs one process of a member at a time.
func (m *Machine) buryOld(now clock.Micros, l Lock) []Action {
	if l.Exists && l.Holder == m.cfg.Member && l.Lease != 0 && l.Lease != m.lease && !m.dead[l.Lease] {
		m.dead[l.Lease] = true
		m.buryAt = now + m.cfg.TTL
		return []Action{{Kind: Revoke, Lease: l.Lease}, {Kind: Refresh}}
	}
	return nil
}

// Tick lets time act.
func (m *Machine) Tick(now clock.Micros) []Action {
	switch m.phase {
	case Follower:
		if m.known && !m.lock.Exists && now >= m.standOff && now >= m.nextTry && !m.inFlight {
			m.phase = Granting
			m.inFlight = true
			m.sentAt = now
			return []Action{{Kind: Grant}}
		}
		if m.known && m.lock.Exists && now >= m.buryAt {
			// A revocation may have failed: look again, and bury again. This has
			// a time of its own: once it held back the candidacy too, and a free
			// lock found no taker for a whole lock time.
			m.buryAt = now + m.cfg.TTL
			clear(m.dead)
			return m.buryOld(now, m.lock)
		}
	case Acquiring:
		if !m.inFlight && now >= m.nextTry {
			m.nextTry = now + m.cfg.TTL/8
			if now >= m.deadline {
				return m.demote(now)
			}
			return []Action{{Kind: Refresh}}
		}
	case Leader:
		// An entitlement that ran out is not the end: in an outage of the state
		// service the lock survives, and renewing it gives the time back.
		if !m.inFlight && now >= m.nextTry {
			m.inFlight = true
			m.sentAt = now
			return []Action{{Kind: Renew, Lease: m.lease}}
		}
	}
	return nil
}

// Granted takes the answer to Grant; lease 0 means that it failed.
func (m *Machine) Granted(now clock.Micros, lease uint64) []Action {
	if m.phase != Granting {
		if lease != 0 {
			return []Action{{Kind: Revoke, Lease: lease}}
		}
		return nil
	}
	m.inFlight = false
	if lease == 0 {
		m.phase = Follower
		m.nextTry = now + m.cfg.TTL/16
		return nil
	}
	m.lease = lease
	m.deadline = m.entitlement(m.sentAt)
	if m.lock.Exists || now >= m.deadline {
		return m.demote(now)
	}
	m.phase = Acquiring
	m.inFlight = true
	return []Action{{Kind: Acquire, Lease: lease}}
}

// Result is how an attempt to acquire the lock ended.
type Result uint8

const (
	// Won: the lock is ours; its version is the token.
	Won Result = iota
	// Lost: the lock exists already.
	Lost
	// Open: the transaction may have been, or may yet be, carried out.
	Open
)

// Acquired takes the answer to Acquire.
func (m *Machine) Acquired(now clock.Micros, r Result, version uint64) []Action {
	if m.phase != Acquiring {
		return nil
	}
	m.inFlight = false
	switch r {
	case Won:
		m.lock = Lock{Exists: true, Holder: m.cfg.Member, Lease: m.lease, Version: version}
		return m.lead(version)
	case Lost:
		return append(m.demote(now), Action{Kind: Refresh})
	}
	m.nextTry = now + m.cfg.TTL/8
	return []Action{{Kind: Refresh}}
}

func (m *Machine) lead(version uint64) []Action {
	m.phase = Leader
	m.token = version
	m.inFlight = false
	m.nextTry = m.sentAt + m.cfg.TTL/3
	return nil
}

// Renewed takes the answer to Renew: ok, or gone for good, or neither.
func (m *Machine) Renewed(now clock.Micros, lease uint64, ok, gone bool) []Action {
	if m.phase != Leader || lease != m.lease {
		return nil
	}
	m.inFlight = false
	switch {
	case ok:
		m.deadline = max(m.deadline, m.entitlement(m.sentAt))
		m.nextTry = m.sentAt + m.cfg.TTL/3
	case gone:
		return append(m.demote(now), Action{Kind: Refresh})
	default:
		m.nextTry = now + m.cfg.TTL/12
	}
	return nil
}

// Fenced takes the news that a write bound to the lock was refused.
func (m *Machine) Fenced(now clock.Micros, token uint64) []Action {
	if m.phase != Leader || token != m.token {
		return nil
	}
	return append(m.demote(now), Action{Kind: Refresh})
}

// Resign gives the lead away and does not stand again for a while.
func (m *Machine) Resign(now, standOff clock.Micros) []Action {
	m.standOff = now + standOff
	if m.phase == Follower {
		return nil
	}
	return append(m.demote(now), Action{Kind: Refresh})
}

// demote gives up what is held. The lease is revoked, which also removes a
// lock that a lost answer may have hidden from us.
func (m *Machine) demote(now clock.Micros) []Action {
	var out []Action
	if m.lease != 0 {
		out = append(out, Action{Kind: Revoke, Lease: m.lease})
		m.dead[m.lease] = true
	}
	m.phase = Follower
	m.lease, m.token, m.deadline = 0, 0, 0
	m.inFlight = false
	m.nextTry = now + m.cfg.TTL/16
	return out
}

// TTL is the lock's time.
func (m *Machine) TTL() clock.Micros { return m.cfg.TTL }

// Held is what the member holds: its phase, its token, its lease.
func (m *Machine) Held() (Phase, uint64, uint64) { return m.phase, m.token, m.lease }
