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
	// TimerSlack is taken off every entitlement, on top of clock drift.
	TimerSlack clock.Micros
}

// Lock is the lock key as last seen.
type Lock struct {
	Exists  bool
	Holder  string
	LeaseID uint64
	Version uint64
}

// ActionKind is what is to be done.
type ActionKind uint8

const (
	// GrantLease: take a lease; answer with Granted or GrantFailed.
	GrantLease ActionKind = iota + 1
	// AcquireLock: create the lock with the lease, if absent; answer with Acquired.
	AcquireLock
	// RenewLease: renew the lease; answer with Renewed.
	RenewLease
	// RevokeLease: end the lease; no answer is needed.
	RevokeLease
	// RefreshLock: learn the lock anew; answer with Seen.
	RefreshLock
)

// Action is one thing to do.
type Action struct {
	Kind    ActionKind
	LeaseID uint64
}

// Phase is where a member stands.
type Phase uint8

const (
	// Follower waits for the lock to vanish.
	Follower Phase = iota
	// RequestingLease waits for a lease.
	RequestingLease
	// AcquiringLock waits for the lock.
	AcquiringLock
	// Leader holds the lock.
	Leader
)

// Elector is one member's state.
type Elector struct {
	cfg   Config
	phase Phase

	lock      Lock
	lockKnown bool // the lock has been seen at all

	leaseID         uint64
	token           uint64
	entitledUntil   clock.Micros // of the entitlement
	requestSentAt   clock.Micros // of the call in flight
	requestInFlight bool
	nextAttemptAt   clock.Micros
	revokeAt        clock.Micros
	backoffUntil    clock.Micros // do not stand before this instant
	revoked         map[uint64]bool
}

// New makes a follower.
func New(cfg Config) *Elector { return &Elector{cfg: cfg, revoked: map[uint64]bool{}} }

// Phase tells where the member stands.
func (elector *Elector) Phase() Phase { return elector.phase }

// Token is the fencing token, 0 unless leader.
func (elector *Elector) Token() uint64 {
	if elector.phase == Leader {
		return elector.token
	}
	return 0
}

// EntitledUntil is the end of the present entitlement, 0 unless leader.
func (elector *Elector) EntitledUntil() clock.Micros {
	if elector.phase == Leader {
		return elector.entitledUntil
	}
	return 0
}

// IsEntitled tells whether the member may act at this instant.
func (elector *Elector) IsEntitled(now clock.Micros) bool {
	return elector.phase == Leader && now < elector.entitledUntil
}

// LockHolder is who holds the lock as far as is known.
func (elector *Elector) LockHolder() (string, uint64) {
	if elector.lockKnown && elector.lock.Exists {
		return elector.lock.Holder, elector.lock.Version
	}
	return "", 0
}

func (elector *Elector) entitlementEnd(sentAt clock.Micros) clock.Micros {
	return sentAt + elector.cfg.TTL - clock.StoreDrift(elector.cfg.TTL) - elector.cfg.TimerSlack
}

// ObserveLock takes the lock as the state service has it, with its revision order
// already sorted out by the caller.
func (elector *Elector) ObserveLock(now clock.Micros, lock Lock) []Action {
	elector.lock, elector.lockKnown = lock, true
	switch elector.phase {
	case Leader:
		if !lock.Exists || lock.Version != elector.token {
			return elector.becomeFollower(now)
		}
	case AcquiringLock:
		if lock.Exists && lock.Holder == elector.cfg.Member && lock.LeaseID == elector.leaseID && !elector.requestInFlight {
			// The answer to our transaction was lost, but it was carried out.
			return elector.becomeLeader(lock.Version)
		}
		if lock.Exists && lock.LeaseID != elector.leaseID && !elector.requestInFlight {
			return elector.becomeFollower(now)
		}
	}
	return elector.revokeEarlierLease(now, lock)
}

// revokeEarlierLease ends the lease of an earlier life of this member. That process is
// dead: the platform runs one process of a member at a time.
func (elector *Elector) revokeEarlierLease(now clock.Micros, lock Lock) []Action {
	if lock.Exists && lock.Holder == elector.cfg.Member && lock.LeaseID != 0 && lock.LeaseID != elector.leaseID && !elector.revoked[lock.LeaseID] {
		elector.revoked[lock.LeaseID] = true
		elector.revokeAt = now + elector.cfg.TTL
		return []Action{{Kind: RevokeLease, LeaseID: lock.LeaseID}, {Kind: RefreshLock}}
	}
	return nil
}

// Tick lets time act.
func (elector *Elector) Tick(now clock.Micros) []Action {
	switch elector.phase {
	case Follower:
		if elector.lockKnown && !elector.lock.Exists && now >= elector.backoffUntil && now >= elector.nextAttemptAt && !elector.requestInFlight {
			elector.phase = RequestingLease
			elector.requestInFlight = true
			elector.requestSentAt = now
			return []Action{{Kind: GrantLease}}
		}
		if elector.lockKnown && elector.lock.Exists && now >= elector.revokeAt {
			// A revocation may have failed: look again, and bury again. This has
			// a time of its own: once it held back the candidacy too, and a free
			// lock found no taker for a whole lock time.
			elector.revokeAt = now + elector.cfg.TTL
			clear(elector.revoked)
			return elector.revokeEarlierLease(now, elector.lock)
		}
	case AcquiringLock:
		if !elector.requestInFlight && now >= elector.nextAttemptAt {
			elector.nextAttemptAt = now + elector.cfg.TTL/8
			if now >= elector.entitledUntil {
				return elector.becomeFollower(now)
			}
			return []Action{{Kind: RefreshLock}}
		}
	case Leader:
		// An entitlement that ran out is not the end: in an outage of the state
		// service the lock survives, and renewing it gives the time back.
		if !elector.requestInFlight && now >= elector.nextAttemptAt {
			elector.requestInFlight = true
			elector.requestSentAt = now
			return []Action{{Kind: RenewLease, LeaseID: elector.leaseID}}
		}
	}
	return nil
}

// HandleGrantResult takes the answer to Grant; lease 0 means that it failed.
func (elector *Elector) HandleGrantResult(now clock.Micros, leaseID uint64) []Action {
	if elector.phase != RequestingLease {
		if leaseID != 0 {
			return []Action{{Kind: RevokeLease, LeaseID: leaseID}}
		}
		return nil
	}
	elector.requestInFlight = false
	if leaseID == 0 {
		elector.phase = Follower
		elector.nextAttemptAt = now + elector.cfg.TTL/16
		return nil
	}
	elector.leaseID = leaseID
	elector.entitledUntil = elector.entitlementEnd(elector.requestSentAt)
	if elector.lock.Exists || now >= elector.entitledUntil {
		return elector.becomeFollower(now)
	}
	elector.phase = AcquiringLock
	elector.requestInFlight = true
	return []Action{{Kind: AcquireLock, LeaseID: leaseID}}
}

// AcquireResult is how an attempt to acquire the lock ended.
type AcquireResult uint8

const (
	// AcquireSucceeded: the lock is ours; its version is the token.
	AcquireSucceeded AcquireResult = iota
	// AcquireFailed: the lock exists already.
	AcquireFailed
	// AcquireUnknown: the transaction may have been, or may yet be, carried out.
	AcquireUnknown
)

// HandleAcquireResult takes the answer to Acquire.
func (elector *Elector) HandleAcquireResult(now clock.Micros, result AcquireResult, version uint64) []Action {
	if elector.phase != AcquiringLock {
		return nil
	}
	elector.requestInFlight = false
	switch result {
	case AcquireSucceeded:
		elector.lock = Lock{Exists: true, Holder: elector.cfg.Member, LeaseID: elector.leaseID, Version: version}
		return elector.becomeLeader(version)
	case AcquireFailed:
		return append(elector.becomeFollower(now), Action{Kind: RefreshLock})
	}
	elector.nextAttemptAt = now + elector.cfg.TTL/8
	return []Action{{Kind: RefreshLock}}
}

func (elector *Elector) becomeLeader(version uint64) []Action {
	elector.phase = Leader
	elector.token = version
	elector.requestInFlight = false
	elector.nextAttemptAt = elector.requestSentAt + elector.cfg.TTL/3
	return nil
}

// HandleRenewResult takes the answer to Renew: ok, or gone for good, or neither.
func (elector *Elector) HandleRenewResult(now clock.Micros, leaseID uint64, renewed, expired bool) []Action {
	if elector.phase != Leader || leaseID != elector.leaseID {
		return nil
	}
	elector.requestInFlight = false
	switch {
	case renewed:
		elector.entitledUntil = max(elector.entitledUntil, elector.entitlementEnd(elector.requestSentAt))
		elector.nextAttemptAt = elector.requestSentAt + elector.cfg.TTL/3
	case expired:
		return append(elector.becomeFollower(now), Action{Kind: RefreshLock})
	default:
		elector.nextAttemptAt = now + elector.cfg.TTL/12
	}
	return nil
}

// HandleFencedWrite takes the news that a write bound to the lock was refused.
func (elector *Elector) HandleFencedWrite(now clock.Micros, token uint64) []Action {
	if elector.phase != Leader || token != elector.token {
		return nil
	}
	return append(elector.becomeFollower(now), Action{Kind: RefreshLock})
}

// StepDown gives the lead away and does not stand again for a while.
func (elector *Elector) StepDown(now, backoff clock.Micros) []Action {
	elector.backoffUntil = now + backoff
	if elector.phase == Follower {
		return nil
	}
	return append(elector.becomeFollower(now), Action{Kind: RefreshLock})
}

// becomeFollower gives up what is held. The lease is revoked, which also removes a
// lock that a lost answer may have hidden from us.
func (elector *Elector) becomeFollower(now clock.Micros) []Action {
	var actions []Action
	if elector.leaseID != 0 {
		actions = append(actions, Action{Kind: RevokeLease, LeaseID: elector.leaseID})
		elector.revoked[elector.leaseID] = true
	}
	elector.phase = Follower
	elector.leaseID, elector.token, elector.entitledUntil = 0, 0, 0
	elector.requestInFlight = false
	elector.nextAttemptAt = now + elector.cfg.TTL/16
	return actions
}

// TTL is the lock's time.
func (elector *Elector) TTL() clock.Micros { return elector.cfg.TTL }

// State is what the member holds: its phase, its token, its lease.
func (elector *Elector) State() (Phase, uint64, uint64) {
	return elector.phase, elector.token, elector.leaseID
}
