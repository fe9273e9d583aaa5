package delegation

import (
	"maps"
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/versionedwrite"
)

// Constraints are limits on the renewal of leases that a leader records in the key-value store for its
// successors. They bind every leader until one removes them from the store. Without them a new leader
// has to assume that leases and grants that it has not observed began with its own term. Constraints
// were added after replicas of a partitioned zone had been replaced only half a minute after the last of
// them had ended (docs/incidents/late-proof.md).
type Constraints struct {
	// Zones maps each zone in which no worker's heartbeat gets a reply to its constraint.
	Zones map[string]ZoneConstraint `json:"z,omitempty"`
	// MemberGrantUntil maps each member that gets no new grant to the end of the last grant that it
	// may have, in wall-clock time.
	MemberGrantUntil map[string]clock.Micros `json:"m,omitempty"`
}

// ZoneConstraint is the constraint on one zone.
type ZoneConstraint struct {
	// LastAnswerAt is the wall-clock time of the last heartbeat from the zone that may have got a
	// reply, not counting replies of delegates.
	LastAnswerAt clock.Micros `json:"t"`
	// KnownBy are the members that have read the constraint. They do not renew leases in the zone as
	// delegates, neither in this incarnation nor in a later one.
	KnownBy []string `json:"b,omitempty"`
}

// Equal reports whether both values hold the same constraints.
func (constraints Constraints) Equal(other Constraints) bool {
	return maps.EqualFunc(constraints.Zones, other.Zones, func(a, b ZoneConstraint) bool {
		return a.LastAnswerAt == b.LastAnswerAt && slices.Equal(a.KnownBy, b.KnownBy)
	}) &&
		maps.Equal(constraints.MemberGrantUntil, other.MemberGrantUntil)
}

// ConstraintTracker tracks which constraints a leader has to treat as in force, or as possibly in force.
// All constraints are stored under one key; see package versionedwrite. The leader has to honor a
// constraint as soon as BeginWrite has been called for it.
//
// DropSupersededValues of the embedded Tracker is not used: honoring a constraint for longer than
// necessary is safe.
type ConstraintTracker struct {
	*versionedwrite.Tracker[Constraints]
}

// NewConstraintTracker returns a tracker that starts from the stored value. That value has to be read at
// a revision no older than the leader's fencing token.
func NewConstraintTracker(constraints Constraints, version uint64) *ConstraintTracker {
	return &ConstraintTracker{versionedwrite.NewTracker(constraints, version)}
}

// MayConstrainZone reports whether a constraint on the zone may be in force.
func (tracker *ConstraintTracker) MayConstrainZone(zone string) bool {
	for constraints := range tracker.PossibleValues() {
		if _, ok := constraints.Zones[zone]; ok {
			return true
		}
	}
	return false
}

// MayConstrainMember reports whether a constraint on the member may be in force.
func (tracker *ConstraintTracker) MayConstrainMember(name string) bool {
	for constraints := range tracker.PossibleValues() {
		if _, ok := constraints.MemberGrantUntil[name]; ok {
			return true
		}
	}
	return false
}

// ConstrainedZones returns the zones on which a constraint may be in force.
func (tracker *ConstraintTracker) ConstrainedZones() map[string]bool {
	zones := map[string]bool{}
	for constraints := range tracker.PossibleValues() {
		for zone := range constraints.Zones {
			zones[zone] = true
		}
	}
	return zones
}
