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
func TestWordOfASilentZone(t *testing.T) {
	l := rebuilt(t, "i-1", "i-2")
	c := l.c
	plain := l.lg.LeaseEndsAt(l.lg.Machines["i-1"])
	ago := 20 * clock.Second
	c.view.promises = delegation.Constraints{
		Zones:            map[string]delegation.ZoneConstraint{"x": {LastAnswerAt: clock.WallTime() - ago, KnownBy: []string{"a"}}},
		MemberGrantUntil: map[string]clock.Micros{"b": clock.WallTime() - ago},
	}
	c.view.promisesVersion = 8
	l = newLead(c, 10, clock.Now())
	l.deadline.Store(1 << 62)
	m := l.lg.Machines["i-1"]
	if early := plain - l.lg.LeaseEndsAt(m); early < ago {
		t.Fatalf("the lease ends only %d us sooner than without the promise", early)
	}
	l.checkin(&wire.Heartbeat{MachineID: "i-1", Zone: "x", Incarnation: 1, Sequence: 5, FencingToken: 10}, &server.Reply{})
	if len(l.held) != 1 || m.LastHeartbeatAt != 0 {
		t.Fatal("a report is answered though it is promised that none is")
	}
	// It is being taken back; nothing goes out before that is durable.
	w, _ := l.promises.Current()
	if !l.promises.MayConstrainZone("x") || l.promises.IsConfirmed() || len(w.Zones) != 1 {
		t.Fatal("the promise is not being taken back, or counts as taken back already")
	}
	l.promises.RecordCommit(9)
	c.view.promises, c.view.promisesVersion = delegation.Constraints{}, 9
	l.opened()
	if len(l.held) != 0 || m.LastHeartbeatAt == 0 {
		t.Fatal("the report that waited is not taken")
	}
	if l.lg.LeaseEndsAt(m) < m.LastHeartbeatAt+24*clock.Second {
		t.Fatal("a machine that was answered has its lease counted from before that")
	}
	// Word of a zone outlives the leader, with this member among those who know.
	l.promises.ObserveStored(delegation.Constraints{Zones: map[string]delegation.ZoneConstraint{"y": {KnownBy: []string{"a", "b"}}, "z": {KnownBy: []string{"b"}}}}, 20)
	l.close()
	c.lead = nil
	c.view.loaded = true
	if !c.promised("y") || c.promised("x") {
		t.Fatal("a promise is forgotten with the lead")
	}
	// One who has not promised anything is free to delegation.
	c.unsettledPromises, c.view.promises = nil, delegation.Constraints{Zones: map[string]delegation.ZoneConstraint{"z": {KnownBy: []string{"b"}}}}
	if c.promised("z") {
		t.Fatal("bound by another member's promise")
	}
}

// The zone of which nobody is heard is promised, once; one with a machine that
// is heard is not, nor one that has none but machines that boot.
func TestSilentZonesAreLeftWordOf(t *testing.T) {
	l := rebuilt(t, "i-1", "i-2")
	l.deadline.Store(1 << 62)
	add := func(name, zone string) *allocation.Machine {
		return l.lg.AddMachine(name, "big", zone, false, allocation.Resources{}, l.since)
	}
	y := add("i-9", "y")
	y.CreatedAt = l.since + clock.Second // rented by this leader, boots
	now := l.since + l.freshFor() + clock.Second
	l.updatePromises(now)
	if !l.promises.MayConstrainZone("x") || l.promises.MayConstrainZone("y") {
		t.Fatalf("promised about %v", l.promises.ConstrainedZones())
	}
	l.promises.RecordRefusal()
	l.lg.Machines["i-2"].LastHeartbeatAt = now
	l.updatePromises(now)
	if l.promises.MayConstrainZone("x") {
		t.Fatal("a promise about a zone that is heard")
	}
}
