package leader

import (
	"fmt"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/jobreport"
	"firwood.dev/firwood/internal/metrics"
	"firwood.dev/firwood/internal/tracing"
)

// FailoverTimes holds when the events of this member's last failover happened. A time is 0 if its event has
// not happened.
type FailoverTimes struct {
	LeaderHeartbeatAt clock.Micros // when the previous leader's last heartbeat was received
	LockWonAt         clock.Micros
	rebuiltAt         clock.Micros // when the allocation table was rebuilt
	firstDecisionAt   clock.Micros // when the first task was placed
	Token             uint64
	isReplicaUsed     bool // whether the allocation table was rebuilt from a replica
	unconfirmedTasks  int  // the number of tasks that an earlier leader may have started, on an unknown machine
}

// Status returns the failover's part of the standby status, or nil before the allocation table has been
// rebuilt. FirstDecisionMs is 0 until the failover is complete.
func (times *FailoverTimes) Status() *jobreport.FailoverStatus {
	if times.rebuiltAt == 0 {
		return nil
	}
	status := &jobreport.FailoverStatus{Token: times.Token, IsReplicaUsed: times.isReplicaUsed, Unconfirmed: times.unconfirmedTasks, RebuildMs: milliseconds(times.rebuiltAt - times.LockWonAt)}
	if times.LeaderHeartbeatAt != 0 {
		status.LockMs = milliseconds(times.LockWonAt - times.LeaderHeartbeatAt)
	}
	if times.firstDecisionAt != 0 {
		status.FirstDecisionMs = milliseconds(times.firstDecisionAt - times.rebuiltAt)
	}
	return status
}

// spans returns the phases of the failover for the tracer. Their names and attributes have to stay, since
// existing traces contain them.
func (times *FailoverTimes) spans() []tracing.Span {
	startedAt := times.LeaderHeartbeatAt
	if startedAt == 0 {
		startedAt = times.LockWonAt
	}
	attributes := map[string]string{"replica_used": fmt.Sprint(times.isReplicaUsed), "in_doubt": fmt.Sprint(times.unconfirmedTasks)}
	return []tracing.Span{
		{Name: "take-over", StartedAt: startedAt, EndedAt: times.firstDecisionAt, Attributes: attributes},
		{Name: "lock", StartedAt: startedAt, EndedAt: times.LockWonAt},
		{Name: "rebuild", StartedAt: times.LockWonAt, EndedAt: times.rebuiltAt},
		{Name: "first decision", StartedAt: times.rebuiltAt, EndedAt: times.firstDecisionAt},
	}
}

func milliseconds(duration clock.Micros) int64 { return int64(duration / (clock.Second / 1000)) }

// recordFirstDecision records when a new leader first places a task, which completes the failover.
func (term *Term) recordFirstDecision(now clock.Micros) {
	times := term.environment.Failover
	if times.firstDecisionAt != 0 || !term.tracker.HasIssuedAttempt() {
		return
	}
	times.firstDecisionAt = now
	term.environment.Metrics.ObserveFailover(metrics.FailoverFirstDecision, now-times.rebuiltAt)
	status := times.Status()
	term.environment.Log.Info("first decision after failover", "token", times.Token, "lock_ms", status.LockMs, "rebuild_ms", status.RebuildMs,
		"first_decision_ms", status.FirstDecisionMs, "replica_used", times.isReplicaUsed, "unconfirmed", times.unconfirmedTasks)
	term.environment.Tracer.RecordFailover(times.Token, times.spans())
}
