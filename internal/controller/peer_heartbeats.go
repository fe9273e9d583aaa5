package controller

import (
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/commandqueue"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/peer"
)

// HandlePeerHeartbeat implements server.App.
func (controller *Controller) HandlePeerHeartbeat(heartbeat *peer.Heartbeat) {
	controller.commands.Post(commandqueue.Heartbeat, func() { controller.handlePeerHeartbeat(heartbeat) })
}

// updateAvailability decides whether users should be sent here. In an outage of the state
// service every node is refused, and leaving then would only cost time after
// it; a node that alone is refused leaves.
func (controller *Controller) updateAvailability(now clock.Micros) {
	unavailable := !controller.view.IsLoaded || len(controller.machineTypes.list) == 0
	if !unavailable && controller.store.LastFailureAt() > controller.store.LastSuccessAt() && now-controller.store.LastSuccessAt() > clock.Second {
		for _, received := range controller.members.heartbeats {
			if now-received.receivedAt < 2*clock.Second && received.heartbeat.IsStoreReachable {
				unavailable = true
			}
		}
	}
	controller.process.isUnavailable.Store(unavailable)
}

// IsHealthy tells whether users may be routed here. It may be called on any goroutine.
func (controller *Controller) IsHealthy() bool { return !controller.process.isUnavailable.Load() }

// receivedHeartbeat is the last beat of another controller.
type receivedHeartbeat struct {
	heartbeat  *peer.Heartbeat
	receivedAt clock.Micros
}

func (controller *Controller) handlePeerHeartbeat(heartbeat *peer.Heartbeat) {
	known := slices.ContainsFunc(controller.cfg.Peers, func(other config.Peer) bool { return other.Member == heartbeat.Member })
	if !known {
		return
	}
	if heartbeat.IsStandby() {
		controller.handleStandbyMessage(heartbeat)
		return
	}
	now := clock.Now()
	last := controller.members.heartbeats[heartbeat.Member]
	if isBack := last == nil || last.heartbeat.Incarnation != heartbeat.Incarnation || now-last.receivedAt >= memberTimeout; isBack && controller.term != nil {
		controller.term.hints.images.ResendAll(now)
	}
	controller.members.heartbeats[heartbeat.Member] = &receivedHeartbeat{heartbeat: heartbeat, receivedAt: now}
	controller.applyCancellations(heartbeat.Cancellations)
	if known := controller.members.timestamps[heartbeat.Member]; heartbeat.Incarnation > known.Incarnation || heartbeat.Incarnation == known.Incarnation && heartbeat.Timestamp > known.At {
		controller.members.timestamps[heartbeat.Member] = delegation.Timestamp{Incarnation: heartbeat.Incarnation, At: heartbeat.Timestamp}
	}
	acknowledgement := delegation.Timestamp{Incarnation: heartbeat.AckIncarnation, At: heartbeat.AckTimestamp}
	if heartbeat.Leader == heartbeat.Member && controller.term == nil {
		controller.failover.leaderHeartbeatAt = now
		controller.storeHints(heartbeat, now)
		controller.delegation.delegate.RecordLeaderHeartbeat(now, heartbeat.Token, acknowledgement)
	}
	if controller.term != nil && controller.delegation.delegate.IsOwnStamp(acknowledgement) {
		controller.term.renewals.grants.RecordReceipt(heartbeat.Member, now, acknowledgement.At, heartbeat.SilentFor)
	}
	if heartbeat.Leader == heartbeat.Member && controller.elector.Phase() != election.Leader {
		if _, token := controller.elector.LockHolder(); heartbeat.Token >= token {
			controller.users.progressCounts.Update(heartbeat, now, controller.hasJobEnded)
		}
	}
}

// hasJobEnded tells whether a job is known to be over.
func (controller *Controller) hasJobEnded(job string) bool {
	record := controller.view.Jobs[job]
	return record != nil && record.HasEnded()
}

// knownLeader is who workers are sent to, as far as is known.
func (controller *Controller) knownLeader() string {
	holder, token := controller.elector.LockHolder()
	for member, received := range controller.members.heartbeats {
		if received.heartbeat.Leader == member && received.heartbeat.Token > token && clock.Now()-received.receivedAt < 2*clock.Second {
			holder, token = member, received.heartbeat.Token
		}
	}
	return holder
}

const heartbeatInterval = 1 * clock.Second

// tickHeartbeat tells the other controllers how things are.
func (controller *Controller) tickHeartbeat(now clock.Micros) {
	if now < controller.members.nextHeartbeatAt {
		return
	}
	controller.members.nextHeartbeatAt = now + heartbeatInterval
	if drops := controller.store.MalformedResponses.Load(); drops > controller.storeUse.reportedDrops {
		controller.logDropped("answers of the state service were dropped")
		controller.storeUse.reportedDrops = drops
	}
	controller.updateAvailability(now)
	if controller.term == nil || controller.store.IsFailing(now) {
		controller.sendHeartbeats(now)
		return
	}
	// What the stamps give is confirmed first: a beat that carries it at once makes
	// the rights of those who are cut off a second longer.
	controller.term.acknowledgeTimestamps(now, func() { controller.sendHeartbeats(clock.Now()) })
}

func (controller *Controller) sendHeartbeats(now clock.Micros) {
	heartbeat := &peer.Heartbeat{
		Member:                 controller.cfg.Member,
		StandbyProtocolVersion: controller.standbyVersion(),
		IsStoreReachable:       controller.store.LastSuccessAt() > controller.store.LastFailureAt() && now-controller.store.LastSuccessAt() < 12*clock.Second,
	}
	heartbeat.Leader, heartbeat.Token = controller.elector.LockHolder()
	for name, lastAt := range controller.workers.contactAt {
		if now-lastAt > controller.suspectTimeout() {
			delete(controller.workers.contactAt, name)
		}
	}
	for name, lastAt := range controller.delegation.repliedAt {
		if now-lastAt > clock.FromSeconds(controller.cfg.Deployment.Workers.LeaseSeconds) {
			delete(controller.delegation.repliedAt, name)
		}
	}
	heartbeat.WorkerCount = uint32(len(controller.workers.contactAt))
	controller.reportWorkerContact(now)
	if controller.term != nil {
		heartbeat.Leader, heartbeat.Token = controller.cfg.Member, controller.term.tracker.IssuedToken()
		controller.term.hints.counts.Add(heartbeat, controller.term.tracker.Jobs)
		controller.term.addHints(heartbeat)
	}
	timestamp := controller.delegation.delegate.Timestamp(now)
	heartbeat.Incarnation, heartbeat.Timestamp, heartbeat.SilentFor = timestamp.Incarnation, timestamp.At, controller.delegation.delegate.SilentFor(now)
	heartbeat.StoreRevision = controller.view.Revision
	for i, link := range controller.members.links {
		acknowledgement := controller.members.timestamps[controller.cfg.Peers[i].Member]
		if controller.term != nil {
			acknowledgement = controller.term.renewals.acknowledgements[controller.cfg.Peers[i].Member]
		}
		heartbeat.AckIncarnation, heartbeat.AckTimestamp = acknowledgement.Incarnation, acknowledgement.At
		heartbeat.Cancellations = controller.members.cancellations.UnknownTo(controller.peerRevision(controller.cfg.Peers[i].Member), now)
		link.SendHeartbeat(peer.Encode(heartbeat))
	}
}
