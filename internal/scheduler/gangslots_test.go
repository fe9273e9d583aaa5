package scheduler

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// smallestMemoryLimitBytes is the least memory that a deployment gives a controller.
const smallestMemoryLimitBytes = 125 << 20

// allocatedBytes returns how many bytes a function allocates.
func allocatedBytes(run func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against leaders that run out of memory one after another: a plan lists a slot for each task that could
// fit on a machine, which for a gang that needs nothing, or little, are billions.
func TestPlanOfGangWithTinyNeedsFitsMemory(t *testing.T) {
	const machineCount = 300
	for _, spec := range []wire.Job{
		{TaskCount: 4},
		{TaskCount: wire.MaxTasks},
		{TaskCount: wire.MaxTasks, CPUs: 0.0004},
		{TaskCount: wire.MaxTasks, CPUs: 0.0000004}, // less than the smallest amount
		{TaskCount: wire.MaxTasks, CPUs: 0.001},
		{TaskCount: wire.MaxTasks, MemoryGB: 0.001, SpreadZones: true},
		{TaskCount: 30000, GPUs: 0.001, SingleZone: true}, // a third of the machines lists no more
	} {
		fixture, _ := newFullGPUFixture(t, 2, wire.Job{EstimatedRunSeconds: 1000, Priority: wire.PriorityLow})
		for i := range machineCount {
			fixture.addMachine(fmt.Sprintf("i-1%03d", i), "big", []string{"x", "y", "z"}[i%3], false)
		}
		spec.ID, spec.Team, spec.Kind, spec.Priority = "req-000002", "b", wire.KindGang, wire.PriorityNormal
		gang := fixture.tracker.AddJob(&spec, fixture.now, fixture.now, false, nil)
		var decision Decision
		if allocated := allocatedBytes(func() { decision = fixture.plan() }); allocated > smallestMemoryLimitBytes {
			t.Errorf("gang of %d x %v: a plan allocates %d MB, want at most %d", spec.TaskCount, gang.Request, allocated>>20, smallestMemoryLimitBytes>>20)
		}
		if !slices.Contains(decision.RecordStarts, gang) {
			t.Errorf("gang of %d x %v: the plan finds no room for it, want room", spec.TaskCount, gang.Request)
		}
	}
}

// Guards against a gang whose tasks share slots and are then placed on too few machines or counted wrongly.
func TestGangThatNeedsNothingIsPlaced(t *testing.T) {
	for _, spread := range []bool{false, true} {
		fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
		for i := range 4 {
			fixture.addMachine(fmt.Sprintf("i-%d", i), "big", []string{"x", "y"}[i%2], false)
		}
		gang := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", Kind: wire.KindGang, TaskCount: 5, EstimatedRunSeconds: 60, SpreadZones: spread})
		other := fixture.addJob(wire.Job{ID: "req-000002", Team: "a", TaskCount: 4, CPUs: 16, GPUs: 2, EstimatedRunSeconds: 60})
		fixture.plan()
		if gang.ActiveCount() != 5 || other.ActiveCount() != 4 {
			t.Errorf("spread %v: got %d gang tasks and %d other tasks placed, want 5 and 4", spread, gang.ActiveCount(), other.ActiveCount())
		}
		if count := gang.CountInZone("x"); spread && (count < 2 || count > 3) {
			t.Errorf("a spread gang of 5: got %d tasks in one of two zones, want 2 or 3", count)
		}
	}
}

// singleTaskSlots lists the slots of a machine with room for one task each.
func singleTaskSlots(cycle *schedulingCycle, queued *queuedJob, machine *allocation.Machine) []gangSlot {
	free := cycle.freeResources(machine)
	search := slotSearch{
		cycle: cycle, queued: queued, machine: machine,
		fetchSeconds: cycle.imageReadySeconds(queued.job, machine), score: cycle.placementScore(queued.job, machine),
		freeNow: free, freeIfDrained: free, freeIfPreempted: free,
	}
	var slots []gangSlot
	for range min(cycle.scheduler.tasksPerMachine(queued.job.Request, machine.Type), len(queued.readyTasks)) {
		slot, ok := search.next(1)
		if !ok {
			break
		}
		slots = append(slots, slot)
	}
	return slots
}

// Shared slots stand for the same slots of single tasks, in the same order.
func TestSharedGangSlotsEqualSingleTaskSlots(t *testing.T) {
	sharedCount, waitingCount, stoppedCount := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		fixture := newFixture(map[string]allocation.TeamQuota{"a": {}, "b": {}})
		machine := fixture.addMachine("i-1", "big", "x", false)
		for i := range rapid.IntRange(0, 6).Draw(t, "jobs") {
			job := fixture.addJob(wire.Job{
				ID: fmt.Sprintf("req-1%05d", i), Team: "a", TaskCount: 1, Priority: rapid.SampledFrom([]string{wire.PriorityHigh, wire.PriorityLow}).Draw(t, "priority"),
				Kind: rapid.SampledFrom([]string{wire.KindArray, wire.KindService}).Draw(t, "kind"),
				CPUs: rapid.Float64Range(0, 6).Draw(t, "cpus"), GPUs: float64(rapid.IntRange(0, 1).Draw(t, "gpus")), EstimatedRunSeconds: float64(80 + 7*i + 100*rapid.IntRange(0, 3).Draw(t, "estimate")), // no two end at the same time
			})
			_ = fixture.tracker.PlaceTask(job, 0, machine, fixture.tracker.NextAttempt(), fixture.now) // there may be no room
			fixture.now += clock.Second                                                                // ties between placements are broken by the order of a map
		}
		fixture.reportTasks(machine, wire.TaskRunning)
		fixture.now += clock.Micros(rapid.IntRange(0, 60).Draw(t, "elapsed")) * clock.Second
		gang := fixture.addJob(wire.Job{
			ID: "req-000001", Team: "b", Kind: wire.KindGang, Priority: wire.PriorityNormal, TaskCount: rapid.IntRange(1, 40).Draw(t, "tasks"),
			CPUs: rapid.SampledFrom([]float64{0, 0.5, 1, 3}).Draw(t, "gang cpus"), GPUs: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "gang gpus"), EstimatedRunSeconds: 60,
		})
		queue := fixture.scheduler.buildQueue(fixture.tracker, nil, fixture.now, fixture.now)
		cycle := fixture.scheduler.newCycle(fixture.tracker, queue, fixture.now)
		queued := queue[slices.IndexFunc(queue, func(queued *queuedJob) bool { return queued.job == gang })]
		machine.ForEachPlacement(func(placement *allocation.Placement) {
			fixture.scheduler.remainingSeconds(placement, fixture.now) // the prediction is rounded once it is cached
		})
		want := singleTaskSlots(cycle, queued, machine)
		var got []gangSlot
		for _, slot := range cycle.appendMachineSlots(nil, queued, machine) {
			if slot.taskCount > 1 {
				sharedCount++
			}
			single := slot
			single.taskCount = 1
			got = append(got, slices.Repeat([]gangSlot{single}, slot.taskCount)...)
		}
		if !slices.Equal(got, want) {
			t.Fatalf("slots by task: got %+v, want %+v", got, want)
		}
		for _, slot := range want {
			if !slot.isFree && !math.IsInf(slot.readyInSeconds, 1) {
				waitingCount++
			} else if !slot.isFree {
				stoppedCount++
			}
		}
	})
	if sharedCount < 10 || waitingCount < 10 || stoppedCount < 10 {
		t.Fatalf("the cases cover too little: got %d shared slots, %d that wait and %d that only preemption frees, want at least 10 of each", sharedCount, waitingCount, stoppedCount)
	}
}

// addOccupant fills a part of a machine with a running task that may not be stopped for a gang and doesn't end soon.
func (fixture *schedulerFixture) addOccupant(t *testing.T, id, kind string, cpus float64, machine *allocation.Machine) {
	t.Helper()
	spec := wire.Job{ID: id, Team: "b", Kind: kind, Priority: wire.PriorityProduction, TaskCount: 1, CPUs: cpus}
	if kind == wire.KindArray {
		spec.EstimatedRunSeconds = 20000
	}
	job := fixture.addJob(spec)
	if err := fixture.tracker.PlaceTask(job, 0, machine, fixture.tracker.NextAttempt(), fixture.now); err != nil {
		t.Fatal(err)
	}
	fixture.reportTasks(machine, wire.TaskRunning)
}

// Guards against a gang that never starts because of a reservation that can't be kept: room for one of its tasks
// counted again for the next one on the same machine, so that each plan reserved the machine and none was requested.
func TestGangIsRequestedWhereOnlyPartOfItHasRoom(t *testing.T) {
	for _, occupant := range []string{wire.KindService, wire.KindArray} {
		for _, testCase := range []struct {
			machines, tasks int
			gangCPUs        float64 // of each task, beside 8 of 16 CPUs that are in use
			single, spread  bool
		}{
			{1, 2, 8, false, false},
			{1, 2, 5, true, false}, {1, 2, 5, false, true},
			{1, 4, 4, true, false},
			{1, 8, 1.5, false, false},
			{2, 4, 8, false, false}, {2, 3, 7, false, true},
			{3, 6, 6, false, false}, {3, 4, 6, false, false},
		} {
			fixture := newFixture(map[string]allocation.TeamQuota{"a": {}, "b": {}})
			for i := range testCase.machines {
				fixture.addOccupant(t, fmt.Sprintf("req-1%05d", i), occupant, 8, fixture.addMachine(fmt.Sprintf("i-%d", i), "big", []string{"x", "y", "z"}[i], false))
			}
			gang := fixture.addJob(wire.Job{
				ID: "req-000001", Team: "a", Kind: wire.KindGang, TaskCount: testCase.tasks, CPUs: testCase.gangCPUs, EstimatedRunSeconds: 60,
				SingleZone: testCase.single, SpreadZones: testCase.spread, MachineTypes: []string{"big"},
			})
			if decision := fixture.plan(); len(decision.ScaleOut) == 0 && gang.ActiveCount() == 0 {
				t.Errorf("%s on half of each machine, gang %+v: got neither a machine requested nor a task placed", occupant, testCase)
			}
		}
	}
}

// Guards against an aged gang that waits for tasks that run for hours, because it has reserved their room, while the cloud
// has machines. Only the machines for tasks without free room are requested, and they take part of the gang at once.
func TestAgedGangIsRequestedWhereReservedRoomIsFarOff(t *testing.T) {
	for _, testCase := range []struct {
		tasks          int
		single, spread bool
		want           int // machines for tasks of 6 CPUs on machines of 16 CPUs
	}{{4, false, false, 1}, {6, false, true, 2}, {2, true, false, 1}} {
		fixture := newFixture(map[string]allocation.TeamQuota{"a": {}, "b": {}})
		occupied := 2
		for i := range occupied { // room for one task of the gang beside each
			fixture.addOccupant(t, fmt.Sprintf("req-1%05d", i), wire.KindArray, 6, fixture.addMachine(fmt.Sprintf("i-%d", i), "big", []string{"x", "y"}[i], false))
		}
		if testCase.spread {
			fixture.addOccupant(t, "req-100009", wire.KindArray, 6, fixture.addMachine("i-9", "big", "z", false))
		}
		gang := fixture.addJob(wire.Job{
			ID: "req-000001", Team: "a", Kind: wire.KindGang, TaskCount: testCase.tasks, CPUs: 6, EstimatedRunSeconds: 60,
			SingleZone: testCase.single, SpreadZones: testCase.spread, MachineTypes: []string{"big"},
		})
		fixture.now += fixture.scheduler.Settings.AgingThreshold
		decision := fixture.plan()
		got := 0
		for _, request := range decision.ScaleOut {
			got += request.Count
		}
		if got != testCase.want {
			t.Errorf("aged gang %+v beside tasks of hours: got %d machines requested (%v), want %d", testCase, got, decision.ScaleOut, testCase.want)
		}
		for i, request := range decision.ScaleOut {
			for k := range request.Count {
				fixture.addMachine(fmt.Sprintf("i-2%d%d", i, k), request.Pool.Type, request.Pool.Zone, request.Pool.Spot)
			}
		}
		if fixture.plan(); gang.ActiveCount() != testCase.tasks {
			t.Errorf("aged gang %+v: got %d tasks placed once the requested machines are up, want all", testCase, gang.ActiveCount())
		}
	}
}

// Slots never have more room than the machine: those that are free now no more than is free, those to which work
// gives way no more than is free and may be stopped or ends.
func TestGangSlotsFitTheMachine(t *testing.T) {
	multipleSlots := 0
	rapid.Check(t, func(t *rapid.T) {
		fixture := newFixture(map[string]allocation.TeamQuota{"a": {}, "b": {}})
		machine := fixture.addMachine("i-1", "big", "x", false)
		for i := range rapid.IntRange(0, 6).Draw(t, "jobs") {
			job := fixture.addJob(wire.Job{
				ID: fmt.Sprintf("req-1%05d", i), Team: "a", TaskCount: 1, Priority: rapid.SampledFrom([]string{wire.PriorityHigh, wire.PriorityLow}).Draw(t, "priority"),
				Kind: rapid.SampledFrom([]string{wire.KindArray, wire.KindService}).Draw(t, "kind"),
				CPUs: float64(rapid.IntRange(1, 8).Draw(t, "cpus")), EstimatedRunSeconds: float64(rapid.IntRange(20, 2000).Draw(t, "estimate")),
			})
			_ = fixture.tracker.PlaceTask(job, 0, machine, fixture.tracker.NextAttempt(), fixture.now) // there may be no room
		}
		fixture.reportTasks(machine, wire.TaskRunning)
		var running []*allocation.Placement
		machine.ForEachPlacement(func(placement *allocation.Placement) { running = append(running, placement) })
		for _, placement := range running {
			if rapid.Bool().Draw(t, "is stopping") {
				fixture.tracker.StopPlacement(placement, 0)
			}
		}
		gang := fixture.addJob(wire.Job{ID: "req-000001", Team: "b", Kind: wire.KindGang, TaskCount: rapid.IntRange(1, 12).Draw(t, "tasks"), CPUs: float64(rapid.IntRange(1, 8).Draw(t, "gang cpus")), EstimatedRunSeconds: 60})
		queue := fixture.scheduler.buildQueue(fixture.tracker, nil, fixture.now, fixture.now)
		cycle := fixture.scheduler.newCycle(fixture.tracker, queue, fixture.now)
		queued := queue[slices.IndexFunc(queue, func(queued *queuedJob) bool { return queued.job == gang })]
		slots := cycle.appendMachineSlots(nil, queued, machine)
		if len(slots) > 1 {
			multipleSlots++
		}
		var free, drained, preempted []gangSlot
		for _, slot := range slots {
			if slot.isFree {
				free = append(free, slot)
			}
			if !math.IsInf(slot.readyInSeconds, 1) {
				drained = append(drained, slot)
			}
			if !math.IsInf(slot.preemptedReadyInSeconds, 1) {
				preempted = append(preempted, slot)
			}
		}
		freeIfDrained, freeIfPreempted := machine.Free(), machine.Free()
		for _, placement := range running {
			if placement.IsStopping() || !placement.Job.IsService() {
				freeIfDrained = freeIfDrained.Add(placement.Job.Request)
			}
			if placement.IsStopping() || cycle.mayStop(queued, placement) {
				freeIfPreempted = freeIfPreempted.Add(placement.Job.Request)
			}
		}
		for _, room := range []struct {
			name  string
			slots []gangSlot
			room  allocation.Resources
		}{{"free now", free, machine.Free()}, {"free when tasks end", drained, freeIfDrained}, {"free when tasks are stopped", preempted, freeIfPreempted}} {
			if used := gang.Request.Times(countSlotTasks(room.slots)); !used.IsWithin(room.room) {
				t.Fatalf("slots that are %s: got %+v for %d tasks, want at most %+v", room.name, used, countSlotTasks(room.slots), room.room)
			}
		}
	})
	if multipleSlots < 10 {
		t.Fatalf("got %d machines with several slots, want at least 10", multipleSlots)
	}
}
