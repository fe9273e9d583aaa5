package controller

import (
	"slices"
	"time"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/standby"
)

// yieldDelay is how long a member whose replica could not be used lets another one try for
// the lock first: a lease and a transaction, with time to spare.
const yieldDelay = 300 * clock.Millisecond

// hasBetterCandidate tells whether another member that is up has a replica that the last leader
// vouched for, and this one has not. It is a preference: after yieldDelay this one tries.
func (controller *Controller) hasBetterCandidate(now clock.Micros) bool {
	if controller.failover.replica == nil || !controller.view.Terms.IsRecordFirstSince(controller.view.Standby.Token) {
		return false
	}
	if _, ok := controller.trustedReplica(); ok {
		return false
	}
	return slices.ContainsFunc(controller.view.Standby.Members, func(member standby.Member) bool { return controller.mayBeUp(member, now) })
}

// mayBeUp tells whether a member was heard lately in one of its lives. One that has just
// begun its own has not had the time to hear anybody: once such a member, a moment after its
// crash, was quicker than the one that stood by.
func (controller *Controller) mayBeUp(member standby.Member, now clock.Micros) bool {
	received := controller.members.heartbeats[member.Name]
	if received == nil {
		return now-controller.failover.processStartedAt < 2*heartbeatInterval
	}
	return received.heartbeat.Incarnation == member.Incarnation && now-received.receivedAt < 2*heartbeatInterval
}

// acquireLockInTurn tries for the lock, after others that stand better.
func (controller *Controller) acquireLockInTurn(lease uint64) {
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

// runAfter runs f on the owner after a while.
func (controller *Controller) runAfter(after clock.Micros, command func()) {
	time.AfterFunc(after.Duration(), func() { controller.postResult(command) })
}
