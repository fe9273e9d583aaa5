// Package rateshare splits the rates of the key-value store and the cloud between the
// leader and the other members.
//
// The leader gets half of the store's rate of changes. With a backlog it takes what the
// others leave, as the watch shows: it brings every change, so those that this process did
// not write are theirs. Should they need their part again in the same moment, the store
// answers 429 to somebody, who retries.
package rateshare

import "firwood.dev/firwood/internal/clock"

const (
	// minLeaderShare is the leader's share of the store's rates, of requests and of changes;
	// of the rate of changes it may get more, up to maxLeaderShare.
	minLeaderShare, maxLeaderShare = 0.5, 0.85
	// leaderCloudShare is the leader's share of the cloud's rate: the others ask only for
	// machine types.
	leaderCloudShare = 0.8
	// adjustInterval is how often the leader's share of changes is adjusted.
	adjustInterval = clock.Second
	// BacklogThreshold is a duration: if the waiting writes will take longer than this at the
	// present rate, the leader has a backlog, and takes what the others leave.
	BacklogThreshold = clock.Second
	// othersHeadroom is what the others are left, as a multiple of what they use.
	othersHeadroom = 1.5
)

// Shares are a member's shares of the rates, from 0 to 1: of the store's requests and changes, and
// of the cloud's requests.
type Shares struct{ Store, Cloud float64 }

// LeaderShares returns the shares of a leader beside so many other members.
func LeaderShares(others int) Shares {
	if others == 0 {
		return Shares{Store: 1, Cloud: 1}
	}
	return Shares{Store: minLeaderShare, Cloud: leaderCloudShare}
}

// FollowerShares returns the shares of a member that doesn't lead, beside so many others.
func FollowerShares(others int) Shares {
	if others == 0 {
		return Shares{Store: 1, Cloud: 1}
	}
	return Shares{Store: (1 - minLeaderShare) / float64(others), Cloud: (1 - leaderCloudShare) / float64(others)}
}

// Adjuster adjusts the leader's share of changes to what the others use.
type Adjuster struct {
	lastAdjustedAt           clock.Micros
	observedChanges          int64 // changes that the watch has brought
	observedAtLastAdjustment int64 // of those, at the last adjustment
	writtenAtLastAdjustment  int64 // changes that this process had written by the last adjustment
	share                    float64
}

// ObserveChanges counts changes that the watch has brought.
func (adjuster *Adjuster) ObserveChanges(count int) { adjuster.observedChanges += int64(count) }

// BeginTerm starts with the share of a new leader.
func (adjuster *Adjuster) BeginTerm() { adjuster.share = minLeaderShare }

// Load is what the leader's writes look like at an adjustment.
type Load struct {
	Written          int64        // changes that this process has written since its start
	Backlog          clock.Micros // how long the waiting writes will take
	ChangesPerSecond float64      // the store's limit for all members
}

// Adjust works out the leader's share of changes anew, once per adjustInterval at most, and returns
// it and whether it has changed.
func (adjuster *Adjuster) Adjust(now clock.Micros, load Load) (share float64, hasChanged bool) {
	elapsed := now - adjuster.lastAdjustedAt
	if elapsed < adjustInterval {
		return adjuster.share, false
	}
	previousShare := adjuster.share
	observed, written := adjuster.observedChanges-adjuster.observedAtLastAdjustment, load.Written-adjuster.writtenAtLastAdjustment
	// The watch may lag behind this process's own writes, so the difference may be negative.
	usedByOthers := max(float64(observed-written)/elapsed.Seconds(), 0)
	adjuster.lastAdjustedAt, adjuster.observedAtLastAdjustment, adjuster.writtenAtLastAdjustment = now, adjuster.observedChanges, load.Written
	adjuster.share = minLeaderShare
	if load.Backlog > BacklogThreshold {
		leftByOthers := 1 - othersHeadroom*usedByOthers/load.ChangesPerSecond
		adjuster.share = min(max(leftByOthers, minLeaderShare), maxLeaderShare)
	}
	return adjuster.share, adjuster.share != previousShare
}
