package controller

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
)

// A member doesn't reply as delegate, after its term, in a zone that it has constrained, nor in
// one whose recorded constraint names it; it does where only another member knows of one.
func TestZoneConstraintsOutliveTerm(t *testing.T) {
	controller := newTestController(t)
	controller.view.IsLoaded = true
	controller.term = controller.newTerm(9, clock.Now())
	if controller.mayConstrainZone("y") {
		t.Fatal("constrained before it is recorded")
	}
	controller.applyConstraints(delegation.Constraints{Zones: map[string]delegation.ZoneConstraint{"y": {KnownBy: []string{"a", "b"}}, "z": {KnownBy: []string{"b"}}}}, 20)
	if !controller.mayConstrainZone("y") || controller.mayConstrainZone("x") {
		t.Fatal("the term doesn't get the constraint, or it holds for another zone")
	}
	controller.endTerm(endLockLost)
	if !controller.mayConstrainZone("y") || controller.mayConstrainZone("x") {
		t.Fatal("the constraint is forgotten with the term, or holds for another zone")
	}
	// A member that knows nothing of a constraint may act as delegate.
	controller.delegation.unconfirmedConstraints, controller.view.Constraints = nil, delegation.Constraints{Zones: map[string]delegation.ZoneConstraint{"z": {KnownBy: []string{"b"}}}}
	if controller.mayConstrainZone("z") {
		t.Fatal("bound by a constraint that only another member knows of")
	}
	controller.view.Constraints.Zones["z"] = delegation.ZoneConstraint{KnownBy: []string{"b", "a"}}
	if !controller.mayConstrainZone("z") {
		t.Fatal("not bound by a recorded constraint that names this member")
	}
}
