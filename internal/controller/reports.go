package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// HandleHeartbeat implements server.App.
func (c *Core) HandleHeartbeat(rep *wire.Heartbeat, r *server.Reply) {
	if !c.q.post(rankReport, func() { c.checkin(rep, r) }) {
		later(r, "overloaded")
	}
}

// answerAsDelegate keeps the lease of a worker alive that cannot reach the leader any
// more than this member can. It is held here for one report at a time: after each
// answer it is sent on, so a worker that does reach the leader is not kept from it.
// The answer comes first: a worker that was sent on first had tried a leader out of
// reach for four seconds, came here, tried it again, and was back after its lease.
func (c *Core) answerAsDelegate(rep *wire.Heartbeat, r *server.Reply, now clock.Micros) bool {
	if c.lead != nil {
		c.delegate.EndTerm(c.lead.lg.IssuedToken(), c.lead.knewAt)
	}
	if !c.view.loaded || c.promised(rep.Zone) {
		return false
	}
	token, until, ok := c.delegate.MayAnswer(now, rep.FencingToken)
	if _, newest := c.el.LockHolder(); !ok || newest > token {
		return false
	}
	w := &c.cfg.Deployment.Workers
	at, held := c.held[rep.MachineID]
	// While it is on its way its lease is not renewed: shortly before the right ends
	// it is kept.
	if held && now-at <= clock.FromSeconds(w.LeaseSeconds) && until-now > clock.FromSeconds(2*w.HeartbeatIntervalSeconds)+4*clock.Second {
		delete(c.held, rep.MachineID)
		return false
	}
	body, err := wire.HeartbeatResponse{FencingToken: token, Commands: []wire.Command{}}.MarshalJSON()
	if err != nil {
		return false
	}
	c.held[rep.MachineID] = now
	// The answer goes out soon, or not at all.
	until = min(until, now+clock.Second)
	c.delegate.RecordAnswer(until)
	if c.lead != nil {
		// It may yet renew its lock and go on, and must then count with this.
		if m := c.lead.lg.Machines[rep.MachineID]; m != nil {
			c.lead.lg.RecordLeaseRenewal(m, until)
		}
	}
	r.SendBefore(200, body, 0, until)
	return true
}

const (
	// namedFor is for how long after its last beat a leader is named to workers, and
	// lockNamedFor for how long after the state service last answered its holder is.
	namedFor     = 3 * beatEvery
	lockNamedFor = 12 * clock.Second
)

// leaderToName is who workers are sent to, empty if nobody is known well enough. A member
// that hears neither the leader nor the state service names nobody: once one sent its
// workers to a leader that was dead, whose next node in their lists it was itself, and they
// went back and forth between the two for minutes while another one led.
func (c *Core) leaderToName(now clock.Micros) string {
	leader := c.leader()
	if leader == c.cfg.Member {
		return ""
	}
	seen := c.beats[leader]
	isHeard := seen != nil && now-seen.at < namedFor
	if !isHeard && now-c.store.LastSuccessAt() >= lockNamedFor {
		return ""
	}
	return leader
}

func (c *Core) checkin(rep *wire.Heartbeat, r *server.Reply) {
	c.workers[rep.MachineID] = clock.Now()
	if c.lead != nil && c.entitled() {
		c.lead.checkin(rep, r)
		return
	}
	if c.answerAsDelegate(rep, r, clock.Now()) {
		return
	}
	e := wire.Redirect{Member: c.leaderToName(clock.Now())}
	body, err := e.MarshalJSON()
	if err != nil {
		body = []byte("{}")
	}
	r.Send(421, body, 0)
}
