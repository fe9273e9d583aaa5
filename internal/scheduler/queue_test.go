package scheduler

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// The queue is ordered by smallest need first, within priority and quota entitlement.
func TestQueueOrderIsSmallestNeedFirst(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {GuaranteedMicroCPU: 4 * allocation.Unit}, "b": {}})
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
		t.Fatalf("queue order: got %v, want %v", got, want)
	}
}

// A long job goes before shorter ones while it is about to miss its deadline, but not once it can no
// longer meet the deadline.
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
			t.Errorf("after %v s: first in the queue is %s, want %s", testCase.after.Seconds(), got, testCase.want)
		}
	}
}

// A deadline that a job has derived from its dependents makes the job urgent or late, like a deadline
// of its own.
func TestDependentsDeadlineMakesDependencyUrgent(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 1, CPUs: 4, EstimatedRunSeconds: 20})
	dependency := fixture.addJob(wire.Job{ID: "req-000002", Team: "a", TaskCount: 1, CPUs: 4, EstimatedRunSeconds: 100})
	firstJobID := func() string {
		return fixture.scheduler.buildQueue(fixture.tracker, nil, fixture.now, fixture.now)[0].job.Spec.ID
	}
	if got := firstJobID(); got != "req-000001" {
		t.Fatalf("without a deadline: first in the queue is %s, want req-000001", got)
	}
	dependency.Deadline = dependency.ReleasedAt + 110*clock.Second
	if got := firstJobID(); got != "req-000002" {
		t.Fatalf("with a dependent's deadline near: first in the queue is %s, want req-000002", got)
	}
	dependency.ReleasedAt, dependency.Deadline = fixture.now+2*clock.Second, fixture.now+clock.Second
	if deadline := fixture.scheduler.deadlineSeconds(dependency); deadline <= 0 {
		t.Fatalf("deadlineSeconds of a job whose deadline has passed: got %v, want above 0", deadline)
	}
	if got := firstJobID(); got != "req-000001" {
		t.Fatalf("after the deadline has passed: first in the queue is %s, want req-000001", got)
	}
}

// A job's lateness follows from its predicted completion. A job without a deadline is never late.
func TestLatenessByPredictedCompletion(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	withDeadline := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 1, CPUs: 4, EstimatedRunSeconds: 20, DeadlineSeconds: 100})
	withoutDeadline := fixture.addJob(wire.Job{ID: "req-000002", Team: "a", TaskCount: 1, CPUs: 4, EstimatedRunSeconds: 20})
	for _, testCase := range []struct {
		runSeconds float64
		want       string
	}{{100, "on time"}, {101, "late"}, {150, "late"}, {151, "very late"}} {
		if got := fixture.scheduler.latenessOf(withDeadline, testCase.runSeconds, fixture.now).String(); got != testCase.want {
			t.Errorf("latenessOf a job that takes %v s and has a deadline of 100 s: got %s, want %s", testCase.runSeconds, got, testCase.want)
		}
		if got := fixture.scheduler.latenessOf(withoutDeadline, testCase.runSeconds, fixture.now); got != onTime {
			t.Errorf("latenessOf a job without a deadline: got %s, want on time", got)
		}
	}
}
