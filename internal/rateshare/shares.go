// Package rateshare splits the rates of the key-value store and the cloud between the leader and the
// other members.
//
// The leader gets half of the store's rate of changes. While it has a backlog, it also takes what the
// others leave unused. The watch delivers every change, so the changes that this process did not write
// are the others'. If the others need their part again at the same moment, the store answers 429 to one
// of the members, which then retries.
package rateshare

import "firwood.dev/firwood/internal/clock"

const (
	// minLeaderShare is the leader's share of the store's request rate, and its least share of the
	// rate of changes. maxLeaderShare is its greatest share of the rate of changes.
	minLeaderShare, maxLeaderShare = 0.5, 0.85
	// leaderCloudShare is the leader's share of the cloud's request rate. The others ask only for
	// machine types.
	leaderCloudShare = 0.8
	// adjustInterval is the least time between two adjustments of the leader's share of changes.
	adjustInterval = clock.Second
	// BacklogThreshold is how long the waiting writes have to take at the present rate for the leader
	// to count as having a backlog. It then takes what the others leave unused.
	BacklogThreshold = clock.Second
	// othersHeadroom is the rate of changes that is left to the others, as a multiple of the rate that
	// they use.
	othersHeadroom = 1.5
)

// Shares are a member's shares, from 0 to 1, of the store's rates of requests and changes, and of the
// cloud's rate of requests.
type Shares struct{ Store, Cloud float64 }

// LeaderShares returns the shares of the leader, given the number of other members.
func LeaderShares(others int) Shares {
	if others == 0 {
		return Shares{Store: 1, Cloud: 1}
	}
	return Shares{Store: minLeaderShare, Cloud: leaderCloudShare}
}

// FollowerShares returns the shares of a member that doesn't lead, given the number of other members.
func FollowerShares(others int) Shares {
	if others == 0 {
		return Shares{Store: 1, Cloud: 1}
	}
	return Shares{Store: (1 - minLeaderShare) / float64(others), Cloud: (1 - leaderCloudShare) / float64(others)}
}

// Adjuster adjusts the leader's share of the store's rate of changes to the rate that the others use.
type Adjuster struct {
	lastAdjustedAt           clock.Micros
	observedChanges          int64 // changes that the watch has delivered
	observedAtLastAdjustment int64 // observedChanges at the last adjustment
	writtenAtLastAdjustment  int64 // changes that this process had written by the last adjustment
	share                    float64
}

// ObserveChanges adds to the number of changes that the watch has delivered.
func (adjuster *Adjuster) ObserveChanges(count int) { adjuster.observedChanges += int64(count) }

// BeginTerm sets the share that a new leader starts with.
func (adjuster *Adjuster) BeginTerm() { adjuster.share = minLeaderShare }

// Load describes the leader's writes at an adjustment.
type Load struct {
	Written          int64        // changes that this process has written since its start
	Backlog          clock.Micros // how long the waiting writes will take at the present rate
	ChangesPerSecond float64      // the store's limit for all members together
}

// Adjust recomputes the leader's share of changes, at most once per adjustInterval. It returns the share
// and whether it has changed.
func (adjuster *Adjuster) Adjust(now clock.Micros, load Load) (share float64, hasChanged bool) {
	elapsed := now - adjuster.lastAdjustedAt
	if elapsed < adjustInterval {
		return adjuster.share, false
	}
	previousShare := adjuster.share
	observed, written := adjuster.observedChanges-adjuster.observedAtLastAdjustment, load.Written-adjuster.writtenAtLastAdjustment
	// The watch may lag behind this process's own writes, which makes the difference negative.
	usedByOthers := max(float64(observed-written)/elapsed.Seconds(), 0)
	adjuster.lastAdjustedAt, adjuster.observedAtLastAdjustment, adjuster.writtenAtLastAdjustment = now, adjuster.observedChanges, load.Written
	adjuster.share = minLeaderShare
	if load.Backlog > BacklogThreshold {
		leftByOthers := 1 - othersHeadroom*usedByOthers/load.ChangesPerSecond
		adjuster.share = min(max(leftByOthers, minLeaderShare), maxLeaderShare)
	}
	return adjuster.share, adjuster.share != previousShare
}
