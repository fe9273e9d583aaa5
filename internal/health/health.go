// Package health detects failures: of machines (missing heartbeats, unanswered probes,
// failed tasks), of the way to a zone, and of the leader's own way to its machines. It
// decides only; the controller deletes machines, hands leadership over and sends probes.
//
// The package does no I/O and never reads the clock. Every instant is a parameter, of
// the process's steady clock.
package health

import "firwood.dev/firwood/internal/clock"

const (
	// longestIntervalFactor is the longest interval between two heartbeats of a worker that
	// runs well, as a multiple of the configured one.
	longestIntervalFactor = 1.25
	// slowHeartbeatDelay is how much later than the longest interval a heartbeat comes that was slow
	// once, as after one retransmission.
	slowHeartbeatDelay = 1500 * clock.Millisecond
	// lostReplyDelay is how much later it comes if the reply to the one before was lost, so that the
	// worker waited for it in vain and was redirected to the leader by another member.
	lostReplyDelay = 6500 * clock.Millisecond
	// probeSlack is what a heartbeat without any delay of that kind may take; a later one is
	// overdue, which costs a probe and nothing else.
	probeSlack = clock.Second / 2
)

// Timing is how long ago the last heartbeat of a machine may be.
type Timing struct {
	// HeartbeatWindow is the age up to which the machine is reachable.
	HeartbeatWindow clock.Micros
	// SuspectTimeout is the age from which the machine is suspected.
	SuspectTimeout clock.Micros
	// ProbeAfter is the age from which the machine is probed.
	ProbeAfter clock.Micros
}

// NewTiming derives the times from the configured heartbeat interval of workers.
func NewTiming(heartbeatIntervalSeconds float64) Timing {
	longest := clock.FromSeconds(longestIntervalFactor * heartbeatIntervalSeconds)
	return Timing{HeartbeatWindow: longest + slowHeartbeatDelay, SuspectTimeout: longest + lostReplyDelay, ProbeAfter: longest + probeSlack}
}
