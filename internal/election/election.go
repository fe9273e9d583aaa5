// Package election implements leader election as a deterministic state machine: times and
// responses of the key-value store come in, requests to be sent come out. The lock is one key,
// attached to a lease; the revision of the transaction that created it is the fencing token.
//
// Invariant: at no instant are two members entitled to act as leader. A member is entitled until
// the send time of its last successful grant or renewal, plus the lease's TTL, less allowances
// for clock drift and late timers. The store ends the lease no earlier than that (PROTOCOL, "POST
// /grants": late perhaps, but never early), and no other member can create the key before the
// lease has ended. docs/design.md, "Leadership", has the rest of the argument.
package election

import "firwood.dev/firwood/internal/clock"

// Config holds the member's name and the times of the election.
type Config struct {
	// Member is the name of this controller, as other members see it in the lock.
	Member string
	// TTL is the time to live of the lock's lease.
	TTL clock.Micros
	// TimerSlack is taken off every entitlement, in addition to clock drift, since timers fire
	// late.
	TimerSlack clock.Micros
}

// Lock is the lock key as last observed.
type Lock struct {
	// Exists tells whether somebody has the lock; the other fields are zero if not.
	Exists bool
	// Holder is the member that has created the key.
	Holder string
	// LeaseID is the lease that the key is attached to.
	LeaseID uint64
	// Version is the key's version: the fencing token of the holder.
	Version uint64
}

// ActionKind is the kind of request that the caller has to send.
type ActionKind uint8

const (
	// GrantLease requests a new lease; HandleGrantResult takes the response.
	GrantLease ActionKind = iota + 1
	// AcquireLock creates the lock key with the lease, if the key is absent; HandleAcquireResult
	// takes the response.
	AcquireLock
	// RenewLease renews the lease; HandleRenewResult takes the response.
	RenewLease
	// RevokeLease ends the lease; no response is needed.
	RevokeLease
	// RefreshLock reads the lock key; ObserveLock takes what was read.
	RefreshLock
)

// Action is one request that the caller has to send.
type Action struct {
	// Kind says which request it is.
	Kind ActionKind
	// LeaseID is the lease that the request is about; 0 for GrantLease and RefreshLock.
	LeaseID uint64
}

// Phase is a member's role in the election.
type Phase uint8

const (
	// Follower observes the lock and campaigns when it is free.
	Follower Phase = iota
	// RequestingLease has asked for a lease.
	RequestingLease
	// AcquiringLock has a lease and tries to create the lock key.
	AcquiringLock
	// Leader owns the lock key.
	Leader
)

// Elector is one member's state in the election. It isn't safe for concurrent use.
type Elector struct {
	cfg   Config
	phase Phase

	lock      Lock
	lockKnown bool // the lock has been observed at all

	leaseID         uint64
	token           uint64
	entitledUntil   clock.Micros // end of the entitlement to act
	requestSentAt   clock.Micros // send time of the last grant or renewal
	requestInFlight bool
	nextAttemptAt   clock.Micros
	revokeAt        clock.Micros
	backoffUntil    clock.Micros // no campaign before this instant
	revoked         map[uint64]bool
}

// New returns a follower that has not observed the lock yet.
func New(cfg Config) *Elector { return &Elector{cfg: cfg, revoked: map[uint64]bool{}} }

// Phase returns the member's role.
func (elector *Elector) Phase() Phase { return elector.phase }

// Token returns the fencing token; 0 unless leader.
func (elector *Elector) Token() uint64 {
	if elector.phase == Leader {
		return elector.token
	}
	return 0
}

// EntitledUntil returns the end of the current entitlement to act; 0 unless leader.
func (elector *Elector) EntitledUntil() clock.Micros {
	if elector.phase == Leader {
		return elector.entitledUntil
	}
	return 0
}

// IsEntitled reports whether the member may act as leader now.
func (elector *Elector) IsEntitled(now clock.Micros) bool {
	return elector.phase == Leader && now < elector.entitledUntil
}

// LockHolder returns the last observed holder of the lock and its token; "" and 0 if there is
// none.
func (elector *Elector) LockHolder() (string, uint64) {
	if elector.lockKnown && elector.lock.Exists {
		return elector.lock.Holder, elector.lock.Version
	}
	return "", 0
}

// entitlementEnd is when the entitlement from a grant or renewal that was sent at sentAt ends.
func (elector *Elector) entitlementEnd(sentAt clock.Micros) clock.Micros {
	return sentAt + elector.cfg.TTL - clock.StoreDrift(elector.cfg.TTL) - elector.cfg.TimerSlack
}

// ObserveLock records the lock key as read from the store. The caller passes observations in the
// order of their revisions.
func (elector *Elector) ObserveLock(now clock.Micros, lock Lock) []Action {
	elector.lock, elector.lockKnown = lock, true
	switch elector.phase {
	case Leader:
		if !lock.Exists || lock.Version != elector.token {
			return elector.becomeFollower(now)
		}
	case AcquiringLock:
		if lock.Exists && lock.Holder == elector.cfg.Member && lock.LeaseID == elector.leaseID && !elector.requestInFlight {
			// The response to our transaction was lost, but it was committed.
			return elector.becomeLeader(lock.Version)
		}
		if lock.Exists && lock.LeaseID != elector.leaseID && !elector.requestInFlight {
			return elector.becomeFollower(now)
		}
	}
	return elector.revokeEarlierLease(now, lock)
}

// revokeEarlierLease revokes the lease of an earlier incarnation of this member, so that nobody
// has to wait for its TTL. That process has ended: the platform runs one process per member.
func (elector *Elector) revokeEarlierLease(now clock.Micros, lock Lock) []Action {
	if lock.Exists && lock.Holder == elector.cfg.Member && lock.LeaseID != 0 && lock.LeaseID != elector.leaseID && !elector.revoked[lock.LeaseID] {
		elector.revoked[lock.LeaseID] = true
		elector.revokeAt = now + elector.cfg.TTL
		return []Action{{Kind: RevokeLease, LeaseID: lock.LeaseID}, {Kind: RefreshLock}}
	}
	return nil
}

// Tick advances the time and returns the requests that are due.
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
			// The revocation may have failed, so it is repeated after a TTL. It has a timer
			// of its own, added after sharing nextAttemptAt had delayed the campaign for a
			// free lock by a whole TTL (docs/incidents/free-lock.md).
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
		// An expired entitlement doesn't end leadership: in an outage of the store
		// the lock survives, and a renewal restores the entitlement.
		if !elector.requestInFlight && now >= elector.nextAttemptAt {
			elector.requestInFlight = true
			elector.requestSentAt = now
			return []Action{{Kind: RenewLease, LeaseID: elector.leaseID}}
		}
	}
	return nil
}

// HandleGrantResult handles the response to GrantLease; lease 0 means that the request failed.
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

// AcquireResult is the outcome of an attempt to create the lock.
type AcquireResult uint8

const (
	// AcquireSucceeded: this member has the lock; the key's version is the fencing token.
	AcquireSucceeded AcquireResult = iota
	// AcquireFailed: another member has the lock, or the transaction can never be committed.
	AcquireFailed
	// AcquireUnknown: the transaction may have been committed, or may still be.
	AcquireUnknown
)

// HandleAcquireResult handles the response to AcquireLock; version is the key's, if it was
// created.
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

// HandleRenewResult handles the response to RenewLease: the lease was renewed, has expired, or
// (neither) the outcome is unknown.
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

// HandleFencedWrite handles a write that the store rejected because the lock was not this
// leader's any more.
func (elector *Elector) HandleFencedWrite(now clock.Micros, token uint64) []Action {
	if elector.phase != Leader || token != elector.token {
		return nil
	}
	return append(elector.becomeFollower(now), Action{Kind: RefreshLock})
}

// StepDown gives up leadership, and doesn't campaign again before the backoff has passed.
func (elector *Elector) StepDown(now, backoff clock.Micros) []Action {
	elector.backoffUntil = now + backoff
	if elector.phase == Follower {
		return nil
	}
	return append(elector.becomeFollower(now), Action{Kind: RefreshLock})
}

// becomeFollower gives up lease and leadership. Revoking the lease also deletes a lock key that
// was created by a transaction whose response was lost.
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

// TTL returns the time to live of the lock's lease.
func (elector *Elector) TTL() clock.Micros { return elector.cfg.TTL }

// State returns the role, the token and the lease; the latter two are 0 if there is none.
func (elector *Elector) State() (Phase, uint64, uint64) {
	return elector.phase, elector.token, elector.leaseID
}
