package controller

import (
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/standby"
)

// Whether a member's replica may be used in a failover, and who should run for election first.

// trustedReplica is this member's copy of the allocation table of the last leader that sent
// starts, if the in-sync record and the term history prove it complete.
func (controller *Controller) trustedReplica() (*standby.Table, bool) {
	return controller.failover.replica.TrustedTable(controller.view.Standby, &controller.view.Terms, controller.cfg.Member)
}

// isForeignToken tells whether a token is certainly not that of the lock: the view is as new as
// the token and has the lock with another one.
func (controller *Controller) isForeignToken(token uint64) bool {
	return controller.view.Revision >= token && controller.view.Terms.LastToken() != token && controller.view.Lock.Exists
}

// yieldDelay is for how long a member whose replica can't be used lets another one try for the
// lock first: as long as a grant of a lease and a transaction take, with time to spare.
const yieldDelay = 300 * clock.Millisecond

// hasBetterCandidate tells whether another member that is up has a replica that may be trusted,
// and this one has not. It is a preference only: after yieldDelay this member runs as well.
func (controller *Controller) hasBetterCandidate(now clock.Micros) bool {
	if controller.failover.replica == nil || !controller.view.Terms.IsRecordFirstSince(controller.view.Standby.Token) {
		return false
	}
	if _, ok := controller.trustedReplica(); ok {
		return false
	}
	return slices.ContainsFunc(controller.view.Standby.Members, func(member standby.Member) bool { return controller.mayBeUp(member, now) })
}

// mayBeUp tells whether an in-sync member's process, in the incarnation that was in sync, has sent
// a heartbeat lately. A process that has just started can't know yet, and takes the other for up.
// Added after a member that had just restarted from a crash won the lock before the one with the
// trusted replica.
func (controller *Controller) mayBeUp(member standby.Member, now clock.Micros) bool {
	received := controller.members.heartbeats[member.Name]
	if received == nil {
		return now-controller.failover.processStartedAt < 2*leader.HeartbeatInterval
	}
	return received.Heartbeat.Incarnation == member.Incarnation && now-received.ReceivedAt < 2*leader.HeartbeatInterval
}

// acquireLockOrYield tries for the lock, after yieldDelay if there is a better candidate.
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
