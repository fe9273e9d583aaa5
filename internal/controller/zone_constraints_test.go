package controller

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
)

// After its term, a member must not reply as delegate in a zone that it has constrained, or in a zone
// whose recorded constraint names it. It may do so where only another member knows of a constraint.
func TestZoneConstraintsOutliveTerm(t *testing.T) {
	controller := newTestController(t)
	controller.view.IsLoaded = true
	controller.term = controller.newTerm(9, clock.Now())
	if controller.mayConstrainZone("y") {
		t.Fatal("mayConstrainZone(\"y\") = true before a constraint is recorded, want false")
	}
	controller.applyConstraints(delegation.Constraints{Zones: map[string]delegation.ZoneConstraint{"y": {KnownBy: []string{"a", "b"}}, "z": {KnownBy: []string{"b"}}}}, 20)
	if !controller.mayConstrainZone("y") || controller.mayConstrainZone("x") {
		t.Fatal("during the term: want mayConstrainZone true for zone y, which has a constraint, and false for x")
	}
	controller.endTerm(endLockLost)
	if !controller.mayConstrainZone("y") || controller.mayConstrainZone("x") {
		t.Fatal("after the term: want mayConstrainZone true for zone y, which has a constraint, and false for x")
	}
	// A member that is not named by a zone's constraint may act as delegate there.
	controller.delegation.unconfirmedConstraints, controller.view.Constraints = nil, delegation.Constraints{Zones: map[string]delegation.ZoneConstraint{"z": {KnownBy: []string{"b"}}}}
	if controller.mayConstrainZone("z") {
		t.Fatal("mayConstrainZone(\"z\") = true for a constraint that names only another member, want false")
	}
	controller.view.Constraints.Zones["z"] = delegation.ZoneConstraint{KnownBy: []string{"b", "a"}}
	if !controller.mayConstrainZone("z") {
		t.Fatal("mayConstrainZone(\"z\") = false for a recorded constraint that names this member, want true")
	}
}
