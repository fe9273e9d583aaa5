package controller

import (
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/standby"
)

// This file decides whether a member's replica may be used in a failover, and which member should try
// to acquire the lock first.

// trustedReplica returns this member's replica of the allocation table of the last leader that sent
// starts. The result is false unless the in-sync record and the term history prove that the replica is
// complete.
func (controller *Controller) trustedReplica() (*standby.Table, bool) {
	return controller.failover.replica.TrustedTable(controller.view.Standby, &controller.view.Terms, controller.cfg.Member)
}

// isForeignToken reports whether a token is certainly not the token of the lock: the lock exists, the
// view has reached the token's revision, and the newest term in the view has another token.
func (controller *Controller) isForeignToken(token uint64) bool {
	return controller.view.Revision >= token && controller.view.Terms.LastToken() != token && controller.view.Lock.Exists
}

// yieldDelay is how long a member without a usable replica lets another member try for the lock first.
// It covers a lease grant and a transaction, with a margin.
const yieldDelay = 300 * clock.Millisecond

// hasBetterCandidate reports whether another member that may be up has a replica that may be trusted,
// while this member has none. This is only a preference: after yieldDelay this member tries as well.
func (controller *Controller) hasBetterCandidate(now clock.Micros) bool {
	if controller.failover.replica == nil || !controller.view.Terms.IsRecordFirstSince(controller.view.Standby.Token) {
		return false
	}
	if _, ok := controller.trustedReplica(); ok {
		return false
	}
	return slices.ContainsFunc(controller.view.Standby.Members, func(member standby.Member) bool { return controller.mayBeUp(member, now) })
}

// mayBeUp reports whether an in-sync member's process has recently sent a heartbeat, in the same
// incarnation that was in sync. A process that has just started can't know this yet, and assumes that
// the other member is up. Otherwise a member that has just restarted after a crash can win the lock
// before the member with the trusted replica, as has happened.
func (controller *Controller) mayBeUp(member standby.Member, now clock.Micros) bool {
	received := controller.members.heartbeats[member.Name]
	if received == nil {
		return now-controller.failover.processStartedAt < 2*leader.HeartbeatInterval
	}
	return received.Heartbeat.Incarnation == member.Incarnation && now-received.ReceivedAt < 2*leader.HeartbeatInterval
}

// acquireLockOrYield tries to acquire the lock, after yieldDelay if there is a better candidate.
func (controller *Controller) acquireLockOrYield(lease uint64) {
	if !controller.hasBetterCandidate(clock.Now()) {
		controller.acquireLock(lease)
		return
	}
	controller.runAfter(yieldDelay, func() {
		switch {
		case controller.elector.LeaseID() != lease:
		case controller.view.Lock.Exists:
			controller.executeActions(controller.elector.HandleAcquireResult(clock.Now(), election.AcquireFailed, 0))
		default:
			controller.acquireLock(lease)
		}
	})
}
