// Package staleness bounds what a leader may do while its view of the key-value store may lack a
// cancellation. It reads no clock and does no I/O: callers pass in times and get deadlines.
//
// Any controller may confirm a cancellation, and the leader learns of it by reading the store. Let P be
// LastReadSentAt, the time at which the newest completed read was *sent*: the leader knows every
// cancellation that was confirmed before P. After a confirmation a task of the job may stay on a
// machine for the cancellation timeout (PROTOCOL, "POST /api/jobs/{id}/withdraw" and "Rules"). The
// following invariants hold:
//
//   - A reply that renews a worker's lease is sent before P + RenewalWindow, where RenewalWindow + lease <
//     cancellation timeout. A cancellation that the leader doesn't know of was confirmed after P, and the
//     worker ends the task when its lease ends, if not earlier.
//   - A start is sent before P + StartWindow, and never between the end of an entitlement to act and the
//     completion of the first read that is sent after the entitlement is regained. An entitlement that is
//     regained at the end of an outage doesn't show what was cancelled before the outage.
//
// See docs/design.md, "How old a view may be", for the proof.
package staleness

import "firwood.dev/firwood/internal/clock"

// Bounds holds the maximum ages of the newest read, as durations, at which a leader may still act on it.
type Bounds struct {
	// RenewalWindow is for how long after a read was sent workers' leases may be renewed.
	RenewalWindow clock.Micros
	// StartWindow is for how long after a read was sent tasks may be started.
	StartWindow clock.Micros
}

// deliveryMargin allows for late timers and for the time that a reply is in transit.
const deliveryMargin = clock.Second

// NewBounds derives the bounds from the workers' cancellation timeout and lease TTL and from the TTL of
// the leader's lock. If the settings leave no time between a lease and the cancellation timeout, the
// timeout can't be kept in every outage. The renewal window is then the TTL of the lock, because a leader
// may act on its entitlement for that long in any case.
func NewBounds(cancellationTimeout, leaseTTL, lockTTL clock.Micros) Bounds {
	renewalWindow := cancellationTimeout - leaseTTL - clock.MutualDrift(cancellationTimeout) - deliveryMargin
	return Bounds{RenewalWindow: max(renewalWindow, lockTTL), StartWindow: lockTTL}
}

// Tracker tracks the age of a leader's view of the store. It is not safe for concurrent use.
type Tracker struct {
	bounds Bounds
	// lastReadSentAt is when the newest completed read was sent.
	lastReadSentAt clock.Micros
	// entitlementRegainedAt is when the leader last regained an entitlement that had lapsed, 0 if never.
	entitlementRegainedAt clock.Micros
}

// NewTracker returns a tracker for a view that is based on a read sent at lastReadSentAt.
func NewTracker(bounds Bounds, lastReadSentAt clock.Micros) *Tracker {
	return &Tracker{bounds: bounds, lastReadSentAt: lastReadSentAt}
}

// RecordRead records that a read sent at sentAt has completed.
func (tracker *Tracker) RecordRead(sentAt clock.Micros) {
	tracker.lastReadSentAt = max(tracker.lastReadSentAt, sentAt)
}

// LastReadSentAt returns when the newest completed read was sent.
func (tracker *Tracker) LastReadSentAt() clock.Micros { return tracker.lastReadSentAt }

// RecordEntitlementRegained records that the entitlement to act had lapsed and was regained now.
func (tracker *Tracker) RecordEntitlementRegained(now clock.Micros) {
	tracker.entitlementRegainedAt = max(tracker.entitlementRegainedAt, now)
}

// RenewLeasesUntil returns the time before which workers' leases may be renewed.
func (tracker *Tracker) RenewLeasesUntil() clock.Micros {
	return tracker.lastReadSentAt + tracker.bounds.RenewalWindow
}

// StartTasksUntil returns the time before which tasks may be started. After an entitlement was regained,
// this is the time at which it was regained, which has passed, until a read sent since then completes.
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
