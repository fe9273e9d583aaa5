// Package staleness bounds what a leader may do while its copy of the state
// service may lack a withdrawal. It is pure: instants come in, permissions go out.
//
// A withdrawal may be confirmed by any controller, and the leader learns of it by
// reading the state service. When the leader reads at instant P (P is the instant
// at which a read that has come back was *sent*), it knows every withdrawal that
// was confirmed before P. From a confirmation on, a task of the job may stay on a
// machine for the cancellation time. So:
//
//   - An answer that renews a worker's lease goes out before P + Renewal, where
//     Renewal + lease < cancellation time. Whatever the leader does not know of was
//     confirmed after P, and the worker ends it with its lease at the latest.
//   - A start goes out before P + Start, and never between the end of an
//     entitlement and the first read after it. An entitlement that is regained at
//     the end of an outage says nothing about what was withdrawn before the outage.
package staleness

import "firwood.dev/firwood/internal/clock"

// Bounds are the times for which a leader may act on a read.
type Bounds struct {
	// Renewal is for how long after a read workers' leases may be renewed.
	Renewal clock.Micros
	// Start is for how long after a read tasks may be started.
	Start clock.Micros
}

const (
	// driftParts bounds the drift between two steady clocks, as a fraction.
	driftParts = 500
	// margin covers late timers and the way of an answer.
	margin = clock.Second
)

// ForWorkers works out the bounds from the workers' cancellation time and lease,
// and from the time of the leader's lock. Settings that leave no time between a
// lease and a cancellation cannot be kept in every outage; there the bound is the
// time of the lock, for which a leader acts on its entitlement in any case.
func ForWorkers(cancellation, lease, lock clock.Micros) Bounds {
	renewal := cancellation - lease - cancellation/driftParts - margin
	return Bounds{Renewal: max(renewal, lock), Start: lock}
}

// Tracker is a leader's account of how old its copy may be.
type Tracker struct {
	bounds Bounds
	// readAt is when the newest read that has come back was sent.
	readAt clock.Micros
	// regainedAt is when an entitlement that had ended was regained.
	regainedAt clock.Micros
}

// NewTracker makes the account of a leader whose copy rests on a read sent at an
// instant.
func NewTracker(bounds Bounds, readAt clock.Micros) *Tracker {
	return &Tracker{bounds: bounds, readAt: readAt}
}

// Read takes the news that a read sent at an instant has come back.
func (t *Tracker) Read(sentAt clock.Micros) { t.readAt = max(t.readAt, sentAt) }

// ReadAt is when the newest read that has come back was sent.
func (t *Tracker) ReadAt() clock.Micros { return t.readAt }

// Regained takes the news that the entitlement to act had ended and is back.
func (t *Tracker) Regained(now clock.Micros) { t.regainedAt = max(t.regainedAt, now) }

// RenewUntil is the instant before which workers' leases may be renewed.
func (t *Tracker) RenewUntil() clock.Micros { return t.readAt + t.bounds.Renewal }

// StartUntil is the instant before which tasks may be started; it is past until the
// first read after an entitlement was regained.
func (t *Tracker) StartUntil() clock.Micros {
	if t.readAt < t.regainedAt {
		return t.regainedAt
	}
	return t.readAt + t.bounds.Start
}

// MayRenew tells whether workers' leases may be renewed now.
func (t *Tracker) MayRenew(now clock.Micros) bool { return now < t.RenewUntil() }

// MayStart tells whether tasks may be started now.
func (t *Tracker) MayStart(now clock.Micros) bool { return now < t.StartUntil() }
