package controller

import (
	"slices"
	"time"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/standby"
)

// giveWayFor is how long a member whose replica could not be used lets another one try for
// the lock first: a lease and a transaction, with time to spare.
const giveWayFor = 300 * clock.Millisecond

// givesWay tells whether another member that is up has a replica that the last leader
// vouched for, and this one has not. It is a preference: after giveWayFor this one tries.
func (c *Core) givesWay(now clock.Micros) bool {
	if c.replica == nil || !c.view.leads.IsRecordFirstSince(c.view.standby.Token) {
		return false
	}
	if _, ok := c.trustedReplica(); ok {
		return false
	}
	return slices.ContainsFunc(c.view.standby.Members, func(m standby.Member) bool { return c.mayBeUp(m, now) })
}

// mayBeUp tells whether a member was heard lately in one of its lives. One that has just
// begun its own has not had the time to hear anybody: once such a member, a moment after its
// crash, was quicker than the one that stood by.
func (c *Core) mayBeUp(m standby.Member, now clock.Micros) bool {
	seen := c.beats[m.Name]
	if seen == nil {
		return now-c.begunAt < 2*beatEvery
	}
	return seen.beat.Incarnation == m.Incarnation && now-seen.at < 2*beatEvery
}

// acquireInTurn tries for the lock, after others that stand better.
func (c *Core) acquireInTurn(lease uint64) {
	if !c.givesWay(clock.Now()) {
		c.acquire(lease)
		return
	}
	c.later(giveWayFor, func() {
		_, _, held := c.el.State()
		switch {
		case held != lease:
		case c.view.lock.Exists:
			c.act(c.el.HandleAcquireResult(clock.Now(), election.AcquireFailed, 0))
		default:
			c.acquire(lease)
		}
	})
}

// later runs f on the owner after a while.
func (c *Core) later(after clock.Micros, f func()) {
	time.AfterFunc(after.Duration(), func() { c.post(f) })
}
