package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/commandqueue"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// HandleHeartbeat implements server.App.
func (controller *Controller) HandleHeartbeat(heartbeat *wire.Heartbeat, reply *server.Reply) {
	if !controller.commands.Post(commandqueue.Heartbeat, func() { controller.handleWorkerHeartbeat(heartbeat, reply) }) {
		replyUnavailable(reply, "overloaded")
	}
}

// replyAsDelegate keeps the lease of a worker alive that cannot reach the leader any
// more than this member can. It is held here for one report at a time: after each
// answer it is sent on, so a worker that does reach the leader is not kept from it.
// The answer comes first: a worker that was sent on first had tried a leader out of
// reach for four seconds, came here, tried it again, and was back after its lease.
func (controller *Controller) replyAsDelegate(heartbeat *wire.Heartbeat, reply *server.Reply, now clock.Micros) bool {
	if controller.term != nil {
		controller.delegation.delegate.EndTerm(controller.term.tracker.IssuedToken(), controller.term.renewals.cancellationsKnownAt)
	}
	if !controller.view.IsLoaded || controller.mayConstrainZone(heartbeat.Zone) {
		return false
	}
	token, until, ok := controller.delegation.delegate.MayAnswer(now, heartbeat.FencingToken)
	if _, newest := controller.elector.LockHolder(); !ok || newest > token {
		return false
	}
	workers := &controller.cfg.Deployment.Workers
	repliedAt, wasAnswered := controller.delegation.repliedAt[heartbeat.MachineID]
	// While it is on its way its lease is not renewed: shortly before the right ends
	// it is kept.
	if wasAnswered && now-repliedAt <= clock.FromSeconds(workers.LeaseSeconds) && until-now > clock.FromSeconds(2*workers.HeartbeatIntervalSeconds)+4*clock.Second {
		delete(controller.delegation.repliedAt, heartbeat.MachineID)
		return false
	}
	body, err := wire.HeartbeatResponse{FencingToken: token, Commands: []wire.Command{}}.MarshalJSON()
	if err != nil {
		return false
	}
	controller.delegation.repliedAt[heartbeat.MachineID] = now
	// The answer goes out soon, or not at all.
	until = min(until, now+clock.Second)
	controller.delegation.delegate.RecordAnswer(until)
	if controller.term != nil {
		// It may yet renew its lock and go on, and must then count with this.
		if machine := controller.term.tracker.Machines[heartbeat.MachineID]; machine != nil {
			controller.term.tracker.RecordLeaseRenewal(machine, until)
		}
	}
	reply.SendBefore(200, body, 0, until)
	return true
}

const (
	// leaderAdviceWindow is for how long after its last beat a leader is named to workers, and
	// lockAdviceWindow for how long after the state service last answered its holder is.
	leaderAdviceWindow = 3 * heartbeatInterval
	lockAdviceWindow   = 12 * clock.Second
)

// leaderForWorkers is who workers are sent to, empty if nobody is known well enough. A member
// that hears neither the leader nor the state service names nobody: once one sent its
// workers to a leader that was dead, whose next node in their lists it was itself, and they
// went back and forth between the two for minutes while another one led.
func (controller *Controller) leaderForWorkers(now clock.Micros) string {
	leader := controller.knownLeader()
	if leader == controller.cfg.Member {
		return ""
	}
	received := controller.members.heartbeats[leader]
	isReachable := received != nil && now-received.receivedAt < leaderAdviceWindow
	if !isReachable && now-controller.store.LastSuccessAt() >= lockAdviceWindow {
		return ""
	}
	return leader
}

func (controller *Controller) handleWorkerHeartbeat(heartbeat *wire.Heartbeat, reply *server.Reply) {
	controller.workers.contactAt[heartbeat.MachineID] = clock.Now()
	if controller.term != nil && controller.isEntitled() {
		controller.term.handleHeartbeat(heartbeat, reply)
		return
	}
	if controller.replyAsDelegate(heartbeat, reply, clock.Now()) {
		return
	}
	redirect := wire.Redirect{Member: controller.leaderForWorkers(clock.Now())}
	body, err := redirect.MarshalJSON()
	if err != nil {
		body = []byte("{}")
	}
	reply.Send(421, body, 0)
}
