package rateshare

import (
	"math"
	"testing"

	"firwood.dev/firwood/internal/clock"
)

// A leader with a backlog takes the write rate that the others leave unused. It returns to its half when
// the others need their part or when the backlog is gone.
func TestLeaderUsesUnusedWriteRate(t *testing.T) {
	const perSecond = 30
	adjuster := Adjuster{}
	now, written := clock.Second, int64(0)
	for i, test := range []struct {
		observed, own int64 // changes per second: by all members, and by the leader
		backlog       clock.Micros
		wantShare     float64
	}{
		{20, 15, 0, minLeaderShare},
		{15, 15, 5 * clock.Second, maxLeaderShare},
		{15, 16, 5 * clock.Second, maxLeaderShare}, // the watch lags behind the leader's writes
		{25, 19, 5 * clock.Second, 1 - othersHeadroom*6/perSecond},
		{30, 15, 5 * clock.Second, minLeaderShare},
		{15, 15, clock.Second / 2, minLeaderShare},
	} {
		now += clock.Second
		adjuster.lastAdjustedAt = now - clock.Second
		adjuster.observedChanges += test.observed
		written += test.own
		if got, _ := adjuster.Adjust(now, Load{Written: written, Backlog: test.backlog, ChangesPerSecond: perSecond}); math.Abs(got-test.wantShare) > 1e-9 {
			t.Errorf("case %d: Adjust() share = %.2f, want %.2f", i, got, test.wantShare)
		}
	}
}

// Adjust changes the share at most once per interval, and reports a change only if the share differs.
func TestShareIsAdjustedOncePerInterval(t *testing.T) {
	adjuster := Adjuster{}
	adjuster.BeginTerm()
	busy := Load{Backlog: 5 * clock.Second, ChangesPerSecond: 30}
	for i, test := range []struct {
		now        clock.Micros
		load       Load
		share      float64
		hasChanged bool
	}{
		{10 * clock.Second, Load{ChangesPerSecond: 30}, minLeaderShare, false},
		{10*clock.Second + adjustInterval/2, busy, minLeaderShare, false},
		{11 * clock.Second, busy, maxLeaderShare, true},
		{12 * clock.Second, busy, maxLeaderShare, false},
	} {
		if share, hasChanged := adjuster.Adjust(test.now, test.load); share != test.share || hasChanged != test.hasChanged {
			t.Errorf("case %d: Adjust() = %.2f, %t; want the share and hasChanged of the case", i, share, hasChanged)
		}
	}
}

// The shares of all members add up to the whole rates, also for a member without others.
func TestSharesAddUpToOne(t *testing.T) {
	for others := range 5 {
		leader, follower := LeaderShares(others), FollowerShares(others)
		store := leader.Store + float64(others)*follower.Store
		cloud := leader.Cloud + float64(others)*follower.Cloud
		if math.Abs(store-1) > 1e-9 || math.Abs(cloud-1) > 1e-9 {
			t.Errorf("%d other members: sum of shares = %.2f of the store, %.2f of the cloud, want 1", others, store, cloud)
		}
	}
}
