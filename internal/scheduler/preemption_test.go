package scheduler

import (
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// A replica that finds no room preempts the batch task that was placed last.
func TestReplicaPreemptsLatestBatchTask(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	machine := fixture.addMachine("i-0", "small", "x", false)
	batchJob := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 2, CPUs: 2, EstimatedRunSeconds: 50})
	fixture.plan()
	fixture.tracker.HeartbeatCommands(machine, fixture.now) // sent: from now on only a stop ends them
	fixture.now += 10 * clock.Second
	service := fixture.addJob(wire.Job{ID: "req-000002", Team: "a", TaskCount: 1, CPUs: 2, Priority: wire.PriorityProduction, Kind: wire.KindService})
	fixture.plan()
	if stopped := stoppingCount(batchJob); stopped != 1 || service.ActiveCount() != 0 {
		t.Fatalf("%d stopped, %d replicas placed", stopped, service.ActiveCount())
	}
	fixture.plan()
	if stoppingCount(batchJob) != 1 {
		t.Fatal("the same replica stopped a second task")
	}
}

// A gang of higher priority gets room for all its tasks, or nothing is stopped for it.
func TestGangPreemptsOnlyIfItFitsWhole(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	for _, n := range []string{"i-0", "i-1"} {
		fixture.addMachine(n, "small", "x", false)
	}
	batchJob := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 4, CPUs: 2, EstimatedRunSeconds: 50})
	fixture.plan()
	for _, machine := range fixture.tracker.Machines {
		fixture.tracker.HeartbeatCommands(machine, fixture.now)
	}
	gang := fixture.addJob(wire.Job{ID: "req-000002", Team: "a", TaskCount: 3, CPUs: 4, Priority: wire.PriorityProduction, Kind: wire.KindGang})
	fixture.plan()
	if stoppingCount(batchJob) != 0 {
		t.Fatal("work is stopped for a gang that cannot fit")
	}
	fixture.tracker.Cancel(gang, fixture.now)
	fixture.addJob(wire.Job{ID: "req-000003", Team: "a", TaskCount: 3, CPUs: 2, Priority: wire.PriorityProduction, Kind: wire.KindGang})
	fixture.plan()
	if stoppingCount(batchJob) != 3 {
		t.Fatalf("%d tasks are stopped for a gang of three", stoppingCount(batchJob))
	}
	fixture.plan()
	if stoppingCount(batchJob) != 3 {
		t.Fatalf("%d after another plan", stoppingCount(batchJob))
	}
}

// A replica preempts batch work where its image is cached, though a little more work is lost
// there; where much more would be, it does not.
func TestPreemptionPrefersMachinesWithCachedImage(t *testing.T) {
	for _, testCase := range []struct {
		ranFor clock.Micros // how long the work beside the image has run
		want   string
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
			fixture.now += testCase.ranFor
		}
		for _, machine := range machines {
			machine.LastHeartbeatAt = fixture.now
		}
		for i := range batchJob.Tasks {
			batchJob.Tasks[i].Placement.Phase = allocation.PhaseReported
		}
		fixture.addJob(wire.Job{ID: "req-000002", Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: 1, CPUs: 8, MemoryGB: 1, Image: "replica", ImageSizeGB: 2})
		fixture.plan()
		for i := range batchJob.Tasks {
			if placement := batchJob.Tasks[i].Placement; placement.IsStopping() != (placement.Machine.Name == testCase.want) {
				t.Errorf("after %d s: on %s stopping is %v, want it on %s", testCase.ranFor/clock.Second, placement.Machine.Name, placement.IsStopping(), testCase.want)
			}
		}
	}
}
