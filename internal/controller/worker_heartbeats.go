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
	// leaderAdviceWindow is for how long after its last heartbeat a leader is named to workers,
	// lockAdviceWindow for how long after the store's last answer the lock's holder is.
	leaderAdviceWindow = 3 * leader.HeartbeatInterval
	lockAdviceWindow   = 12 * clock.Second
)

// HandleHeartbeat replies to a worker's heartbeat: with commands as leader, with stops of cancelled
// tasks as delegate, else with a redirect. It may be called on any goroutine.
func (controller *Controller) HandleHeartbeat(heartbeat *wire.Heartbeat, reply *server.Reply) {
	if !controller.commands.Post(commandqueue.Heartbeat, func() { controller.handleWorkerHeartbeat(heartbeat, reply) }) {
		controller.metrics.CountReply(metrics.ReplyRefused)
		replyUnavailable(reply, reasonOverloaded)
	}
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

// replyRedirect sends a worker to the leader, or to try the other members if none is named.
func (controller *Controller) replyRedirect(reply *server.Reply) {
	body, err := wire.Redirect{Member: controller.leaderForWorkers(clock.Now())}.MarshalJSON()
	if err != nil {
		body = []byte("{}")
	}
	controller.metrics.CountReply(metrics.ReplyRedirected)
	reply.Send(421, body, 0)
}

// leaderForWorkers is the leader that workers are redirected to, "" if none is known well
// enough. A member that reaches neither the leader nor the store names nobody. Added after a member
// redirected workers to a leader that was down. It was itself the next one in the workers' lists,
// so they went back and forth between the two for minutes, while a third member led.
func (controller *Controller) leaderForWorkers(now clock.Micros) string {
	known := controller.knownLeader()
	if known == controller.cfg.Member {
		return ""
	}
	received := controller.members.heartbeats[known]
	isReachable := received != nil && now-received.ReceivedAt < leaderAdviceWindow
	if !isReachable && now-controller.store.LastSuccessAt() >= lockAdviceWindow {
		return ""
	}
	return known
}
