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
		{"GPUs alone", allocation.TeamQuota{GuaranteedMilliGPU: 4000}, []wire.Job{both, both, both}, []bool{true, true, false}},
		{"GPUs alone, a job without any", allocation.TeamQuota{GuaranteedMilliGPU: 4000}, []wire.Job{cpus, both}, []bool{false, true}},
		{"CPUs alone", allocation.TeamQuota{GuaranteedMilliCPU: 16000}, []wire.Job{both, cpus, cpus}, []bool{true, true, false}},
		{"both, GPUs short", allocation.TeamQuota{GuaranteedMilliCPU: 80000, GuaranteedMilliGPU: 2000}, []wire.Job{both, both}, []bool{true, false}},
		{"both, CPUs short", allocation.TeamQuota{GuaranteedMilliCPU: 8000, GuaranteedMilliGPU: 8000}, []wire.Job{both, both}, []bool{true, false}},
		{"job after one that exceeds the quota", allocation.TeamQuota{GuaranteedMilliGPU: 3000}, []wire.Job{{TaskCount: 4, GPUs: 1}, both}, []bool{false, false}},
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
	size := allocation.Resources{MilliCPU: 12000, MilliGPU: 2000, MemoryMB: 96000}
	for _, testCase := range []struct {
		used allocation.Resources
		want float64
	}{
		{allocation.Resources{}, 1},
		{allocation.Resources{MilliCPU: 5000, MilliGPU: 1000, MemoryMB: 36000}, 0.5},
		{allocation.Resources{MilliCPU: 10000, MilliGPU: 2000, MemoryMB: 72000}, 0},
		{allocation.Resources{MilliCPU: 3000, MemoryMB: 72000}, 0.25},
	} {
		if got := freeFraction(size.Sub(testCase.used), size); !isAlmostEqual(got, testCase.want) {
			t.Errorf("freeFraction with %v of %v used: got %v, want %v", testCase.used, size, got, testCase.want)
		}
	}
	if got := freeFraction(allocation.Resources{MilliCPU: 4000}, allocation.Resources{MilliCPU: 16000}); !isAlmostEqual(got, 0.25) {
		t.Errorf("freeFraction of a machine without GPUs: got %v, want 0.25", got)
	}
}

// Tasks that were started by aging are not stopped for entitled jobs. Otherwise each plan would place
// them and stop them again.
func TestAgedWorkIsNotPreemptedForQuota(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}, "b": {GuaranteedMilliGPU: 100000}})
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
	fixture = newFixture(map[string]allocation.TeamQuota{"a": {}, "b": {GuaranteedMilliGPU: 100000}})
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
