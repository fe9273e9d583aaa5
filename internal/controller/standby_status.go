package controller

import (
	"encoding/json"
	"fmt"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/jobreport"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/tracing"
)

// lastFailover are the instants of this member's last take-over.
type failoverTimes struct {
	leaderHeartbeatAt, lockWonAt, rebuiltAt, firstDecisionAt clock.Micros
	token                                                    uint64
	isReplicaUsed                                            bool
	unconfirmed                                              int
}

func (times *failoverTimes) status() *jobreport.FailoverStatus {
	if times.rebuiltAt == 0 {
		return nil
	}
	status := &jobreport.FailoverStatus{Token: times.token, IsReplicaUsed: times.isReplicaUsed, Unconfirmed: times.unconfirmed, RebuildMs: milliseconds(times.rebuiltAt - times.lockWonAt)}
	if times.leaderHeartbeatAt != 0 {
		status.LockMs = milliseconds(times.lockWonAt - times.leaderHeartbeatAt)
	}
	if times.firstDecisionAt != 0 {
		status.FirstDecisionMs = milliseconds(times.firstDecisionAt - times.rebuiltAt)
	}
	return status
}

func (times *failoverTimes) spans() []tracing.Span {
	began := times.leaderHeartbeatAt
	if began == 0 {
		began = times.lockWonAt
	}
	attributes := map[string]string{"replica_used": fmt.Sprint(times.isReplicaUsed), "in_doubt": fmt.Sprint(times.unconfirmed)}
	return []tracing.Span{
		{Name: "take-over", StartedAt: began, EndedAt: times.firstDecisionAt, Attributes: attributes},
		{Name: "lock", StartedAt: began, EndedAt: times.lockWonAt},
		{Name: "rebuild", StartedAt: times.lockWonAt, EndedAt: times.rebuiltAt},
		{Name: "first decision", StartedAt: times.rebuiltAt, EndedAt: times.firstDecisionAt},
	}
}

func milliseconds(d clock.Micros) int64 { return int64(d / (clock.Second / 1000)) }

// recordFirstDecision notes when a new leader first places a task.
func (term *leaderTerm) recordFirstDecision(now clock.Micros) {
	times := &term.controller.failover.last
	if times.firstDecisionAt != 0 || !term.tracker.HasIssuedAttempt() {
		return
	}
	times.firstDecisionAt = now
	status := times.status()
	term.controller.log.Info("first decision after a take-over", "token", times.token, "lock_ms", status.LockMs, "rebuild_ms", status.RebuildMs,
		"first_decision_ms", status.FirstDecisionMs, "replica_used", times.isReplicaUsed, "in_doubt", times.unconfirmed)
	term.controller.failover.tracer.RecordFailover(times.token, times.spans())
}

// traceObservedFailover writes what a follower saw of a take-over: for how long nobody was heard.
func (controller *Controller) traceObservedFailover(token uint64) {
	if controller.failover.leaderHeartbeatAt == 0 || controller.isLeading() || controller.elector.Token() == token {
		return
	}
	controller.failover.tracer.RecordFailover(token, []tracing.Span{{Name: "no leader heard", StartedAt: controller.failover.leaderHeartbeatAt, EndedAt: clock.Now()}})
}

// SendStandbyStatus implements server.App.
func (controller *Controller) SendStandbyStatus(reply *server.Reply) {
	controller.postUserRequest(reply, func() { controller.replyStandbyStatus(reply) })
}

func (controller *Controller) replyStandbyStatus(reply *server.Reply) {
	now := clock.Now()
	status := jobreport.StandbyStatus{Member: controller.cfg.Member, Leader: controller.knownLeader(), Enabled: controller.failover.replica != nil, Failover: controller.failover.last.status()}
	switch {
	case controller.failover.replica == nil:
	case controller.term != nil:
		status.Leader = controller.cfg.Member
		status.Followers = controller.term.followerStatuses(now)
	default:
		position, account := controller.failover.replica.Position(), controller.failover.replica.Table()
		status.Replica = &jobreport.ReplicaStatus{
			Token: position.Token, IsComplete: position.IsComplete, Decisions: position.Sequence, Placements: account.Len(), Unconfirmed: account.UnconfirmedCount(),
			Digest: fmt.Sprintf("%016x", account.Digest()), Dropped: controller.failover.replica.DropCounts(),
		}
	}
	body, err := json.Marshal(status)
	if err != nil {
		reply.Send(500, server.ErrorBody(err.Error()), 0)
		return
	}
	reply.Send(200, body, 0)
}

func (term *leaderTerm) followerStatuses(now clock.Micros) []jobreport.FollowerStatus {
	var statuses []jobreport.FollowerStatus
	inStep := map[string]bool{}
	for _, member := range term.standby.inSync.InSyncMembers() {
		inStep[member.Name] = true
	}
	for _, other := range term.controller.cfg.Peers {
		statuses = append(statuses, jobreport.FollowerStatus{
			Member: other.Member, IsInSync: inStep[other.Member],
			LagDecisions: term.standby.publisher.LagCount(other.Member), LagMs: milliseconds(term.standby.publisher.LagDuration(other.Member, now)),
		})
	}
	return statuses
}
