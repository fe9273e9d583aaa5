package controller

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/metrics"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

const (
	// delegatedReplyTimeout bounds how long a reply under a grant may take to go out.
	delegatedReplyTimeout = clock.Second
	// redirectMargin is how much longer than two of a worker's heartbeat intervals a grant must
	// last for the worker to be redirected.
	redirectMargin = 4 * clock.Second
)

// replyAsDelegate renews the lease of a worker that cannot reach the leader, if this member may,
// and tells whether it replied. Renewals and redirects alternate, so a worker that can reach
// the leader is not kept from it. The renewal comes first: a worker that was redirected first
// had tried an unreachable leader for four seconds, came here, tried it again, and was back
// after its lease had ended.
//
// The reply stops the listed tasks of cancelled jobs, which needs no entitlement: a cancellation is
// final. Beyond that a delegate commands nothing.
func (controller *Controller) replyAsDelegate(heartbeat *wire.Heartbeat, reply *server.Reply, now clock.Micros) bool {
	if controller.term != nil {
		controller.delegation.delegate.GrantToSelf(controller.term.IssuedToken(), controller.term.CancellationsKnownAt())
	}
	if !controller.view.IsLoaded || controller.mayConstrainZone(heartbeat.Zone) {
		return false
	}
	token, grantUntil, ok := controller.delegation.delegate.MayReply(now, heartbeat.FencingToken)
	if _, newest := controller.elector.LockHolder(); !ok || newest > token {
		return false
	}
	if controller.isRedirectDue(heartbeat.MachineID, grantUntil, now) {
		delete(controller.delegation.repliedAt, heartbeat.MachineID)
		return false
	}
	stops := allocation.StopsOfListedTasks(heartbeat, controller.isCancelled)
	body, err := wire.HeartbeatResponse{FencingToken: token, Commands: append([]wire.Command{}, stops...)}.MarshalJSON()
	if err != nil {
		return false
	}
	// The reply goes out soon, or not at all.
	until := min(grantUntil, now+delegatedReplyTimeout)
	controller.recordDelegatedReply(heartbeat.MachineID, until, now)
	controller.metrics.CountReply(metrics.ReplyAsDelegate)
	controller.metrics.CountCommands(stops, metrics.ChannelDelegate, metrics.OutcomeSent)
	reply.SendBefore(200, body, 0, until)
	return true
}

// isCancelled tells whether a job is durably cancelled, as far as the view knows. Jobs that are not in
// the view may be new, so their tasks are left to the leader.
func (controller *Controller) isCancelled(jobID string) bool {
	record := controller.view.Jobs[jobID]
	return record != nil && record.State == wire.JobCancelled
}

// isRedirectDue tells whether a worker was answered under the grant last time, within its lease,
// and can be back before the grant ends. A worker's lease is not renewed while it tries an
// unreachable leader, so shortly before the grant ends the worker is answered each time.
func (controller *Controller) isRedirectDue(machine string, grantUntil, now clock.Micros) bool {
	workers := &controller.cfg.Deployment.Workers
	repliedAt, wasAnswered := controller.delegation.repliedAt[machine]
	if !wasAnswered || now-repliedAt > clock.FromSeconds(workers.LeaseSeconds) {
		return false
	}
	return grantUntil-now > clock.FromSeconds(2*workers.HeartbeatIntervalSeconds)+redirectMargin
}

// recordDelegatedReply notes a renewal under the grant. A leader whose entitlement has run out
// answers as delegate too. It may renew the lock yet and continue its term, which must then know
// of the leases that it renewed meanwhile.
func (controller *Controller) recordDelegatedReply(machineName string, until, now clock.Micros) {
	controller.delegation.repliedAt[machineName] = now
	controller.delegation.delegate.RecordReply(until)
	if controller.term != nil {
		controller.term.RecordDelegatedRenewal(machineName, until)
	}
}
