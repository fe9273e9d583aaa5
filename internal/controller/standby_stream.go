package controller

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/standby"
)

// decisionStream is the leader's side of the stream of decisions that replicas copy its
// allocation table from; see package standby. It implements allocation.Replicator.
type decisionStream struct {
	publisher *standby.Publisher
	// inSync is the set of members whose replicas are in step, with its durable record.
	inSync *standby.InSyncSet
}

// setUpStandby prepares the stream of a new leader's decisions, and has its allocation table
// begin with what this member's replica of the last leader's table proves.
func (term *leaderTerm) setUpStandby(allocationConfig *allocation.Config) {
	environment := term.environment
	if environment.Replica == nil {
		return
	}
	term.standby = newDecisionStream(term)
	allocationConfig.Replicator = term.standby
	view := environment.View
	if copied, ok := environment.Replica.TrustedTable(view.Standby, &view.Terms, environment.Config.Member); ok && view.Terms.LastToken() == term.token {
		allocationConfig.MayHaveStarted = copied.MayBeRunning
	}
}

func newDecisionStream(term *leaderTerm) *decisionStream {
	view := term.environment.View
	var others []string
	for _, other := range term.environment.Config.Peers {
		others = append(others, other.Member)
	}
	publisher := standby.NewPublisher(term.token, others)
	return &decisionStream{
		publisher: publisher,
		inSync:    standby.NewInSyncSet(publisher, view.Standby, view.StandbyVersion, others, term.liveness.startedAt),
	}
}

// RecordStarted appends an attempt that may begin from now on, and returns the decision's number.
func (decisions *decisionStream) RecordStarted(task string, attempt uint64, machine string) uint64 {
	placement := standby.Placement{Task: task, Attempt: attempt, Machine: machine}
	return decisions.publisher.AppendDecision(standby.Decision{Kind: standby.Started, Placement: placement})
}

// RecordEnded appends the end of an attempt, whose result, if it has one, is durable.
func (decisions *decisionStream) RecordEnded(task string, attempt uint64, machine string) {
	placement := standby.Placement{Task: task, Attempt: attempt, Machine: machine}
	decisions.publisher.AppendDecision(standby.Decision{Kind: standby.Ended, Placement: placement})
}

// RecordUnconfirmed appends that attempts of a task, or of a whole job, that an earlier leader
// started may run on any machine.
func (decisions *decisionStream) RecordUnconfirmed(id string) {
	decisions.publisher.AppendDecision(standby.Decision{Kind: standby.Started, Placement: standby.UnconfirmedPlacement(id)})
}

// RecordResolved appends that what RecordUnconfirmed has appended is resolved.
func (decisions *decisionStream) RecordResolved(id string) {
	decisions.publisher.AppendDecision(standby.Decision{Kind: standby.Ended, Placement: standby.UnconfirmedPlacement(id)})
}

// MaySendStart tells whether the start with a decision's number may be sent.
func (decisions *decisionStream) MaySendStart(number uint64) bool {
	return decisions.inSync.MaySendStart(number)
}

// standbyVersion is the version of the stream's messages that this member takes, 0 for none.
func (controller *Controller) standbyVersion() uint8 {
	if controller.failover.replica == nil {
		return 0
	}
	return peer.StandbyProtocolVersion
}

// handleStandbyMessage takes a message of the leader's stream, or a replica's answer to one.
func (controller *Controller) handleStandbyMessage(heartbeat *peer.Heartbeat) {
	switch {
	case controller.failover.replica == nil:
	case heartbeat.StandbyPosition != nil && controller.term != nil:
		controller.term.RecordReplicaPosition(heartbeat.Member, *heartbeat.StandbyPosition)
	case heartbeat.StandbyMessage != nil && !controller.isLeading():
		controller.applyStreamMessage(heartbeat.Member, heartbeat.StandbyMessage)
	}
}

// isLeading tells whether this member holds the lock. Its replica doesn't take messages of the
// leader before any more: it would acknowledge decisions that this member's rebuilt allocation
// table doesn't have.
func (controller *Controller) isLeading() bool {
	return controller.term != nil || controller.failover.isRebuilding
}

// applyStreamMessage applies a message of the leader's stream to the replica, and answers with
// the position that the replica has reached.
func (controller *Controller) applyStreamMessage(from string, message *standby.Message) {
	before := controller.failover.replica.DropCounts()
	var position standby.Position
	if controller.isForeignToken(message.Token) {
		position = controller.failover.replica.RejectForeignMessage()
	} else {
		position = controller.failover.replica.ApplyMessage(message)
	}
	if after := controller.failover.replica.DropCounts(); after != before {
		controller.logDropped("standby message rejected", "member", from, "token", message.Token,
			"stale", after.Stale, "out_of_order", after.OutOfOrder, "malformed", after.Malformed, "foreign_token", after.ForeignToken, "digest_mismatch", after.DigestMismatch)
	}
	controller.sendStreamMessage(from, &peer.Heartbeat{Member: controller.cfg.Member, StandbyFrame: peer.StandbyFrame{StandbyPosition: &position}})
}

// sendStreamMessage sends a message of a stream to a member that takes such messages.
func (controller *Controller) sendStreamMessage(member string, heartbeat *peer.Heartbeat) {
	received := controller.members.heartbeats[member]
	if received == nil || received.Heartbeat.StandbyProtocolVersion == 0 {
		return
	}
	for i, other := range controller.cfg.Peers {
		if other.Member == member {
			controller.members.links[i].SendStandby(peer.Encode(heartbeat))
		}
	}
}

// streamDecisions sends the replicas the decisions that they lack, and writes the record of those
// in step when it has changed.
func (term *leaderTerm) streamDecisions(now clock.Micros) {
	if term.standby == nil {
		return
	}
	for _, other := range term.environment.Config.Peers {
		if message, ok := term.standby.publisher.NextMessage(other.Member, now); ok {
			term.host.SendStreamMessage(other.Member, &peer.Heartbeat{Member: term.environment.Config.Member, StandbyFrame: peer.StandbyFrame{StandbyMessage: message}})
		}
	}
	term.writeStandbyRecord(now)
}
