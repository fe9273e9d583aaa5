package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// newFleetFixture makes a ledger of n machines, most of them spot, that are filled to
// the given part by running tasks of arrays and replicas, with so many more
// arrays and services waiting.
func newFleetFixture(n int, filled float64, waiting int) *schedulerFixture {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}, "b": {}})
	rng := rand.New(rand.NewPCG(uint64(n), 8))
	var machines []*allocation.Machine
	for i := 0; i < n; i++ {
		machines = append(machines, fixture.addMachine(fmt.Sprintf("i-%06d", i), "big", []string{"x", "y", "z"}[i%3], i%4 != 0))
	}
	id := 0
	addWaitingJob := func(service bool, tasks int) *allocation.Job {
		id++
		spec := wire.Job{ID: fmt.Sprintf("req-%06d", id), Class: "array", Team: "a", TaskCount: tasks, CPUs: 4, MemoryGB: 9, AllowsSpot: true,
			EstimatedRunSeconds: 20 + 60*rng.Float64(), Priority: wire.PriorityHigh, Image: fmt.Sprint("array-", id%4), ImageSizeGB: 0.6}
		if service {
			spec.Class, spec.Team, spec.CPUs, spec.MemoryGB, spec.AllowsSpot, spec.EstimatedRunSeconds = "service", "b", 1, 2, false, 0
			spec.Kind, spec.Priority, spec.SpreadZones, spec.Image = wire.KindService, wire.PriorityProduction, true, fmt.Sprint("service-", id%16)
		}
		return fixture.addJob(spec)
	}
	heartbeats := map[*allocation.Machine]*wire.Heartbeat{}
	for _, machine := range machines {
		fixture.heartbeatSeqs[machine.Name]++
		heartbeats[machine] = &wire.Heartbeat{MachineID: machine.Name, Incarnation: 1, Sequence: fixture.heartbeatSeqs[machine.Name], FencingToken: 1, Address: "127.0.0.1:1"}
	}
	fillMachines := func(spot bool, size int) {
		var job *allocation.Job
		next := 0
		for _, machine := range machines {
			if machine.Spot != spot {
				continue
			}
			for float64(machine.Used().MilliCPU) < filled*float64(machine.Capacity.MilliCPU) {
				if job == nil || next == len(job.Tasks) {
					job, next = addWaitingJob(!spot, size), 0
					job.Spec.SpreadZones = false
				}
				if !job.Request.IsWithin(machine.Free()) {
					break
				}
				if err := fixture.tracker.PlaceTask(job, next, machine, fixture.tracker.NextAttempt(), fixture.now); err != nil {
					panic(err)
				}
				placement := job.Tasks[next].Placement
				heartbeats[machine].Tasks = append(heartbeats[machine].Tasks, wire.TaskStatus{TaskID: wire.TaskID(job.Spec.ID, next), Attempt: placement.Attempt, State: wire.TaskRunning})
				next++
			}
		}
	}
	fillMachines(true, 90)
	fillMachines(false, 8)
	fixture.now += clock.Second
	for _, machine := range machines {
		fixture.tracker.BuildCommandRequest(machine, fixture.now)
		fixture.tracker.RecordHeartbeat(machine, heartbeats[machine], fixture.now)
	}
	fixture.now += 10 * clock.Second
	for i := 0; i < waiting; i++ {
		addWaitingJob(i%3 == 0, []int{90, 8}[boolToInt(i%3 == 0)])
	}
	return fixture
}

const plansPerIteration = 10

// The curve of a plan over the size of the fleet: with nothing to do, with a
// queue before a full fleet, and with a queue as at the start of a day.
func BenchmarkPlan(b *testing.B) {
	for _, testCase := range []struct {
		name    string
		filled  float64
		waiting int
	}{{"quiet", 0.9, 0}, {"full", 1, 40}, {"start", 0, 300}, {"start of a large day", 0, 900}} {
		for _, n := range []int{500, 1500, 4000, 6000} {
			b.Run(fmt.Sprintf("%s/%d", testCase.name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					b.StopTimer()
					fixture := newFleetFixture(n, testCase.filled, testCase.waiting)
					b.StartTimer()
					// As a leader does it: again and again, with little changed.
					for i := 0; i < plansPerIteration; i++ {
						fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
						fixture.now += clock.Second / plansPerIteration
					}
				}
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*plansPerIteration), "us/plan")
			})
		}
	}
}

// What a plan allocates follows what waits, not the size of the fleet.
func TestPlanAllocationsScaleWithQueueNotFleet(t *testing.T) {
	allocs := func(machines, waiting int) float64 {
		fixture := newFleetFixture(machines, 1, waiting)
		return testing.AllocsPerRun(5, func() {
			fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
			fixture.now += 100 * clock.Millisecond
		})
	}
	small, large := allocs(100, 6), allocs(2000, 6)
	if large > 2*small {
		t.Errorf("a plan before 100 machines allocates %v times, before 2000 %v times", small, large)
	}
	if more := allocs(100, 60); more < 2*small {
		t.Errorf("ten times the queue allocates %v times, against %v: the test counts the wrong thing", more, small)
	}
}

// The fast placement decides as the plain one does: every machine scored for
// every job, sorted in full, and for a spread job sorted anew for every task.
func TestPlacementMatchesBruteForce(t *testing.T) {
	placed := 0
	for seed := uint64(1); seed <= 300; seed++ {
		build := func() (*schedulerFixture, []*allocation.Job) {
			rng := rand.New(rand.NewPCG(seed, 21))
			fixture := newFixture(map[string]allocation.TeamQuota{"a": {MaxMilliCPU: int64(20+rng.IntN(100)) * 1000}})
			for i := rng.IntN(30); i >= 0; i-- {
				machine := fixture.addMachine(fmt.Sprintf("i-%02d", i), []string{"big", "small"}[rng.IntN(2)], []string{"x", "y", "z"}[rng.IntN(3)], rng.IntN(2) == 0)
				if rng.IntN(2) == 0 {
					machine.ImageUsedAt[fmt.Sprint("img-", rng.IntN(3))] = fixture.now
				}
			}
			var jobs []*allocation.Job
			for i := 0; i < 1+rng.IntN(8); i++ {
				spec := wire.Job{ID: fmt.Sprintf("req-%06d", i), Team: "a", TaskCount: 1 + rng.IntN(12), CPUs: float64(1 + rng.IntN(4)), MemoryGB: float64(1 + rng.IntN(8)),
					EstimatedRunSeconds: float64(5 + rng.IntN(90)), AllowsSpot: rng.IntN(2) == 0, Image: fmt.Sprint("img-", rng.IntN(3))}
				if rng.IntN(3) == 0 {
					spec.Kind, spec.EstimatedRunSeconds, spec.SpreadZones = wire.KindService, 0, true
				}
				jobs = append(jobs, fixture.addJob(spec))
			}
			return fixture, jobs
		}
		place := func(fixture *schedulerFixture, placeJob func(cycle *schedulingCycle, queued *queuedJob)) map[string]string {
			queue := fixture.scheduler.buildQueue(fixture.tracker, nil, fixture.now, fixture.now)
			cycle := fixture.scheduler.newCycle(fixture.tracker, queue, fixture.now)
			for _, queued := range queue {
				queued.taskLimit = cycle.quotaAllowance(queued.job)
				placeJob(cycle, queued)
			}
			got := map[string]string{}
			for _, job := range fixture.tracker.Jobs {
				job.ForEachPlacement(func(placement *allocation.Placement) {
					got[wire.TaskID(job.Spec.ID, placement.TaskIndex)] = placement.Machine.Name
				})
			}
			return got
		}
		fastFixture, _ := build()
		fast := place(fastFixture, func(cycle *schedulingCycle, queued *queuedJob) { cycle.placeTasks(queued) })
		plainFixture, _ := build()
		plain := place(plainFixture, func(cycle *schedulingCycle, queued *queuedJob) {
			job := queued.job
			scores := map[*allocation.Machine]float64{}
			for _, machine := range cycle.machines {
				scores[machine] = cycle.placementScore(job, machine)
			}
			for index := 0; index < min(len(queued.readyTasks), queued.taskLimit); index++ {
				var best *allocation.Machine
				for _, machine := range cycle.machines {
					if !machine.IsSchedulable() || !allocation.IsEligible(job, machine) || !job.Request.IsWithin(cycle.freeResources(machine)) {
						continue
					}
					if job.Spec.SpreadZones && best != nil && job.CountInZone(machine.Zone) > job.CountInZone(best.Zone) {
						continue
					}
					if best == nil || job.Spec.SpreadZones && job.CountInZone(machine.Zone) < job.CountInZone(best.Zone) || scores[machine] > scores[best] {
						best = machine
					}
				}
				if best == nil || cycle.tracker.PlaceTask(job, queued.readyTasks[index], best, cycle.tracker.NextAttempt(), cycle.now) != nil {
					return
				}
			}
		})
		if len(fast) != len(plain) {
			t.Fatalf("scene %d: %d tasks placed, plainly %d", seed, len(fast), len(plain))
		}
		for id, m := range plain {
			if fast[id] != m {
				t.Fatalf("scene %d: %s goes to %s, plainly to %s", seed, id, fast[id], m)
			}
		}
		placed += len(plain)
	}
	if placed < 2000 {
		t.Fatalf("only %d tasks were placed", placed)
	}
}
