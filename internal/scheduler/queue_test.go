package scheduler

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Smallest need first, within priority and quota entitlement.
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

// The deadline of a dependent counts for its dependencies: one that is derived makes a job
// urgent, and late, like its own.
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
		t.Fatalf("%s first, though a dependent needs the other in time", got)
	}
	dependency.ReleasedAt, dependency.Deadline = fixture.now+2*clock.Second, fixture.now+clock.Second
	if deadline := fixture.scheduler.deadlineSeconds(dependency); deadline <= 0 {
		t.Fatalf("a deadline that has passed counts as none: %v", deadline)
	}
	if got := firstJobID(); got != "req-000001" {
		t.Fatalf("%s first, though its deadline has passed", got)
	}
}

// Without a deadline a job is never late; with one, by the time at which it can be done.
func TestLatenessByPredictedCompletion(t *testing.T) {
	fixture := newFixture(map[string]allocation.TeamQuota{"a": {}})
	withDeadline := fixture.addJob(wire.Job{ID: "req-000001", Team: "a", TaskCount: 1, CPUs: 4, EstimatedRunSeconds: 20, DeadlineSeconds: 100})
	withoutDeadline := fixture.addJob(wire.Job{ID: "req-000002", Team: "a", TaskCount: 1, CPUs: 4, EstimatedRunSeconds: 20})
	for _, testCase := range []struct {
		runSeconds float64
		want       string
	}{{100, "on time"}, {101, "late"}, {150, "late"}, {151, "very late"}} {
		if got := fixture.scheduler.latenessOf(withDeadline, testCase.runSeconds, fixture.now).String(); got != testCase.want {
			t.Errorf("a job that takes %v s of 100 s is %s, want %s", testCase.runSeconds, got, testCase.want)
		}
		if got := fixture.scheduler.latenessOf(withoutDeadline, testCase.runSeconds, fixture.now); got != onTime {
			t.Errorf("a job without a deadline is %s", got)
		}
	}
}
