package delegation

import (
	"maps"
	"slices"

	"firwood.dev/firwood/internal/clock"
)

// Constraints is what a leader leaves behind for whoever leads next, in the state
// service: promises that hold for every leader until one takes them back there.
// Without it a new leader has to reckon every lease from its own beginning, and
// every right of a member that it does not hear: once replicas of a zone that was
// cut off were started anew half a minute after the last of them had died.
type Constraints struct {
	// Zones are those in which no worker's report is answered.
	Zones map[string]ZoneConstraint `json:"z,omitempty"`
	// MemberGrantUntil are those that get no new right, with the end, as a time of day, of
	// the last that they may have.
	MemberGrantUntil map[string]clock.Micros `json:"m,omitempty"`
}

// ZoneConstraint is the promise about a zone.
type ZoneConstraint struct {
	// LastAnswerAt is the time of day of the last report there that may have been answered,
	// by delegates left out.
	LastAnswerAt clock.Micros `json:"t"`
	// KnownBy are the members that know of the promise, in all lives from then on: they
	// renew no leases as delegates there.
	KnownBy []string `json:"b,omitempty"`
}

// Equal tells whether two sets of promises say the same.
func (constraints Constraints) Equal(other Constraints) bool {
	return maps.EqualFunc(constraints.Zones, other.Zones, func(a, b ZoneConstraint) bool {
		return a.LastAnswerAt == b.LastAnswerAt && slices.Equal(a.KnownBy, b.KnownBy)
	}) &&
		maps.Equal(constraints.MemberGrantUntil, other.MemberGrantUntil)
}

// ConstraintTracker is a leader's account of which promises are, or may be, in force. The
// promises have one key, which is never deleted, and every write is conditional on
// its version: once one is carried out, no earlier one can be any more.
type ConstraintTracker struct {
	confirmed     Constraints
	version       uint64
	pending       []Constraints // written, not known to have failed, and not overtaken
	writeInFlight bool
}

// NewConstraintTracker starts from what the state service has, as new as the leader's token.
func NewConstraintTracker(constraints Constraints, version uint64) *ConstraintTracker {
	return &ConstraintTracker{confirmed: constraints, version: version}
}

// Current is what is known to be in force.
func (tracker *ConstraintTracker) Current() (Constraints, uint64) {
	return tracker.confirmed, tracker.version
}

// IsConfirmed tells that what is known to be in force is all that may be.
func (tracker *ConstraintTracker) IsConfirmed() bool { return len(tracker.pending) == 0 }

// MayConstrainZone tells whether a promise about the zone may be in force.
func (tracker *ConstraintTracker) MayConstrainZone(zone string) bool {
	_, ok := tracker.confirmed.Zones[zone]
	return ok || slices.ContainsFunc(tracker.pending, func(constraints Constraints) bool { _, ok := constraints.Zones[zone]; return ok })
}

// MayConstrainMember tells whether a promise about the member may be in force.
func (tracker *ConstraintTracker) MayConstrainMember(name string) bool {
	_, ok := tracker.confirmed.MemberGrantUntil[name]
	return ok || slices.ContainsFunc(tracker.pending, func(constraints Constraints) bool { _, ok := constraints.MemberGrantUntil[name]; return ok })
}

// ConstrainedZones are those that a promise may be in force about.
func (tracker *ConstraintTracker) ConstrainedZones() map[string]bool {
	zones := map[string]bool{}
	for _, constraints := range append(slices.Clone(tracker.pending), tracker.confirmed) {
		for zone := range constraints.Zones {
			zones[zone] = true
		}
	}
	return zones
}

// BeginWrite begins a write of a promises, conditional on the returned version; false
// means that one is under way. What it promises is to be kept from now on.
func (tracker *ConstraintTracker) BeginWrite(constraints Constraints) (version uint64, ok bool) {
	if tracker.writeInFlight {
		return 0, false
	}
	tracker.writeInFlight = true
	tracker.pending = append(tracker.pending, constraints)
	return tracker.version, true
}

// RecordCommit takes the news that the write is carried out.
func (tracker *ConstraintTracker) RecordCommit(version uint64) {
	tracker.writeInFlight = false
	tracker.confirmed, tracker.version = tracker.pending[len(tracker.pending)-1], version
	tracker.pending = nil
}

// RecordRefusal takes the news that the write will never be carried out.
func (tracker *ConstraintTracker) RecordRefusal() {
	tracker.writeInFlight = false
	tracker.pending = tracker.pending[:len(tracker.pending)-1]
}

// RecordUnknownOutcome takes the news that the write may have been carried out, or may yet be.
func (tracker *ConstraintTracker) RecordUnknownOutcome() { tracker.writeInFlight = false }

// ObserveStored takes the promises as the state service has it.
func (tracker *ConstraintTracker) ObserveStored(constraints Constraints, version uint64) {
	if version <= tracker.version {
		return
	}
	tracker.confirmed, tracker.version = constraints, version
	if !tracker.writeInFlight {
		tracker.pending = nil // each was conditional on an older version
	}
}
