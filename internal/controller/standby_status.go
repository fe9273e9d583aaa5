package controller

import (
	"encoding/json"
	"fmt"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/jobreport"
	"firwood.dev/firwood/internal/server"
)

// SendStandbyStatus replies with the members that stand by for the leader and how far their replicas
// are, as far as this member knows. It may be called on any goroutine.
func (controller *Controller) SendStandbyStatus(reply *server.Reply) {
	controller.postUserRequest(reply, func() { controller.replyStandbyStatus(reply) })
}

func (controller *Controller) replyStandbyStatus(reply *server.Reply) {
	status := jobreport.StandbyStatus{Member: controller.cfg.Member, Leader: controller.knownLeader(), Enabled: controller.failover.replica != nil, Failover: controller.failover.lastTimes.Status()}
	switch {
	case controller.failover.replica == nil:
	case controller.term != nil:
		status.Leader = controller.cfg.Member
		status.Followers = controller.term.FollowerStatuses(clock.Now())
	default:
		status.Replica = controller.replicaStatus()
	}
	body, err := json.Marshal(status)
	if err != nil {
		reply.Send(500, server.ErrorBody(err.Error()), 0)
		return
	}
	reply.Send(200, body, 0)
}

// replicaStatus returns the state of this member's replica and how far it has followed the leader.
func (controller *Controller) replicaStatus() *jobreport.ReplicaStatus {
	replica := controller.failover.replica
	position, table := replica.Position(), replica.Table()
	return &jobreport.ReplicaStatus{
		Token: position.Token, IsComplete: position.IsComplete, Decisions: position.Sequence, Placements: table.Len(), Unconfirmed: table.UnconfirmedCount(),
		Digest: fmt.Sprintf("%016x", table.Digest()), Dropped: replica.DropCounts(),
	}
}
