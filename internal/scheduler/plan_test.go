package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Over generated loads no plan violates what a job allows, a machine's capacity or a team's
// limit, and gangs are placed whole.
func TestPlanRespectsJobMachineAndQuotaConstraints(t *testing.T) {
	rng := rand.New(rand.NewPCG(6, 6))
	placed, gangs := 0, 0
	for workload := 0; workload < 400; workload++ {
		fixture := newFixture(map[string]allocation.TeamQuota{"a": {GuaranteedMilliCPU: 8000, MaxMilliCPU: 40000}, "b": {MaxMilliGPU: 3000}})
		for i := rng.IntN(8); i >= 0; i-- {
			fixture.addMachine(fmt.Sprint("i-", i), []string{"big", "small"}[rng.IntN(2)], []string{"x", "y"}[rng.IntN(2)], rng.IntN(2) == 0)
		}
		for i := rng.IntN(10); i >= 0; i-- {
			fixture.addJob(generateJob(rng, i))
		}
		for cycleIndex := 0; cycleIndex < 3; cycleIndex++ {
			for _, request := range fixture.plan().ScaleOut {
				if request.Count < 1 || request.Count > wire.MaxScaleOutCount {
					t.Fatalf("load %d: %d machines are requested", workload, request.Count)
				}
			}
			fixture.now += clock.Second
		}
		usage := map[string]allocation.Resources{}
		for _, job := range fixture.tracker.Jobs {
			taskCount := checkPlacements(t, workload, job)
			placed += taskCount
			usage[job.Spec.Team] = usage[job.Spec.Team].Add(job.Request.Times(taskCount))
			if job.IsGang() && job.ActiveCount() > 0 {
				gangs++
				if job.WaitingCount() > 0 {
					t.Fatalf("load %d: gang %s is placed in part", workload, job.Spec.ID)
				}
			}
		}
		for _, machine := range fixture.tracker.Machines {
			if !machine.Used().IsWithin(machine.Capacity) {
				t.Fatalf("load %d: more than the capacity of %s is used", workload, machine.Name)
			}
		}
		if usage["a"].MilliCPU > 40000 || usage["b"].MilliGPU > 3000 {
			t.Fatalf("load %d: over a team's limit: %v", workload, usage)
		}
	}
	if placed < 1000 || gangs < 20 {
		t.Fatalf("%d tasks and %d gangs were placed", placed, gangs)
	}
}

func generateJob(rng *rand.Rand, index int) wire.Job {
	spec := wire.Job{ID: fmt.Sprintf("req-%06d", index), Team: []string{"a", "b"}[rng.IntN(2)], TaskCount: 1 + rng.IntN(9),
		CPUs: 0.5 + float64(rng.IntN(6)), GPUs: float64(rng.IntN(2)), MemoryGB: float64(1 + rng.IntN(12)), EstimatedRunSeconds: float64(1 + rng.IntN(90)),
		Kind:       []string{wire.KindArray, wire.KindGang, wire.KindService}[rng.IntN(3)],
		Priority:   []string{wire.PriorityProduction, wire.PriorityHigh, wire.PriorityNormal, wire.PriorityLow}[rng.IntN(4)],
		AllowsSpot: rng.IntN(2) == 0, SingleZone: rng.IntN(4) == 0, SpreadZones: rng.IntN(4) == 0}
	if spec.SingleZone {
		spec.SpreadZones = false
	}
	if rng.IntN(4) == 0 {
		spec.Zone = "x"
	}
	if rng.IntN(4) == 0 {
		spec.MachineTypes = []string{"big"}
	}
	return spec
}

// checkPlacements checks that all tasks of a job are where it allows them, and returns how
// many are placed.
func checkPlacements(t *testing.T, workload int, job *allocation.Job) (taskCount int) {
	t.Helper()
	zones := map[string]int{}
	job.ForEachPlacement(func(placement *allocation.Placement) {
		taskCount++
		zones[placement.Machine.Zone]++
		if placement.Machine.Spot && !job.Spec.AllowsSpot || job.Spec.Zone != "" && placement.Machine.Zone != job.Spec.Zone || job.Spec.MachineTypes != nil && placement.Machine.Type != "big" {
			t.Fatalf("load %d: %s in a wrong place", workload, job.Spec.ID)
		}
	})
	if job.Spec.SingleZone && len(zones) > 1 {
		t.Fatalf("load %d: %s in several zones", workload, job.Spec.ID)
	}
	for _, count := range zones {
		if job.Spec.SpreadZones && count > job.MaxTasksPerZone() {
			t.Fatalf("load %d: %s is not spread", workload, job.Spec.ID)
		}
	}
	return taskCount
}

// A machine that backs off after failed tasks gets none, and no other is requested in its
// place.
func TestMachineInFaultBackoffGetsNoTasks(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	machine := fixture.addMachine("i-0", "small", "x", false)
	machine.BackoffUntil = fixture.now + 2*clock.Second
	job := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 2, CPUs: 2, EstimatedRunSeconds: 50})
	if decision := fixture.plan(); job.ActiveCount() != 0 || len(decision.ScaleOut) != 0 {
		t.Fatalf("%d tasks are placed, %v is requested though there will be room in a moment", job.ActiveCount(), decision.ScaleOut)
	}
	fixture.now = machine.BackoffUntil
	machine.LastHeartbeatAt = fixture.now
	fixture.plan()
	if job.ActiveCount() != 2 {
		t.Fatalf("%d tasks are placed when the backoff is over", job.ActiveCount())
	}
}

// A machine that sends heartbeats may not be reachable: it gets no tasks while command
// requests to it get no answer, until one is answered, nor once it is suspected.
func TestUnreachableMachineGetsNoTasks(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	unreachable, reachable := fixture.addMachine("i-0", "small", "x", false), fixture.addMachine("i-1", "small", "x", false)
	firstJob := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 2, CPUs: 4, EstimatedRunSeconds: 50})
	fixture.plan()
	if firstJob.ActiveCount() != 2 {
		t.Fatalf("%d tasks are placed", firstJob.ActiveCount())
	}
	_, starts := fixture.tracker.BuildCommandRequest(unreachable, fixture.now)
	fixture.tracker.FinishCommandRequest(unreachable, starts, allocation.CommandOutcomeUnknown, fixture.now)
	sendHeartbeat := func(machine *allocation.Machine, incarnation uint64) {
		fixture.heartbeatSeqs[machine.Name]++
		fixture.tracker.RecordHeartbeat(machine, &wire.Heartbeat{MachineID: machine.Name, Incarnation: incarnation, Sequence: fixture.heartbeatSeqs[machine.Name], FencingToken: 1, Address: "127.0.0.1:1"}, fixture.now)
	}
	// Its lease expires unseen; it sends heartbeats of its next incarnation.
	fixture.tracker.Cancel(firstJob, fixture.now)
	fixture.now += 2 * clock.Second
	sendHeartbeat(unreachable, 2)
	secondJob := fixture.addJob(wire.Job{ID: "req-000002", Team: "a", TaskCount: 4, CPUs: 2, EstimatedRunSeconds: 50})
	fixture.plan()
	secondJob.ForEachPlacement(func(placement *allocation.Placement) {
		if placement.Machine == unreachable {
			t.Fatal("an unreachable machine got a task")
		}
	})
	request, starts := fixture.tracker.BuildCommandRequest(unreachable, fixture.now)
	if request == nil {
		t.Fatal("no command request checks whether it is reachable")
	}
	fixture.tracker.FinishCommandRequest(unreachable, starts, allocation.CommandExecuted, fixture.now)
	reachable.Draining = true
	fixture.plan()
	taskCount := 0
	secondJob.ForEachPlacement(func(placement *allocation.Placement) {
		if placement.Machine == unreachable {
			taskCount++
		}
	})
	if taskCount == 0 {
		t.Fatal("it is reachable again, and gets no task")
	}
	suspected := fixture.addMachine("i-2", "small", "x", false)
	fixture.scheduler.HeartbeatWindow = 5 * clock.Second
	fixture.now += 6 * clock.Second
	fixture.addJob(wire.Job{ID: "req-000003", Team: "a", TaskCount: 1, CPUs: 2, EstimatedRunSeconds: 50})
	fixture.plan()
	if !suspected.IsIdle() {
		t.Fatal("a suspected machine got a task")
	}
}

// What a plan allocates follows what waits, not the size of the fleet.
func TestPlanAllocationsScaleWithQueueNotFleet(t *testing.T) {
	allocs := func(machines, waiting int) float64 {
		fixture := newFleetFixture(machines, 1, waiting)
		return testing.AllocsPerRun(5, func() {
			fixture.plan()
			fixture.now += 100 * clock.Millisecond
		})
	}
	smallFleet, largeFleet := allocs(100, 6), allocs(2000, 6)
	if largeFleet > 2*smallFleet {
		t.Errorf("a plan before 100 machines allocates %v times, before 2000 %v times", smallFleet, largeFleet)
	}
	if longQueue := allocs(100, 60); longQueue < 2*smallFleet {
		t.Errorf("ten times the queue allocates %v times, against %v: the test counts the wrong thing", longQueue, smallFleet)
	}
}
