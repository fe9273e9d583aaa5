package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// newJobRecord returns the record of a job with one task.
func newJobRecord(id, priority string, submittedAt, deadlineSeconds float64, dependencies ...string) *storeview.Job {
	return &storeview.Job{Job: records.Job{SubmittedAt: int64(clock.FromSeconds(submittedAt)), Spec: &wire.Job{
		ID: id, Kind: wire.KindArray, Team: "t", TaskCount: 1, CPUs: 1, Priority: priority, EstimatedRunSeconds: 10, DeadlineSeconds: deadlineSeconds, DependsOn: dependencies,
	}}, Version: 1}
}

// The leader's allocation table holds a job once all its dependencies are done. The job has the urgency of its
// dependents, and its waiting time counts from the end of its last dependency. A job that depends on a
// cancelled one is cancelled at once, as are its own dependents.
func TestDependentJobsAreTrackedWhenReleased(t *testing.T) {
	controller := newTestController(t)
	term := controller.newTerm(9, clock.Now())
	controller.term = term
	wallTime := clock.WallTime().Seconds()
	controller.view.SetJob("req-000002", newJobRecord("req-000002", wire.PriorityLow, wallTime, 0, "req-000001"))
	if term.TrackedJob("req-000002") != nil {
		t.Fatal("job 2 is tracked before its dependency is known")
	}
	controller.view.SetJob("req-000001", newJobRecord("req-000001", wire.PriorityLow, wallTime, 0))
	first := term.TrackedJob("req-000001")
	if first == nil || first.Priority != wire.PriorityIndex(wire.PriorityLow) || first.Deadline != 0 {
		t.Fatalf("job 1 is tracked as %+v, want low priority and no deadline", first)
	}
	controller.view.SetJob("req-000003", newJobRecord("req-000003", wire.PriorityHigh, wallTime, 300, "req-000002"))
	want := clock.FromSeconds(wallTime+300) - 2*(10*clock.Second+startOverhead)
	if first.Priority != wire.PriorityIndex(wire.PriorityHigh) || first.Deadline != want {
		t.Fatalf("after job 3 was added, job 1 has priority %d and deadline %d, want high and %d", first.Priority, first.Deadline, want)
	}
	completedAt := clock.FromSeconds(wallTime + 50)
	controller.view.SetJob("req-000001", &storeview.Job{Job: records.Job{SubmittedAt: 1, State: wire.JobDone, EndedAt: int64(completedAt)}, Version: 2})
	second := term.TrackedJob("req-000002")
	if second == nil || second.ReleasedAt != completedAt || second.Priority != wire.PriorityIndex(wire.PriorityHigh) {
		t.Fatalf("job 2 is tracked as %+v, want high priority, released when job 1 was done", second)
	}
	if term.TrackedJob("req-000003") != nil {
		t.Fatal("job 3 is tracked before job 2 is done")
	}
	cancelled := storeview.NewEndedJob(controller.view.Jobs["req-000002"], wire.JobCancelled, clock.WallTime())
	cancelled.Version = 3
	controller.view.SetJob("req-000002", cancelled)
	if record := controller.view.Jobs["req-000003"]; !record.HasEnded() || record.EffectiveState() != wire.JobCancelled {
		t.Fatal("job 3 is not cancelled with job 2")
	}
	controller.view.SetJob("req-000004", newJobRecord("req-000004", wire.PriorityLow, wallTime, 0, "req-000003"))
	if record := controller.view.Jobs["req-000004"]; record.EffectiveState() != wire.JobCancelled || term.TrackedJob("req-000004") != nil {
		t.Fatal("job 4, which depends on the cancelled job 3, is not cancelled or is tracked")
	}
}

// A long list of dependencies is split so that each part fits into a value of the store. The parts are
// joined again in whatever order the keys are read.
func TestLongDependencyListsAreSplit(t *testing.T) {
	controller := newTestController(t)
	controller.cfg.Deployment.Store.MaxValueKB = 1
	record := newJobRecord("req-000500", wire.PriorityLow, 1, 0)
	for i := range 300 {
		record.Spec.DependsOn = append(record.Spec.DependsOn, fmt.Sprintf("req-%06d", i))
	}
	changes, err := records.SubmissionChanges(&record.Job, leader.StoreLimits(controller.cfg))
	if err != nil {
		t.Fatal(err)
	}
	if len(changes) < 3 || record.DependencyParts != len(changes)-1 {
		t.Fatalf("the submission has %d changes and %d dependency parts, want at least 3, and one part fewer", len(changes), record.DependencyParts)
	}
	for _, isReversed := range []bool{false, true} {
		controller.view = storeview.New(viewObserver{controller})
		for i := range changes {
			change := changes[i]
			if isReversed {
				change = changes[len(changes)-1-i]
			}
			if len(change.Value) > 1<<10 {
				t.Fatalf("a value has %d bytes, want at most 1024", len(change.Value))
			}
			controller.view.ApplyPut(change.PutKey, change.Value, 5)
		}
		dependencies, isComplete := controller.view.DependenciesOf("req-000500", controller.view.Jobs["req-000500"])
		if !isComplete || len(dependencies) != 300 || dependencies[299] != "req-000299" {
			t.Fatalf("read %d dependencies, want 300; complete %v, want true", len(dependencies), isComplete)
		}
		if leader.DependencyState(controller.view, controller.dependencyGraph, "req-000500", controller.view.Jobs["req-000500"]) == allocation.DependenciesDone {
			t.Fatal("the job is not blocked by its dependencies")
		}
	}
}

// When a job is cancelled, the leader's term writes the end of the jobs that depend on it.
func TestImpliedCancellationsAreWritten(t *testing.T) {
	fakeStore, stop := fake.NewStore()
	t.Cleanup(stop)
	controller := newTestController(t)
	controller.store = kvstore.New(client.DialTCP, fakeStore.Addr, kvstore.Limits{RPS: 1000, WriteRPS: 1000, MaxTransactionOps: 16}, records.LockKey)
	controller.store.SetRateShare(1)
	var token uint64
	controller.store.Commit(&kvstore.Write{Changes: []wire.Change{{PutKey: records.LockKey, Value: []byte(`{"m":"a"}`)}}, Done: func(_ kvstore.Outcome, revision uint64) {
		controller.postResult(func() { token = revision })
	}})
	runUntil(t, controller, func() bool { return token != 0 })
	makeEntitled(t, controller, token)
	controller.term = controller.newTerm(token, clock.Now())
	root := newJobRecord("req-000000", wire.PriorityLow, clock.WallTime().Seconds(), 0)
	controller.view.SetJob("req-000000", root)
	dependents := []string{"req-000001", "req-000002", "req-000003"}
	for i, id := range dependents {
		record := newJobRecord(id, wire.PriorityLow, clock.WallTime().Seconds(), 0, fmt.Sprintf("req-%06d", i))
		record.Version = 0 // so that its write is conditional on the store having no record of the job
		controller.view.SetJob(id, record)
	}
	end := storeview.NewEndedJob(root, wire.JobCancelled, clock.WallTime())
	end.Version = 2
	controller.view.SetJob("req-000000", end)
	controller.term.Tick(clock.Now())
	runUntil(t, controller, func() bool {
		return !slices.ContainsFunc(dependents, func(id string) bool { return fakeStore.Value(records.JobKey(id)) == "" })
	})
	for _, id := range dependents {
		var record records.Job
		if err := record.UnmarshalJSON([]byte(fakeStore.Value(records.JobKey(id)))); err != nil || record.State != wire.JobCancelled {
			t.Errorf("job %s is stored as %+v, error %v, want it cancelled", id, record, err)
		}
	}
}

// runUntil runs the commands that are posted to the controller until isDone returns true.
func runUntil(t *testing.T, controller *Controller, isDone func() bool) {
	t.Helper()
	for range 10000 {
		for _, command := range controller.commands.TakeBatch() {
			command()
		}
		if isDone() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("isDone still returns false after 10000 tries")
}
