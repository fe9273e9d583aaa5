package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/commandqueue"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/metrics"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

const (
	// leaderRedirectWindow is how long after a leader's last heartbeat workers are redirected to it.
	leaderRedirectWindow = 3 * leader.HeartbeatInterval
	// lockHolderRedirectWindow is how long after the store's last response workers are redirected to the
	// known leader even if its heartbeats don't arrive.
	lockHolderRedirectWindow = 12 * clock.Second
)

// HandleHeartbeat replies to a worker's heartbeat: a leader with commands, a delegate with stops of
// cancelled tasks, any other member with a redirect. It may be called on any goroutine.
func (controller *Controller) HandleHeartbeat(heartbeat *wire.Heartbeat, reply *server.Reply) {
	if !controller.commands.Post(commandqueue.Heartbeat, func() { controller.handleWorkerHeartbeat(heartbeat, reply) }) {
		controller.metrics.CountReply(metrics.ReplyRefused)
		replyUnavailable(reply, reasonOverloaded)
	}
}

// RecordOversizedHeartbeat counts and logs a heartbeat of size bytes, more than the protocol allows. It may be called
// on any goroutine.
func (controller *Controller) RecordOversizedHeartbeat(machine string, size int) {
	controller.metrics.CountOversizedHeartbeat()
	controller.postResult(func() {
		controller.logDropped("heartbeat larger than the protocol allows", "machine", machine, "bytes", size, "allowed", wire.MaxBodyBytes)
	})
}

func (controller *Controller) handleWorkerHeartbeat(heartbeat *wire.Heartbeat, reply *server.Reply) {
	controller.workers.lastContactAt[heartbeat.MachineID] = clock.Now()
	switch {
	case controller.term != nil && controller.isEntitled():
		controller.term.HandleHeartbeat(heartbeat, reply)
	case controller.replyAsDelegate(heartbeat, reply, clock.Now()):
	default:
		controller.replyRedirect(reply)
	}
}

// replyRedirect redirects a worker to the leader. If the reply names none, the worker tries the other
// members.
func (controller *Controller) replyRedirect(reply *server.Reply) {
	body, err := wire.Redirect{Member: controller.redirectTarget(clock.Now())}.MarshalJSON()
	if err != nil {
		body = []byte("{}")
	}
	controller.metrics.CountReply(metrics.ReplyRedirected)
	reply.Send(421, body, 0)
}

// redirectTarget returns the leader to which workers are redirected, or "" if none is known well enough.
// A member that reaches neither the leader nor the store names no leader. Before that rule, a member
// redirected workers to a leader that was down. The member was also the next one in the workers' lists,
// so they went back and forth between the two for minutes while a third member led.
func (controller *Controller) redirectTarget(now clock.Micros) string {
	known := controller.knownLeader()
	if known == controller.cfg.Member {
		return ""
	}
	received := controller.members.heartbeats[known]
	isReachable := received != nil && now-received.ReceivedAt < leaderRedirectWindow
	if !isReachable && now-controller.store.LastSuccessAt() >= lockHolderRedirectWindow {
		return ""
	}
	return known
}
