package scheduler

import (
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// The first machines of a burst to come up are the fast ones. By their times alone
// the others counted as overdue, and each was rented a second time.
func TestFastFirstBootsDoNotMakeOthersOverdue(t *testing.T) {
	fixture := newFixture(nil)
	var booting []*allocation.Machine
	for i := range 10 {
		machine := fixture.tracker.AddMachine(string(rune('a'+i)), "big", "x", true, fixture.scheduler.MachineCapacity("big"), fixture.now)
		machine.RecordedInStore = true
		booting = append(booting, machine)
	}
	fixture.addJob(wire.Job{ID: "req-000001", TaskCount: 40, CPUs: 4, EstimatedRunSeconds: 60, AllowsSpot: true})
	for range 20 {
		fixture.scheduler.ObserveBoot("big", 9*clock.Second)
	}
	fixture.now += 14 * clock.Second // nominal is 15
	if decision := fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil); len(decision.ScaleOut) > 0 {
		t.Errorf("%d machines boot in their usual time, and %v is rented", len(booting), decision.ScaleOut)
	}
	fixture.now += 60 * clock.Second
	if decision := fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil); len(decision.ScaleOut) == 0 {
		t.Error("all machines are overdue, and nothing is rented for them")
	}
}

// An array waits a while for a spot machine; a gang does not, which would need all
// its machines to come in that time.
func TestGangDoesNotAwaitSpotMachines(t *testing.T) {
	for _, kind := range []string{wire.KindArray, wire.KindGang} {
		fixture := newFixture(nil)
		fixture.scheduler.Settings.SpotWaitTimeout = 40 * clock.Second
		for _, typeName := range []string{"big", "small"} {
			for _, zone := range []string{"x", "y", "z"} {
				fixture.scheduler.ObserveEmptyPool(Pool{typeName, zone, true}, fixture.now)
			}
		}
		fixture.addJob(wire.Job{ID: "req-000001", Kind: kind, TaskCount: 4, CPUs: 4, EstimatedRunSeconds: 100, AllowsSpot: true})
		if decision := fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil); (len(decision.ScaleOut) > 0) != (kind == wire.KindGang) {
			t.Errorf("%s: rented %v", kind, decision.ScaleOut)
		}
	}
}
