package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// A GPU that becomes free is kept for a gang whose turn it is, until the machine's other
// GPU is free too. Added after each went to the next array task, and gangs waited for as
// long as there were any.
func TestGangReservationHoldsUntilGangFits(t *testing.T) {
	fixture, batch := newFullGPUFixture(t, 1, wire.Job{EstimatedRunSeconds: 20})
	gang := fixture.addJob(wire.Job{ID: "req-000002", Team: "b", Kind: wire.KindGang, TaskCount: 1, CPUs: 10, GPUs: 2, EstimatedRunSeconds: 60, Priority: wire.PriorityNormal})
	small := fixture.addJob(wire.Job{ID: "req-000003", Team: "b", TaskCount: 5, CPUs: 5, GPUs: 1, EstimatedRunSeconds: 90})
	fixture.now += 18 * clock.Second
	fixture.completeTask(batch, 0)
	fixture.plan()
	if small.ActiveCount() != 0 {
		t.Fatal("a GPU that a gang waits for went to an array")
	}
	fixture.completeTask(batch, 1)
	fixture.plan()
	if gang.ActiveCount() != 1 || small.ActiveCount() != 0 {
		t.Fatalf("the gang has %d places, the array %d", gang.ActiveCount(), small.ActiveCount())
	}
}

// A reservation that could not be filled before a machine requested now is ready is not made:
// the room serves others meanwhile. An aged gang makes it all the same, so that the largest
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
			t.Errorf("aged %v: %d tasks were placed on the free GPU", aged, small.ActiveCount())
		}
	}
}

// Work of lower priority is stopped for a gang where that costs less than the wait for an
// image elsewhere, and not where it costs more; never work of its own priority, nor what is
// within another team's quota.
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
		{"entitled work", 3 * clock.Second, wire.PriorityHigh, allocation.TeamQuota{GuaranteedMilliGPU: 8000}, false, 0},
	} {
		fixture, batch := newFullGPUFixture(t, 2, wire.Job{EstimatedRunSeconds: 1000})
		fixture.scheduler.Teams["a"] = testCase.team
		batch.ForEachPlacement(func(placement *allocation.Placement) { placement.Adopted = testCase.adopted })
		for _, machine := range fixture.tracker.Machines {
			machine.ImageUsedAt["water"] = fixture.now
		}
		fixture.addMachine("i-99", "big", "x", false) // free, without the image
		gang := fixture.addJob(wire.Job{ID: "req-000002", Team: "b", Kind: wire.KindGang, TaskCount: 1, CPUs: 10, GPUs: 2, EstimatedRunSeconds: 60,
			Priority: testCase.priority, Image: "water", ImageSizeGB: 20})
		fixture.now += testCase.age
		fixture.plan()
		if stoppingCount(batch) != testCase.wantStopping {
			t.Errorf("%s: %d tasks are stopped, want %d", testCase.name, stoppingCount(batch), testCase.wantStopping)
		}
		if testCase.wantStopping == 0 && gang.ActiveCount() != 1 {
			t.Errorf("%s: the gang is not placed on the free machine", testCase.name)
		}
	}
}

// Under a stream of small jobs in an overloaded fleet the largest gang starts within the four
// minutes that the users allow, and gangs start whole.
func TestLargestGangDoesNotStarve(t *testing.T) {
	rng := rand.New(rand.NewPCG(9, 9))
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}, "b": {}})
	fixture.scheduler.Settings.GangWaitWeight = 0 // by reservations alone, with nothing stopped
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
			t.Fatalf("%d of six tasks placed", large.ActiveCount())
		}
		if large != nil && large.ActiveCount() == 6 {
			if waited := fixture.now - large.ReleasedAt; waited > 240*clock.Second {
				t.Fatalf("started after %v s", waited.Seconds())
			}
			return
		}
		fixture.now += clock.Second
	}
	t.Fatal("the large gang never started")
}

// A gang that loses a task before it has been complete gets another with the same
// attempt; the images that the others have fetched are not given up.
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
		t.Fatalf("%d places, attempt %d after %d, %d are stopped", gang.ActiveCount(), gang.GangAttempt, attempt, stoppingCount(gang))
	}
	// Once it has run, the loss of one ends the others.
	for _, machine := range fixture.tracker.SortedMachines() {
		fixture.reportTasks(machine, wire.TaskRunning)
	}
	fixture.tracker.RemoveMachine(gang.Tasks[1].Placement.Machine, fixture.now)
	fixture.plan()
	if stoppingCount(gang) != 1 || gang.ActiveCount() != 1 {
		t.Fatalf("%d places, %d are stopped", gang.ActiveCount(), stoppingCount(gang))
	}
}

// A gang that no possible fleet can hold waits and costs nothing: once every pool was empty,
// no machine is requested for a part of it. Other jobs are served.
func TestNoScaleOutForInfeasibleGang(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	huge := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", Kind: wire.KindGang, TaskCount: 100000, CPUs: 10, GPUs: 2, EstimatedRunSeconds: 60, MachineTypes: []string{"big"}})
	if decision := fixture.plan(); len(decision.ScaleOut) == 0 {
		t.Fatal("no machine is requested for a gang before any pool was empty")
	}
	for i := range 6 {
		fixture.addMachine(fmt.Sprintf("i-%d", i), "big", []string{"x", "y", "z"}[i%3], false)
	}
	for _, zone := range []string{"x", "y", "z"} {
		fixture.scheduler.ObserveEmptyPool(Pool{"big", zone, false}, fixture.now)
	}
	small := fixture.addJob(wire.Job{ID: "req-000002", Team: "a", Kind: wire.KindGang, TaskCount: 2, CPUs: 10, GPUs: 2, EstimatedRunSeconds: 60})
	fixture.now += 60 * clock.Second // the backoff of the pools is over
	if decision := fixture.plan(); len(decision.ScaleOut) != 0 || small.ActiveCount() != 2 || huge.ActiveCount() != 0 {
		t.Fatalf("requested %v, %d of two tasks placed, %d of the huge gang", decision.ScaleOut, small.ActiveCount(), huge.ActiveCount())
	}
}
