package election

import "firwood.dev/firwood/internal/clock"

// HandleGrantResult handles the response to GrantLease. A leaseID of 0 means that the request failed.
func (elector *Elector) HandleGrantResult(now clock.Micros, leaseID uint64) []Action {
	if elector.phase != RequestingLease {
		return revokeUnusedLease(leaseID)
	}
	elector.request.isInFlight = false
	if leaseID == 0 {
		elector.phase = Follower
		elector.request.nextAttemptAt = now + elector.cfg.TTL/campaignRetryDivisor
		return nil
	}
	elector.own.leaseID = leaseID
	elector.own.entitledUntil = elector.entitlementEnd(elector.request.sentAt)
	if elector.observed.Exists || now >= elector.own.entitledUntil {
		return elector.becomeFollower(now)
	}
	elector.phase = AcquiringLock
	elector.request.isInFlight = true
	return []Action{{Kind: AcquireLock, LeaseID: leaseID}}
}

// revokeUnusedLease revokes a lease that was granted after the campaign for it had ended.
func revokeUnusedLease(leaseID uint64) []Action {
	if leaseID == 0 {
		return nil
	}
	return []Action{{Kind: RevokeLease, LeaseID: leaseID}}
}

// HandleAcquireResult handles the response to AcquireLock. version is the version of the lock key if the
// key was created.
func (elector *Elector) HandleAcquireResult(now clock.Micros, result AcquireResult, version uint64) []Action {
	if elector.phase != AcquiringLock {
		return nil
	}
	elector.request.isInFlight = false
	switch result {
	case AcquireSucceeded:
		lock := Lock{Exists: true, Holder: elector.cfg.Member, LeaseID: elector.own.leaseID, Version: version}
		elector.observed.Lock = lock
		return elector.becomeLeader(version)
	case AcquireFailed:
		return elector.becomeFollowerAndRefreshLock(now)
	}
	elector.request.nextAttemptAt = now + elector.cfg.TTL/acquirePollDivisor
	return []Action{{Kind: RefreshLock}}
}

// HandleRenewResult handles the response to RenewLease.
func (elector *Elector) HandleRenewResult(now clock.Micros, leaseID uint64, result RenewResult) []Action {
	if elector.phase != Leader || leaseID != elector.own.leaseID {
		return nil
	}
	elector.request.isInFlight = false
	switch result {
	case RenewSucceeded:
		elector.own.entitledUntil = max(elector.own.entitledUntil, elector.entitlementEnd(elector.request.sentAt))
		elector.scheduleRenewal()
	case RenewLeaseExpired:
		return elector.becomeFollowerAndRefreshLock(now)
	default:
		elector.request.nextAttemptAt = now + elector.cfg.TTL/renewRetryDivisor
	}
	return nil
}

// HandleStaleToken ends the leadership with the given fencing token, which has proven stale: the store
// rejected a write because the lock no longer belongs to this leader, or a worker reported a higher token.
func (elector *Elector) HandleStaleToken(now clock.Micros, token uint64) []Action {
	if elector.phase != Leader || token != elector.own.token {
		return nil
	}
	return elector.becomeFollowerAndRefreshLock(now)
}

// StepDown gives up leadership, and prevents a new campaign before the backoff has passed. The backoff has
// to be longer than the timeout of a request to the store. Results of GrantLease and AcquireLock do not
// say which campaign they belong to, so a late result would be mistaken for the result of the next campaign.
// The request of that campaign was sent later, so the late result would seem to entitle the member for longer
// than it does.
func (elector *Elector) StepDown(now, backoff clock.Micros) []Action {
	elector.backoffUntil = now + backoff
	if elector.phase == Follower {
		return nil
	}
	return elector.becomeFollowerAndRefreshLock(now)
}

// becomeLeader starts a leadership term with a fencing token.
func (elector *Elector) becomeLeader(token uint64) []Action {
	elector.phase = Leader
	elector.own.token = token
	elector.request.isInFlight = false
	elector.scheduleRenewal()
	return nil
}

// scheduleRenewal sets the time of the next renewal.
func (elector *Elector) scheduleRenewal() {
	elector.request.nextAttemptAt = elector.request.sentAt + elector.cfg.TTL/renewDivisor
}

// becomeFollower gives up the lease and leadership. Revoking the lease also deletes a lock key that was
// created by a transaction whose response was lost.
func (elector *Elector) becomeFollower(now clock.Micros) []Action {
	var actions []Action
	if elector.own.leaseID != 0 {
		actions = append(actions, Action{Kind: RevokeLease, LeaseID: elector.own.leaseID})
		elector.revocation.revoked[elector.own.leaseID] = true
	}
	elector.phase = Follower
	elector.own = ownership{}
	elector.request.isInFlight = false
	elector.request.nextAttemptAt = now + elector.cfg.TTL/campaignRetryDivisor
	return actions
}

// becomeFollowerAndRefreshLock does the same as becomeFollower and also reads the lock again, since the
// observed lock may be out of date.
func (elector *Elector) becomeFollowerAndRefreshLock(now clock.Micros) []Action {
	return append(elector.becomeFollower(now), Action{Kind: RefreshLock})
}
