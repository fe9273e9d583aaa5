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
	fixture.tracker.HeartbeatCommands(machine, fixture.now) // start commands sent: only a stop ends the tasks now
	fixture.now += 10 * clock.Second
	service := fixture.addJob(wire.Job{ID: "req-000002", Team: "a", TaskCount: 1, CPUs: 2, Priority: wire.PriorityProduction, Kind: wire.KindService})
	fixture.plan()
	if stopped := stoppingCount(batchJob); stopped != 1 || service.ActiveCount() != 0 {
		t.Fatalf("%d batch tasks are stopping and %d replicas are placed, want 1 and 0", stopped, service.ActiveCount())
	}
	fixture.plan()
	if stoppingCount(batchJob) != 1 {
		t.Fatal("after a second plan, the number of batch tasks stopping for one replica is not 1")
	}
}

// Batch tasks are stopped for a gang of higher priority only if that makes room for all its tasks.
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
		t.Fatal("batch tasks are stopping for a gang that cannot fit, want none")
	}
	fixture.tracker.Cancel(gang, fixture.now)
	fixture.addJob(wire.Job{ID: "req-000003", Team: "a", TaskCount: 3, CPUs: 2, Priority: wire.PriorityProduction, Kind: wire.KindGang})
	fixture.plan()
	if stoppingCount(batchJob) != 3 {
		t.Fatalf("%d batch tasks are stopping for a gang of three, want 3", stoppingCount(batchJob))
	}
	fixture.plan()
	if stoppingCount(batchJob) != 3 {
		t.Fatalf("after another plan %d batch tasks are stopping for a gang of three, want 3", stoppingCount(batchJob))
	}
}

// A replica preempts batch work on the machine that has its image cached, even if a little more work
// is lost there. If much more work would be lost there, it preempts work on the other machine.
func TestPreemptionPrefersMachinesWithCachedImage(t *testing.T) {
	for _, testCase := range []struct {
		ranFor clock.Micros // how much longer the task on i-image has run than the one on i-bare
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
				t.Errorf("task on i-image ran %d s longer: task on %s is stopping: got %v, want a stop only on %s", testCase.ranFor/clock.Second, placement.Machine.Name, placement.IsStopping(), testCase.want)
			}
		}
	}
}
