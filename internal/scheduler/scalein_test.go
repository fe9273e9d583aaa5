package scheduler

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// bootingFleet plays a cloud that grants all requests, and whose machines boot for bootTimes in turn; 0 is a machine that
// never comes up. Machines that boot for longer than the scheduler's BootTimeout are deleted.
type bootingFleet struct {
	*schedulerFixture
	bootTimes            []clock.Micros
	capacity             int // the largest number of machines at a time, or 0 if there is no bound
	upAt                 map[string]clock.Micros
	requested, givenBack int
}

func newBootingFleet(fixture *schedulerFixture, bootTimes ...clock.Micros) *bootingFleet {
	fixture.scheduler.Settings.IdleTimeout, fixture.scheduler.Settings.RelaxedIdleTimeout = 25*clock.Second, 8*clock.Second
	return &bootingFleet{schedulerFixture: fixture, bootTimes: bootTimes, upAt: map[string]clock.Micros{}}
}

// second plans once, carries out what the plan decides, and advances the time by a second, in which machines come up.
func (fleet *bootingFleet) second() {
	decision := fleet.plan()
	for _, machine := range decision.ScaleIn {
		fleet.givenBack++
		fleet.tracker.RemoveMachine(machine, fleet.now)
	}
	for _, request := range decision.ScaleOut {
		granted := request.Count
		if fleet.capacity > 0 {
			granted = min(granted, max(fleet.capacity-len(fleet.tracker.Machines), 0))
		}
		fleet.scheduler.ObserveScaleOutResult(request.Pool, request.Count, granted, fleet.now)
		for range granted {
			name := fmt.Sprintf("i-%04d", fleet.requested)
			machine := fleet.tracker.AddMachine(name, request.Pool.Type, request.Pool.Zone, request.Pool.Spot, fleet.scheduler.MachineCapacity(request.Pool.Type), fleet.now)
			machine.RecordedInStore = true
			if bootTime := fleet.bootTimes[fleet.requested%len(fleet.bootTimes)]; bootTime > 0 {
				fleet.upAt[name] = fleet.now + bootTime
			}
			fleet.requested++
		}
	}
	fleet.now += clock.Second
	for _, machine := range fleet.tracker.SortedMachines() {
		upAt, comesUp := fleet.upAt[machine.Name]
		switch {
		case comesUp && fleet.now >= upAt:
			fleet.heartbeatSeqs[machine.Name]++
			fleet.tracker.RecordHeartbeat(machine, &wire.Heartbeat{MachineID: machine.Name, Incarnation: 1, Sequence: fleet.heartbeatSeqs[machine.Name], FencingToken: 1, Address: "127.0.0.1:1", Tasks: listedTasks(machine)}, fleet.now)
		case !comesUp && fleet.now-machine.CreatedAt > fleet.scheduler.BootTimeout(machine.Type):
			fleet.tracker.RemoveMachine(machine, fleet.now)
		}
	}
}

// listedTasks lists a machine's placements as a worker does whose tasks wait for their gang.
func listedTasks(machine *allocation.Machine) (tasks []wire.TaskStatus) {
	machine.ForEachPlacement(func(placement *allocation.Placement) {
		tasks = append(tasks, wire.TaskStatus{TaskID: wire.TaskID(placement.Job.Spec.ID, placement.TaskIndex), Attempt: placement.Attempt, State: wire.TaskWaitingForGang})
	})
	return tasks
}

// Guards against a gang that never starts because its machines are returned as idle, each before the last one is up: the
// machines' boot times differ by more than the idle timeout. All machines are requested once and none is returned.
func TestMachinesOfWaitingGangAreKept(t *testing.T) {
	fast, slow := 2*clock.Second, 35*clock.Second
	for _, spec := range []wire.Job{
		{TaskCount: 2}, {TaskCount: 3, AllowsSpot: true}, {TaskCount: 8, SingleZone: true}, {TaskCount: 6, SpreadZones: true}, {TaskCount: 40},
	} {
		fleet := newBootingFleet(newFixture(map[string]allocation.TeamQuota{"a": {}}), fast, slow)
		spec.ID, spec.Team, spec.Kind, spec.CPUs, spec.GPUs, spec.EstimatedRunSeconds = "req-000001", "a", wire.KindGang, 10, 2, 600
		types := []wire.MachineType{{Name: "big", CPUs: 16, GPUs: 2, MemoryGB: 64, OnDemandPrice: 1, SpotPrice: 0.4, BootSeconds: 25, Zones: []string{"x", "y", "z"}}}
		fleet.scheduler.SetMachineTypes(types)
		gang := fleet.addJob(spec)
		for range 60 {
			fleet.second()
		}
		if gang.ActiveCount() != spec.TaskCount || fleet.requested != spec.TaskCount || fleet.givenBack != 0 {
			t.Errorf("gang %+v: got %d tasks placed, %d machines requested and %d returned after 60 s, want %d, %d and none", spec, gang.ActiveCount(), fleet.requested, fleet.givenBack, spec.TaskCount, spec.TaskCount)
		}
	}
}

// The same for a gang that has lost two of its tasks before it started, as after a spot notice: the machine for the first
// replacement is kept until the one for the second is up.
func TestMachinesForReplacementsAreKept(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	fleet := newBootingFleet(fixture, 2*clock.Second, 35*clock.Second)
	fleet.scheduler.SetMachineTypes([]wire.MachineType{{Name: "big", CPUs: 16, GPUs: 2, MemoryGB: 64, OnDemandPrice: 1, BootSeconds: 25, Zones: []string{"x"}}})
	for _, name := range []string{"i-a", "i-b", "i-c"} {
		fixture.addMachine(name, "big", "x", false)
		fleet.upAt[name] = fleet.now
	}
	gang := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", Kind: wire.KindGang, TaskCount: 3, CPUs: 10, GPUs: 2, EstimatedRunSeconds: 600})
	fleet.second()
	attempt := gang.GangAttempt
	for i := range 2 {
		fixture.tracker.RemoveMachine(gang.Tasks[i].Placement.Machine, fixture.now)
	}
	for range 60 {
		fleet.second()
	}
	if gang.ActiveCount() != 3 || gang.GangAttempt != attempt || fleet.givenBack != 0 {
		t.Errorf("got %d tasks placed in attempt %d and %d machines returned, want 3 in attempt %d and none", gang.ActiveCount(), gang.GangAttempt, fleet.givenBack, attempt)
	}
}

// Guards against idle machines that are paid for without end: if the rest of a gang's machines never comes up, those that are
// idle are returned after a bounded time, and the gang's machines are requested again later, ever more rarely.
func TestMachinesOfIncompleteGangAreReturned(t *testing.T) {
	bootTimes := make([]clock.Micros, 100) // one machine in a hundred comes up
	bootTimes[0] = 10 * clock.Second
	fleet := newBootingFleet(newFixture(map[string]allocation.TeamQuota{"a": {}}), bootTimes...)
	fleet.addJob(wire.Job{ID: "req-000001", Team: "a", Kind: wire.KindGang, TaskCount: 100, CPUs: 10, GPUs: 2, EstimatedRunSeconds: 600, MachineTypes: []string{"big"}, Zone: "x"})
	fleet.scheduler.SetMachineTypes([]wire.MachineType{{Name: "big", CPUs: 16, GPUs: 2, MemoryGB: 64, OnDemandPrice: 1, BootSeconds: 15, Zones: []string{"x"}}})
	idleSeconds, wasEmpty := 0, false
	const seconds = 1800
	for range seconds {
		fleet.second()
		isIdle := false
		for _, machine := range fleet.tracker.SortedMachines() {
			isIdle = isIdle || machine.FirstHeartbeatAt != 0
		}
		wasEmpty = wasEmpty || fleet.givenBack > 0 && len(fleet.tracker.SortedMachines()) == 0
		if isIdle {
			idleSeconds++
		}
	}
	if fleet.givenBack == 0 || !wasEmpty || idleSeconds > seconds/2 {
		t.Errorf("gang of which one machine in a hundred comes up: got %d machines returned, all at some time %v, some idle for %d of %d s, want some, true and at most half of the time", fleet.givenBack, wasEmpty, idleSeconds, seconds)
	}
	if fleet.requested < 200 {
		t.Errorf("got %d machines requested in %d s, want the gang's machines requested again", fleet.requested, seconds)
	}
}

// The same for a cloud that has one machine too few for the gang: those that it grants are not kept idle without end.
func TestMachinesOfGangThatIsTooLargeAreReturned(t *testing.T) {
	fleet := newBootingFleet(newFixture(map[string]allocation.TeamQuota{"a": {}}), 10*clock.Second)
	fleet.scheduler.SetMachineTypes([]wire.MachineType{{Name: "big", CPUs: 16, GPUs: 2, MemoryGB: 64, OnDemandPrice: 1, BootSeconds: 15, Zones: []string{"x"}}})
	const taskCount, seconds = 3, 1800
	fleet.capacity = taskCount - 1
	gang := fleet.addJob(wire.Job{ID: "req-000001", Team: "a", Kind: wire.KindGang, TaskCount: taskCount, CPUs: 10, GPUs: 2, EstimatedRunSeconds: 600})
	longestHold, heldFor, emptySeconds := 0, 0, 0
	for range seconds {
		fleet.second()
		heldFor++
		if len(fleet.tracker.Machines) == 0 {
			heldFor = 0
			emptySeconds++
		}
		longestHold = max(longestHold, heldFor)
	}
	if bound := 4 * int(gangHoldBoots*fleet.scheduler.BootTime("big", latestBootPercentile).Seconds()); longestHold > bound || emptySeconds < seconds/4 {
		t.Errorf("a gang of %d in a cloud of %d machines: got machines for up to %d s on end and none for %d of %d s, want at most %d s and none for at least a quarter", taskCount, fleet.capacity, longestHold, emptySeconds, seconds, bound)
	}
	fleet.capacity = taskCount
	for range 600 {
		fleet.second()
	}
	if gang.ActiveCount() != taskCount {
		t.Errorf("after the cloud has enough machines: got %d tasks placed, want %d", gang.ActiveCount(), taskCount)
	}
}
