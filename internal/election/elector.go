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

// The intervals of requests are fractions of the TTL: TTL / divisor.
const (
	// renewDivisor: a renewal is sent TTL/3 after the last successful one was sent.
	renewDivisor = 3
	// acquirePollDivisor: the lock is read each TTL/8 while the outcome of AcquireLock is unknown.
	acquirePollDivisor = 8
	// renewRetryDivisor: a renewal whose outcome is unknown is repeated after TTL/12.
	renewRetryDivisor = 12
	// campaignRetryDivisor: a new campaign begins no earlier than TTL/16 after a failed one.
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

	// backoffUntil is the instant before which the member doesn't campaign after StepDown.
	backoffUntil clock.Micros
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

// String returns the role as logs and test failures show it.
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

// ownership is the member's own lease and what it has with it; all zero for a follower.
type ownership struct {
	leaseID       uint64
	token         uint64
	entitledUntil clock.Micros // end of the entitlement to act
}

// requestState is about the requests to the store that have responses.
type requestState struct {
	isInFlight    bool
	sentAt        clock.Micros // send time of the last grant or renewal
	nextAttemptAt clock.Micros // no campaign, poll or renewal before this instant
}

// revocationState is about leases of earlier incarnations of this member.
type revocationState struct {
	retryAt clock.Micros
	revoked map[uint64]bool // leases whose revocation was requested
}

// New returns a follower that has not observed the lock yet.
func New(cfg Config) *Elector {
	return &Elector{cfg: cfg, revocation: revocationState{revoked: map[uint64]bool{}}}
}

// Phase returns the member's role.
func (elector *Elector) Phase() Phase { return elector.phase }

// TTL returns the time to live of the lock's lease.
func (elector *Elector) TTL() clock.Micros { return elector.cfg.TTL }

// LeaseID returns the member's own lease; 0 if it has none.
func (elector *Elector) LeaseID() uint64 { return elector.own.leaseID }

// Token returns the fencing token; 0 unless leader.
func (elector *Elector) Token() uint64 {
	if elector.phase == Leader {
		return elector.own.token
	}
	return 0
}

// EntitledUntil returns the end of the current entitlement to act; 0 unless leader.
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

// LockHolder returns the last observed holder of the lock and its token; "" and 0 if there is
// none.
func (elector *Elector) LockHolder() (member string, token uint64) {
	if !elector.observed.isHeld() {
		return "", 0
	}
	return elector.observed.Holder, elector.observed.Version
}

// entitlementEnd is when the entitlement from a grant or renewal that was sent at sentAt ends.
func (elector *Elector) entitlementEnd(sentAt clock.Micros) clock.Micros {
	return sentAt + elector.cfg.TTL - clock.StoreDrift(elector.cfg.TTL) - elector.cfg.TimerSlack
}

// ObserveLock records the lock key as read from the store. The caller passes observations in the
// order of their revisions.
func (elector *Elector) ObserveLock(now clock.Micros, lock Lock) []Action {
	elector.observed = observedLock{Lock: lock, isKnown: true}
	switch {
	case elector.phase == Leader && (!lock.Exists || lock.Version != elector.own.token):
		return elector.becomeFollower(now)
	case elector.hasUnresolvedAcquisition() && elector.isOwnLock(lock):
		// The response to our transaction was lost, but it was committed.
		return elector.becomeLeader(lock.Version)
	case elector.hasUnresolvedAcquisition() && lock.Exists && lock.LeaseID != elector.own.leaseID:
		return elector.becomeFollower(now)
	}
	return elector.revokeEarlierLease(now, lock)
}

// hasUnresolvedAcquisition reports whether the outcome of AcquireLock is unknown and no response
// is awaited any more, so that only the lock itself can show it.
func (elector *Elector) hasUnresolvedAcquisition() bool {
	return elector.phase == AcquiringLock && !elector.request.isInFlight
}

// isOwnLock reports whether the lock was created by this member with its present lease.
func (elector *Elector) isOwnLock(lock Lock) bool {
	return lock.Exists && lock.Holder == elector.cfg.Member && lock.LeaseID == elector.own.leaseID
}

// revokeEarlierLease revokes the lease of an earlier incarnation of this member, so that nobody
// has to wait for its TTL. That process has ended: the platform runs one process per member.
func (elector *Elector) revokeEarlierLease(now clock.Micros, lock Lock) []Action {
	if !elector.isFromEarlierIncarnation(lock) || elector.revocation.revoked[lock.LeaseID] {
		return nil
	}
	elector.revocation.revoked[lock.LeaseID] = true
	elector.revocation.retryAt = now + elector.cfg.TTL
	return []Action{{Kind: RevokeLease, LeaseID: lock.LeaseID}, {Kind: RefreshLock}}
}

// isFromEarlierIncarnation reports whether another process of this member has created the lock.
func (elector *Elector) isFromEarlierIncarnation(lock Lock) bool {
	return lock.Exists && lock.Holder == elector.cfg.Member && lock.LeaseID != 0 && lock.LeaseID != elector.own.leaseID
}

// Tick advances the time and returns the requests that are due.
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

// tickFollower campaigns for a free lock, or repeats the revocation of an earlier lease.
func (elector *Elector) tickFollower(now clock.Micros) []Action {
	switch {
	case elector.canCampaign(now):
		elector.phase = RequestingLease
		elector.request.isInFlight = true
		elector.request.sentAt = now
		return []Action{{Kind: GrantLease}}
	case elector.observed.isHeld() && now >= elector.revocation.retryAt:
		// The revocation may have failed, so it is repeated after a TTL. It has a timer
		// of its own: it once shared nextAttemptAt, which delayed the campaign for a free
		// lock by a whole TTL (docs/incidents/free-lock.md).
		elector.revocation.retryAt = now + elector.cfg.TTL
		clear(elector.revocation.revoked)
		return elector.revokeEarlierLease(now, elector.observed.Lock)
	}
	return nil
}

// canCampaign reports whether a follower may try for the lock now.
func (elector *Elector) canCampaign(now clock.Micros) bool {
	return elector.observed.isFree() && now >= elector.backoffUntil && elector.isRequestDue(now)
}

// isRequestDue reports whether no response is awaited and the next request's time has come.
func (elector *Elector) isRequestDue(now clock.Micros) bool {
	return !elector.request.isInFlight && now >= elector.request.nextAttemptAt
}

// tickAcquiring polls the lock while the outcome of AcquireLock is unknown, until the lease may
// have ended.
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

// tickLeader renews the lease. An expired entitlement doesn't end leadership: in an outage of
// the store the lock survives, and a renewal restores the entitlement.
func (elector *Elector) tickLeader(now clock.Micros) []Action {
	if !elector.isRequestDue(now) {
		return nil
	}
	elector.request.isInFlight = true
	elector.request.sentAt = now
	return []Action{{Kind: RenewLease, LeaseID: elector.own.leaseID}}
}
