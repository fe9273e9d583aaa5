package controller

import "firwood.dev/firwood/internal/clock"

// The leader's part of the state service's rate of changes is a half, as long as that
// does. When what work waits for piles up, it takes what the others leave: the watch
// shows every change, so it knows how many they make. Should they need their part again
// in the same moment, the service says 429 to somebody, who sends again.

const (
	// leaderShare is the leader's part of the rates at least, mostShare of the rate of
	// changes at most.
	leaderShare, mostShare = 0.5, 0.85
	// shareEvery is how often the part is worked out anew.
	shareEvery = clock.Second
	// backlogged is from what backlog on the leader takes more than its part.
	backlogged = clock.Second
	// othersMargin is what the others are left, as a multiple of what they use.
	othersMargin = 1.5
)

// shareTracker knows how much of the rate of changes the others use.
type shareTracker struct {
	at      clock.Micros
	seen    int64 // changes that the watch has shown
	seenAt  int64 // of those, at the last look
	written int64 // this process's own, at the last look
	share   float64
}

// adjust works out the leader's part of a rate of so many changes a second.
func (s *shareTracker) adjust(now clock.Micros, written int64, backlog clock.Micros, perSecond float64) float64 {
	took := (now - s.at).Seconds()
	others := max(float64(s.seen-s.seenAt-(written-s.written))/took, 0)
	s.at, s.seenAt, s.written = now, s.seen, written
	s.share = leaderShare
	if backlog > backlogged {
		s.share = min(max(1-othersMargin*others/perSecond, leaderShare), mostShare)
	}
	return s.share
}

// adjustShare lets the leader use what the others leave of the rate of changes.
func (c *Core) adjustShare(now clock.Micros) {
	if now-c.shares.at < shareEvery || len(c.cfg.Peers) == 0 {
		return
	}
	before := c.shares.share
	share := c.shares.adjust(now, c.store.ChangesWritten(), c.store.BacklogDuration(), c.cfg.Deployment.Store.Effective().WriteRPS)
	if share != before {
		c.store.SetWriteRateShare(share)
	}
}
