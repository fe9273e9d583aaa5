package controller

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/metrics"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

const (
	// delegatedReplyTimeout bounds how long a reply under a grant may wait before it is sent.
	delegatedReplyTimeout = clock.Second
	// redirectMargin is how much longer than two of a worker's heartbeat intervals a grant must still last
	// for the worker to be redirected.
	redirectMargin = 4 * clock.Second
)

// replyAsDelegate renews the lease of a worker that cannot reach the leader, if this member may, and reports
// whether it replied. Renewals and redirects alternate, so that a worker that can reach the leader returns to
// it. The renewal comes first. When the redirect came first, a worker had already tried an unreachable leader
// for four seconds, was redirected to it here, tried it again, and was back after its lease had ended.
//
// The reply also stops the listed tasks of cancelled jobs. That needs no entitlement, because a cancellation
// is final. A delegate sends no other commands.
func (controller *Controller) replyAsDelegate(heartbeat *wire.Heartbeat, reply *server.Reply, now clock.Micros) bool {
	if controller.term != nil {
		controller.delegation.delegate.GrantToSelf(controller.term.IssuedToken(), controller.term.CancellationsKnownAt())
	}
	if !controller.view.IsLoaded || controller.mayConstrainZone(heartbeat.Zone) {
		return false
	}
	token, grantUntil, ok := controller.delegation.delegate.MayReply(now, heartbeat.FencingToken)
	if _, newestToken := controller.elector.LockHolder(); !ok || newestToken > token {
		return false
	}
	if controller.isRedirectDue(heartbeat.MachineID, grantUntil, now) {
		delete(controller.delegation.lastReplyAt, heartbeat.MachineID)
		return false
	}
	stops := allocation.StopsOfListedTasks(heartbeat, controller.isCancelled)
	body, err := wire.HeartbeatResponse{FencingToken: token, Commands: append([]wire.Command{}, stops...)}.MarshalJSON()
	if err != nil {
		return false
	}
	// The reply is sent soon or not at all.
	sendDeadline := min(grantUntil, now+delegatedReplyTimeout)
	controller.recordDelegatedReply(heartbeat.MachineID, sendDeadline, now)
	controller.metrics.CountReply(metrics.ReplyAsDelegate)
	controller.metrics.CountCommands(stops, metrics.ChannelDelegate, metrics.OutcomeSent)
	reply.SendBefore(200, body, 0, sendDeadline)
	return true
}

// isCancelled reports whether a job is durably cancelled according to the view. A job that is not in the
// view may be new, so its tasks are left to the leader.
func (controller *Controller) isCancelled(jobID string) bool {
	record := controller.view.Jobs[jobID]
	return record != nil && record.State == wire.JobCancelled
}

// isRedirectDue reports whether this member replied to a worker's previous heartbeat under the grant, at most a
// lease ago, and the worker can be back before the grant ends. A worker's lease is not renewed while the worker
// tries an unreachable leader, so shortly before the grant ends each of the worker's heartbeats gets a reply.
func (controller *Controller) isRedirectDue(machine string, grantUntil, now clock.Micros) bool {
	workers := &controller.cfg.Deployment.Workers
	lastReplyAt, hasReplied := controller.delegation.lastReplyAt[machine]
	if !hasReplied || now-lastReplyAt > clock.FromSeconds(workers.LeaseSeconds) {
		return false
	}
	return grantUntil-now > clock.FromSeconds(2*workers.HeartbeatIntervalSeconds)+redirectMargin
}

// recordDelegatedReply records a renewal under the grant. A leader whose entitlement has run out also replies
// as delegate. If it renews the lock after that and continues its term, the term must know of the leases
// that were renewed meanwhile.
func (controller *Controller) recordDelegatedReply(machineName string, sendDeadline, now clock.Micros) {
	controller.delegation.lastReplyAt[machineName] = now
	controller.delegation.delegate.RecordReply(sendDeadline)
	if controller.term != nil {
		controller.term.RecordDelegatedRenewal(machineName, sendDeadline)
	}
}
