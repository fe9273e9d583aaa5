package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/forecast"
	"firwood.dev/firwood/wire"
)

func testSettings() Settings {
	return Settings{
		Screen:      forecast.ScreenSettings{Window: 120 * clock.Second, MinSamples: 3, MaxSamples: 1000, MaxVariationDeviation: 0.45, MaxLagCorrelation: 0.65, MaxKSDistance: 3.75},
		Smoothing:   forecast.Smoothing{Arrival: 0.2, RunTime: 0.1, DemandSize: 0.1},
		Spares:      SpareSettings{WaitWeight: 50, IdleWeight: 1, Min: 1, Max: 4, IdleCostHorizon: 600 * clock.Second, ArrivalRecencyWindow: 60 * clock.Second},
		IdleTimeout: 60 * clock.Second, AgingThreshold: 150 * clock.Second, GangWaitWeight: 3,
	}
}

func isAlmostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9*max(1, math.Abs(b)) }

type schedulerFixture struct {
	tracker       *allocation.Tracker
	scheduler     *Scheduler
	now           clock.Micros
	heartbeatSeqs map[string]uint64
}

// newFixture returns a fixture with two machine types, no machines and a heartbeat window of 1 h.
func newFixture(teams map[string]allocation.TeamQuota) *schedulerFixture {
	types := []wire.MachineType{
		{Name: "big", CPUs: 16, GPUs: 2, MemoryGB: 64, OnDemandPrice: 1, SpotPrice: 0.4, BootSeconds: 15, FetchGBPerSecond: 1, Zones: []string{"x", "y", "z"}},
		{Name: "small", CPUs: 4, MemoryGB: 16, OnDemandPrice: 0.3, SpotPrice: 0.15, BootSeconds: 15, FetchGBPerSecond: 1, Zones: []string{"x", "y"}},
	}
	fixture := &schedulerFixture{tracker: allocation.New(allocation.Config{FencingToken: 1, LeaseTTL: 30 * clock.Second, Quotas: teams}), now: clock.Second, heartbeatSeqs: map[string]uint64{}}
	fixture.scheduler = New(testSettings(), types, teams, []string{"x", "y", "z"})
	fixture.scheduler.HeartbeatWindow = 3600 * clock.Second
	fixture.tracker.FinishRecovery()
	return fixture
}

// addMachine adds a machine that has sent a heartbeat and confirmed the fencing token.
func (fixture *schedulerFixture) addMachine(name, typeName, zone string, spot bool) *allocation.Machine {
	machine := fixture.tracker.AddMachine(name, typeName, zone, spot, fixture.scheduler.MachineCapacity(typeName), fixture.now)
	machine.RecordedInStore = true
	fixture.heartbeatSeqs[name]++
	fixture.tracker.RecordHeartbeat(machine, &wire.Heartbeat{MachineID: name, Incarnation: 1, Sequence: fixture.heartbeatSeqs[name], FencingToken: 1, Address: "127.0.0.1:1"}, fixture.now)
	return machine
}

// addJob adds a waiting job. The kind is array and the priority normal, unless spec sets them.
func (fixture *schedulerFixture) addJob(spec wire.Job) *allocation.Job {
	if spec.Priority == "" {
		spec.Priority = wire.PriorityNormal
	}
	if spec.Kind == "" {
		spec.Kind = wire.KindArray
	}
	return fixture.tracker.AddJob(&spec, fixture.now, fixture.now, true, nil)
}

// plan runs a plan at the fixture's current time without pending scale-out requests.
func (fixture *schedulerFixture) plan() Decision {
	return fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
}

// reportTasks sends a heartbeat in which all tasks of the machine that are not stopping have the state
// taskState.
func (fixture *schedulerFixture) reportTasks(machine *allocation.Machine, taskState string) {
	fixture.tracker.HeartbeatCommands(machine, fixture.now)
	var tasks []wire.TaskStatus
	machine.ForEachPlacement(func(placement *allocation.Placement) {
		if !placement.IsStopping() {
			tasks = append(tasks, wire.TaskStatus{TaskID: wire.TaskID(placement.Job.Spec.ID, placement.TaskIndex), Attempt: placement.Attempt, State: taskState})
		}
	})
	fixture.heartbeatSeqs[machine.Name] += 2
	fixture.tracker.RecordHeartbeat(machine, &wire.Heartbeat{MachineID: machine.Name, Incarnation: 1, Sequence: fixture.heartbeatSeqs[machine.Name], FencingToken: 1, Tasks: tasks}, fixture.now)
}

// newFullGPUFixture returns a fixture with machines of two GPUs each, and the array job whose tasks
// use all these GPUs. All pools count as empty, so no further machines can be requested at first.
func newFullGPUFixture(t *testing.T, machines int, spec wire.Job) (*schedulerFixture, *allocation.Job) {
	t.Helper()
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}, "b": {}})
	spec.ID, spec.TaskCount, spec.CPUs, spec.GPUs, spec.Team = "req-000001", 2*machines, 5, 1, "a"
	batchJob := fixture.addJob(spec)
	for i := range machines {
		machine := fixture.addMachine(fmt.Sprintf("i-%02d", i), "big", "x", false)
		for k := range 2 {
			if err := fixture.tracker.PlaceTask(batchJob, 2*i+k, machine, fixture.tracker.NextAttempt(), fixture.now); err != nil {
				t.Fatal(err)
			}
		}
		fixture.reportTasks(machine, wire.TaskRunning)
	}
	for _, zone := range []string{"x", "y", "z"} {
		fixture.scheduler.ObserveEmptyPool(Pool{"big", zone, false}, fixture.now+10*clock.Second)
		fixture.scheduler.ObserveEmptyPool(Pool{"big", zone, true}, fixture.now+10*clock.Second)
	}
	return fixture, batchJob
}

// stoppingCount returns the number of a job's tasks that are being stopped.
func stoppingCount(job *allocation.Job) (n int) {
	job.ForEachPlacement(func(placement *allocation.Placement) {
		if placement.IsStopping() {
			n++
		}
	})
	return n
}

// completeTask sends a heartbeat that reports one task as completed and the machine's others as running.
func (fixture *schedulerFixture) completeTask(job *allocation.Job, index int) {
	machine := job.Tasks[index].Placement.Machine
	var tasks []wire.TaskStatus
	machine.ForEachPlacement(func(placement *allocation.Placement) {
		task := wire.TaskStatus{TaskID: wire.TaskID(placement.Job.Spec.ID, placement.TaskIndex), Attempt: placement.Attempt, State: wire.TaskRunning}
		if placement.Job == job && placement.TaskIndex == index {
			task.State, task.ExitCause = wire.TaskExited, wire.ExitDone
		}
		tasks = append(tasks, task)
	})
	fixture.heartbeatSeqs[machine.Name] += 2
	fixture.tracker.RecordHeartbeat(machine, &wire.Heartbeat{MachineID: machine.Name, Incarnation: 1, Sequence: fixture.heartbeatSeqs[machine.Name], FencingToken: 1, Tasks: tasks}, fixture.now)
}

// simulateSecond advances the time by a second and has the workers report: placed tasks run, and
// tasks that have run for their job's run time complete. It records each job's first start.
func (fixture *schedulerFixture) simulateSecond(runTimes, firstStarts map[*allocation.Job]clock.Micros) {
	fixture.now += clock.Second
	for _, machine := range fixture.tracker.SortedMachines() {
		fixture.heartbeatSeqs[machine.Name]++
		heartbeat := &wire.Heartbeat{MachineID: machine.Name, Incarnation: 1, Sequence: fixture.heartbeatSeqs[machine.Name], FencingToken: 1, Address: "127.0.0.1:1"}
		machine.ForEachPlacement(func(placement *allocation.Placement) {
			task := wire.TaskStatus{TaskID: wire.TaskID(placement.Job.Spec.ID, placement.TaskIndex), Attempt: placement.Attempt, State: wire.TaskRunning}
			if placement.StartedAt != 0 && fixture.now-placement.StartedAt >= runTimes[placement.Job] {
				task.State, task.ExitCause = wire.TaskExited, wire.ExitDone
			}
			heartbeat.Tasks = append(heartbeat.Tasks, task)
		})
		fixture.tracker.RecordHeartbeat(machine, heartbeat, fixture.now)
	}
	for _, placement := range fixture.tracker.Started {
		if firstStarts[placement.Job] == 0 {
			firstStarts[placement.Job] = fixture.now
		}
	}
	fixture.tracker.Exited, fixture.tracker.Started = nil, nil
	for _, job := range fixture.tracker.Jobs {
		if job.IsComplete() {
			fixture.tracker.MarkCompletionsDurable(job, job.UnpersistedCompletions())
			fixture.tracker.RemoveJob(job)
		}
	}
}

// newFleetFixture returns a fixture with machineCount machines, three quarters of them spot. Running
// tasks of arrays (spot) and services (on-demand) fill each machine to filledFraction, and
// waitingJobs further arrays and services wait.
func newFleetFixture(machineCount int, filledFraction float64, waitingJobs int) *schedulerFixture {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}, "b": {}})
	rng := rand.New(rand.NewPCG(uint64(machineCount), 8))
	var machines, spotOnly, onDemandOnly []*allocation.Machine
	for i := 0; i < machineCount; i++ {
		machine := fixture.addMachine(fmt.Sprintf("i-%06d", i), "big", []string{"x", "y", "z"}[i%3], i%4 != 0)
		machines = append(machines, machine)
		if machine.Spot {
			spotOnly = append(spotOnly, machine)
		} else {
			onDemandOnly = append(onDemandOnly, machine)
		}
	}
	id := 0
	addWaitingJob := func(kind string, tasks int) *allocation.Job {
		id++
		spec := wire.Job{ID: fmt.Sprintf("req-%06d", id), Class: "array", Team: "a", TaskCount: tasks, CPUs: 4, MemoryGB: 9, AllowsSpot: true,
			EstimatedRunSeconds: 20 + 60*rng.Float64(), Priority: wire.PriorityHigh, Image: fmt.Sprint("array-", id%4), ImageSizeGB: 0.6}
		if kind == wire.KindService {
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
	// fillMachines fills the machines with running tasks of jobs of the given kind and size.
	fillMachines := func(machines []*allocation.Machine, jobKind string, jobSize int) {
		var job *allocation.Job
		next := 0
		for _, machine := range machines {
			for float64(machine.Used().MicroCPU) < filledFraction*float64(machine.Capacity.MicroCPU) {
				if job == nil || next == len(job.Tasks) {
					job, next = addWaitingJob(jobKind, jobSize), 0
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
	fillMachines(spotOnly, wire.KindArray, 90)
	fillMachines(onDemandOnly, wire.KindService, 8)
	fixture.now += clock.Second
	for _, machine := range machines {
		fixture.tracker.BuildCommandRequest(machine, fixture.now)
		fixture.tracker.RecordHeartbeat(machine, heartbeats[machine], fixture.now)
	}
	fixture.now += 10 * clock.Second
	for i := 0; i < waitingJobs; i++ {
		if i%3 == 0 {
			addWaitingJob(wire.KindService, 8)
		} else {
			addWaitingJob(wire.KindArray, 90)
		}
	}
	return fixture
}
