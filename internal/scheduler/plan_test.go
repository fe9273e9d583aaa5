package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Over generated workloads no plan may violate a job's constraints, a machine's capacity or a team's
// limit, and every gang must be placed as a whole.
func TestPlanRespectsJobMachineAndQuotaConstraints(t *testing.T) {
	rng := rand.New(rand.NewPCG(6, 6))
	placed, gangs := 0, 0
	for workload := 0; workload < 400; workload++ {
		fixture := newFixture(map[string]allocation.TeamQuota{"a": {GuaranteedMicroCPU: 8 * allocation.Unit, MaxMicroCPU: 40 * allocation.Unit}, "b": {MaxMicroGPU: 3 * allocation.Unit}})
		for i := rng.IntN(8); i >= 0; i-- {
			fixture.addMachine(fmt.Sprint("i-", i), []string{"big", "small"}[rng.IntN(2)], []string{"x", "y"}[rng.IntN(2)], rng.IntN(2) == 0)
		}
		for i := rng.IntN(10); i >= 0; i-- {
			fixture.addJob(generateJob(rng, i))
		}
		for cycleIndex := 0; cycleIndex < 3; cycleIndex++ {
			for _, request := range fixture.plan().ScaleOut {
				if request.Count < 1 || request.Count > wire.MaxScaleOutCount {
					t.Fatalf("workload %d: got %d machines requested at once, want 1 to the maximum count", workload, request.Count)
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
					t.Fatalf("workload %d: gang %s is placed only in part", workload, job.Spec.ID)
				}
			}
		}
		for _, machine := range fixture.tracker.Machines {
			if !machine.Used().IsWithin(machine.Capacity) {
				t.Fatalf("workload %d: the tasks on %s use more than its capacity", workload, machine.Name)
			}
		}
		if usage["a"].MicroCPU > 40*allocation.Unit || usage["b"].MicroGPU > 3*allocation.Unit {
			t.Fatalf("workload %d: usage by team %v is above a team's limit", workload, usage)
		}
	}
	if placed < 1000 || gangs < 20 {
		t.Fatalf("got %d tasks and %d gangs placed, want at least 1000 and 20 for a meaningful test", placed, gangs)
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

// checkPlacements fails the test if a task of the job is on a machine that the job does not allow. It
// returns the number of placed tasks.
func checkPlacements(t *testing.T, workload int, job *allocation.Job) (taskCount int) {
	t.Helper()
	zones := map[string]int{}
	job.ForEachPlacement(func(placement *allocation.Placement) {
		taskCount++
		zones[placement.Machine.Zone]++
		if placement.Machine.Spot && !job.Spec.AllowsSpot || job.Spec.Zone != "" && placement.Machine.Zone != job.Spec.Zone || job.Spec.MachineTypes != nil && placement.Machine.Type != "big" {
			t.Fatalf("workload %d: a task of %s is on a machine that the job does not allow", workload, job.Spec.ID)
		}
	})
	if job.Spec.SingleZone && len(zones) > 1 {
		t.Fatalf("workload %d: %s has tasks in several zones, want a single zone", workload, job.Spec.ID)
	}
	for _, count := range zones {
		if job.Spec.SpreadZones && count > job.MaxTasksPerZone() {
			t.Fatalf("workload %d: %s has more tasks in a zone than it allows", workload, job.Spec.ID)
		}
	}
	return taskCount
}

// A machine that backs off after task failures must get no tasks, and no machine may be requested to
// replace it.
func TestMachineInFaultBackoffGetsNoTasks(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	machine := fixture.addMachine("i-0", "small", "x", false)
	machine.BackoffUntil = fixture.now + 2*clock.Second
	job := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 2, CPUs: 2, EstimatedRunSeconds: 50})
	if decision := fixture.plan(); job.ActiveCount() != 0 || len(decision.ScaleOut) != 0 {
		t.Fatalf("during the backoff: got %d tasks placed and scale-out requests %v, want none", job.ActiveCount(), decision.ScaleOut)
	}
	fixture.now = machine.BackoffUntil
	machine.LastHeartbeatAt = fixture.now
	fixture.plan()
	if job.ActiveCount() != 2 {
		t.Fatalf("after the backoff: got %d tasks placed, want 2", job.ActiveCount())
	}
}

// A machine may be unreachable although its heartbeats arrive. It must get no tasks after a command
// request without an answer until another request is answered, and none while it is suspected.
func TestUnreachableMachineGetsNoTasks(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	unreachable, reachable := fixture.addMachine("i-0", "small", "x", false), fixture.addMachine("i-1", "small", "x", false)
	firstJob := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 2, CPUs: 4, EstimatedRunSeconds: 50})
	fixture.plan()
	if firstJob.ActiveCount() != 2 {
		t.Fatalf("got %d tasks placed, want 2", firstJob.ActiveCount())
	}
	_, starts := fixture.tracker.BuildCommandRequest(unreachable, fixture.now)
	fixture.tracker.FinishCommandRequest(unreachable, starts, allocation.CommandOutcomeUnknown, fixture.now)
	sendHeartbeat := func(machine *allocation.Machine, incarnation uint64) {
		fixture.heartbeatSeqs[machine.Name]++
		fixture.tracker.RecordHeartbeat(machine, &wire.Heartbeat{MachineID: machine.Name, Incarnation: incarnation, Sequence: fixture.heartbeatSeqs[machine.Name], FencingToken: 1, Address: "127.0.0.1:1"}, fixture.now)
	}
	// The machine's lease expires unnoticed, and heartbeats of its next incarnation arrive.
	fixture.tracker.Cancel(firstJob, fixture.now)
	fixture.now += 2 * clock.Second
	sendHeartbeat(unreachable, 2)
	secondJob := fixture.addJob(wire.Job{ID: "req-000002", Team: "a", TaskCount: 4, CPUs: 2, EstimatedRunSeconds: 50})
	fixture.plan()
	secondJob.ForEachPlacement(func(placement *allocation.Placement) {
		if placement.Machine == unreachable {
			t.Fatal("a task was placed on the unreachable machine, want none before a command request is answered")
		}
	})
	request, starts := fixture.tracker.BuildCommandRequest(unreachable, fixture.now)
	if request == nil {
		t.Fatal("got no command request to the unreachable machine, want one that checks whether it is reachable")
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
		t.Fatal("got no task on the machine after it was reachable again, want some")
	}
	suspected := fixture.addMachine("i-2", "small", "x", false)
	fixture.scheduler.HeartbeatWindow = 5 * clock.Second
	fixture.now += 6 * clock.Second
	fixture.addJob(wire.Job{ID: "req-000003", Team: "a", TaskCount: 1, CPUs: 2, EstimatedRunSeconds: 50})
	fixture.plan()
	if !suspected.IsIdle() {
		t.Fatal("a task was placed on the suspected machine, want none")
	}
}

// The number of allocations in a plan must grow with the queue, not with the size of the fleet.
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
		t.Errorf("got %v allocations with 100 machines and %v with 2000, want at most twice as many", smallFleet, largeFleet)
	}
	if longQueue := allocs(100, 60); longQueue < 2*smallFleet {
		t.Errorf("got %v allocations with ten times the queue and %v before, want at least twice as many", longQueue, smallFleet)
	}
}
