// Package delegation lets a controller that is cut off together with workers renew their leases
// for a bounded time, on behalf of a leader that neither it nor they can reach (PROTOCOL,
// "Outages and cuts"). It is pure: times and heartbeats between controllers come in, grants come
// out.
//
// Invariant: when a leader takes a machine's lease as expired, it has expired. A follower's grant
// runs from a timestamp of its own clock that a leader has acknowledged, so a delayed heartbeat
// extends nothing. The leader knows when it acknowledged which timestamp, and a new leader knows
// that no earlier grant ends later than the start of its own term plus GrantTTL. docs/design.md,
// "Delegated renewal of leases", has the argument.
//
// A delegate starts nothing, and stops only tasks of cancelled jobs. Its grant also ends early enough for
// cancellations to take effect in time: see Config.
package delegation

import "firwood.dev/firwood/internal/clock"

// Config holds the times of delegation; all are durations.
type Config struct {
	// GrantTTL is how long a grant lasts from its timestamp; 0 disables delegation.
	GrantTTL clock.Micros
	// LeaderHeartbeatTimeout is for how long a follower has had no heartbeat of the leader before it
	// answers as delegate.
	LeaderHeartbeatTimeout clock.Micros
	// CancellationGrace is how long after a cancellation tasks of the job may still run while the
	// leader goes on acknowledging timestamps. They may outlive a grant by one lease, so
	// CancellationGrace, GrantTTL and the lease together are less than the cancellation timeout.
	CancellationGrace clock.Micros
}

const (
	// cancellationGraceDivisor: CancellationGrace is a thirtieth of the time between a lease and the
	// cancellation timeout. It is short, since it is subtracted from GrantTTL: tasks of a cancelled
	// job normally end within a fraction of a second, unless their machine is unreachable.
	cancellationGraceDivisor = 30
	// deliveryMargin covers late timers and the transit of an answer.
	deliveryMargin = clock.Second
)

// NewConfig derives the times from the workers' cancellation timeout and lease TTL.
// redirectRoundTrip is how long a worker that is redirected to an unreachable leader takes to
// come back. It has to be back well before its lease ends; otherwise delegation would only delay
// the proof that the lease has ended, and is disabled.
func NewConfig(cancellationTimeout, leaseTTL, leaderHeartbeatTimeout, redirectRoundTrip clock.Micros) Config {
	timeAfterLease := cancellationTimeout - leaseTTL
	cfg := Config{LeaderHeartbeatTimeout: leaderHeartbeatTimeout, CancellationGrace: timeAfterLease / cancellationGraceDivisor}
	grantTTL := timeAfterLease - cfg.CancellationGrace - clock.MutualDrift(cancellationTimeout) - deliveryMargin
	isGrantTooShort := grantTTL <= leaderHeartbeatTimeout
	isWorkerBackInTime := leaseTTL >= redirectRoundTrip+redirectRoundTrip/2
	if !isGrantTooShort && isWorkerBackInTime {
		cfg.GrantTTL = grantTTL
	}
	return cfg
}

// isEnabled reports whether there are grants at all.
func (cfg Config) isEnabled() bool { return cfg.GrantTTL > 0 }

// Timestamp is an instant of a member's steady clock, valid for one incarnation of the member.
type Timestamp struct {
	// Incarnation identifies the process whose clock it is.
	Incarnation uint64
	// At is the instant; it is positive.
	At clock.Micros
}
