package delegation

import (
	"maps"
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/versionedwrite"
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
//
// Of the embedded Tracker's methods DropSuperseded is not used: keeping a constraint
// for longer than need be is safe.
type ConstraintTracker struct {
	*versionedwrite.Tracker[Constraints]
}

// NewConstraintTracker starts from what the state service has, as new as the leader's token.
func NewConstraintTracker(constraints Constraints, version uint64) *ConstraintTracker {
	return &ConstraintTracker{versionedwrite.NewTracker(constraints, version)}
}

// MayConstrainZone tells whether a promise about the zone may be in force.
func (tracker *ConstraintTracker) MayConstrainZone(zone string) bool {
	for constraints := range tracker.Possible() {
		if _, ok := constraints.Zones[zone]; ok {
			return true
		}
	}
	return false
}

// MayConstrainMember tells whether a promise about the member may be in force.
func (tracker *ConstraintTracker) MayConstrainMember(name string) bool {
	for constraints := range tracker.Possible() {
		if _, ok := constraints.MemberGrantUntil[name]; ok {
			return true
		}
	}
	return false
}

// ConstrainedZones are those that a promise may be in force about.
func (tracker *ConstraintTracker) ConstrainedZones() map[string]bool {
	zones := map[string]bool{}
	for constraints := range tracker.Possible() {
		for zone := range constraints.Zones {
			zones[zone] = true
		}
	}
	return zones
}
