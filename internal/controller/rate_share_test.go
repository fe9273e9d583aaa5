package controller

import (
	"math"
	"testing"

	"firwood.dev/firwood/internal/clock"
)

// A leader with a backlog takes what the others leave, and gives it back when they need
// it or the backlog is gone; without one it keeps to its half.
func TestLeaderUsesUnusedWriteRate(t *testing.T) {
	const perSecond = 30
	shares := rateShares{}
	now, written := clock.Second, int64(0)
	for i, test := range []struct {
		seen, own int64 // changes in a second: all, and the leader's
		backlog   clock.Micros
		share     float64
	}{
		{20, 15, 0, minLeaderShare},
		{15, 15, 5 * clock.Second, maxLeaderShare},
		{15, 16, 5 * clock.Second, maxLeaderShare}, // the watch lags
		{25, 19, 5 * clock.Second, 1 - othersHeadroom*6/perSecond},
		{30, 15, 5 * clock.Second, minLeaderShare},
		{15, 15, clock.Second / 2, minLeaderShare},
	} {
		now += clock.Second
		shares.adjustedAt = now - clock.Second
		shares.observedChanges += test.seen
		written += test.own
		if got := shares.adjust(now, written, test.backlog, perSecond); math.Abs(got-test.share) > 1e-9 {
			t.Errorf("case %d: a part of %.2f, want %.2f", i, got, test.share)
		}
	}
}
