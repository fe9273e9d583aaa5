package scheduler

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/wire"
)

// Each resource of a guaranteed quota counts independently: a guarantee of 0 entitles no job and limits
// none. Otherwise a quota of GPUs alone would entitle no job, since all jobs take CPUs too.
func TestQuotaEntitlementsPerResource(t *testing.T) {
	both := wire.Job{TaskCount: 2, CPUs: 4, GPUs: 1}
	cpus := wire.Job{TaskCount: 2, CPUs: 4}
	for _, testCase := range []struct {
		name string
		team allocation.TeamQuota
		jobs []wire.Job
		want []bool
	}{
		{"none", allocation.TeamQuota{}, []wire.Job{both, cpus}, []bool{false, false}},
		{"GPUs alone", allocation.TeamQuota{GuaranteedMicroGPU: 4 * allocation.Unit}, []wire.Job{both, both, both}, []bool{true, true, false}},
		{"GPUs alone, a job without any", allocation.TeamQuota{GuaranteedMicroGPU: 4 * allocation.Unit}, []wire.Job{cpus, both}, []bool{false, true}},
		{"CPUs alone", allocation.TeamQuota{GuaranteedMicroCPU: 16 * allocation.Unit}, []wire.Job{both, cpus, cpus}, []bool{true, true, false}},
		{"both, GPUs short", allocation.TeamQuota{GuaranteedMicroCPU: 80 * allocation.Unit, GuaranteedMicroGPU: 2 * allocation.Unit}, []wire.Job{both, both}, []bool{true, false}},
		{"both, CPUs short", allocation.TeamQuota{GuaranteedMicroCPU: 8 * allocation.Unit, GuaranteedMicroGPU: 8 * allocation.Unit}, []wire.Job{both, both}, []bool{true, false}},
		{"job after one that exceeds the quota", allocation.TeamQuota{GuaranteedMicroGPU: 3 * allocation.Unit}, []wire.Job{{TaskCount: 4, GPUs: 1}, both}, []bool{false, false}},
	} {
		fixture := newFixture(map[string]allocation.TeamQuota{"a": testCase.team})
		var jobs []*allocation.Job
		for i, spec := range testCase.jobs {
			spec.ID, spec.Team = fmt.Sprintf("req-%06d", i), "a"
			jobs = append(jobs, fixture.addJob(spec))
		}
		entitled := fixture.scheduler.quotaEntitlements(fixture.tracker)
		for i, job := range jobs {
			if entitled[job] != testCase.want[i] {
				t.Errorf("%s: job %d is entitled: got %v, want %v", testCase.name, i, entitled[job], testCase.want[i])
			}
		}
	}
}

// The free fraction of a machine is that of its scarcest resource: a machine with all GPUs in use has
// no room and does not count as a spare, however many CPUs are free.
func TestFreeFractionIsThatOfScarcestResource(t *testing.T) {
	size := allocation.Resources{MicroCPU: 12 * allocation.Unit, MicroGPU: 2 * allocation.Unit, MicroGB: 96 * allocation.Unit}
	for _, testCase := range []struct {
		used allocation.Resources
		want float64
	}{
		{allocation.Resources{}, 1},
		{allocation.Resources{MicroCPU: 5 * allocation.Unit, MicroGPU: 1 * allocation.Unit, MicroGB: 36 * allocation.Unit}, 0.5},
		{allocation.Resources{MicroCPU: 10 * allocation.Unit, MicroGPU: 2 * allocation.Unit, MicroGB: 72 * allocation.Unit}, 0},
		{allocation.Resources{MicroCPU: 3 * allocation.Unit, MicroGB: 72 * allocation.Unit}, 0.25},
	} {
		if got := freeFraction(size.Sub(testCase.used), size); !isAlmostEqual(got, testCase.want) {
			t.Errorf("freeFraction with %v of %v used: got %v, want %v", testCase.used, size, got, testCase.want)
		}
	}
	if got := freeFraction(allocation.Resources{MicroCPU: 4 * allocation.Unit}, allocation.Resources{MicroCPU: 16 * allocation.Unit}); !isAlmostEqual(got, 0.25) {
		t.Errorf("freeFraction of a machine without GPUs: got %v, want 0.25", got)
	}
}

// Tasks that were started by aging are not stopped for entitled jobs. Otherwise each plan would place
// them and stop them again.
func TestAgedWorkIsNotPreemptedForQuota(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}, "b": {GuaranteedMicroGPU: 100 * allocation.Unit}})
	machine := fixture.addMachine("i-0", "big", "x", false)
	for _, zone := range fixture.scheduler.Zones {
		fixture.scheduler.backoffFor(Pool{"big", zone, false}).backoffUntil = 1e15
	}
	agedJob := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 2, CPUs: 5, GPUs: 1, EstimatedRunSeconds: 50})
	fixture.now += fixture.scheduler.Settings.AgingThreshold
	entitledJob := fixture.addJob(wire.Job{ID: "req-000002", Team: "b", TaskCount: 2, CPUs: 5, GPUs: 1, EstimatedRunSeconds: 50})
	for range 3 {
		fixture.plan()
		fixture.reportTasks(machine, wire.TaskRunning)
		if agedJob.ActiveCount() != 2 || stoppingCount(agedJob) != 0 || entitledJob.ActiveCount() != 0 {
			t.Fatalf("got %d aged tasks placed, %d of them stopping, and %d entitled tasks placed; want 2, 0 and 0", agedJob.ActiveCount(), stoppingCount(agedJob), entitledJob.ActiveCount())
		}
	}
	// Work that was not started by aging and is outside its team's guaranteed quota is preempted.
	fixture = newFixture(map[string]allocation.TeamQuota{"a": {}, "b": {GuaranteedMicroGPU: 100 * allocation.Unit}})
	machine = fixture.addMachine("i-0", "big", "x", false)
	youngJob := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 2, CPUs: 5, GPUs: 1, EstimatedRunSeconds: 50})
	fixture.plan()
	fixture.reportTasks(machine, wire.TaskRunning)
	fixture.addJob(wire.Job{ID: "req-000002", Team: "b", TaskCount: 2, CPUs: 5, GPUs: 1, EstimatedRunSeconds: 50})
	fixture.plan()
	if stoppingCount(youngJob) != 2 {
		t.Fatalf("%d tasks are stopping for two entitled tasks, want 2", stoppingCount(youngJob))
	}
}
