package controller

import "firwood.dev/firwood/internal/clock"

// The leader's part of the state service's rate of changes is a half, as long as that
// does. When what work waits for piles up, it takes what the others leave: the watch
// shows every change, so it knows how many they make. Should they need their part again
// in the same moment, the service says 429 to somebody, who sends again.

const (
	// minLeaderShare is the leader's part of the rates at least, maxLeaderShare of the rate of
	// changes at most.
	minLeaderShare, maxLeaderShare = 0.5, 0.85
	// shareInterval is how often the part is worked out anew.
	shareInterval = clock.Second
	// backlogThreshold is from what backlog on the leader takes more than its part.
	backlogThreshold = clock.Second
	// othersHeadroom is what the others are left, as a multiple of what they use.
	othersHeadroom = 1.5
)

// rateShares knows how much of the rate of changes the others use.
type rateShares struct {
	adjustedAt      clock.Micros
	observedChanges int64 // changes that the watch has shown
	observedBefore  int64 // of those, at the last look
	ownWritesBefore int64 // this process's own, at the last look
	share           float64
}

// adjust works out the leader's part of a rate of so many changes a second.
func (shares *rateShares) adjust(now clock.Micros, written int64, backlog clock.Micros, perSecond float64) float64 {
	elapsed := (now - shares.adjustedAt).Seconds()
	others := max(float64(shares.observedChanges-shares.observedBefore-(written-shares.ownWritesBefore))/elapsed, 0)
	shares.adjustedAt, shares.observedBefore, shares.ownWritesBefore = now, shares.observedChanges, written
	shares.share = minLeaderShare
	if backlog > backlogThreshold {
		shares.share = min(max(1-othersHeadroom*others/perSecond, minLeaderShare), maxLeaderShare)
	}
	return shares.share
}

// adjustRateShare lets the leader use what the others leave of the rate of changes.
func (controller *Controller) adjustRateShare(now clock.Micros) {
	if now-controller.storeUse.shares.adjustedAt < shareInterval || len(controller.cfg.Peers) == 0 {
		return
	}
	before := controller.storeUse.shares.share
	share := controller.storeUse.shares.adjust(now, controller.store.ChangesWritten(), controller.store.BacklogDuration(), controller.cfg.Deployment.Store.Effective().WriteRPS)
	if share != before {
		controller.store.SetWriteRateShare(share)
	}
}
