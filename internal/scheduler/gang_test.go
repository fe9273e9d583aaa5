package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// A GPU that becomes free must be reserved for the gang at the head of the queue until the machine's
// other GPU is free too. Added after each free GPU went to the next array task, and gangs waited for as
// long as there were such tasks.
func TestGangReservationHoldsUntilGangFits(t *testing.T) {
	fixture, batch := newFullGPUFixture(t, 1, wire.Job{EstimatedRunSeconds: 20})
	gang := fixture.addJob(wire.Job{ID: "req-000002", Team: "b", Kind: wire.KindGang, TaskCount: 1, CPUs: 10, GPUs: 2, EstimatedRunSeconds: 60, Priority: wire.PriorityNormal})
	small := fixture.addJob(wire.Job{ID: "req-000003", Team: "b", TaskCount: 5, CPUs: 5, GPUs: 1, EstimatedRunSeconds: 90})
	fixture.now += 18 * clock.Second
	fixture.completeTask(batch, 0)
	fixture.plan()
	if small.ActiveCount() != 0 {
		t.Fatal("array tasks were placed on the GPU reserved for the gang, want none")
	}
	fixture.completeTask(batch, 1)
	fixture.plan()
	if gang.ActiveCount() != 1 || small.ActiveCount() != 0 {
		t.Fatalf("got %d gang tasks and %d array tasks placed, want 1 and 0", gang.ActiveCount(), small.ActiveCount())
	}
}

// A gang must not reserve room that becomes free only after a machine requested now would be ready:
// other jobs use that room meanwhile. An aged gang reserves it nevertheless, so that the largest gang
// starts too.
func TestGangReservationTimeIsBoundedUnlessAged(t *testing.T) {
	for _, aged := range []bool{false, true} {
		fixture, batch := newFullGPUFixture(t, 1, wire.Job{EstimatedRunSeconds: 500})
		fixture.addJob(wire.Job{ID: "req-000002", Team: "b", Kind: wire.KindGang, TaskCount: 1, CPUs: 10, GPUs: 2, EstimatedRunSeconds: 60})
		if aged {
			fixture.now += fixture.scheduler.Settings.AgingThreshold
		}
		small := fixture.addJob(wire.Job{ID: "req-000003", Team: "b", TaskCount: 5, CPUs: 5, GPUs: 1, EstimatedRunSeconds: 90})
		fixture.completeTask(batch, 0)
		fixture.plan()
		if (small.ActiveCount() == 0) != aged {
			t.Errorf("aged %v: got %d tasks placed on the free GPU, want none only if the gang is aged", aged, small.ActiveCount())
		}
	}
}

// Work of lower priority must be stopped for a gang where that costs less than waiting for an image
// fetch elsewhere, and not where it costs more. Work of the gang's own priority and work within
// another team's guaranteed quota are never stopped.
func TestGangPreemptsOnlyWhenCheaperThanWaiting(t *testing.T) {
	for _, testCase := range []struct {
		name         string
		age          clock.Micros
		priority     string
		team         allocation.TeamQuota
		adopted      bool // an earlier leader started the work
		wantStopping int
	}{
		{"young work", 3 * clock.Second, wire.PriorityHigh, allocation.TeamQuota{}, false, 2},
		{"old work", 300 * clock.Second, wire.PriorityHigh, allocation.TeamQuota{}, false, 0},
		{"adopted work, half of which may be over", 3 * clock.Second, wire.PriorityHigh, allocation.TeamQuota{}, true, 0},
		{"work of its priority", 3 * clock.Second, wire.PriorityNormal, allocation.TeamQuota{}, false, 0},
		{"entitled work", 3 * clock.Second, wire.PriorityHigh, allocation.TeamQuota{GuaranteedMicroGPU: 8 * allocation.Unit}, false, 0},
	} {
		fixture, batch := newFullGPUFixture(t, 2, wire.Job{EstimatedRunSeconds: 1000})
		fixture.scheduler.Teams["a"] = testCase.team
		batch.ForEachPlacement(func(placement *allocation.Placement) { placement.Adopted = testCase.adopted })
		for _, machine := range fixture.tracker.Machines {
			machine.ImageUsedAt["water"] = fixture.now
		}
		fixture.addMachine("i-99", "big", "x", false) // free, but without the gang's image
		gang := fixture.addJob(wire.Job{ID: "req-000002", Team: "b", Kind: wire.KindGang, TaskCount: 1, CPUs: 10, GPUs: 2, EstimatedRunSeconds: 60,
			Priority: testCase.priority, Image: "water", ImageSizeGB: 20})
		fixture.now += testCase.age
		fixture.plan()
		if stoppingCount(batch) != testCase.wantStopping {
			t.Errorf("%s: got %d tasks being stopped, want %d", testCase.name, stoppingCount(batch), testCase.wantStopping)
		}
		if testCase.wantStopping == 0 && gang.ActiveCount() != 1 {
			t.Errorf("%s: the gang was not placed on the free machine", testCase.name)
		}
	}
}

// Under a stream of small jobs in an overloaded fleet, the largest gang must start within the four
// minutes that users accept, and all its tasks must be placed together.
func TestLargestGangDoesNotStarve(t *testing.T) {
	rng := rand.New(rand.NewPCG(9, 9))
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}, "b": {}})
	fixture.scheduler.Settings.GangWaitWeight = 0 // waiting costs nothing, so reservations alone help the gang
	for i := range 8 {
		fixture.addMachine(fmt.Sprintf("i-%02d", i), "big", "x", false)
	}
	for _, zone := range []string{"x", "y", "z"} {
		fixture.scheduler.backoffFor(Pool{"big", zone, false}).backoffUntil = 1e15
	}
	endsAt := map[*allocation.Placement]clock.Micros{}
	var large *allocation.Job
	for n := 0; n < 400; n++ {
		fixture.addJob(wire.Job{ID: fmt.Sprintf("req-%06d", n), Team: "a", TaskCount: 1 + rng.IntN(2), CPUs: 5, GPUs: 1, EstimatedRunSeconds: 30})
		if n%3 == 0 {
			fixture.addJob(wire.Job{ID: fmt.Sprintf("req-1%05d", n), Team: "a", Kind: wire.KindGang, TaskCount: 1, CPUs: 10, GPUs: 2, EstimatedRunSeconds: 30})
		}
		if n == 60 {
			large = fixture.addJob(wire.Job{ID: "req-200000", Team: "b", Kind: wire.KindGang, TaskCount: 6, CPUs: 10, GPUs: 2, EstimatedRunSeconds: 60, SingleZone: true})
		}
		fixture.plan()
		for _, machine := range fixture.tracker.SortedMachines() {
			fixture.reportTasks(machine, wire.TaskRunning)
			machine.ForEachPlacement(func(placement *allocation.Placement) {
				if endsAt[placement] == 0 {
					endsAt[placement] = fixture.now + clock.FromSeconds(20+20*rng.Float64())
				}
			})
			var completed []*allocation.Placement
			machine.ForEachPlacement(func(placement *allocation.Placement) {
				if fixture.now >= endsAt[placement] && !placement.IsStopping() {
					completed = append(completed, placement)
				}
			})
			for _, placement := range completed {
				if placement.Job.Tasks[placement.TaskIndex].Placement == placement {
					fixture.completeTask(placement.Job, placement.TaskIndex)
				}
			}
		}
		if large != nil && large.ActiveCount() != 0 && large.ActiveCount() != 6 && large.DoneCount() == 0 {
			t.Fatalf("got %d tasks of the large gang placed, want all 6 or none", large.ActiveCount())
		}
		if large != nil && large.ActiveCount() == 6 {
			if waited := fixture.now - large.ReleasedAt; waited > 240*clock.Second {
				t.Fatalf("the large gang started after %v s, want at most 240 s", waited.Seconds())
			}
			return
		}
		fixture.now += clock.Second
	}
	t.Fatal("the large gang did not start within 400 s")
}

// A gang that loses a task before it is complete must get a replacement in the same attempt: a new
// attempt would discard the images that the other tasks have fetched.
func TestIncompleteGangReplacesLostTaskInSameAttempt(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	for i := range 3 {
		fixture.addMachine(fmt.Sprintf("i-%d", i), "big", "x", false)
	}
	gang := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", Kind: wire.KindGang, TaskCount: 2, CPUs: 10, GPUs: 2, EstimatedRunSeconds: 60})
	fixture.plan()
	attempt := gang.GangAttempt
	for _, machine := range fixture.tracker.SortedMachines() {
		fixture.reportTasks(machine, wire.TaskWaitingForGang)
	}
	lost := gang.Tasks[0].Placement.Machine
	fixture.tracker.RemoveMachine(lost, fixture.now)
	fixture.plan()
	if gang.ActiveCount() != 2 || gang.GangAttempt != attempt || stoppingCount(gang) != 0 {
		t.Fatalf("got %d tasks placed in attempt %d, want 2 in attempt %d; got %d stopping, want 0", gang.ActiveCount(), gang.GangAttempt, attempt, stoppingCount(gang))
	}
	// Once the gang has run, the loss of one task must stop the others.
	for _, machine := range fixture.tracker.SortedMachines() {
		fixture.reportTasks(machine, wire.TaskRunning)
	}
	fixture.tracker.RemoveMachine(gang.Tasks[1].Placement.Machine, fixture.now)
	fixture.plan()
	if stoppingCount(gang) != 1 || gang.ActiveCount() != 1 {
		t.Fatalf("after a loss while running: got %d tasks placed, %d of them stopping, want 1 and 1", gang.ActiveCount(), stoppingCount(gang))
	}
}

// Guards against a waiting gang that is stopped as a whole because a replacement can't be placed yet: the only machine
// with room still lists the lost task as exited. The others keep waiting, and the task follows in the same attempt.
func TestGangIsNotStoppedForReplacementThatCannotBePlaced(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	for i := range 2 {
		fixture.addMachine(fmt.Sprintf("i-%d", i), "big", "x", false)
	}
	gang := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", Kind: wire.KindGang, TaskCount: 2, CPUs: 10, GPUs: 2, EstimatedRunSeconds: 60})
	fixture.plan()
	attempt := gang.GangAttempt
	for _, machine := range fixture.tracker.SortedMachines() {
		fixture.reportTasks(machine, wire.TaskWaitingForGang)
	}
	machine := gang.Tasks[0].Placement.Machine
	report := func(tasks ...wire.TaskStatus) {
		fixture.heartbeatSeqs[machine.Name] += 2
		fixture.tracker.RecordHeartbeat(machine, &wire.Heartbeat{MachineID: machine.Name, Incarnation: 1, Sequence: fixture.heartbeatSeqs[machine.Name], FencingToken: 1, Tasks: tasks}, fixture.now)
	}
	report(wire.TaskStatus{TaskID: wire.TaskID("req-000001", 0), Attempt: attempt, State: wire.TaskExited, ExitCause: wire.ExitNoResources})
	fixture.plan()
	if gang.ActiveCount() != 1 || stoppingCount(gang) != 0 || gang.GangAborting {
		t.Fatalf("while the task is listed as exited: got %d tasks placed, %d stopping, want 1 and 0", gang.ActiveCount(), stoppingCount(gang))
	}
	report()
	fixture.plan()
	if gang.ActiveCount() != 2 || gang.GangAttempt != attempt {
		t.Errorf("after the task is reaped: got %d tasks placed in attempt %d, want 2 in attempt %d", gang.ActiveCount(), gang.GangAttempt, attempt)
	}
}

// Guards against room that a plan gives away twice: a gang's reservation on a machine replaced what the plan had
// reserved there for a job whose starts are not recorded yet, and a later job took that room.
func TestGangReservationKeepsEarlierReservations(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	machine := fixture.addMachine("i-0", "big", "x", false)
	busy := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 1, GPUs: 1, EstimatedRunSeconds: 20})
	if err := fixture.tracker.PlaceTask(busy, 0, machine, fixture.tracker.NextAttempt(), fixture.now); err != nil {
		t.Fatal(err)
	}
	fixture.reportTasks(machine, wire.TaskRunning)
	for _, zone := range []string{"x", "y", "z"} {
		fixture.scheduler.ObserveEmptyPool(Pool{"big", zone, false}, fixture.now+10*clock.Second)
	}
	first := fixture.tracker.AddJob(&wire.Job{ID: "req-000002", Team: "a", Kind: wire.KindArray, Priority: wire.PriorityProduction, TaskCount: 1, CPUs: 5, MemoryGB: 5, EstimatedRunSeconds: 60}, fixture.now, fixture.now, false, nil)
	fixture.addJob(wire.Job{ID: "req-000003", Team: "a", Kind: wire.KindGang, Priority: wire.PriorityHigh, TaskCount: 1, CPUs: 4, GPUs: 2, EstimatedRunSeconds: 60})
	last := fixture.addJob(wire.Job{ID: "req-000004", Team: "a", Priority: wire.PriorityLow, TaskCount: 1, CPUs: 10, EstimatedRunSeconds: 60})
	fixture.now += 18 * clock.Second
	decision := fixture.plan()
	if len(decision.RecordStarts) != 1 || decision.RecordStarts[0] != first || last.ActiveCount() != 0 {
		t.Errorf("got starts to record %v and %d tasks of the last job placed, want those of the first job and none: 5 of 16 CPUs are reserved for it and 4 for the gang", decision.RecordStarts, last.ActiveCount())
	}
}

// A gang that is too large for any possible fleet must wait without cost: once every pool has been
// found empty, no machine may be requested for part of the gang. Other jobs must still be placed.
func TestNoScaleOutForInfeasibleGang(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	huge := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", Kind: wire.KindGang, TaskCount: 100000, CPUs: 10, GPUs: 2, EstimatedRunSeconds: 60, MachineTypes: []string{"big"}})
	if decision := fixture.plan(); len(decision.ScaleOut) == 0 {
		t.Fatal("got no machine requested for the gang before any pool was found empty, want some")
	}
	for i := range 6 {
		fixture.addMachine(fmt.Sprintf("i-%d", i), "big", []string{"x", "y", "z"}[i%3], false)
	}
	for _, zone := range []string{"x", "y", "z"} {
		fixture.scheduler.ObserveEmptyPool(Pool{"big", zone, false}, fixture.now)
	}
	small := fixture.addJob(wire.Job{ID: "req-000002", Team: "a", Kind: wire.KindGang, TaskCount: 2, CPUs: 10, GPUs: 2, EstimatedRunSeconds: 60})
	fixture.now += 60 * clock.Second // past the backoff of the pools
	if decision := fixture.plan(); len(decision.ScaleOut) != 0 || small.ActiveCount() != 2 || huge.ActiveCount() != 0 {
		t.Fatalf("got scale-out requests %v, %d small and %d huge gang tasks placed, want none, 2 and 0", decision.ScaleOut, small.ActiveCount(), huge.ActiveCount())
	}
}
