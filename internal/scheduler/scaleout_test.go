package scheduler

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// A machine that has just come up takes tasks once it has seen the token, which its next
// heartbeat shows, so none is requested in its place. One that sends heartbeats for longer
// without having seen it is unreachable, and not counted on.
func TestNoScaleOutForMachineThatJustCameUp(t *testing.T) {
	fixture := newFixture(nil)
	fixture.scheduler.HeartbeatWindow = 8 * clock.Second
	fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 1, CPUs: 4, EstimatedRunSeconds: 50, MachineTypes: []string{"small"}})
	requests := fixture.plan().ScaleOut
	if len(requests) != 1 || requests[0].Count != 1 {
		t.Fatalf("requests %v", requests)
	}
	pool := requests[0].Pool
	machine := fixture.tracker.AddMachine("i-0", pool.Type, pool.Zone, pool.Spot, fixture.scheduler.MachineCapacity(pool.Type), fixture.now)
	machine.RecordedInStore = true
	upAt := fixture.now + 10*clock.Second
	for seq, after := range []clock.Micros{0, 4 * clock.Second, 8 * clock.Second, 9 * clock.Second} {
		fixture.now = upAt + after
		fixture.tracker.RecordHeartbeat(machine, &wire.Heartbeat{MachineID: "i-0", Incarnation: 1, Sequence: uint64(seq + 1), Address: "127.0.0.1:1"}, fixture.now)
		isScaledOut := len(fixture.plan().ScaleOut) > 0
		if isScaledOut != (after > fixture.scheduler.HeartbeatWindow) {
			t.Errorf("%v after it came up another one is requested: %v", after.Duration(), isScaledOut)
		}
	}
}

// All machines for a gang of one zone are requested in one zone, and in the next one when
// the first was empty.
func TestScaleOutForSingleZoneGangUsesOneZone(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 6, CPUs: 16, MachineTypes: []string{"big"}, Kind: wire.KindGang, SingleZone: true})
	requestedZone := func() string {
		decision := fixture.plan()
		if len(decision.ScaleOut) != 1 || decision.ScaleOut[0].Count != 6 {
			t.Fatalf("requests %v", decision.ScaleOut)
		}
		return decision.ScaleOut[0].Pool.Zone
	}
	firstZone := requestedZone()
	fixture.scheduler.ObserveEmptyPool(Pool{"big", firstZone, false}, fixture.now)
	if secondZone := requestedZone(); secondZone == firstZone {
		t.Fatal("the empty zone is asked again")
	}
}

// A machine for a replica on a suspected machine is requested before the loss is confirmed;
// the replica is not started before.
func TestScaleOutForSuspectedMachinesBeforeLossIsConfirmed(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	fixture.scheduler.HeartbeatWindow = 5 * clock.Second
	machine := fixture.addMachine("i-0", "small", "x", false)
	job := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 1, CPUs: 4, Priority: wire.PriorityProduction, Kind: wire.KindService})
	fixture.plan()
	if job.ActiveCount() != 1 {
		t.Fatal("not placed")
	}
	fixture.tracker.HeartbeatCommands(machine, fixture.now)
	fixture.now += 4 * clock.Second
	if decision := fixture.plan(); len(decision.ScaleOut) != 0 {
		t.Fatalf("requested too early: %v", decision.ScaleOut)
	}
	fixture.now += 2 * clock.Second
	decision := fixture.plan()
	if len(decision.ScaleOut) != 1 || decision.ScaleOut[0].Count != 1 || decision.ScaleOut[0].Pool.Spot {
		t.Fatalf("requests %v", decision.ScaleOut)
	}
	if d := fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, []PendingScaleOut{{Pool: decision.ScaleOut[0].Pool, Count: 1}}); len(d.ScaleOut) != 0 || job.ActiveCount() != 1 {
		t.Fatalf("requested twice: %v", d.ScaleOut)
	}
}

// An empty pool is not asked for a while, and the next zone is.
func TestEmptyPoolBacksOff(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 3, CPUs: 16, EstimatedRunSeconds: 50, MachineTypes: []string{"big"}})
	firstRequests := fixture.plan().ScaleOut
	if len(firstRequests) == 0 {
		t.Fatal("no machine is requested")
	}
	for _, request := range firstRequests {
		fixture.scheduler.ObserveEmptyPool(request.Pool, fixture.now)
	}
	for _, request := range fixture.plan().ScaleOut {
		for _, earlier := range firstRequests {
			if earlier.Pool == request.Pool {
				t.Fatalf("%v is asked again at once", request.Pool)
			}
		}
	}
	if len(fixture.scheduler.Plan(fixture.tracker, fixture.now+60*clock.Second, fixture.now+60*clock.Second, nil).ScaleOut) == 0 {
		t.Fatal("never asked again")
	}
}

// When a whole zone is suspected, machines for its replicas are requested in another: in that
// one they would be unreachable too.
func TestNoScaleOutInSuspectedZone(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	fixture.scheduler.HeartbeatWindow = 5 * clock.Second
	machinesByZone := map[string][]*allocation.Machine{}
	for i := 0; i < 12; i++ {
		zone := []string{"x", "y"}[i%2]
		machinesByZone[zone] = append(machinesByZone[zone], fixture.addMachine(fmt.Sprintf("i-%02d", i), "small", zone, false))
	}
	fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 12, CPUs: 4, Priority: wire.PriorityProduction, Kind: wire.KindService, SpreadZones: true, MachineTypes: []string{"small"}})
	fixture.plan()
	sendHeartbeats := func(zone string) {
		for _, machine := range machinesByZone[zone] {
			fixture.heartbeatSeqs[machine.Name]++
			heartbeat := &wire.Heartbeat{MachineID: machine.Name, Incarnation: 1, Sequence: fixture.heartbeatSeqs[machine.Name], FencingToken: 1, Address: "127.0.0.1:1"}
			machine.ForEachPlacement(func(placement *allocation.Placement) {
				heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{TaskID: wire.TaskID(placement.Job.Spec.ID, placement.TaskIndex), Attempt: placement.Attempt, State: wire.TaskRunning})
			})
			fixture.tracker.RecordHeartbeat(machine, heartbeat, fixture.now)
		}
	}
	sendHeartbeats("x")
	sendHeartbeats("y")
	fixture.now += 6 * clock.Second
	sendHeartbeats("y")
	decision := fixture.plan()
	if len(decision.ScaleOut) == 0 {
		t.Fatal("no machine is requested for the replicas of the suspected zone")
	}
	for _, request := range decision.ScaleOut {
		if request.Pool.Zone == "x" {
			t.Fatalf("requests %v in the suspected zone", request)
		}
	}
}

// The first machines of a burst to come up are the fast ones. Added after the others counted
// as overdue by their times alone, and each was requested a second time.
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
	if decision := fixture.plan(); len(decision.ScaleOut) > 0 {
		t.Errorf("%d machines boot in their usual time, and %v is requested", len(booting), decision.ScaleOut)
	}
	fixture.now += 60 * clock.Second
	if decision := fixture.plan(); len(decision.ScaleOut) == 0 {
		t.Error("all machines are overdue, and none is requested for them")
	}
}

// An array waits a while for a spot machine; a gang does not, which would need all
// its machines to come in that time.
func TestGangDoesNotWaitForSpotMachines(t *testing.T) {
	for _, kind := range []string{wire.KindArray, wire.KindGang} {
		fixture := newFixture(nil)
		fixture.scheduler.Settings.SpotWaitTimeout = 40 * clock.Second
		for _, typeName := range []string{"big", "small"} {
			for _, zone := range []string{"x", "y", "z"} {
				fixture.scheduler.ObserveEmptyPool(Pool{typeName, zone, true}, fixture.now)
			}
		}
		fixture.addJob(wire.Job{ID: "req-000001", Kind: kind, TaskCount: 4, CPUs: 4, EstimatedRunSeconds: 100, AllowsSpot: true})
		if decision := fixture.plan(); (len(decision.ScaleOut) > 0) != (kind == wire.KindGang) {
			t.Errorf("%s: requested %v", kind, decision.ScaleOut)
		}
	}
}
