package controller

import (
	"math"
	"testing"

	"firwood.dev/firwood/internal/clock"
)

// A leader with a backlog takes what the others leave, and gives it back when they need
// it or the backlog is gone; without one it keeps to its half.
func TestLeaderTakesWhatOthersLeave(t *testing.T) {
	const perSecond = 30
	s := shareTracker{}
	now, written := clock.Second, int64(0)
	for i, c := range []struct {
		seen, own int64 // changes in a second: all, and the leader's
		backlog   clock.Micros
		share     float64
	}{
		{20, 15, 0, leaderShare},
		{15, 15, 5 * clock.Second, mostShare},
		{15, 16, 5 * clock.Second, mostShare}, // the watch lags
		{25, 19, 5 * clock.Second, 1 - othersMargin*6/perSecond},
		{30, 15, 5 * clock.Second, leaderShare},
		{15, 15, clock.Second / 2, leaderShare},
	} {
		now += clock.Second
		s.at = now - clock.Second
		s.seen += c.seen
		written += c.own
		if got := s.adjust(now, written, c.backlog, perSecond); math.Abs(got-c.share) > 1e-9 {
			t.Errorf("case %d: a part of %.2f, want %.2f", i, got, c.share)
		}
	}
}
