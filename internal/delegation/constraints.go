package delegation

import (
	"maps"
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/versionedwrite"
)

// Constraints are what a leader records in the key-value store for its successors; they bind
// every leader until one removes them there. Without them a new leader has to assume that leases
// and grants that it hasn't observed began with its own term. Added after replicas of a zone that
// was cut off had been replaced only half a minute after the last of them had ended
// (docs/incidents/late-proof.md).
type Constraints struct {
	// Zones are those in which no worker's heartbeat is answered.
	Zones map[string]ZoneConstraint `json:"z,omitempty"`
	// MemberGrantUntil maps each member that gets no new grant to the end of the last one that it
	// may have (time of day).
	MemberGrantUntil map[string]clock.Micros `json:"m,omitempty"`
}

// ZoneConstraint is the constraint on one zone.
type ZoneConstraint struct {
	// LastAnswerAt is the time of day of the last heartbeat in the zone that may have been
	// answered, answers of delegates left out.
	LastAnswerAt clock.Micros `json:"t"`
	// KnownBy are the members that have read the constraint: they don't renew leases as delegates
	// there, in this or any later incarnation.
	KnownBy []string `json:"b,omitempty"`
}

// Equal reports whether both are the same.
func (constraints Constraints) Equal(other Constraints) bool {
	return maps.EqualFunc(constraints.Zones, other.Zones, func(a, b ZoneConstraint) bool {
		return a.LastAnswerAt == b.LastAnswerAt && slices.Equal(a.KnownBy, b.KnownBy)
	}) &&
		maps.Equal(constraints.MemberGrantUntil, other.MemberGrantUntil)
}

// ConstraintTracker is a leader's knowledge of which constraints are, or may be, in force. They
// live under one key; see package versionedwrite. A constraint that is being written has to be
// honoured from BeginWrite on.
//
// Of the embedded Tracker's methods DropSupersededValues is not used: keeping a constraint for longer
// than necessary is safe.
type ConstraintTracker struct {
	*versionedwrite.Tracker[Constraints]
}

// NewConstraintTracker starts from the stored value, which has to be as new as the leader's
// token.
func NewConstraintTracker(constraints Constraints, version uint64) *ConstraintTracker {
	return &ConstraintTracker{versionedwrite.NewTracker(constraints, version)}
}

// MayConstrainZone reports whether a constraint on the zone may be in force.
func (tracker *ConstraintTracker) MayConstrainZone(zone string) bool {
	for constraints := range tracker.Possible() {
		if _, ok := constraints.Zones[zone]; ok {
			return true
		}
	}
	return false
}

// MayConstrainMember reports whether a constraint on the member may be in force.
func (tracker *ConstraintTracker) MayConstrainMember(name string) bool {
	for constraints := range tracker.Possible() {
		if _, ok := constraints.MemberGrantUntil[name]; ok {
			return true
		}
	}
	return false
}

// ConstrainedZones returns the zones on which a constraint may be in force.
func (tracker *ConstraintTracker) ConstrainedZones() map[string]bool {
	zones := map[string]bool{}
	for constraints := range tracker.Possible() {
		for zone := range constraints.Zones {
			zones[zone] = true
		}
	}
	return zones
}
