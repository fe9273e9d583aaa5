package scheduler

import (
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/wire"
)

// Guards against a gang that its worker refuses for good (no_room), as its tasks' memory was rounded down: two tasks of
// 48.0004 GB need two machines of 96 GB.
func TestGangWithManyDecimalsIsNotPlacedOnOneMachine(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	types := []wire.MachineType{{Name: "box", CPUs: 16, MemoryGB: 96, OnDemandPrice: 1, BootSeconds: 15, Zones: []string{"x"}}}
	fixture.scheduler.SetMachineTypes(types)
	fixture.addMachine("i-0", "box", "x", false)
	gang := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", Kind: wire.KindGang, TaskCount: 2, CPUs: 1, MemoryGB: 48.0004, EstimatedRunSeconds: 60})
	if fixture.plan(); gang.ActiveCount() != 0 {
		t.Fatalf("on one machine of 96 GB: got %d tasks of 48.0004 GB placed, want none", gang.ActiveCount())
	}
	fixture.addMachine("i-1", "box", "x", false)
	if fixture.plan(); gang.ActiveCount() != 2 {
		t.Errorf("on two machines of 96 GB: got %d tasks of 48.0004 GB placed, want 2", gang.ActiveCount())
	}
}

// Guards against a team that uses more than its limit (quota), because its tasks' CPUs were rounded down.
func TestTasksWithManyDecimalsKeepTheLimit(t *testing.T) {
	limit := allocation.NewCapacity(60, 0, 0)
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {MaxMicroCPU: limit.MicroCPU}})
	for _, name := range []string{"i-0", "i-1", "i-2", "i-3", "i-4", "i-5"} {
		fixture.addMachine(name, "big", "x", false)
	}
	job := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 10, CPUs: 10.0004, EstimatedRunSeconds: 60})
	if fixture.plan(); job.ActiveCount() != 5 {
		t.Errorf("got %d tasks of 10.0004 CPUs placed under a limit of 60, want 5", job.ActiveCount())
	}
}
