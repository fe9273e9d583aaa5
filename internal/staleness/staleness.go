// Package staleness bounds what a leader may do while its view of the key-value store may lack a
// cancellation. It is pure: instants come in, deadlines come out.
//
// A cancellation may be confirmed by any controller, and the leader learns of it by reading the
// store. Let P be LastReadSentAt, the instant at which the newest read that has completed was
// *sent*: the leader knows every cancellation that was confirmed before P. After a confirmation a
// task of the job may stay on a machine for the cancellation timeout (PROTOCOL, "POST
// /api/jobs/{id}/withdraw" and "Rules"). Invariants:
//
//   - An answer that renews a worker's lease goes out before P + RenewalWindow, where
//     RenewalWindow + lease < cancellation timeout. A cancellation that the leader doesn't know
//     of was confirmed after P, and the worker ends the task with its lease at the latest.
//   - A start goes out before P + StartWindow, and never between the end of an entitlement and
//     the first read after it. An entitlement that is regained at the end of an outage says
//     nothing about what was cancelled before the outage.
//
// docs/design.md, "How old a view may be", has the argument.
package staleness

import "firwood.dev/firwood/internal/clock"

// Bounds are the maximum ages of a read at which a leader may still act on it; both are
// durations.
type Bounds struct {
	// RenewalWindow is for how long after a read workers' leases may be renewed.
	RenewalWindow clock.Micros
	// StartWindow is for how long after a read tasks may be started.
	StartWindow clock.Micros
}

// deliveryMargin covers late timers and the transit of an answer.
const deliveryMargin = clock.Second

// NewBounds derives the bounds from the workers' cancellation timeout and lease TTL, and from the
// TTL of the leader's lock. Settings that leave no time between a lease and a cancellation can't
// be kept in every outage; the bound is then the lock's TTL, for which a leader may act on its
// entitlement in any case.
func NewBounds(cancellationTimeout, leaseTTL, lockTTL clock.Micros) Bounds {
	renewalWindow := cancellationTimeout - leaseTTL - clock.MutualDrift(cancellationTimeout) - deliveryMargin
	return Bounds{RenewalWindow: max(renewalWindow, lockTTL), StartWindow: lockTTL}
}

// Tracker tracks the age of a leader's view of the store. It isn't safe for concurrent use.
type Tracker struct {
	bounds Bounds
	// lastReadSentAt is when the newest read that has completed was sent.
	lastReadSentAt clock.Micros
	// entitlementRegainedAt is when an entitlement that had lapsed was regained; 0 if never.
	entitlementRegainedAt clock.Micros
}

// NewTracker starts with a view that rests on a read sent at lastReadSentAt.
func NewTracker(bounds Bounds, lastReadSentAt clock.Micros) *Tracker {
	return &Tracker{bounds: bounds, lastReadSentAt: lastReadSentAt}
}

// RecordRead records that a read sent at sentAt has completed.
func (tracker *Tracker) RecordRead(sentAt clock.Micros) {
	tracker.lastReadSentAt = max(tracker.lastReadSentAt, sentAt)
}

// LastReadSentAt returns when the newest read that has completed was sent.
func (tracker *Tracker) LastReadSentAt() clock.Micros { return tracker.lastReadSentAt }

// RecordEntitlementRegained records that the entitlement to act had lapsed and is back.
func (tracker *Tracker) RecordEntitlementRegained(now clock.Micros) {
	tracker.entitlementRegainedAt = max(tracker.entitlementRegainedAt, now)
}

// RenewLeasesUntil returns the instant before which workers' leases may be renewed.
func (tracker *Tracker) RenewLeasesUntil() clock.Micros {
	return tracker.lastReadSentAt + tracker.bounds.RenewalWindow
}

// StartTasksUntil returns the instant before which tasks may be started. After an entitlement was
// regained it is that instant, which is past, until the first read sent since has completed.
func (tracker *Tracker) StartTasksUntil() clock.Micros {
	if tracker.lastReadSentAt < tracker.entitlementRegainedAt {
		return tracker.entitlementRegainedAt
	}
	return tracker.lastReadSentAt + tracker.bounds.StartWindow
}

// MayRenewLeases reports whether workers' leases may be renewed now.
func (tracker *Tracker) MayRenewLeases(now clock.Micros) bool {
	return now < tracker.RenewLeasesUntil()
}

// MayStartTasks reports whether tasks may be started now.
func (tracker *Tracker) MayStartTasks(now clock.Micros) bool { return now < tracker.StartTasksUntil() }
