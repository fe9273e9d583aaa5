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
	// RenewalWindow is for how long after a read workers' leases may be renewed.
	RenewalWindow clock.Micros
	// StartWindow is for how long after a read tasks may be started.
	StartWindow clock.Micros
}

// deliveryMargin covers late timers and the way of an answer.
const deliveryMargin = clock.Second

// NewBounds works out the bounds from the workers' cancellation time and lease,
// and from the time of the leader's lock. Settings that leave no time between a
// lease and a cancellation cannot be kept in every outage; there the bound is the
// time of the lock, for which a leader acts on its entitlement in any case.
func NewBounds(cancellationTimeout, leaseTTL, lockTTL clock.Micros) Bounds {
	renewalWindow := cancellationTimeout - leaseTTL - clock.MutualDrift(cancellationTimeout) - deliveryMargin
	return Bounds{RenewalWindow: max(renewalWindow, lockTTL), StartWindow: lockTTL}
}

// Tracker is a leader's account of how old its copy may be.
type Tracker struct {
	bounds Bounds
	// lastReadSentAt is when the newest read that has come back was sent.
	lastReadSentAt clock.Micros
	// entitlementRegainedAt is when an entitlement that had ended was regained.
	entitlementRegainedAt clock.Micros
}

// NewTracker makes the account of a leader whose copy rests on a read sent at an
// instant.
func NewTracker(bounds Bounds, lastReadSentAt clock.Micros) *Tracker {
	return &Tracker{bounds: bounds, lastReadSentAt: lastReadSentAt}
}

// RecordRead takes the news that a read sent at an instant has come back.
func (tracker *Tracker) RecordRead(sentAt clock.Micros) {
	tracker.lastReadSentAt = max(tracker.lastReadSentAt, sentAt)
}

// LastReadSentAt is when the newest read that has come back was sent.
func (tracker *Tracker) LastReadSentAt() clock.Micros { return tracker.lastReadSentAt }

// RecordEntitlementRegained takes the news that the entitlement to act had ended and is back.
func (tracker *Tracker) RecordEntitlementRegained(now clock.Micros) {
	tracker.entitlementRegainedAt = max(tracker.entitlementRegainedAt, now)
}

// RenewLeasesUntil is the instant before which workers' leases may be renewed.
func (tracker *Tracker) RenewLeasesUntil() clock.Micros {
	return tracker.lastReadSentAt + tracker.bounds.RenewalWindow
}

// StartTasksUntil is the instant before which tasks may be started; it is past until the
// first read after an entitlement was regained.
func (tracker *Tracker) StartTasksUntil() clock.Micros {
	if tracker.lastReadSentAt < tracker.entitlementRegainedAt {
		return tracker.entitlementRegainedAt
	}
	return tracker.lastReadSentAt + tracker.bounds.StartWindow
}

// MayRenewLeases tells whether workers' leases may be renewed now.
func (tracker *Tracker) MayRenewLeases(now clock.Micros) bool {
	return now < tracker.RenewLeasesUntil()
}

// MayStartTasks tells whether tasks may be started now.
func (tracker *Tracker) MayStartTasks(now clock.Micros) bool { return now < tracker.StartTasksUntil() }
