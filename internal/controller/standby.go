package controller

import (
	"encoding/json"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/standby"
	"firwood.dev/firwood/wire"
)

// decisionStream is the leader's side of what its followers copy; see package standby. It
// implements allocation.Replicator.
type decisionStream struct {
	publisher  *standby.Publisher
	membership *standby.InSyncSet
}

// RecordStarted implements allocation.Replicator.
func (decisions *decisionStream) RecordStarted(task string, attempt uint64, machine string) uint64 {
	return decisions.publisher.AppendDecision(standby.Decision{Kind: standby.Started, Placement: standby.Placement{Task: task, Attempt: attempt, Machine: machine}})
}

// RecordEnded implements allocation.Replicator.
func (decisions *decisionStream) RecordEnded(task string, attempt uint64, machine string) {
	decisions.publisher.AppendDecision(standby.Decision{Kind: standby.Ended, Placement: standby.Placement{Task: task, Attempt: attempt, Machine: machine}})
}

// RecordUnconfirmed implements allocation.Replicator.
func (decisions *decisionStream) RecordUnconfirmed(id string) {
	decisions.publisher.AppendDecision(standby.Decision{Kind: standby.Started, Placement: standby.UnconfirmedPlacement(id)})
}

// RecordResolved implements allocation.Replicator.
func (decisions *decisionStream) RecordResolved(id string) {
	decisions.publisher.AppendDecision(standby.Decision{Kind: standby.Ended, Placement: standby.UnconfirmedPlacement(id)})
}

// MaySendStart implements allocation.Replicator.
func (decisions *decisionStream) MaySendStart(number uint64) bool {
	return decisions.membership.MaySendStart(number)
}

// StandbyVersion is what this member tells others of the messages that it takes.
func (controller *Controller) standbyVersion() uint8 {
	if controller.failover.replica == nil {
		return 0
	}
	return peer.StandbyProtocolVersion
}

// applyStandbyRecord takes a newer record of in-sync members from the view.
func (controller *Controller) applyStandbyRecord(record standby.InSyncRecord, version uint64) {
	if controller.failover.replica != nil {
		controller.failover.replica.PruneEarlier(record.Token)
	}
	if controller.term != nil && controller.term.standby != nil {
		controller.term.standby.membership.ObserveRecord(record, version)
	}
}

// setUpStandby sets a new leader's account up so that others can follow it, and has it begin
// with what this member's replica of the last leader's account proves.
func (term *leaderTerm) setUpStandby(allocationConfig *allocation.Config) {
	controller := term.controller
	if controller.failover.replica == nil {
		return
	}
	var others []string
	for _, other := range controller.cfg.Peers {
		others = append(others, other.Member)
	}
	publisher := standby.NewPublisher(term.token, others)
	term.standby = &decisionStream{publisher, standby.NewInSyncSet(publisher, controller.view.Standby, controller.view.StandbyVersion, others, term.liveness.startedAt)}
	allocationConfig.Replicator = term.standby
	if copied, ok := controller.trustedReplica(); ok && controller.view.Terms.LastToken() == term.token {
		allocationConfig.MayHaveStarted = copied.MayBeRunning
	}
}

// trustedReplica is this member's copy of the last leader's account that sent starts, if
// it may be believed.
func (controller *Controller) trustedReplica() (*standby.Table, bool) {
	return controller.failover.replica.TrustedTable(controller.view.Standby, &controller.view.Terms, controller.cfg.Member)
}

// handleStandbyMessage takes a message of the leader's stream, or a follower's answer to one.
func (controller *Controller) handleStandbyMessage(heartbeat *peer.Heartbeat) {
	switch {
	case controller.failover.replica == nil:
	case heartbeat.StandbyPosition != nil && controller.term != nil && controller.term.standby != nil:
		controller.term.standby.publisher.RecordPosition(heartbeat.Member, *heartbeat.StandbyPosition)
		controller.term.tracker.RetryUnreplicatedStarts()
	case heartbeat.StandbyMessage != nil && !controller.isLeading():
		controller.applyStreamMessage(heartbeat.Member, heartbeat.StandbyMessage)
	}
}

// isLeading tells whether this member holds the lock: a replica that still followed the
// leader before would answer for what this member has already judged.
func (controller *Controller) isLeading() bool {
	return controller.term != nil || controller.failover.isRebuilding
}

func (controller *Controller) applyStreamMessage(from string, message *standby.Message) {
	before := controller.failover.replica.DropCounts()
	var position standby.Position
	if controller.isForeignToken(message.Token) {
		position = controller.failover.replica.RejectForeignMessage()
	} else {
		position = controller.failover.replica.ApplyMessage(message)
	}
	if after := controller.failover.replica.DropCounts(); after != before {
		controller.logDropped("a message of the leader's stream was not taken", "from", from, "token", message.Token,
			"older", after.Stale, "gaps", after.OutOfOrder, "malformed", after.Malformed, "foreign", after.ForeignToken, "differing", after.DigestMismatch)
	}
	controller.sendStreamMessage(from, &peer.Heartbeat{Member: controller.cfg.Member, StandbyPosition: &position})
}

// isForeignToken tells whether a token is certainly not that of the lock: the view is as new as
// the token, and has another one, or none.
func (controller *Controller) isForeignToken(token uint64) bool {
	return controller.view.Revision >= token && controller.view.Terms.LastToken() != token && controller.view.Lock.Exists
}

// sendStreamMessage sends a message of a stream to a member that takes such.
func (controller *Controller) sendStreamMessage(member string, heartbeat *peer.Heartbeat) {
	received := controller.members.heartbeats[member]
	if received == nil || received.heartbeat.StandbyProtocolVersion == 0 {
		return
	}
	for i, other := range controller.cfg.Peers {
		if other.Member == member {
			controller.members.links[i].SendStandby(peer.Encode(heartbeat))
		}
	}
}

// streamDecisions sends followers what they lack, and keeps the record of those in step.
func (term *leaderTerm) streamDecisions(now clock.Micros) {
	if term.standby == nil {
		return
	}
	for _, other := range term.controller.cfg.Peers {
		if message, ok := term.standby.publisher.NextMessage(other.Member, now); ok {
			term.controller.sendStreamMessage(other.Member, &peer.Heartbeat{Member: term.controller.cfg.Member, StandbyMessage: message})
		}
	}
	term.writeStandbyRecord(now)
}

// writeStandbyRecord makes a change of those in step durable.
func (term *leaderTerm) writeStandbyRecord(now clock.Micros) {
	membership := term.standby.membership
	record, version, ok := membership.BeginWrite(now)
	if !ok {
		return
	}
	value, err := json.Marshal(record)
	if err != nil {
		membership.RejectWrite()
		return
	}
	write := &kvstore.Write{
		Priority:   kvstore.Critical,
		Conditions: []wire.Condition{{Key: records.StandbyKey, Version: version}},
		Changes:    []wire.Change{{PutKey: records.StandbyKey, Value: value}},
	}
	syncView := term.afterSync(func() {}) // applyStandbyRecord takes what is there
	reject := func() {
		membership.RejectWrite()
		syncView()
	}
	term.commitHandled(write, outcomeHandlers{
		committed: func(revision uint64) {
			membership.ConfirmWrite(revision)
			term.controller.log.Debug("members in step", "token", record.Token, "members", record.Members)
		},
		conflict:    reject,
		notExecuted: reject,
		unknown:     membership.MarkWriteUnresolved,
		afterwards:  term.tracker.RetryUnreplicatedStarts,
	})
}

// unconfirmedCount counts tasks that may be anywhere.
func (term *leaderTerm) unconfirmedCount() int {
	count := 0
	for _, job := range term.tracker.Jobs {
		count += job.UnconfirmedCount()
	}
	return count
}
