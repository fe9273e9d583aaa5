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

func (fixture *schedulerFixture) addMachine(name, typeName, zone string, spot bool) *allocation.Machine {
	machine := fixture.tracker.AddMachine(name, typeName, zone, spot, fixture.scheduler.MachineCapacity(typeName), fixture.now)
	machine.RecordedInStore = true
	fixture.heartbeatSeqs[name]++
	fixture.tracker.RecordHeartbeat(machine, &wire.Heartbeat{MachineID: name, Incarnation: 1, Sequence: fixture.heartbeatSeqs[name], FencingToken: 1, Address: "127.0.0.1:1"}, fixture.now)
	return machine
}

func (fixture *schedulerFixture) addJob(spec wire.Job) *allocation.Job {
	if spec.Priority == "" {
		spec.Priority = wire.PriorityNormal
	}
	if spec.Kind == "" {
		spec.Kind = wire.KindArray
	}
	return fixture.tracker.AddJob(&spec, fixture.now, fixture.now, true, nil)
}

// Over generated scenes no plan breaks a job's wishes, a machine's room or a
// team's limit, and gangs are placed whole.
func TestPlanRespectsJobMachineAndQuotaConstraints(t *testing.T) {
	rng := rand.New(rand.NewPCG(6, 6))
	placed, gangs := 0, 0
	for n := 0; n < 400; n++ {
		fixture := newFixture(map[string]allocation.TeamQuota{"a": {GuaranteedMilliCPU: 8000, MaxMilliCPU: 40000}, "b": {MaxMilliGPU: 3000}})
		for i := rng.IntN(8); i >= 0; i-- {
			fixture.addMachine(fmt.Sprint("i-", i), []string{"big", "small"}[rng.IntN(2)], []string{"x", "y"}[rng.IntN(2)], rng.IntN(2) == 0)
		}
		for i := rng.IntN(10); i >= 0; i-- {
			spec := wire.Job{ID: fmt.Sprintf("req-%06d", i), Team: []string{"a", "b"}[rng.IntN(2)], TaskCount: 1 + rng.IntN(9),
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
			fixture.addJob(spec)
		}
		for cycleIndex := 0; cycleIndex < 3; cycleIndex++ {
			decision := fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
			for _, request := range decision.ScaleOut {
				if request.Count < 1 || request.Count > wire.MaxScaleOutCount {
					t.Fatalf("scene %d: rents %d", n, request.Count)
				}
			}
			fixture.now += clock.Second
		}
		usage := map[string]allocation.Resources{}
		for _, job := range fixture.tracker.Jobs {
			zones := map[string]int{}
			for i := range job.Tasks {
				placement := job.Tasks[i].Placement
				if placement == nil {
					continue
				}
				placed++
				zones[placement.Machine.Zone]++
				usage[job.Spec.Team] = usage[job.Spec.Team].Add(job.Request)
				if placement.Machine.Spot && !job.Spec.AllowsSpot || job.Spec.Zone != "" && placement.Machine.Zone != job.Spec.Zone || job.Spec.MachineTypes != nil && placement.Machine.Type != "big" {
					t.Fatalf("scene %d: %s in a wrong place", n, job.Spec.ID)
				}
			}
			if job.Spec.SingleZone && len(zones) > 1 {
				t.Fatalf("scene %d: %s in several zones", n, job.Spec.ID)
			}
			for _, count := range zones {
				if job.Spec.SpreadZones && count > job.MaxTasksPerZone() {
					t.Fatalf("scene %d: %s is not spread", n, job.Spec.ID)
				}
			}
			if job.IsGang() && job.ActiveCount() > 0 {
				gangs++
				if job.WaitingCount() > 0 {
					t.Fatalf("scene %d: gang %s is placed in part", n, job.Spec.ID)
				}
			}
		}
		for _, machine := range fixture.tracker.Machines {
			if !machine.Used().IsWithin(machine.Capacity) {
				t.Fatalf("scene %d: %s is over-full", n, machine.Name)
			}
		}
		if usage["a"].MilliCPU > 40000 || usage["b"].MilliGPU > 3000 {
			t.Fatalf("scene %d: over the limit: %v", n, usage)
		}
	}
	if placed < 1000 || gangs < 20 {
		t.Fatalf("%d tasks and %d gangs were placed", placed, gangs)
	}
}

// Smallest need first, inside rank and guarantee.
func TestQueueOrderIsSmallestNeedFirst(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {GuaranteedMilliCPU: 4000}, "b": {}})
	fixture.addMachine("i-0", "big", "x", false)
	fixture.addJob(wire.Job{ID: "req-000001", Team: "b", TaskCount: 1, CPUs: 4, EstimatedRunSeconds: 50})
	fixture.addJob(wire.Job{ID: "req-000002", Team: "b", TaskCount: 1, CPUs: 4, EstimatedRunSeconds: 20})
	fixture.addJob(wire.Job{ID: "req-000003", Team: "b", TaskCount: 8, CPUs: 4, EstimatedRunSeconds: 1, Kind: wire.KindGang})
	fixture.addJob(wire.Job{ID: "req-000004", Team: "a", TaskCount: 1, CPUs: 4, EstimatedRunSeconds: 90})
	fixture.addJob(wire.Job{ID: "req-000005", Team: "b", TaskCount: 1, CPUs: 4, EstimatedRunSeconds: 90, Priority: wire.PriorityProduction, Kind: wire.KindService})
	var got []string
	for _, queued := range fixture.scheduler.buildQueue(fixture.tracker, fixture.scheduler.quotaEntitlements(fixture.tracker), fixture.now, fixture.now) {
		got = append(got, queued.job.Spec.ID)
	}
	want := []string{"req-000005", "req-000004", "req-000002", "req-000001", "req-000003"}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("%v, want %v", got, want)
	}
}

// A long job whose deadline is near goes before shorter ones; one that is late
// anyway does not.
func TestUrgentDeadlineGoesFirst(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 1, CPUs: 4, EstimatedRunSeconds: 20})
	fixture.addJob(wire.Job{ID: "req-000002", Team: "a", TaskCount: 1, CPUs: 4, EstimatedRunSeconds: 100, DeadlineSeconds: 230})
	fixture.addJob(wire.Job{ID: "req-000003", Team: "a", TaskCount: 1, CPUs: 4, EstimatedRunSeconds: 100, DeadlineSeconds: 150})
	firstJobID := func(wall clock.Micros) string {
		return fixture.scheduler.buildQueue(fixture.tracker, nil, fixture.now, wall)[0].job.Spec.ID
	}
	for _, testCase := range []struct {
		after clock.Micros
		want  string
	}{{0, "req-000001"}, {40 * clock.Second, "req-000003"}, {80 * clock.Second, "req-000001"}, {120 * clock.Second, "req-000002"}, {200 * clock.Second, "req-000001"}} {
		if got := firstJobID(fixture.now + testCase.after); got != testCase.want {
			t.Errorf("after %v s: %s first, want %s", testCase.after.Seconds(), got, testCase.want)
		}
	}
}

// A replica that finds no room takes that of batch work, of what started last.
func TestReplicaPreemptsLatestBatchTask(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	machine := fixture.addMachine("i-0", "small", "x", false)
	batchJob := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 2, CPUs: 2, EstimatedRunSeconds: 50})
	fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
	fixture.tracker.HeartbeatCommands(machine, fixture.now) // sent: from here on only a stop ends them
	fixture.now += 10 * clock.Second
	service := fixture.addJob(wire.Job{ID: "req-000002", Team: "a", TaskCount: 1, CPUs: 2, Priority: wire.PriorityProduction, Kind: wire.KindService})
	fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
	stopped := 0
	for i := range batchJob.Tasks {
		if placement := batchJob.Tasks[i].Placement; placement != nil && placement.IsStopping() {
			stopped++
		}
	}
	if stopped != 1 || service.ActiveCount() != 0 {
		t.Fatalf("%d stopped, %d replicas placed", stopped, service.ActiveCount())
	}
	fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
	for i := range batchJob.Tasks {
		if placement := batchJob.Tasks[i].Placement; placement != nil && placement.IsStopping() {
			stopped--
		}
	}
	if stopped != 0 {
		t.Fatal("the same replica stopped a second task")
	}
}

// A gang of higher rank gets room whole, or nothing is stopped for it.
func TestGangPreemptsOnlyIfItFitsWhole(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	for _, n := range []string{"i-0", "i-1"} {
		fixture.addMachine(n, "small", "x", false)
	}
	batchJob := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 4, CPUs: 2, EstimatedRunSeconds: 50})
	fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
	for _, machine := range fixture.tracker.Machines {
		fixture.tracker.HeartbeatCommands(machine, fixture.now)
	}
	stoppedCount := func() (n int) {
		for i := range batchJob.Tasks {
			if placement := batchJob.Tasks[i].Placement; placement != nil && placement.IsStopping() {
				n++
			}
		}
		return n
	}
	gang := fixture.addJob(wire.Job{ID: "req-000002", Team: "a", TaskCount: 3, CPUs: 4, Priority: wire.PriorityProduction, Kind: wire.KindGang})
	fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
	if stoppedCount() != 0 {
		t.Fatal("work is stopped for a gang that cannot fit")
	}
	fixture.tracker.Cancel(gang, fixture.now)
	fixture.addJob(wire.Job{ID: "req-000003", Team: "a", TaskCount: 3, CPUs: 2, Priority: wire.PriorityProduction, Kind: wire.KindGang})
	fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
	if stoppedCount() != 3 {
		t.Fatalf("%d tasks are stopped for a gang of three", stoppedCount())
	}
	fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
	if stoppedCount() != 3 {
		t.Fatalf("%d after another plan", stoppedCount())
	}
}

// All machines for a gang that wants one zone are rented in one zone, and in
// the next one when that has refused.
func TestScaleOutForOneZoneGangUsesOneZone(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 6, CPUs: 16, MachineTypes: []string{"big"}, Kind: wire.KindGang, SingleZone: true})
	rentedZone := func() string {
		decision := fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
		if len(decision.ScaleOut) != 1 || decision.ScaleOut[0].Count != 6 {
			t.Fatalf("rents %v", decision.ScaleOut)
		}
		return decision.ScaleOut[0].Pool.Zone
	}
	firstZone := rentedZone()
	fixture.scheduler.ObserveEmptyPool(Pool{"big", firstZone, false}, fixture.now)
	if secondZone := rentedZone(); secondZone == firstZone {
		t.Fatal("the zone that refused is asked again")
	}
}

// Where a replica is to go boots while its silent machine is not proven gone;
// nothing of it is started before.
func TestScaleOutForSuspectedMachinesBeforeLossIsConfirmed(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	fixture.scheduler.HeartbeatWindow = 5 * clock.Second
	machine := fixture.addMachine("i-0", "small", "x", false)
	job := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 1, CPUs: 4, Priority: wire.PriorityProduction, Kind: wire.KindService})
	fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
	if job.ActiveCount() != 1 {
		t.Fatal("not placed")
	}
	fixture.tracker.HeartbeatCommands(machine, fixture.now)
	fixture.now += 4 * clock.Second
	if decision := fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil); len(decision.ScaleOut) != 0 {
		t.Fatalf("rented too early: %v", decision.ScaleOut)
	}
	fixture.now += 2 * clock.Second
	decision := fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
	if len(decision.ScaleOut) != 1 || decision.ScaleOut[0].Count != 1 || decision.ScaleOut[0].Pool.Spot {
		t.Fatalf("rents %v", decision.ScaleOut)
	}
	if d := fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, []PendingScaleOut{{Pool: decision.ScaleOut[0].Pool, Count: 1}}); len(d.ScaleOut) != 0 || job.ActiveCount() != 1 {
		t.Fatalf("rented twice: %v", d.ScaleOut)
	}
}

// An empty pool is left alone for a while, and the next zone is asked.
func TestEmptyPoolBacksOff(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 3, CPUs: 16, EstimatedRunSeconds: 50, MachineTypes: []string{"big"}})
	firstRequests := fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil).ScaleOut
	if len(firstRequests) == 0 {
		t.Fatal("nothing is rented")
	}
	for _, request := range firstRequests {
		fixture.scheduler.ObserveEmptyPool(request.Pool, fixture.now)
	}
	for _, request := range fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil).ScaleOut {
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

// A machine that is held because tasks fail on many gets nothing, and nothing is rented
// in its place.
func TestMachineInFaultBackoffGetsNoTasks(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	machine := fixture.addMachine("i-0", "small", "x", false)
	machine.BackoffUntil = fixture.now + 2*clock.Second
	job := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 2, CPUs: 2, EstimatedRunSeconds: 50})
	if decision := fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil); job.ActiveCount() != 0 || len(decision.ScaleOut) != 0 {
		t.Fatalf("%d tasks are placed, %v is rented though there will be room in a moment", job.ActiveCount(), decision.ScaleOut)
	}
	fixture.now = machine.BackoffUntil
	machine.LastHeartbeatAt = fixture.now
	fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
	if job.ActiveCount() != 2 {
		t.Fatalf("%d tasks are placed when the time is over", job.ActiveCount())
	}
}

// A machine that is heard is not by that one that can be told: while direct
// messages to it get no answer, and once it is not heard, it gets no work; the
// first sign that it can be told ends that.
func TestUnreachableMachineGetsNoTasks(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	unreachable, reachable := fixture.addMachine("i-0", "small", "x", false), fixture.addMachine("i-1", "small", "x", false)
	firstJob := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 2, CPUs: 4, EstimatedRunSeconds: 50})
	fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
	if firstJob.ActiveCount() != 2 {
		t.Fatalf("%d tasks are placed", firstJob.ActiveCount())
	}
	_, starts := fixture.tracker.BuildCommandRequest(unreachable, fixture.now)
	fixture.tracker.FinishCommandRequest(unreachable, starts, allocation.CommandOutcomeUnknown, fixture.now)
	report := func(machine *allocation.Machine, session uint64) {
		fixture.heartbeatSeqs[machine.Name]++
		fixture.tracker.RecordHeartbeat(machine, &wire.Heartbeat{MachineID: machine.Name, Incarnation: session, Sequence: fixture.heartbeatSeqs[machine.Name], FencingToken: 1, Address: "127.0.0.1:1"}, fixture.now)
	}
	// Its lease runs out unseen by us; it reports anew, in its next session.
	fixture.tracker.Cancel(firstJob, fixture.now)
	fixture.now += 2 * clock.Second
	report(unreachable, 2)
	secondJob := fixture.addJob(wire.Job{ID: "req-000002", Team: "a", TaskCount: 4, CPUs: 2, EstimatedRunSeconds: 50})
	fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
	secondJob.ForEachPlacement(func(placement *allocation.Placement) {
		if placement.Machine == unreachable {
			t.Fatal("a machine that cannot be told got work")
		}
	})
	request, starts := fixture.tracker.BuildCommandRequest(unreachable, fixture.now)
	if request == nil {
		t.Fatal("nobody asks whether it can be told")
	}
	fixture.tracker.FinishCommandRequest(unreachable, starts, allocation.CommandExecuted, fixture.now)
	reachable.Draining = true
	fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
	n := 0
	secondJob.ForEachPlacement(func(placement *allocation.Placement) {
		if placement.Machine == unreachable {
			n++
		}
	})
	if n == 0 {
		t.Fatal("it can be told again, and gets no work")
	}
	suspected := fixture.addMachine("i-2", "small", "x", false)
	fixture.scheduler.HeartbeatWindow = 5 * clock.Second
	fixture.now += 6 * clock.Second
	fixture.addJob(wire.Job{ID: "req-000003", Team: "a", TaskCount: 1, CPUs: 2, EstimatedRunSeconds: 50})
	fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
	if !suspected.IsIdle() {
		t.Fatal("a machine that is not heard got work")
	}
}

// When a whole zone falls silent, what is rented for its replicas comes up in
// another: in the silent one it would be heard no more than the rest.
func TestNoScaleOutInSuspectedZone(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	fixture.scheduler.HeartbeatWindow = 5 * clock.Second
	machinesByZone := map[string][]*allocation.Machine{}
	for i := 0; i < 12; i++ {
		zone := []string{"x", "y"}[i%2]
		machinesByZone[zone] = append(machinesByZone[zone], fixture.addMachine(fmt.Sprintf("i-%02d", i), "small", zone, false))
	}
	fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 12, CPUs: 4, Priority: wire.PriorityProduction, Kind: wire.KindService, SpreadZones: true, MachineTypes: []string{"small"}})
	fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
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
	decision := fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
	if len(decision.ScaleOut) == 0 {
		t.Fatal("nothing is rented for the replicas of the silent zone")
	}
	for _, request := range decision.ScaleOut {
		if request.Pool.Zone == "x" {
			t.Fatalf("rents %v where nobody is heard", request)
		}
	}
}

// A cut of a zone without a controller once took a third of the replicas: nobody
// inside can keep their leases alive. Replicas go, and machines are rented for
// them, where somebody can, as far as the job's wishes allow.
func TestReplicasPreferDelegatedZones(t *testing.T) {
	fixture := newFixture(nil)
	fixture.scheduler.SetMachineTypes([]wire.MachineType{{Name: "m", CPUs: 16, MemoryGB: 64, OnDemandPrice: 1, BootSeconds: 15, Zones: []string{"x", "y", "z"}}})
	fixture.scheduler.Zones = []string{"x", "y", "z"}
	fixture.scheduler.DelegatedZones = map[string]bool{"y": true, "z": true}
	countByZone := func(job *allocation.Job) map[string]int {
		byZone := map[string]int{}
		job.ForEachPlacement(func(placement *allocation.Placement) { byZone[placement.Machine.Zone]++ })
		return byZone
	}
	job := fixture.addJob(wire.Job{Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: 5, CPUs: 1, MemoryGB: 1, SpreadZones: true})
	decision := fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
	for _, request := range decision.ScaleOut {
		if request.Pool.Zone == "x" {
			t.Errorf("rented in a zone where nobody keeps leases: %+v", decision.ScaleOut)
		}
	}
	if len(decision.ScaleOut) == 0 {
		t.Fatal("nothing rented")
	}
	for _, zone := range []string{"x", "y", "z"} {
		fixture.addMachine("i-"+zone, "m", zone, false)
	}
	fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
	if byZone := countByZone(job); byZone["x"] != 0 || byZone["y"]+byZone["z"] != 5 {
		t.Errorf("placed at %v", byZone)
	}
	// One kept zone alone may not have them all.
	fixture = newFixture(nil)
	fixture.scheduler.DelegatedZones = map[string]bool{"y": true}
	fixture.addMachine("i-x", "big", "x", false)
	fixture.addMachine("i-y", "big", "y", false)
	job = fixture.addJob(wire.Job{Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: 5, CPUs: 1, MemoryGB: 1, SpreadZones: true})
	fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
	if byZone := countByZone(job); byZone["y"] != 3 || byZone["x"] != 2 {
		t.Errorf("with one kept zone placed at %v", byZone)
	}
}

// A replica that takes a place from batch work takes it where its image is at hand,
// though a little more work is lost there; where much more would be, it does not.
func TestPreemptionPrefersMachinesWithCachedImage(t *testing.T) {
	for _, testCase := range []struct {
		ran  clock.Micros // how long the work beside the image has run
		want string
	}{{30 * clock.Second, "i-image"}, {600 * clock.Second, "i-bare"}} {
		fixture := newFixture(nil)
		machines := map[string]*allocation.Machine{}
		for _, n := range []string{"i-bare", "i-image"} {
			machines[n] = fixture.addMachine(n, "big", "x", false)
		}
		machines["i-image"].ImageUsedAt["replica"] = fixture.now
		batchJob := fixture.addJob(wire.Job{ID: "req-000001", TaskCount: 2, CPUs: 9, MemoryGB: 1, Image: "batch"})
		for i, n := range []string{"i-image", "i-bare"} {
			if err := fixture.tracker.PlaceTask(batchJob, i, machines[n], fixture.tracker.NextAttempt(), fixture.now); err != nil {
				t.Fatal(err)
			}
			fixture.now += testCase.ran
		}
		for _, machine := range machines {
			machine.LastHeartbeatAt = fixture.now
		}
		for i := range batchJob.Tasks {
			batchJob.Tasks[i].Placement.Phase = allocation.PhaseReported
		}
		fixture.addJob(wire.Job{ID: "req-000002", Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: 1, CPUs: 8, MemoryGB: 1, Image: "replica", ImageSizeGB: 2})
		fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
		for i := range batchJob.Tasks {
			if placement := batchJob.Tasks[i].Placement; placement.IsStopping() != (placement.Machine.Name == testCase.want) {
				t.Errorf("after %d s: on %s stopping is %v, want it on %s", testCase.ran/clock.Second, placement.Machine.Name, placement.IsStopping(), testCase.want)
			}
		}
	}
}

// Replicas with many images go to more machines than would hold them: fetches
// share a machine's rate.
func TestImageFetchesAreSpreadOverMachines(t *testing.T) {
	fixture := newFixture(nil)
	for i := 0; i < 4; i++ {
		fixture.addMachine(fmt.Sprintf("i-%d", i), "big", "x", false)
	}
	imagesByMachine := map[string]map[string]bool{}
	var jobs []*allocation.Job
	for i := 0; i < 12; i++ {
		jobs = append(jobs, fixture.addJob(wire.Job{ID: fmt.Sprintf("req-%06d", i), Kind: wire.KindService, Priority: wire.PriorityProduction,
			TaskCount: 1, CPUs: 1, MemoryGB: 1, Image: fmt.Sprintf("image-%d", i), ImageSizeGB: 2}))
	}
	fixture.scheduler.Plan(fixture.tracker, fixture.now, fixture.now, nil)
	for _, job := range jobs {
		job.ForEachPlacement(func(placement *allocation.Placement) {
			if imagesByMachine[placement.Machine.Name] == nil {
				imagesByMachine[placement.Machine.Name] = map[string]bool{}
			}
			imagesByMachine[placement.Machine.Name][job.Spec.Image] = true
		})
	}
	for n, images := range imagesByMachine {
		if len(images) > 6 {
			t.Errorf("%s fetches %d of 12 images at a time", n, len(images))
		}
	}
	if len(imagesByMachine) < 3 {
		t.Errorf("all images on %d machines", len(imagesByMachine))
	}
}

// What a pipeline's last job asks for counts for those that it needs: a deadline that
// reaches back makes a job tight, and late, like its own.
func TestDependentsDeadlineMakesDependencyUrgent(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 1, CPUs: 4, EstimatedRunSeconds: 20})
	dependency := fixture.addJob(wire.Job{ID: "req-000002", Team: "a", TaskCount: 1, CPUs: 4, EstimatedRunSeconds: 100})
	firstJobID := func() string {
		return fixture.scheduler.buildQueue(fixture.tracker, nil, fixture.now, fixture.now)[0].job.Spec.ID
	}
	if got := firstJobID(); got != "req-000001" {
		t.Fatalf("%s first, with no deadline", got)
	}
	dependency.Deadline = dependency.ReleasedAt + 110*clock.Second
	if got := firstJobID(); got != "req-000002" {
		t.Fatalf("%s first, though the other has to be done for a third", got)
	}
	dependency.ReleasedAt, dependency.Deadline = fixture.now+2*clock.Second, fixture.now+clock.Second
	if deadline := fixture.scheduler.deadlineSeconds(dependency); deadline <= 0 {
		t.Fatalf("a deadline that is over counts as none: %v", deadline)
	}
	if got := firstJobID(); got != "req-000001" {
		t.Fatalf("%s first, though its time is over", got)
	}
}
