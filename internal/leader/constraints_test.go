package leader

import (
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// A new leader that finds a constrained zone counts the leases there from the last reply
// recorded, not from its own start; it replies to no heartbeat there before the constraint
// is lifted, and tells at its end which zones it has constrained.
func TestNewLeaderAdoptsZoneConstraint(t *testing.T) {
	term := newTestTerm(t, "i-1", "i-2")
	owner := ownerOf(term)
	leaseEndWithoutConstraint := term.tracker.LeaseEndsAt(term.tracker.Machines["i-1"])
	lastAnswerAge := 20 * clock.Second
	owner.View.Constraints = delegation.Constraints{
		Zones:            map[string]delegation.ZoneConstraint{"x": {LastAnswerAt: clock.WallTime() - lastAnswerAge, KnownBy: []string{"a"}}},
		MemberGrantUntil: map[string]clock.Micros{"b": clock.WallTime() - lastAnswerAge},
	}
	owner.View.ConstraintsVersion = 8
	term = owner.newTerm(10, clock.Now())
	term.entitlement.actDeadline.Store(1 << 62)
	machine := term.tracker.Machines["i-1"]
	if early := leaseEndWithoutConstraint - term.tracker.LeaseEndsAt(machine); early < lastAnswerAge {
		t.Fatalf("the lease ends only %d us sooner than without the constraint", early)
	}
	term.HandleHeartbeat(&wire.Heartbeat{MachineID: "i-1", Zone: "x", Incarnation: 1, Sequence: 5, FencingToken: 10}, &server.Reply{})
	if len(term.renewals.deferredHeartbeats) != 1 || machine.LastHeartbeatAt != 0 {
		t.Fatal("a heartbeat from a constrained zone is not deferred")
	}
	// The constraint is being lifted; nothing is sent before that is durable.
	constraints := term.renewals.constraints.Confirmed()
	if !term.renewals.constraints.MayConstrainZone("x") || term.renewals.constraints.IsConfirmed() || len(constraints.Zones) != 1 {
		t.Fatal("the constraint is not being lifted, or counts as lifted already")
	}
	term.renewals.constraints.RecordCommit(9)
	owner.View.Constraints, owner.View.ConstraintsVersion = delegation.Constraints{}, 9
	term.retryDeferredHeartbeats()
	if len(term.renewals.deferredHeartbeats) != 0 || machine.LastHeartbeatAt == 0 {
		t.Fatal("the deferred heartbeat is not handled")
	}
	if term.tracker.LeaseEndsAt(machine) < machine.LastHeartbeatAt+24*clock.Second {
		t.Fatal("the lease of a machine that got a reply is counted from before it")
	}
	// A constraint that this member knows of outlives its term.
	term.renewals.constraints.ObserveStored(delegation.Constraints{Zones: map[string]delegation.ZoneConstraint{"y": {KnownBy: []string{"a", "b"}}, "z": {KnownBy: []string{"b"}}}}, 20)
	if zones := term.Close(); !zones["y"] || zones["x"] {
		t.Fatal("the constraint is forgotten with the term, or holds for another zone")
	}
}

// A zone without reachable machines is constrained, one with a reachable machine is not, nor
// one in which machines of this term boot and nothing else is.
func TestUnreachableZonesAreConstrained(t *testing.T) {
	term := newTestTerm(t, "i-1", "i-2")
	term.entitlement.actDeadline.Store(1 << 62)
	add := func(name, zone string) *allocation.Machine {
		return term.tracker.AddMachine(name, "big", zone, false, allocation.Resources{}, term.liveness.startedAt)
	}
	bootingMachine := add("i-9", "y")
	bootingMachine.CreatedAt = term.liveness.startedAt + clock.Second // requested in this term, boots
	now := term.liveness.startedAt + term.environment.Timing.HeartbeatWindow + clock.Second
	term.updateConstraints(now)
	if !term.renewals.constraints.MayConstrainZone("x") || term.renewals.constraints.MayConstrainZone("y") {
		t.Fatalf("constrained %v", term.renewals.constraints.ConstrainedZones())
	}
	term.renewals.constraints.RecordRefusal()
	term.tracker.Machines["i-2"].LastHeartbeatAt = now
	term.updateConstraints(now)
	if term.renewals.constraints.MayConstrainZone("x") {
		t.Fatal("a reachable zone is constrained")
	}
}

// A deferred heartbeat with a higher token ends the term; the heartbeats after it are refused, and
// renew no lease. A closed term once replied 200 to them: its deadline of 0 counted as none.
func TestDeferredHeartbeatsAreRefusedOnceTermIsOver(t *testing.T) {
	term := newTestTerm(t, "i-1", "i-2")
	owner := ownerOf(term)
	owner.term = term
	term.entitlement.actDeadline.Store(1 << 62)
	statuses := map[string]int{}
	for _, heartbeat := range []*wire.Heartbeat{
		{MachineID: "i-1", Zone: "x", Incarnation: 1, Sequence: 1, FencingToken: 10},
		{MachineID: "i-2", Zone: "x", Incarnation: 1, Sequence: 1, FencingToken: 9},
	} {
		reply := server.NewReply(func(status int, _ []byte, _ int) { statuses[heartbeat.MachineID] = status })
		term.renewals.deferredHeartbeats = append(term.renewals.deferredHeartbeats, deferredHeartbeat{heartbeat: heartbeat, reply: reply, receivedAt: clock.Now()})
	}
	term.retryDeferredHeartbeats()
	if !term.isClosed || statuses["i-1"] != 503 || statuses["i-2"] != 503 {
		t.Fatalf("the term is closed: %v, the replies are %v", term.isClosed, statuses)
	}
	if term.replyDeadline(nil) == 0 {
		t.Error("a closed term's replies have no deadline")
	}
}
