// Package health detects failures: of machines (missing heartbeats, unanswered probes, failed
// tasks), of the network to a zone, and of the leader's own connections to its machines and to the
// key-value store. It only decides; the controller deletes machines, hands leadership over and sends
// probes.
//
// The package does no I/O and never reads a clock. All times are parameters and belong to the process's
// monotonic clock.
package health

import "firwood.dev/firwood/internal/clock"

const (
	// longestIntervalFactor is the longest interval between two heartbeats of a healthy worker, as a
	// multiple of the configured interval.
	longestIntervalFactor = 1.25
	// slowHeartbeatDelay is how far a heartbeat that was slow once, for example because of one
	// retransmission, exceeds the longest interval.
	slowHeartbeatDelay = 1500 * clock.Millisecond
	// lostReplyDelay is how far a heartbeat exceeds the longest interval if the reply to the previous
	// one was lost: the worker waited for that reply until its timeout, and another member then
	// redirected it to the leader.
	lostReplyDelay = 6500 * clock.Millisecond
	// probeSlack is how far a heartbeat without any such delay may exceed the longest interval. A later
	// heartbeat is overdue, which only leads to a probe.
	probeSlack = clock.Second / 2
)

// Timing holds the ages of a machine's last heartbeat at which the machine is treated differently.
type Timing struct {
	// HeartbeatWindow is the age below which the machine counts as reachable.
	HeartbeatWindow clock.Micros
	// SuspectTimeout is the age beyond which the machine is suspected to have failed.
	SuspectTimeout clock.Micros
	// ProbeAfter is the age from which the machine is probed because its heartbeat is overdue.
	ProbeAfter clock.Micros
}

// NewTiming derives the ages from the workers' configured heartbeat interval.
func NewTiming(heartbeatIntervalSeconds float64) Timing {
	longest := clock.FromSeconds(longestIntervalFactor * heartbeatIntervalSeconds)
	return Timing{HeartbeatWindow: longest + slowHeartbeatDelay, SuspectTimeout: longest + lostReplyDelay, ProbeAfter: longest + probeSlack}
}
