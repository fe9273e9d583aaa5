package controller

import (
	"encoding/json"
	"fmt"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/standby"
	"firwood.dev/firwood/internal/tracing"
)

// StandbyStatus says who stands by, as one controller knows it.
type StandbyStatus struct {
	Member  string `json:"member"`
	Leader  string `json:"leader"`
	Enabled bool   `json:"enabled"`
	// Replica is this controller's copy of the leader's account, if it follows one.
	Replica *ReplicaStatus `json:"replica,omitempty"`
	// Followers are the others, if this controller leads.
	Followers []FollowerStatus `json:"followers,omitempty"`
	// TakeOver is the last one of this controller.
	TakeOver *TakeOverStatus `json:"take_over,omitempty"`
}

// ReplicaStatus is where a copy stands.
type ReplicaStatus struct {
	Token      uint64 `json:"token"`
	Complete   bool   `json:"complete"`
	Decisions  uint64 `json:"decisions"`
	Placements int    `json:"placements"`
	// Doubts are the placements of which the leader does not know where they are.
	Doubts int    `json:"doubts"`
	Digest string `json:"digest"`
	// Dropped are messages that were not taken, by reason.
	Dropped standby.DropCounts `json:"dropped"`
}

// FollowerStatus is how far behind a follower is.
type FollowerStatus struct {
	Member string `json:"member"`
	InStep bool   `json:"in_step"`
	// Lacks is how many decisions it lacks, all of them if it follows none, LacksMs since
	// when it has lacked something.
	Lacks   uint64 `json:"lacks_decisions"`
	LacksMs int64  `json:"lacks_ms"`
}

// TakeOverStatus are the parts of a take-over in milliseconds, from the last beat of the
// leader before.
type TakeOverStatus struct {
	Token       uint64 `json:"token"`
	ReplicaUsed bool   `json:"replica_used"`
	InDoubt     int    `json:"in_doubt"`
	LockMs      int64  `json:"lock_ms"`
	RebuildMs   int64  `json:"rebuild_ms"`
	DecisionMs  int64  `json:"first_decision_ms"`
}

// takeOverTimes are the instants of this member's last take-over.
type takeOverTimes struct {
	heard, won, rebuilt, decided clock.Micros
	token                        uint64
	isReplicaUsed                bool
	inDoubt                      int
}

func (t *takeOverTimes) status() *TakeOverStatus {
	if t.rebuilt == 0 {
		return nil
	}
	s := &TakeOverStatus{Token: t.token, ReplicaUsed: t.isReplicaUsed, InDoubt: t.inDoubt, RebuildMs: milliseconds(t.rebuilt - t.won)}
	if t.heard != 0 {
		s.LockMs = milliseconds(t.won - t.heard)
	}
	if t.decided != 0 {
		s.DecisionMs = milliseconds(t.decided - t.rebuilt)
	}
	return s
}

func (t *takeOverTimes) spans() []tracing.Span {
	began := t.heard
	if began == 0 {
		began = t.won
	}
	facts := map[string]string{"replica_used": fmt.Sprint(t.isReplicaUsed), "in_doubt": fmt.Sprint(t.inDoubt)}
	return []tracing.Span{
		{Name: "take-over", StartedAt: began, EndedAt: t.decided, Attributes: facts},
		{Name: "lock", StartedAt: began, EndedAt: t.won},
		{Name: "rebuild", StartedAt: t.won, EndedAt: t.rebuilt},
		{Name: "first decision", StartedAt: t.rebuilt, EndedAt: t.decided},
	}
}

func milliseconds(d clock.Micros) int64 { return int64(d / (clock.Second / 1000)) }

// watchFirstDecision notes when a new leader first places a task.
func (l *lead) watchFirstDecision(now clock.Micros) {
	t := &l.c.takeOverTimes
	if t.decided != 0 || !l.lg.HasIssuedAttempt() {
		return
	}
	t.decided = now
	s := t.status()
	l.c.log.Info("first decision after a take-over", "token", t.token, "lock_ms", s.LockMs, "rebuild_ms", s.RebuildMs,
		"first_decision_ms", s.DecisionMs, "replica_used", t.isReplicaUsed, "in_doubt", t.inDoubt)
	l.c.tracer.RecordFailover(t.token, t.spans())
}

// seenTakeOver writes what a follower saw of a take-over: for how long nobody was heard.
func (c *Core) seenTakeOver(token uint64) {
	if c.leaderHeard == 0 || c.isLeading() || c.el.Token() == token {
		return
	}
	c.tracer.RecordFailover(token, []tracing.Span{{Name: "no leader heard", StartedAt: c.leaderHeard, EndedAt: clock.Now()}})
}

// SendStandbyStatus implements server.App.
func (c *Core) SendStandbyStatus(r *server.Reply) { c.user(r, func() { c.tellStandby(r) }) }

func (c *Core) tellStandby(r *server.Reply) {
	now := clock.Now()
	s := StandbyStatus{Member: c.cfg.Member, Leader: c.leader(), Enabled: c.replica != nil, TakeOver: c.takeOverTimes.status()}
	switch {
	case c.replica == nil:
	case c.lead != nil:
		s.Leader = c.cfg.Member
		s.Followers = c.lead.followers(now)
	default:
		p, account := c.replica.Position(), c.replica.Table()
		s.Replica = &ReplicaStatus{
			Token: p.Token, Complete: p.IsComplete, Decisions: p.Sequence, Placements: account.Len(), Doubts: account.UnconfirmedCount(),
			Digest: fmt.Sprintf("%016x", account.Digest()), Dropped: c.replica.DropCounts(),
		}
	}
	body, err := json.Marshal(s)
	if err != nil {
		r.Send(500, server.ErrorBody(err.Error()), 0)
		return
	}
	r.Send(200, body, 0)
}

func (l *lead) followers(now clock.Micros) []FollowerStatus {
	var all []FollowerStatus
	inStep := map[string]bool{}
	for _, m := range l.standby.membership.InSyncMembers() {
		inStep[m.Name] = true
	}
	for _, o := range l.c.cfg.Peers {
		all = append(all, FollowerStatus{
			Member: o.Member, InStep: inStep[o.Member],
			Lacks: l.standby.publisher.LagCount(o.Member), LacksMs: milliseconds(l.standby.publisher.LagDuration(o.Member, now)),
		})
	}
	return all
}
