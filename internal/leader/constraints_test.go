package leader

import (
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// A new leader that finds a constrained zone bounds the leases there by the last reply recorded, and not
// by the start of its own term. It replies to no heartbeat from the zone until the constraint has been
// lifted. When its term ends, it returns the zones that it has constrained.
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
		t.Fatalf("the lease ends %d us earlier than without the constraint, want at least 20 s earlier", early)
	}
	term.HandleHeartbeat(&wire.Heartbeat{MachineID: "i-1", Zone: "x", Incarnation: 1, Sequence: 5, FencingToken: 10}, &server.Reply{})
	if len(term.renewals.deferredHeartbeats) != 1 || machine.LastHeartbeatAt != 0 {
		t.Fatal("a heartbeat from a constrained zone was not deferred")
	}
	// The constraint is being lifted. No reply is sent until the lifting is durable.
	constraints := term.renewals.constraints.Confirmed()
	if !term.renewals.constraints.MayConstrainZone("x") || term.renewals.constraints.IsConfirmed() || len(constraints.Zones) != 1 {
		t.Fatal("the constraint is not being lifted, or counts as lifted before the write is committed")
	}
	term.renewals.constraints.RecordCommit(9)
	owner.View.Constraints, owner.View.ConstraintsVersion = delegation.Constraints{}, 9
	term.retryDeferredHeartbeats()
	if len(term.renewals.deferredHeartbeats) != 0 || machine.LastHeartbeatAt == 0 {
		t.Fatal("the deferred heartbeat was not handled after the constraint had been lifted")
	}
	if term.tracker.LeaseEndsAt(machine) < machine.LastHeartbeatAt+24*clock.Second {
		t.Fatal("the lease of a machine that got a reply ends earlier than a lease TTL after its heartbeat")
	}
	// A constraint that names this member in KnownBy stays in force after its term.
	term.renewals.constraints.ObserveStored(delegation.Constraints{Zones: map[string]delegation.ZoneConstraint{"y": {KnownBy: []string{"a", "b"}}, "z": {KnownBy: []string{"b"}}}}, 20)
	if zones := term.Close(); !zones["y"] || zones["x"] {
		t.Fatal("after the term, zone y does not count as constrained, or zone x still does")
	}
}

// A zone without reachable machines is constrained. A zone with a reachable machine is not, and neither
// is a zone whose only machines were requested in this term and are still booting.
func TestUnreachableZonesAreConstrained(t *testing.T) {
	term := newTestTerm(t, "i-1", "i-2")
	term.entitlement.actDeadline.Store(1 << 62)
	add := func(name, zone string) *allocation.Machine {
		return term.tracker.AddMachine(name, "big", zone, false, allocation.Resources{}, term.liveness.startedAt)
	}
	bootingMachine := add("i-9", "y")
	bootingMachine.CreatedAt = term.liveness.startedAt + clock.Second // requested in this term, still booting
	now := term.liveness.startedAt + term.environment.Timing.HeartbeatWindow + clock.Second
	term.updateConstraints(now)
	if !term.renewals.constraints.MayConstrainZone("x") || term.renewals.constraints.MayConstrainZone("y") {
		t.Fatalf("constrained zones: %v, want x alone", term.renewals.constraints.ConstrainedZones())
	}
	term.renewals.constraints.RecordRefusal()
	term.tracker.Machines["i-2"].LastHeartbeatAt = now
	term.updateConstraints(now)
	if term.renewals.constraints.MayConstrainZone("x") {
		t.Fatal("a zone with a reachable machine is constrained")
	}
}

// A deferred heartbeat with a higher token ends the term. The heartbeats deferred after it are refused
// with status 503 and renew no lease. This guards against replies with status 200 from a closed term,
// whose send deadline of 0 counts as no deadline.
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
		t.Fatalf("term closed: %v, reply statuses: %v; want true and 503 for both machines", term.isClosed, statuses)
	}
	if term.replyDeadline(nil) == 0 {
		t.Error("a reply of a closed term has no send deadline")
	}
}
