package controller

import (
	"encoding/json"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/standby"
	"firwood.dev/firwood/wire"
)

// stream is the leader's side of what its followers copy; see package standby. It
// implements allocation.Replicator.
type stream struct {
	publisher  *standby.Publisher
	membership *standby.InSyncSet
}

// RecordStarted implements allocation.Replicator.
func (s *stream) RecordStarted(task string, attempt uint64, machine string) uint64 {
	return s.publisher.AppendDecision(standby.Decision{Kind: standby.Started, Placement: standby.Placement{Task: task, Attempt: attempt, Machine: machine}})
}

// RecordEnded implements allocation.Replicator.
func (s *stream) RecordEnded(task string, attempt uint64, machine string) {
	s.publisher.AppendDecision(standby.Decision{Kind: standby.Ended, Placement: standby.Placement{Task: task, Attempt: attempt, Machine: machine}})
}

// RecordUnconfirmed implements allocation.Replicator.
func (s *stream) RecordUnconfirmed(id string) {
	s.publisher.AppendDecision(standby.Decision{Kind: standby.Started, Placement: standby.UnconfirmedPlacement(id)})
}

// RecordResolved implements allocation.Replicator.
func (s *stream) RecordResolved(id string) {
	s.publisher.AppendDecision(standby.Decision{Kind: standby.Ended, Placement: standby.UnconfirmedPlacement(id)})
}

// MaySendStart implements allocation.Replicator.
func (s *stream) MaySendStart(number uint64) bool { return s.membership.MaySendStart(number) }

// standbyVersion is what this member tells others of the messages that it takes.
func (c *Core) standbyVersion() uint8 {
	if c.replica == nil {
		return 0
	}
	return peer.StandbyProtocolVersion
}

// seenStandby takes the durable record of those in step with a leader. One that can't be
// read names nobody.
func (c *Core) seenStandby(value []byte, version uint64) {
	v := &c.view
	v.standby, v.standbyVersion = standby.InSyncRecord{}, version
	if err := json.Unmarshal(value, &v.standby); err != nil {
		v.standby = standby.InSyncRecord{}
		c.malformed(keyStandby, err)
	}
	if c.replica != nil {
		c.replica.PruneEarlier(v.standby.Token)
	}
	if c.lead != nil && c.lead.standby != nil {
		c.lead.standby.membership.ObserveRecord(v.standby, version)
	}
}

// follow sets a new leader's account up so that others can follow it, and has it begin
// with what this member's replica of the last leader's account proves.
func (l *lead) follow(account *allocation.Config) {
	c := l.c
	if c.replica == nil {
		return
	}
	var others []string
	for _, o := range c.cfg.Peers {
		others = append(others, o.Member)
	}
	publisher := standby.NewPublisher(l.token, nil, others)
	l.standby = &stream{publisher, standby.NewInSyncSet(publisher, c.view.standby, c.view.standbyVersion, others, l.since)}
	account.Replicator = l.standby
	if copied, ok := c.trustedReplica(); ok && c.view.leads.LastToken() == l.token {
		account.MayHaveStarted = copied.MayBeRunning
	}
}

// trustedReplica is this member's copy of the last leader's account that sent starts, if
// it may be believed.
func (c *Core) trustedReplica() (*standby.Table, bool) {
	return c.replica.TrustedTable(c.view.standby, &c.view.leads, c.cfg.Member)
}

// heardStandby takes a message of the leader's stream, or a follower's answer to one.
func (c *Core) heardStandby(b *peer.Heartbeat) {
	switch {
	case c.replica == nil:
	case b.StandbyPosition != nil && c.lead != nil && c.lead.standby != nil:
		c.lead.standby.publisher.RecordPosition(b.Member, *b.StandbyPosition)
		c.lead.lg.RetryUnreplicatedStarts()
	case b.StandbyMessage != nil && !c.isLeading():
		c.answerStream(b.Member, b.StandbyMessage)
	}
}

// isLeading tells whether this member holds the lock: a replica that still followed the
// leader before would answer for what this member has already judged.
func (c *Core) isLeading() bool { return c.lead != nil || c.rebuilding }

func (c *Core) answerStream(from string, m *standby.Message) {
	before := c.replica.DropCounts()
	var position standby.Position
	if c.isForeign(m.Token) {
		position = c.replica.RejectForeignMessage()
	} else {
		position = c.replica.ApplyMessage(m)
	}
	if after := c.replica.DropCounts(); after != before {
		c.dropped("a message of the leader's stream was not taken", "from", from, "token", m.Token,
			"older", after.Stale, "gaps", after.OutOfOrder, "malformed", after.Malformed, "foreign", after.ForeignToken, "differing", after.DigestMismatch)
	}
	c.streamTo(from, &peer.Heartbeat{Member: c.cfg.Member, StandbyPosition: &position})
}

// isForeign tells whether a token is certainly not that of the lock: the view is as new as
// the token, and has another one, or none.
func (c *Core) isForeign(token uint64) bool {
	return c.view.rev >= token && c.view.leads.LastToken() != token && c.view.lock.Exists
}

// streamTo sends a message of a stream to a member that takes such.
func (c *Core) streamTo(member string, b *peer.Heartbeat) {
	seen := c.beats[member]
	if seen == nil || seen.beat.StandbyProtocolVersion == 0 {
		return
	}
	for i, o := range c.cfg.Peers {
		if o.Member == member {
			c.links[i].SendStandby(peer.Encode(b))
		}
	}
}

// stream sends followers what they lack, and keeps the record of those in step.
func (l *lead) stream(now clock.Micros) {
	if l.standby == nil {
		return
	}
	for _, o := range l.c.cfg.Peers {
		if message, ok := l.standby.publisher.NextMessage(o.Member, now); ok {
			l.c.streamTo(o.Member, &peer.Heartbeat{Member: l.c.cfg.Member, StandbyMessage: message})
		}
	}
	l.writeStandby(now)
}

// writeStandby makes a change of those in step durable.
func (l *lead) writeStandby(now clock.Micros) {
	membership := l.standby.membership
	record, version, ok := membership.BeginWrite(now)
	if !ok {
		return
	}
	value, err := json.Marshal(record)
	if err != nil {
		membership.RejectWrite()
		return
	}
	w := &kvstore.Write{
		Priority:   kvstore.Critical,
		Conditions: []wire.Condition{{Key: keyStandby, Version: version}},
		Changes:    []wire.Change{{PutKey: keyStandby, Value: value}},
	}
	l.writeRev(w, func(outcome kvstore.Outcome, revision uint64) {
		switch outcome {
		case kvstore.Committed:
			membership.ConfirmWrite(revision)
			l.c.log.Debug("members in step", "token", record.Token, "members", record.Members)
		case kvstore.Unknown:
			membership.MarkWriteUnresolved()
		default:
			// After a conflict the view tells what is there.
			membership.RejectWrite()
			l.c.view.wantSync(func(error) {}, clock.Now()+2*clock.Second)
		}
		l.lg.RetryUnreplicatedStarts()
	})
}

// doubts counts tasks that may be anywhere.
func (l *lead) doubts() int {
	doubts := 0
	for _, j := range l.lg.Jobs {
		doubts += j.UnconfirmedCount()
	}
	return doubts
}
