// Package delegation lets a controller renew workers' leases on behalf of the leader while a network
// partition separates the controller and the workers from that leader (PROTOCOL, "Outages and cuts"). It
// does so for a bounded time. The package performs no I/O: its callers pass in times and the contents of
// heartbeats between controllers, and the package computes grants. A grant is a member's permission to
// act as delegate, that is to reply to workers' heartbeats and so renew their leases.
//
// Invariant: when a leader treats a machine's lease as expired, the lease has expired. A follower's grant
// runs from a timestamp of the follower's own clock that a leader has acknowledged, so a delayed
// heartbeat does not extend the grant. The leader knows when it acknowledged each timestamp, and a new
// leader knows that no earlier grant ends later than the start of its own term plus GrantTTL. The proof
// is in docs/design.md, "Delegated renewal of leases".
//
// A delegate starts no tasks, and stops only tasks of cancelled jobs. Its grant also ends early enough
// for cancellations to take effect in time: see Config.
package delegation

import "firwood.dev/firwood/internal/clock"

// Config holds the durations that govern delegation.
type Config struct {
	// GrantTTL is how long a grant lasts, counted from its timestamp; 0 disables delegation.
	GrantTTL clock.Micros
	// LeaderHeartbeatTimeout is how long a follower must have received no heartbeat from the leader
	// before it replies to workers as delegate.
	LeaderHeartbeatTimeout clock.Micros
	// CancellationGrace is how long tasks of a job may still run after its cancellation before the
	// leader stops acknowledging timestamps. Tasks may outlive a grant by one lease, so the sum of
	// CancellationGrace, GrantTTL and the lease TTL is less than the cancellation timeout.
	CancellationGrace clock.Micros
}

const (
	// cancellationGraceDivisor makes CancellationGrace a thirtieth of the time from the end of a lease
	// to the cancellation timeout. The grace is short because it is subtracted from GrantTTL. Tasks of
	// a cancelled job normally end within a fraction of a second, unless their machine is unreachable.
	cancellationGraceDivisor = 30
	// deliveryMargin allows for late timers and the transit time of a delegate's reply.
	deliveryMargin = clock.Second
)

// NewConfig derives the durations from the workers' cancellation timeout and lease TTL.
// redirectRoundTrip is how long a worker that is redirected to an unreachable leader takes to come back.
// The lease has to last at least one and a half times as long, so that the worker is back well before
// its lease ends. Otherwise delegation could not keep the lease alive and would only delay the proof
// that it has ended, so NewConfig disables delegation.
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

// isEnabled reports whether members get any grants.
func (cfg Config) isEnabled() bool { return cfg.GrantTTL > 0 }

// Timestamp is a time on a member's monotonic clock, meaningful for one incarnation of the member.
type Timestamp struct {
	// Incarnation identifies the process whose clock it is.
	Incarnation uint64
	// At is the time; it is positive.
	At clock.Micros
}
