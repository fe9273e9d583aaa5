package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/wire"
)

// As far as the job allows, replicas must be placed, and machines for them requested, in zones where a
// controller can renew leases during a network outage of the zone. Added after a zone without a
// controller lost its network and with it a third of the replicas.
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
	decision := fixture.plan()
	for _, request := range decision.ScaleOut {
		if request.Pool.Zone == "x" {
			t.Errorf("got scale-out requests %+v, want none in zone x, which has no delegate", decision.ScaleOut)
		}
	}
	if len(decision.ScaleOut) == 0 {
		t.Fatal("got no machine requested for the replicas, want some")
	}
	for _, zone := range []string{"x", "y", "z"} {
		fixture.addMachine("i-"+zone, "m", zone, false)
	}
	fixture.plan()
	if byZone := countByZone(job); byZone["x"] != 0 || byZone["y"]+byZone["z"] != 5 {
		t.Errorf("got replicas by zone %v, want all 5 in y and z", byZone)
	}
	// A single zone with a delegate must not get all replicas of a spread job.
	fixture = newFixture(nil)
	fixture.scheduler.DelegatedZones = map[string]bool{"y": true}
	fixture.addMachine("i-x", "big", "x", false)
	fixture.addMachine("i-y", "big", "y", false)
	job = fixture.addJob(wire.Job{Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: 5, CPUs: 1, MemoryGB: 1, SpreadZones: true})
	fixture.plan()
	if byZone := countByZone(job); byZone["y"] != 3 || byZone["x"] != 2 {
		t.Errorf("with a delegate only in zone y: got replicas by zone %v, want 3 in y and 2 in x", byZone)
	}
}

// Replicas with many different images must be spread over more machines than their size requires,
// because all fetches of a machine share its fetch rate.
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
	fixture.plan()
	for _, job := range jobs {
		job.ForEachPlacement(func(placement *allocation.Placement) {
			if imagesByMachine[placement.Machine.Name] == nil {
				imagesByMachine[placement.Machine.Name] = map[string]bool{}
			}
			imagesByMachine[placement.Machine.Name][job.Spec.Image] = true
		})
	}
	for machineName, images := range imagesByMachine {
		if len(images) > 6 {
			t.Errorf("%s: got %d of 12 images fetched at a time, want at most 6", machineName, len(images))
		}
	}
	if len(imagesByMachine) < 3 {
		t.Errorf("got all images fetched on %d machines, want at least 3", len(imagesByMachine))
	}
}

// The optimized placement must place the same tasks on the same machines as a brute-force placement,
// which scores every machine for every job and goes through all of them for every task.
func TestPlacementMatchesBruteForce(t *testing.T) {
	placed := 0
	for seed := uint64(1); seed <= 300; seed++ {
		optimized := placeAll(newPlacementFixture(seed), func(cycle *schedulingCycle, queued *queuedJob) { cycle.placeTasks(queued) })
		bruteForce := placeAll(newPlacementFixture(seed), bruteForcePlace)
		if len(optimized) != len(bruteForce) {
			t.Fatalf("seed %d: got %d tasks placed, want %d as by brute force", seed, len(optimized), len(bruteForce))
		}
		for id, machine := range bruteForce {
			if optimized[id] != machine {
				t.Fatalf("seed %d: task %s: got machine %q, want %s as by brute force", seed, id, optimized[id], machine)
			}
		}
		placed += len(bruteForce)
	}
	if placed < 2000 {
		t.Fatalf("got only %d tasks placed over all seeds, want at least 2000 for a meaningful comparison", placed)
	}
}

// newPlacementFixture generates machines, some of them with images, and waiting arrays and services.
func newPlacementFixture(seed uint64) *schedulerFixture {
	rng := rand.New(rand.NewPCG(seed, 21))
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {MaxMicroCPU: int64(20+rng.IntN(100)) * allocation.Unit}})
	for i := rng.IntN(30); i >= 0; i-- {
		machine := fixture.addMachine(fmt.Sprintf("i-%02d", i), []string{"big", "small"}[rng.IntN(2)], []string{"x", "y", "z"}[rng.IntN(3)], rng.IntN(2) == 0)
		if rng.IntN(2) == 0 {
			machine.ImageUsedAt[fmt.Sprint("img-", rng.IntN(3))] = fixture.now
		}
	}
	for i := 0; i < 1+rng.IntN(8); i++ {
		spec := wire.Job{ID: fmt.Sprintf("req-%06d", i), Team: "a", TaskCount: 1 + rng.IntN(12), CPUs: float64(1 + rng.IntN(4)), MemoryGB: float64(1 + rng.IntN(8)),
			EstimatedRunSeconds: float64(5 + rng.IntN(90)), AllowsSpot: rng.IntN(2) == 0, Image: fmt.Sprint("img-", rng.IntN(3))}
		if rng.IntN(3) == 0 {
			spec.Kind, spec.EstimatedRunSeconds, spec.SpreadZones = wire.KindService, 0, true
		}
		fixture.addJob(spec)
	}
	return fixture
}

// placeAll places all queued jobs with placeJob and returns the machine of each placed task.
func placeAll(fixture *schedulerFixture, placeJob func(cycle *schedulingCycle, queued *queuedJob)) map[string]string {
	queue := fixture.scheduler.buildQueue(fixture.tracker, nil, fixture.now, fixture.now)
	cycle := fixture.scheduler.newCycle(fixture.tracker, queue, fixture.now)
	for _, queued := range queue {
		queued.taskLimit = cycle.quotaAllowance(queued.job)
		placeJob(cycle, queued)
	}
	machines := map[string]string{}
	for _, job := range fixture.tracker.Jobs {
		job.ForEachPlacement(func(placement *allocation.Placement) {
			machines[wire.TaskID(job.Spec.ID, placement.TaskIndex)] = placement.Machine.Name
		})
	}
	return machines
}

func bruteForcePlace(cycle *schedulingCycle, queued *queuedJob) {
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
}
