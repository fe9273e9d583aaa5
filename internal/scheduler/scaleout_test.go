package scheduler

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// A machine that has just come up confirms the fencing token with its next heartbeat and then takes
// tasks, so no other machine may be requested in its place. A machine that sends heartbeats for longer
// than the window without confirming the token is unreachable: it is no longer expected to take tasks,
// and another machine is requested.
func TestNoScaleOutForMachineThatJustCameUp(t *testing.T) {
	fixture := newFixture(nil)
	fixture.scheduler.HeartbeatWindow = 8 * clock.Second
	fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 1, CPUs: 4, EstimatedRunSeconds: 50, MachineTypes: []string{"small"}})
	requests := fixture.plan().ScaleOut
	if len(requests) != 1 || requests[0].Count != 1 {
		t.Fatalf("scale-out requests for one task: got %v, want one request for one machine", requests)
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
			t.Errorf("%v after the machine came up: another one is requested: got %v, want true only after 8 s", after.Duration(), isScaledOut)
		}
	}
}

// All machines for a SingleZone gang are requested in one zone. If that zone is empty, all are
// requested in another.
func TestScaleOutForSingleZoneGangUsesOneZone(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 6, CPUs: 16, MachineTypes: []string{"big"}, Kind: wire.KindGang, SingleZone: true})
	requestedZone := func() string {
		decision := fixture.plan()
		if len(decision.ScaleOut) != 1 || decision.ScaleOut[0].Count != 6 {
			t.Fatalf("scale-out requests for a gang of six: got %v, want one request for 6 machines", decision.ScaleOut)
		}
		return decision.ScaleOut[0].Pool.Zone
	}
	firstZone := requestedZone()
	fixture.scheduler.ObserveEmptyPool(Pool{"big", firstZone, false}, fixture.now)
	if secondZone := requestedZone(); secondZone == firstZone {
		t.Fatal("the second request went to the zone whose pool was found empty after the first")
	}
}

// A machine for a replica on a suspected machine is requested before the loss of the replica is
// confirmed, but the replica is not started again before that.
func TestScaleOutForSuspectedMachinesBeforeLossIsConfirmed(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	fixture.scheduler.HeartbeatWindow = 5 * clock.Second
	machine := fixture.addMachine("i-0", "small", "x", false)
	job := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 1, CPUs: 4, Priority: wire.PriorityProduction, Kind: wire.KindService})
	fixture.plan()
	if job.ActiveCount() != 1 {
		t.Fatal("the replica is not placed on the only machine")
	}
	fixture.tracker.HeartbeatCommands(machine, fixture.now)
	fixture.now += 4 * clock.Second
	if decision := fixture.plan(); len(decision.ScaleOut) != 0 {
		t.Fatalf("scale-out requests before the heartbeat window has passed: got %v, want none", decision.ScaleOut)
	}
	fixture.now += 2 * clock.Second
	decision := fixture.plan()
	if len(decision.ScaleOut) != 1 || decision.ScaleOut[0].Count != 1 || decision.ScaleOut[0].Pool.Spot {
		t.Fatalf("scale-out requests for the suspected replica: got %v, want one on-demand machine", decision.ScaleOut)
	}
	if d := fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, []PendingScaleOut{{Pool: decision.ScaleOut[0].Pool, Count: 1}}); len(d.ScaleOut) != 0 || job.ActiveCount() != 1 {
		t.Fatalf("with the first request pending: got scale-out requests %v, want none and the replica still on its machine", d.ScaleOut)
	}
}

// An empty pool is not asked again for a while; machines are requested from other pools meanwhile.
func TestEmptyPoolBacksOff(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 3, CPUs: 16, EstimatedRunSeconds: 50, MachineTypes: []string{"big"}})
	firstRequests := fixture.plan().ScaleOut
	if len(firstRequests) == 0 {
		t.Fatal("got no scale-out request for a waiting job, want at least one")
	}
	for _, request := range firstRequests {
		fixture.scheduler.ObserveEmptyPool(request.Pool, fixture.now)
	}
	for _, request := range fixture.plan().ScaleOut {
		for _, earlier := range firstRequests {
			if earlier.Pool == request.Pool {
				t.Fatalf("pool %v was found empty and is asked again at once", request.Pool)
			}
		}
	}
	if len(fixture.scheduler.Plan(fixture.tracker, fixture.now+60*clock.Second, fixture.now+60*clock.Second, nil).ScaleOut) == 0 {
		t.Fatal("got no scale-out request 60 s after the pools were found empty, want at least one")
	}
}

// If a whole zone is suspected, machines for its replicas are requested in other zones, since new
// machines in the suspected zone would be unreachable too.
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
		t.Fatal("got no scale-out request for the replicas of the suspected zone, want at least one")
	}
	for _, request := range decision.ScaleOut {
		if request.Pool.Zone == "x" {
			t.Fatalf("scale-out request %v is in the suspected zone", request)
		}
	}
}

// The machines of a burst that come up first are the fast ones. Judged by their boot times alone, the
// other machines would count as overdue, and each would be requested a second time.
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
	fixture.now += 14 * clock.Second // the type's nominal boot time is 15 s
	if decision := fixture.plan(); len(decision.ScaleOut) > 0 {
		t.Errorf("scale-out requests while %d machines are within the nominal boot time: got %v, want none", len(booting), decision.ScaleOut)
	}
	fixture.now += 60 * clock.Second
	if decision := fixture.plan(); len(decision.ScaleOut) == 0 {
		t.Error("got no scale-out request though all machines are overdue, want at least one")
	}
}

// An array waits for a spot machine for a while. A gang does not, since all its machines would have
// to become available within that time.
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
			t.Errorf("%s with all spot pools empty: got scale-out requests %v, want some only for a gang", kind, decision.ScaleOut)
		}
	}
}

// refuseScaleOuts has the cloud answer all of a plan's requests: each pool grants at most the given number
// of machines. It returns the number of machines that were requested.
func (fixture *schedulerFixture) refuseScaleOuts(requests []ScaleOutRequest, granted int) (requested int) {
	for _, request := range requests {
		requested += request.Count
		if granted == 0 {
			fixture.scheduler.ObserveEmptyPool(request.Pool, fixture.now)
			continue
		}
		fixture.scheduler.ObserveScaleOutResult(request.Pool, request.Count, min(granted, request.Count), fixture.now)
	}
	return requested
}

// Guards against a gang that is never requested again after each pool has refused once: the refusals stood for
// good, also when the cloud had machines again. They may delay the next request only by the longest wait between two
// attempts and a pool's backoff.
func TestGangIsRequestedAgainAfterRefusalsByAllPools(t *testing.T) {
	for _, spec := range []wire.Job{
		{TaskCount: 2},
		{TaskCount: 2, SingleZone: true},
		{TaskCount: 2, SpreadZones: true},
		{TaskCount: 2, AllowsSpot: true},
		{TaskCount: 3, Zone: "z"},
		{TaskCount: 12, AllowsSpot: true, SpreadZones: true},
		{TaskCount: 30, AllowsSpot: true, SingleZone: true},
	} {
		for _, granted := range []int{0, 1} { // a grant of a part counts as a refusal
			fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
			spec.ID, spec.Team, spec.Kind, spec.CPUs, spec.GPUs, spec.EstimatedRunSeconds = "req-000001", "a", wire.KindGang, 10, 2, 60
			fixture.addJob(spec)
			outageEnd := fixture.now + 25*clock.Second
			for ; fixture.now < outageEnd; fixture.now += 100 * clock.Millisecond {
				fixture.refuseScaleOuts(fixture.plan().ScaleOut, granted)
			}
			deadline := outageEnd + min(clock.Micros(spec.TaskCount)*gangRetryInterval<<maxGangRetryShift, maxGangRetryWait) + maxPoolBackoff
			isRequested := false
			for ; fixture.now <= deadline && !isRequested; fixture.now += 100 * clock.Millisecond {
				isRequested = len(fixture.plan().ScaleOut) > 0
			}
			if !isRequested {
				t.Errorf("gang %+v, %d machines granted: no machine is requested within %v s after the cloud has machines again", spec, granted, (deadline - outageEnd).Seconds())
			}
		}
	}
}

// Guards against a SingleZone gang that is bound to a zone whose pools have refused, because some of its tasks fit
// there, while another zone was never asked.
func TestSingleZoneGangLeavesZoneThatHasTooFewMachines(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	fixture.addMachine("i-0", "big", "x", false)
	fixture.scheduler.ObserveEmptyPool(Pool{"big", "x", false}, fixture.now)
	fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 2, CPUs: 16, MachineTypes: []string{"big"}, Kind: wire.KindGang, SingleZone: true})
	fixture.now += 60 * clock.Second // past the backoff of the pool
	decision := fixture.plan()
	if len(decision.ScaleOut) != 1 || decision.ScaleOut[0].Pool.Zone == "x" || decision.ScaleOut[0].Count != 2 {
		t.Errorf("zone x holds one task of two and refused more: got scale-out requests %v, want one for 2 machines in another zone", decision.ScaleOut)
	}
}

// Guards against the cost of a gang that the cloud can't hold: an attempt to get its machines is repeated only after
// a time that grows with the machines that it needs and with the attempts that failed.
func TestAttemptsForInfeasibleGangGetRarer(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	const taskCount = 10
	fixture.addJob(wire.Job{ID: "req-000001", Team: "a", Kind: wire.KindGang, TaskCount: taskCount, CPUs: 10, GPUs: 2, EstimatedRunSeconds: 60, MachineTypes: []string{"big"}, Zone: "x"})
	var attempts []clock.Micros
	for end := fixture.now + 1800*clock.Second; fixture.now < end; fixture.now += clock.Second {
		if fixture.refuseScaleOuts(fixture.plan().ScaleOut, taskCount-1) > 0 {
			attempts = append(attempts, fixture.now)
		}
	}
	if len(attempts) < 5 {
		t.Fatalf("attempts within 1800 s: got %d, want at least 5", len(attempts))
	}
	wait := taskCount * gangRetryInterval
	for i := 1; i < len(attempts); i++ {
		if gap := attempts[i] - attempts[i-1]; gap < wait || gap > wait+maxPoolBackoff {
			t.Errorf("attempt %d: got a gap of %v s, want %v s and up to a pool's backoff more", i, gap.Seconds(), wait.Seconds())
		}
		wait = min(2*wait, taskCount*gangRetryInterval<<maxGangRetryShift)
	}
}

// Guards against jobs that wait for the end of a task that runs far beyond its estimate: it counted as ending within a boot
// time for as long as it ran, so that no machine was requested for work that could use its room.
func TestNoWaitForTasksThatOutliveTheirForecast(t *testing.T) {
	const estimate, observedRuns = 20, 50
	for _, kind := range []string{wire.KindArray, wire.KindService, wire.KindGang} {
		for _, age := range []clock.Micros{0, 60 * clock.Second, 200 * clock.Second, 700 * clock.Second} {
			fixture := newFixture(map[string]allocation.TeamQuota{"a": {}, "b": {}})
			occupant := fixture.addJob(wire.Job{ID: "req-000001", Class: "c", Team: "a", TaskCount: 1, CPUs: 16, EstimatedRunSeconds: estimate})
			for i := range observedRuns { // most tasks of the class run for about their estimate
				fixture.scheduler.ObserveTaskRun(occupant, estimate*(0.8+0.4*float64(i)/observedRuns), fixture.now)
			}
			machine := fixture.addMachine("i-0", "big", "x", false)
			if err := fixture.tracker.PlaceTask(occupant, 0, machine, fixture.tracker.NextAttempt(), fixture.now); err != nil {
				t.Fatal(err)
			}
			fixture.reportTasks(machine, wire.TaskRunning)
			startedAt := fixture.now
			fixture.now += age
			waiting := fixture.addJob(wire.Job{ID: "req-000002", Class: "d", Team: "b", Kind: kind, TaskCount: 1, CPUs: 16, MachineTypes: []string{"big"}, EstimatedRunSeconds: 60})
			bootTime := fixture.scheduler.BootTime("big", medianBootPercentile)
			deadline := max(startedAt+clock.FromSeconds(outlivedFactor*estimate), fixture.now) + bootTime
			isRequested := false
			for ; fixture.now <= deadline && !isRequested; fixture.now += clock.Second {
				isRequested = len(fixture.plan().ScaleOut) > 0
			}
			if !isRequested {
				t.Errorf("%s that waits for a task of age %v s with an estimate of %d s: no machine is requested within %v s", waiting.Spec.Kind, age.Seconds(), estimate, (deadline - startedAt - age).Seconds())
			}
		}
	}
}
