package controller

import (
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/commandqueue"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/peer"
)

// storeReachableWindow is how long ago the store's last answer may be for this member to say that
// it reaches the store.
const storeReachableWindow = 12 * clock.Second

// HandlePeerHeartbeat takes a message of another member. One that finds the queue full is dropped,
// as if it was lost on its way. It may be called on any goroutine.
func (controller *Controller) HandlePeerHeartbeat(heartbeat *peer.Heartbeat) {
	controller.commands.Post(commandqueue.Heartbeat, func() { controller.handlePeerHeartbeat(heartbeat) })
}

func (controller *Controller) handlePeerHeartbeat(heartbeat *peer.Heartbeat) {
	if !slices.ContainsFunc(controller.cfg.Peers, func(other config.Peer) bool { return other.Member == heartbeat.Member }) {
		return
	}
	if heartbeat.IsStandby() {
		controller.handleStandbyMessage(heartbeat)
		return
	}
	now := clock.Now()
	if controller.term != nil && controller.hasComeBack(heartbeat, now) {
		controller.term.ResendHints(now)
	}
	controller.members.heartbeats[heartbeat.Member] = &leader.ReceivedHeartbeat{Heartbeat: heartbeat, ReceivedAt: now}
	controller.applyCancellations(heartbeat.Member, heartbeat.Cancellations)
	controller.recordTimestamp(heartbeat)
	controller.recordDelegation(heartbeat, now)
	controller.updateProgressCounts(heartbeat, now)
}

// hasComeBack tells whether a heartbeat is a member's first one since its start or since it was
// last reachable.
func (controller *Controller) hasComeBack(heartbeat *peer.Heartbeat, now clock.Micros) bool {
	last := controller.members.heartbeats[heartbeat.Member]
	return last == nil || last.Heartbeat.Incarnation != heartbeat.Incarnation || now-last.ReceivedAt >= leader.MemberTimeout
}

// recordTimestamp keeps a member's timestamp if it is the newest one: messages may arrive out
// of order.
func (controller *Controller) recordTimestamp(heartbeat *peer.Heartbeat) {
	known := controller.members.timestamps[heartbeat.Member]
	isNewer := heartbeat.Incarnation > known.Incarnation || heartbeat.Incarnation == known.Incarnation && heartbeat.Timestamp > known.At
	if isNewer {
		controller.members.timestamps[heartbeat.Member] = delegation.Timestamp{Incarnation: heartbeat.Incarnation, At: heartbeat.Timestamp}
	}
}

// recordDelegation takes what a heartbeat means for delegation. To a follower, the leader's
// heartbeat extends this member's grant. To the leader, a follower's heartbeat tells which of the
// leader's timestamps has arrived there, and for how long the follower has not acted as delegate.
func (controller *Controller) recordDelegation(heartbeat *peer.Heartbeat, now clock.Micros) {
	acknowledgement := delegation.Timestamp{Incarnation: heartbeat.AckIncarnation, At: heartbeat.AckTimestamp}
	if controller.term == nil {
		if heartbeat.Leader == heartbeat.Member {
			controller.failover.leaderHeartbeatAt = now
			controller.storeHints(heartbeat, now)
			controller.delegation.delegate.RecordLeaderHeartbeat(now, heartbeat.Token, acknowledgement)
		}
		return
	}
	if controller.delegation.delegate.IsOwnTimestamp(acknowledgement) {
		controller.term.RecordReceipt(heartbeat.Member, now, acknowledgement.At, heartbeat.SilentFor)
	}
}

// updateProgressCounts takes the jobs' progress from the heartbeat of the newest known leader.
func (controller *Controller) updateProgressCounts(heartbeat *peer.Heartbeat, now clock.Micros) {
	if heartbeat.Leader != heartbeat.Member || controller.elector.Phase() == election.Leader {
		return
	}
	if _, token := controller.elector.LockHolder(); heartbeat.Token >= token {
		controller.users.progressCounts.Update(heartbeat, now, controller.hasJobEnded)
	}
}

// hasJobEnded tells whether a job is known to have ended.
func (controller *Controller) hasJobEnded(job string) bool {
	record := controller.view.Jobs[job]
	return record != nil && record.HasEnded()
}

// knownLeader is the member with the highest token that holds the lock, or says that it leads;
// "" if there is none.
func (controller *Controller) knownLeader() string {
	holder, token := controller.elector.LockHolder()
	for member, received := range controller.members.heartbeats {
		if received.Heartbeat.Leader == member && received.Heartbeat.Token > token && clock.Now()-received.ReceivedAt < recentHeartbeatWindow {
			holder, token = member, received.Heartbeat.Token
		}
	}
	return holder
}

// tickHeartbeat sends a heartbeat to the other members when it is due.
func (controller *Controller) tickHeartbeat(now clock.Micros) {
	if now < controller.members.nextHeartbeatAt {
		return
	}
	controller.members.nextHeartbeatAt = now + leader.HeartbeatInterval
	controller.logMalformedResponses()
	controller.updateAvailability(now)
	if controller.term == nil || controller.store.IsFailing(now) {
		controller.sendHeartbeats(now)
		return
	}
	// Acknowledge before sending, so that this heartbeat carries the newest acknowledgements:
	// the grants of members that are cut off then last a second longer.
	controller.term.AcknowledgeTimestamps(now, func() { controller.sendHeartbeats(clock.Now()) })
}

// logMalformedResponses logs how many of the store's responses could not be used, if there are more
// of them than at the last call. Those that come while logDropped lets no line through are in the
// count of the next line.
func (controller *Controller) logMalformedResponses() {
	if drops := controller.store.MalformedResponses.Load(); drops > controller.storeUse.reportedDrops {
		controller.logDropped("malformed or unexpected store responses", "dropped_so_far", drops)
		controller.storeUse.reportedDrops = drops
	}
}

// sendHeartbeats sends a heartbeat to each of the other members.
func (controller *Controller) sendHeartbeats(now clock.Micros) {
	heartbeat := controller.newHeartbeat(now)
	for i, link := range controller.members.links {
		member := controller.cfg.Peers[i].Member
		acknowledgement := controller.acknowledgementFor(member)
		heartbeat.AckIncarnation, heartbeat.AckTimestamp = acknowledgement.Incarnation, acknowledgement.At
		heartbeat.Cancellations = controller.members.cancellations.UnknownTo(controller.peerRevision(member), now)
		link.SendHeartbeat(peer.Encode(heartbeat))
	}
}

// newHeartbeat makes what all members are sent alike. On the way it expires worker contacts, so
// that their count is current, and writes that count to the store if that is due.
func (controller *Controller) newHeartbeat(now clock.Micros) *peer.Heartbeat {
	heartbeat := &peer.Heartbeat{
		Member:                 controller.cfg.Member,
		StandbyProtocolVersion: controller.standbyVersion(),
		IsStoreReachable:       controller.store.LastSuccessAt() > controller.store.LastFailureAt() && now-controller.store.LastSuccessAt() < storeReachableWindow,
	}
	heartbeat.Leader, heartbeat.Token = controller.elector.LockHolder()
	controller.expireWorkerContacts(now)
	heartbeat.WorkerCount = uint32(len(controller.workers.contactAt))
	controller.reportWorkerContact(now)
	if controller.term != nil {
		controller.term.AddToHeartbeat(heartbeat)
	}
	timestamp := controller.delegation.delegate.Timestamp(now)
	heartbeat.Incarnation, heartbeat.Timestamp, heartbeat.SilentFor = timestamp.Incarnation, timestamp.At, controller.delegation.delegate.SilentFor(now)
	heartbeat.StoreRevision = controller.view.Revision
	return heartbeat
}

// acknowledgementFor is the timestamp of a member that a heartbeat to it acknowledges: as
// leader the one that extends its grant, else the newest one.
func (controller *Controller) acknowledgementFor(member string) delegation.Timestamp {
	if controller.term != nil {
		return controller.term.AcknowledgementFor(member)
	}
	return controller.members.timestamps[member]
}

// storeHints takes the hints of a leader's heartbeat, for the case that this member leads next.
func (controller *Controller) storeHints(heartbeat *peer.Heartbeat, now clock.Micros) {
	maxMachines := 2 * len(controller.view.ScaleOuts) * peer.MaxCachedImageMachines
	controller.failover.hints.Store(heartbeat, maxMachines, now)
}
