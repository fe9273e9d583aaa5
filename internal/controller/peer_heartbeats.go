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

// storeReachableWindow is the greatest age of the store's last successful response at which this member
// reports that it reaches the store.
const storeReachableWindow = 12 * clock.Second

// HandlePeerHeartbeat queues a message of another member for the controller's goroutine. If the queue is
// full, the message is dropped as if it had been lost in transit. It may be called on any goroutine.
func (controller *Controller) HandlePeerHeartbeat(heartbeat *peer.Heartbeat) {
	controller.commands.Post(commandqueue.Heartbeat, func() { controller.handlePeerHeartbeat(heartbeat) })
}

func (controller *Controller) handlePeerHeartbeat(heartbeat *peer.Heartbeat) {
	if !slices.ContainsFunc(controller.cfg.Peers, func(other config.Peer) bool { return other.Member == heartbeat.Member }) {
		return
	}
	if heartbeat.IsStandbyFrame() {
		controller.handleStandbyMessage(heartbeat)
		return
	}
	now := clock.Now()
	if controller.term != nil && controller.isFirstAfterAbsence(heartbeat, now) {
		controller.term.ResendHints(now)
	}
	controller.members.heartbeats[heartbeat.Member] = &leader.ReceivedHeartbeat{Heartbeat: heartbeat, ReceivedAt: now}
	controller.applyForwardedCancellations(heartbeat.Member, heartbeat.Cancellations)
	controller.recordTimestamp(heartbeat)
	controller.recordDelegation(heartbeat, now)
	controller.updateProgressCounts(heartbeat, now)
}

// isFirstAfterAbsence reports whether a heartbeat is the first one of a member since its process
// started, or since the member was last unreachable.
func (controller *Controller) isFirstAfterAbsence(heartbeat *peer.Heartbeat, now clock.Micros) bool {
	last := controller.members.heartbeats[heartbeat.Member]
	return last == nil || last.Heartbeat.Incarnation != heartbeat.Incarnation || now-last.ReceivedAt >= leader.MemberTimeout
}

// recordTimestamp stores a member's timestamp if it is newer than the stored one. Messages may arrive
// out of order.
func (controller *Controller) recordTimestamp(heartbeat *peer.Heartbeat) {
	known := controller.members.newestTimestamps[heartbeat.Member]
	isNewer := heartbeat.Incarnation > known.Incarnation || heartbeat.Incarnation == known.Incarnation && heartbeat.Timestamp > known.At
	if isNewer {
		controller.members.newestTimestamps[heartbeat.Member] = delegation.Timestamp{Incarnation: heartbeat.Incarnation, At: heartbeat.Timestamp}
	}
}

// recordDelegation updates the state of lease delegation from a heartbeat. On a follower, the leader's
// heartbeat extends this member's grant. On the leader, a follower's heartbeat shows which of the
// leader's timestamps the follower has received, and for how long the follower has not acted as
// delegate.
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

// updateProgressCounts stores the jobs' progress if the heartbeat is from the newest known leader.
func (controller *Controller) updateProgressCounts(heartbeat *peer.Heartbeat, now clock.Micros) {
	if heartbeat.Leader != heartbeat.Member || controller.elector.Phase() == election.Leader {
		return
	}
	if _, token := controller.elector.LockHolder(); heartbeat.Token >= token {
		controller.users.progressCounts.Update(heartbeat, now, controller.hasJobEnded)
	}
}

// hasJobEnded reports whether a job is known to have ended.
func (controller *Controller) hasJobEnded(job string) bool {
	record := controller.view.Jobs[job]
	return record != nil && record.HasEnded()
}

// knownLeader returns the member with the highest token among the lock's holder and the members that
// recently reported that they lead, or "" if there is none.
func (controller *Controller) knownLeader() string {
	holder, token := controller.elector.LockHolder()
	for member, received := range controller.members.heartbeats {
		if received.Heartbeat.Leader == member && received.Heartbeat.Token > token && clock.Now()-received.ReceivedAt < recentHeartbeatWindow {
			holder, token = member, received.Heartbeat.Token
		}
	}
	return holder
}

// tickHeartbeat sends a heartbeat to the other members if one is due.
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
	// Acknowledge before sending, so that this heartbeat carries the newest acknowledgements: the
	// grant of a member that is cut off afterwards then lasts a second longer.
	controller.term.AcknowledgeTimestamps(now, func() { controller.sendHeartbeats(clock.Now()) })
}

// logMalformedResponses logs the number of the store's responses that could not be used, if it has
// grown since the last call. Responses that come while logDropped suppresses the line are included in
// the count of the next line.
func (controller *Controller) logMalformedResponses() {
	if malformed := controller.store.MalformedResponses.Load(); malformed > controller.storeUse.reportedDrops {
		controller.logDropped("malformed or unexpected store responses", "dropped_so_far", malformed)
		controller.storeUse.reportedDrops = malformed
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

// newHeartbeat returns a heartbeat with the fields that are the same for all receivers. It first
// expires old worker contacts, so that their count is current, and writes that count to the store if
// a report is due.
func (controller *Controller) newHeartbeat(now clock.Micros) *peer.Heartbeat {
	heartbeat := &peer.Heartbeat{
		Member:                 controller.cfg.Member,
		StandbyProtocolVersion: controller.standbyProtocolVersion(),
		IsStoreReachable:       controller.store.LastSuccessAt() > controller.store.LastFailureAt() && now-controller.store.LastSuccessAt() < storeReachableWindow,
	}
	heartbeat.Leader, heartbeat.Token = controller.elector.LockHolder()
	controller.expireWorkerContacts(now)
	heartbeat.WorkerCount = uint32(len(controller.workers.lastContactAt))
	controller.reportWorkerContact(now)
	if controller.term != nil {
		controller.term.AddToHeartbeat(heartbeat)
	}
	timestamp := controller.delegation.delegate.Timestamp(now)
	heartbeat.Incarnation, heartbeat.Timestamp, heartbeat.SilentFor = timestamp.Incarnation, timestamp.At, controller.delegation.delegate.SilentFor(now)
	heartbeat.StoreRevision = controller.view.Revision
	return heartbeat
}

// acknowledgementFor returns the timestamp of a member that a heartbeat to it acknowledges. A leader
// acknowledges the timestamp that extends the member's grant; a follower acknowledges the newest one.
func (controller *Controller) acknowledgementFor(member string) delegation.Timestamp {
	if controller.term != nil {
		return controller.term.AcknowledgementFor(member)
	}
	return controller.members.newestTimestamps[member]
}

// storeHints stores the hints in a leader's heartbeat, in case this member is the next leader.
func (controller *Controller) storeHints(heartbeat *peer.Heartbeat, now clock.Micros) {
	maxMachines := 2 * len(controller.view.ScaleOuts) * peer.MaxCachedImageMachines
	controller.failover.hints.Store(heartbeat, maxMachines, now)
}
