package controller

import (
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// A new leader that finds a promise about a silent zone reckons its leases from the last
// answer there, not from its own beginning; it answers nobody there before the
// promise is taken back, and answers nobody as delegate there when it leads no more.
func TestNewLeaderAdoptsZoneConstraint(t *testing.T) {
	term := newTestTerm(t, "i-1", "i-2")
	controller := term.controller
	plain := term.tracker.LeaseEndsAt(term.tracker.Machines["i-1"])
	ago := 20 * clock.Second
	controller.view.Constraints = delegation.Constraints{
		Zones:            map[string]delegation.ZoneConstraint{"x": {LastAnswerAt: clock.WallTime() - ago, KnownBy: []string{"a"}}},
		MemberGrantUntil: map[string]clock.Micros{"b": clock.WallTime() - ago},
	}
	controller.view.ConstraintsVersion = 8
	term = newLeaderTerm(controller, 10, clock.Now())
	term.entitlement.actDeadline.Store(1 << 62)
	machine := term.tracker.Machines["i-1"]
	if early := plain - term.tracker.LeaseEndsAt(machine); early < ago {
		t.Fatalf("the lease ends only %d us sooner than without the promise", early)
	}
	term.handleHeartbeat(&wire.Heartbeat{MachineID: "i-1", Zone: "x", Incarnation: 1, Sequence: 5, FencingToken: 10}, &server.Reply{})
	if len(term.renewals.deferredHeartbeats) != 1 || machine.LastHeartbeatAt != 0 {
		t.Fatal("a report is answered though it is promised that none is")
	}
	// It is being taken back; nothing goes out before that is durable.
	constraints := term.renewals.constraints.Confirmed()
	if !term.renewals.constraints.MayConstrainZone("x") || term.renewals.constraints.IsConfirmed() || len(constraints.Zones) != 1 {
		t.Fatal("the promise is not being taken back, or counts as taken back already")
	}
	term.renewals.constraints.RecordCommit(9)
	controller.view.Constraints, controller.view.ConstraintsVersion = delegation.Constraints{}, 9
	term.retryDeferred()
	if len(term.renewals.deferredHeartbeats) != 0 || machine.LastHeartbeatAt == 0 {
		t.Fatal("the report that waited is not taken")
	}
	if term.tracker.LeaseEndsAt(machine) < machine.LastHeartbeatAt+24*clock.Second {
		t.Fatal("a machine that was answered has its lease counted from before that")
	}
	// Word of a zone outlives the leader, with this member among those who know.
	term.renewals.constraints.ObserveStored(delegation.Constraints{Zones: map[string]delegation.ZoneConstraint{"y": {KnownBy: []string{"a", "b"}}, "z": {KnownBy: []string{"b"}}}}, 20)
	term.close()
	controller.term = nil
	controller.view.IsLoaded = true
	if !controller.mayConstrainZone("y") || controller.mayConstrainZone("x") {
		t.Fatal("a promise is forgotten with the lead")
	}
	// One who has not promised anything is free to delegation.
	controller.delegation.unconfirmedConstraints, controller.view.Constraints = nil, delegation.Constraints{Zones: map[string]delegation.ZoneConstraint{"z": {KnownBy: []string{"b"}}}}
	if controller.mayConstrainZone("z") {
		t.Fatal("bound by another member's promise")
	}
}

// The zone of which nobody is heard is promised, once; one with a machine that
// is heard is not, nor one that has none but machines that boot.
func TestSilentZonesAreConstrained(t *testing.T) {
	term := newTestTerm(t, "i-1", "i-2")
	term.entitlement.actDeadline.Store(1 << 62)
	add := func(name, zone string) *allocation.Machine {
		return term.tracker.AddMachine(name, "big", zone, false, allocation.Resources{}, term.liveness.startedAt)
	}
	bootingMachine := add("i-9", "y")
	bootingMachine.CreatedAt = term.liveness.startedAt + clock.Second // rented by this leader, boots
	now := term.liveness.startedAt + term.controller.heartbeatWindow() + clock.Second
	term.updateConstraints(now)
	if !term.renewals.constraints.MayConstrainZone("x") || term.renewals.constraints.MayConstrainZone("y") {
		t.Fatalf("promised about %v", term.renewals.constraints.ConstrainedZones())
	}
	term.renewals.constraints.RecordRefusal()
	term.tracker.Machines["i-2"].LastHeartbeatAt = now
	term.updateConstraints(now)
	if term.renewals.constraints.MayConstrainZone("x") {
		t.Fatal("a promise about a zone that is heard")
	}
}
