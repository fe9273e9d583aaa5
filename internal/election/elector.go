// Package election implements leader election as a deterministic state machine. It performs no I/O: its
// callers pass in times and responses of the key-value store, and send the requests that it returns. The
// lock is one key that is attached to a lease. The revision of the transaction that created the key is
// the fencing token.
//
// Invariant: at no instant are two members entitled to act as leader. A member's entitlement ends at the
// send time of its last successful grant or renewal, plus the lease's TTL, less allowances for clock drift
// and late timers. The store never ends the lease earlier than that, although it may end it later
// (PROTOCOL, "POST /grants"), and no other member can create the key before the lease has ended. The rest
// of the proof is in docs/design.md, "Leadership".
package election

import "firwood.dev/firwood/internal/clock"

// Config holds the member's name and the durations that govern the election.
type Config struct {
	// Member is the name of this controller, as it appears to other members in the lock.
	Member string
	// TTL is the time to live of the lock's lease.
	TTL clock.Micros
	// TimerSlack is subtracted from every entitlement, in addition to clock drift, because timers may
	// fire late.
	TimerSlack clock.Micros
}

// Requests are sent at intervals of TTL / divisor.
const (
	// renewDivisor sets the renewal interval: a renewal is sent TTL/3 after the send time of the last
	// successful one.
	renewDivisor = 3
	// acquirePollDivisor sets the interval at which the lock is read, TTL/8, while the outcome of
	// AcquireLock is unknown.
	acquirePollDivisor = 8
	// renewRetryDivisor sets the delay, TTL/12, before a renewal with an unknown outcome is retried.
	renewRetryDivisor = 12
	// campaignRetryDivisor sets the minimum delay, TTL/16, between a failed campaign and the next one.
	campaignRetryDivisor = 16
)

// Elector is one member's state in the election. It isn't safe for concurrent use.
type Elector struct {
	cfg   Config
	phase Phase

	observed   observedLock
	own        ownership
	request    requestState
	revocation revocationState

	// backoffUntil is the instant before which the member does not campaign, as set by StepDown.
	backoffUntil clock.Micros
}

// Phase is a member's state in the election.
type Phase uint8

const (
	// Follower is the state of a member that observes the lock and campaigns when the lock is free.
	Follower Phase = iota
	// RequestingLease is the state of a member that has requested a lease.
	RequestingLease
	// AcquiringLock is the state of a member that has a lease and tries to create the lock key.
	AcquiringLock
	// Leader is the state of the member that owns the lock key.
	Leader
)

// String returns the name of the phase for logs and test failures.
func (phase Phase) String() string {
	switch phase {
	case Follower:
		return "follower"
	case RequestingLease:
		return "requesting_lease"
	case AcquiringLock:
		return "acquiring_lock"
	case Leader:
		return "leader"
	}
	return "unknown"
}

// ownership describes the member's own lease and lock; it is zero for a follower.
type ownership struct {
	leaseID       uint64
	token         uint64
	entitledUntil clock.Micros // end of the entitlement to act
}

// requestState describes the GrantLease, AcquireLock and RenewLease requests. At most one response to them
// is expected at a time.
type requestState struct {
	isInFlight    bool
	sentAt        clock.Micros // send time of the last grant or renewal
	nextAttemptAt clock.Micros // earliest time of the next campaign, poll or renewal
}

// revocationState describes the revocation of leases of this member's earlier incarnations.
type revocationState struct {
	retryAt clock.Micros
	revoked map[uint64]bool // leases for which a revocation was requested
}

// New returns a follower that has not observed the lock yet.
func New(cfg Config) *Elector {
	return &Elector{cfg: cfg, revocation: revocationState{revoked: map[uint64]bool{}}}
}

// Phase returns the member's phase.
func (elector *Elector) Phase() Phase { return elector.phase }

// TTL returns the time to live of the lock's lease.
func (elector *Elector) TTL() clock.Micros { return elector.cfg.TTL }

// LeaseID returns the member's own lease, or 0 if it has none.
func (elector *Elector) LeaseID() uint64 { return elector.own.leaseID }

// Token returns the fencing token, or 0 unless the member is leader.
func (elector *Elector) Token() uint64 {
	if elector.phase == Leader {
		return elector.own.token
	}
	return 0
}

// EntitledUntil returns the end of the current entitlement to act, or 0 unless the member is leader.
func (elector *Elector) EntitledUntil() clock.Micros {
	if elector.phase == Leader {
		return elector.own.entitledUntil
	}
	return 0
}

// IsEntitled reports whether the member may act as leader now.
func (elector *Elector) IsEntitled(now clock.Micros) bool {
	return elector.phase == Leader && now < elector.own.entitledUntil
}

// LockHolder returns the last observed holder of the lock and its fencing token, or "" and 0 if there is
// none.
func (elector *Elector) LockHolder() (member string, token uint64) {
	if !elector.observed.isHeld() {
		return "", 0
	}
	return elector.observed.Holder, elector.observed.Version
}

// entitlementEnd returns the end of the entitlement from a grant or renewal that was sent at sentAt.
func (elector *Elector) entitlementEnd(sentAt clock.Micros) clock.Micros {
	return sentAt + elector.cfg.TTL - clock.StoreDrift(elector.cfg.TTL) - elector.cfg.TimerSlack
}

// ObserveLock records the lock key as read from the store. The caller passes observations in the order
// of their revisions.
func (elector *Elector) ObserveLock(now clock.Micros, lock Lock) []Action {
	elector.observed = observedLock{Lock: lock, isKnown: true}
	switch {
	case elector.phase == Leader && (!lock.Exists || lock.Version != elector.own.token):
		return elector.becomeFollower(now)
	case elector.hasUnresolvedAcquisition() && elector.isOwnLock(lock):
		// The transaction was committed, but its response was lost.
		return elector.becomeLeader(lock.Version)
	case elector.hasUnresolvedAcquisition() && lock.Exists && lock.LeaseID != elector.own.leaseID:
		return elector.becomeFollower(now)
	}
	return elector.revokeEarlierLease(now, lock)
}

// hasUnresolvedAcquisition reports whether the outcome of AcquireLock is unknown and its response is no
// longer expected. Only the lock itself can then show the outcome.
func (elector *Elector) hasUnresolvedAcquisition() bool {
	return elector.phase == AcquiringLock && !elector.request.isInFlight
}

// isOwnLock reports whether this member created the lock with its current lease.
func (elector *Elector) isOwnLock(lock Lock) bool {
	return lock.Exists && lock.Holder == elector.cfg.Member && lock.LeaseID == elector.own.leaseID
}

// revokeEarlierLease revokes the lease of an earlier incarnation of this member, so that no member has to
// wait for the lease's TTL. That process has ended, since the platform runs one process per member.
func (elector *Elector) revokeEarlierLease(now clock.Micros, lock Lock) []Action {
	if !elector.isFromEarlierIncarnation(lock) || elector.revocation.revoked[lock.LeaseID] {
		return nil
	}
	elector.revocation.revoked[lock.LeaseID] = true
	elector.revocation.retryAt = now + elector.cfg.TTL
	return []Action{{Kind: RevokeLease, LeaseID: lock.LeaseID}, {Kind: RefreshLock}}
}

// isFromEarlierIncarnation reports whether an earlier process of this member created the lock.
func (elector *Elector) isFromEarlierIncarnation(lock Lock) bool {
	return lock.Exists && lock.Holder == elector.cfg.Member && lock.LeaseID != 0 && lock.LeaseID != elector.own.leaseID
}

// Tick advances the time to now and returns the requests that are due.
func (elector *Elector) Tick(now clock.Micros) []Action {
	switch elector.phase {
	case Follower:
		return elector.tickFollower(now)
	case AcquiringLock:
		return elector.tickAcquiring(now)
	case Leader:
		return elector.tickLeader(now)
	}
	return nil
}

// tickFollower campaigns for a free lock or retries the revocation of an earlier lease.
func (elector *Elector) tickFollower(now clock.Micros) []Action {
	switch {
	case elector.canCampaign(now):
		elector.phase = RequestingLease
		elector.request.isInFlight = true
		elector.request.sentAt = now
		return []Action{{Kind: GrantLease}}
	case elector.observed.isHeld() && now >= elector.revocation.retryAt:
		// The revocation may have failed, so it is retried after a TTL. It has a timer of its own:
		// when it shared nextAttemptAt, a retry delayed the campaign for a free lock by a whole TTL
		// (docs/incidents/free-lock.md).
		elector.revocation.retryAt = now + elector.cfg.TTL
		clear(elector.revocation.revoked)
		return elector.revokeEarlierLease(now, elector.observed.Lock)
	}
	return nil
}

// canCampaign reports whether a follower may campaign for the lock now.
func (elector *Elector) canCampaign(now clock.Micros) bool {
	return elector.observed.isFree() && now >= elector.backoffUntil && elector.isRequestDue(now)
}

// isRequestDue reports whether no request is in flight and the time of the next one has come.
func (elector *Elector) isRequestDue(now clock.Micros) bool {
	return !elector.request.isInFlight && now >= elector.request.nextAttemptAt
}

// tickAcquiring polls the lock while the outcome of AcquireLock is unknown, until the lease may have
// ended.
func (elector *Elector) tickAcquiring(now clock.Micros) []Action {
	if !elector.isRequestDue(now) {
		return nil
	}
	elector.request.nextAttemptAt = now + elector.cfg.TTL/acquirePollDivisor
	if now >= elector.own.entitledUntil {
		return elector.becomeFollower(now)
	}
	return []Action{{Kind: RefreshLock}}
}

// tickLeader renews the lease. Leadership outlasts an expired entitlement: during an outage of the store
// the lock persists, and a later renewal restores the entitlement.
func (elector *Elector) tickLeader(now clock.Micros) []Action {
	if !elector.isRequestDue(now) {
		return nil
	}
	elector.request.isInFlight = true
	elector.request.sentAt = now
	return []Action{{Kind: RenewLease, LeaseID: elector.own.leaseID}}
}
