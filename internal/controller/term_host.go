package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/jobreport"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// newTerm begins the term of a fencing token. The view has to be at least as new as a read that was sent
// at readAt.
func (controller *Controller) newTerm(token uint64, readAt clock.Micros) *leader.Term {
	return leader.New(&leader.Environment{
		Config: controller.cfg, Tuning: &controller.tuning, Log: controller.log, Settings: controller.settings,
		Store: controller.store, Cloud: controller.cloud,
		WorkerRequests: leader.WorkerRequests{Pool: controller.workerRequests.pool, MaxInFlight: controller.workerRequests.maxInFlight},
		View:           controller.view, Graph: controller.dependencyGraph, Hints: controller.failover.hints,
		Delegate: controller.delegation.delegate, Replica: controller.failover.replica,
		Failover: &controller.failover.lastTimes, Tracer: controller.failover.tracer, Metrics: controller.metrics,
	}, termHost{controller}, token, readAt)
}

// termHost implements leader.Host. It gives a term access to its controller.
type termHost struct{ controller *Controller }

// PostResult implements leader.Host.
func (host termHost) PostResult(command func()) { host.controller.postResult(command) }

// IsEntitled implements leader.Host.
func (host termHost) IsEntitled() bool { return host.controller.isEntitled() }

// EntitledUntil implements leader.Host.
func (host termHost) EntitledUntil() clock.Micros { return host.controller.elector.EntitledUntil() }

// HandleFenced implements leader.Host.
func (host termHost) HandleFenced(token uint64) {
	host.controller.handleStaleToken(token, endWriteFenced)
}

// HandleHigherToken implements leader.Host.
func (host termHost) HandleHigherToken(token uint64) {
	host.controller.handleStaleToken(token, endHigherToken)
}

// HandOver implements leader.Host.
func (host termHost) HandOver(now, backoff clock.Micros) {
	host.controller.executeActions(host.controller.elector.StepDown(now, backoff))
	host.controller.endTerm(endHandedOver)
}

// Heartbeats implements leader.Host.
func (host termHost) Heartbeats() map[string]*leader.ReceivedHeartbeat {
	return host.controller.members.heartbeats
}

// Timestamps implements leader.Host.
func (host termHost) Timestamps() map[string]delegation.Timestamp {
	return host.controller.members.newestTimestamps
}

// WorkerContacts implements leader.Host.
func (host termHost) WorkerContacts() map[string]leader.WorkerContact {
	return host.controller.workers.reports
}

// SendHeartbeatNow implements leader.Host.
func (host termHost) SendHeartbeatNow() { host.controller.members.nextHeartbeatAt = 0 }

// SendStreamMessage implements leader.Host.
func (host termHost) SendStreamMessage(member string, heartbeat *peer.Heartbeat) {
	host.controller.sendStreamMessage(member, heartbeat)
}

// MachineTypes implements leader.Host.
func (host termHost) MachineTypes() []wire.MachineType { return host.controller.machineTypes.list }

// LookUpIfEvicted implements leader.Host.
func (host termHost) LookUpIfEvicted(id string) {
	if host.controller.mayBeEvicted(id) {
		host.controller.lookUpUntilKnown(id)
	}
}

// ProblemOf implements leader.Host.
func (host termHost) ProblemOf(id string, record *storeview.Job, wall int64) (problem jobreport.Problem, isProblem bool) {
	return host.controller.problemOf(id, record, wall)
}

// AdjustRateShare implements leader.Host.
func (host termHost) AdjustRateShare(now clock.Micros) { host.controller.adjustRateShare(now) }

// LogDropped implements leader.Host.
func (host termHost) LogDropped(message string, args ...any) {
	host.controller.logDropped(message, args...)
}
