package controller

import (
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/standby"
)

// standbyProtocolVersion returns the version of the standby stream's messages that this member
// accepts, or 0 if it accepts none.
func (controller *Controller) standbyProtocolVersion() uint8 {
	if controller.failover.replica == nil {
		return 0
	}
	return peer.StandbyProtocolVersion
}

// handleStandbyMessage handles a message of the leader's standby stream, or a replica's reply to one.
func (controller *Controller) handleStandbyMessage(heartbeat *peer.Heartbeat) {
	switch {
	case controller.failover.replica == nil:
	case heartbeat.StandbyPosition != nil && controller.term != nil:
		controller.term.RecordReplicaPosition(heartbeat.Member, *heartbeat.StandbyPosition)
	case heartbeat.StandbyMessage != nil && !controller.isLeading():
		controller.applyStreamMessage(heartbeat.Member, heartbeat.StandbyMessage)
	}
}

// isLeading reports whether this member holds the lock, including the time in which it rebuilds the
// allocation table. Its replica then accepts no more messages of the previous leader, since it would
// acknowledge decisions that are missing from this member's rebuilt table.
func (controller *Controller) isLeading() bool {
	return controller.term != nil || controller.failover.isRebuilding
}

// applyStreamMessage applies a message of the leader's stream to the replica, and replies with
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

// sendStreamMessage sends a message of the standby stream to a member, if that member accepts them.
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

// applyStandbyRecord applies a newer in-sync record from the view.
func (controller *Controller) applyStandbyRecord(record standby.InSyncRecord, version uint64) {
	if controller.failover.replica != nil {
		controller.failover.replica.PruneEarlierReplicas(record.Token)
	}
	if controller.term != nil {
		controller.term.ObserveStandbyRecord(record, version)
	}
}
