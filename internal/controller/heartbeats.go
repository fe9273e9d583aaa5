package controller

import (
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/peer"
)

// HandlePeerHeartbeat implements server.App.
func (c *Core) HandlePeerHeartbeat(b *peer.Heartbeat) { c.q.post(rankReport, func() { c.heard(b) }) }

// judge decides whether users should be sent here. In an outage of the state
// service every node is refused, and leaving then would only cost time after
// it; a node that alone is refused leaves.
func (c *Core) judge(now clock.Micros) {
	bad := !c.view.loaded || len(c.types) == 0
	if !bad && c.store.LastFailureAt() > c.store.LastSuccessAt() && now-c.store.LastSuccessAt() > clock.Second {
		for _, b := range c.beats {
			if now-b.at < 2*clock.Second && b.beat.IsStoreReachable {
				bad = true
			}
		}
	}
	c.unfit.Store(bad)
}

// beatSeen is the last beat of another controller.
type beatSeen struct {
	beat *peer.Heartbeat
	at   clock.Micros
}

func (c *Core) heard(b *peer.Heartbeat) {
	known := slices.ContainsFunc(c.cfg.Peers, func(o config.Peer) bool { return o.Member == b.Member })
	if !known {
		return
	}
	if b.IsStandby() {
		c.heardStandby(b)
		return
	}
	now := clock.Now()
	last := c.beats[b.Member]
	if isBack := last == nil || last.beat.Incarnation != b.Incarnation || now-last.at >= silentMember; isBack && c.lead != nil {
		c.lead.tellAnew(now)
	}
	c.beats[b.Member] = &beatSeen{beat: b, at: now}
	c.toldWithdrawals(b.Cancellations)
	if s := c.stamps[b.Member]; b.Incarnation > s.Incarnation || b.Incarnation == s.Incarnation && b.Timestamp > s.At {
		c.stamps[b.Member] = delegation.Timestamp{Incarnation: b.Incarnation, At: b.Timestamp}
	}
	echo := delegation.Timestamp{Incarnation: b.AckIncarnation, At: b.AckTimestamp}
	if b.Leader == b.Member && c.lead == nil {
		c.leaderHeard = now
		c.learn(b, now)
		c.delegate.RecordLeaderHeartbeat(now, b.Token, echo)
	}
	if c.lead != nil && c.delegate.IsOwnStamp(echo) {
		c.lead.bound.RecordReceipt(b.Member, now, echo.At, b.SilentFor)
	}
	if b.Leader == b.Member && c.el.Phase() != election.Leader {
		if _, token := c.el.LockHolder(); b.Token >= token {
			c.counts.take(b, now, c.isOver)
		}
	}
}

// isOver tells whether a job is known to be over.
func (c *Core) isOver(job string) bool {
	rec := c.view.jobs[job]
	return rec != nil && rec.over()
}

// leader is who workers are sent to, as far as is known.
func (c *Core) leader() string {
	holder, token := c.el.LockHolder()
	for m, b := range c.beats {
		if b.beat.Leader == m && b.beat.Token > token && clock.Now()-b.at < 2*clock.Second {
			holder, token = m, b.beat.Token
		}
	}
	return holder
}

const beatEvery = 1 * clock.Second

// beat tells the other controllers how things are.
func (c *Core) beat(now clock.Micros) {
	if now < c.nextBeat {
		return
	}
	c.nextBeat = now + beatEvery
	if n := c.store.MalformedResponses.Load(); n > c.dropsTold {
		c.dropped("answers of the state service were dropped")
		c.dropsTold = n
	}
	c.judge(now)
	if c.lead == nil || c.store.IsFailing(now) {
		c.sendBeats(now)
		return
	}
	// What the stamps give is confirmed first: a beat that carries it at once makes
	// the rights of those who are cut off a second longer.
	c.lead.confirm(now, func() { c.sendBeats(clock.Now()) })
}

func (c *Core) sendBeats(now clock.Micros) {
	b := &peer.Heartbeat{
		Member:                 c.cfg.Member,
		StandbyProtocolVersion: c.standbyVersion(),
		IsStoreReachable:       c.store.LastSuccessAt() > c.store.LastFailureAt() && now-c.store.LastSuccessAt() < 12*clock.Second,
	}
	b.Leader, b.Token = c.el.LockHolder()
	for m, at := range c.workers {
		if now-at > c.silentAfter() {
			delete(c.workers, m)
		}
	}
	for m, at := range c.held {
		if now-at > clock.FromSeconds(c.cfg.Deployment.Workers.LeaseSeconds) {
			delete(c.held, m)
		}
	}
	b.WorkerCount = uint32(len(c.workers))
	c.tellAsked(now)
	if c.lead != nil {
		b.Leader, b.Token = c.cfg.Member, c.lead.lg.IssuedToken()
		c.lead.tellCounts(b)
		c.lead.tell(b)
	}
	s := c.delegate.Timestamp(now)
	b.Incarnation, b.Timestamp, b.SilentFor = s.Incarnation, s.At, c.delegate.SilentFor(now)
	b.StoreRevision = c.view.rev
	for i, l := range c.links {
		echo := c.stamps[c.cfg.Peers[i].Member]
		if c.lead != nil {
			echo = c.lead.echoes[c.cfg.Peers[i].Member]
		}
		b.AckIncarnation, b.AckTimestamp = echo.Incarnation, echo.At
		b.Cancellations = c.withdrawals.unknownTo(c.revisionOf(c.cfg.Peers[i].Member), now)
		l.SendHeartbeat(peer.Encode(b))
	}
}
