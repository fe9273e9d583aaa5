package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// newJobRecord makes the record of a job of one task.
func newJobRecord(id, priority string, submittedAt, deadlineSeconds float64, dependencies ...string) *storeview.Job {
	return &storeview.Job{Job: records.Job{SubmittedAt: int64(clock.FromSeconds(submittedAt)), Spec: &wire.Job{
		ID: id, Kind: wire.KindArray, Team: "t", TaskCount: 1, CPUs: 1, Priority: priority, EstimatedRunSeconds: 10, DeadlineSeconds: deadlineSeconds, DependsOn: dependencies,
	}}, Version: 1}
}

// The leader's allocation table has a job once all its dependencies are done, with the urgency
// of its dependents, and its waits count from then. A job that depends on a cancelled one is
// cancelled at once, as are its dependents.
func TestDependentJobsAreTrackedWhenReleased(t *testing.T) {
	controller := newTestController(t)
	term := controller.newTerm(9, clock.Now())
	controller.term = term
	wallTime := clock.WallTime().Seconds()
	controller.view.SetJob("req-000002", newJobRecord("req-000002", wire.PriorityLow, wallTime, 0, "req-000001"))
	if term.TrackedJob("req-000002") != nil {
		t.Fatal("a job is tracked whose dependency is not even known")
	}
	controller.view.SetJob("req-000001", newJobRecord("req-000001", wire.PriorityLow, wallTime, 0))
	first := term.TrackedJob("req-000001")
	if first == nil || first.Priority != wire.PriorityIndex(wire.PriorityLow) || first.Deadline != 0 {
		t.Fatalf("the first is %+v", first)
	}
	controller.view.SetJob("req-000003", newJobRecord("req-000003", wire.PriorityHigh, wallTime, 300, "req-000002"))
	want := clock.FromSeconds(wallTime+300) - 2*(10*clock.Second+startOverhead)
	if first.Priority != wire.PriorityIndex(wire.PriorityHigh) || first.Deadline != want {
		t.Fatalf("after the last: priority %d, deadline %d, want %d", first.Priority, first.Deadline, want)
	}
	completedAt := clock.FromSeconds(wallTime + 50)
	controller.view.SetJob("req-000001", &storeview.Job{Job: records.Job{SubmittedAt: 1, State: wire.JobDone, EndedAt: int64(completedAt)}, Version: 2})
	second := term.TrackedJob("req-000002")
	if second == nil || second.ReleasedAt != completedAt || second.Priority != wire.PriorityIndex(wire.PriorityHigh) {
		t.Fatalf("the second is %+v", second)
	}
	if term.TrackedJob("req-000003") != nil {
		t.Fatal("the third is tracked before the second is done")
	}
	cancelled := storeview.NewEndedJob(controller.view.Jobs["req-000002"], wire.JobCancelled, clock.WallTime())
	cancelled.Version = 3
	controller.view.SetJob("req-000002", cancelled)
	if record := controller.view.Jobs["req-000003"]; !record.HasEnded() || record.EffectiveState() != wire.JobCancelled {
		t.Fatal("the third is not cancelled with the second")
	}
	controller.view.SetJob("req-000004", newJobRecord("req-000004", wire.PriorityLow, wallTime, 0, "req-000003"))
	if record := controller.view.Jobs["req-000004"]; record.EffectiveState() != wire.JobCancelled || term.TrackedJob("req-000004") != nil {
		t.Fatal("a job that depends on a cancelled one is not cancelled, or is tracked")
	}
}

// A long list of dependencies is split so that every value fits, and is put together again in
// whatever order its keys are read.
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
		t.Fatalf("%d changes, %d parts", len(changes), record.DependencyParts)
	}
	for _, isReversed := range []bool{false, true} {
		controller.view = storeview.New(viewObserver{controller})
		for i := range changes {
			change := changes[i]
			if isReversed {
				change = changes[len(changes)-1-i]
			}
			if len(change.Value) > 1<<10 {
				t.Fatalf("a value of %d bytes", len(change.Value))
			}
			controller.view.ApplyPut(change.PutKey, change.Value, 5)
		}
		dependencies, isComplete := controller.view.DependenciesOf("req-000500", controller.view.Jobs["req-000500"])
		if !isComplete || len(dependencies) != 300 || dependencies[299] != "req-000299" {
			t.Fatalf("%d of 300 are read, complete %v", len(dependencies), isComplete)
		}
		if !leader.IsBlocked(controller.view, controller.dependencyGraph, "req-000500", controller.view.Jobs["req-000500"]) {
			t.Fatal("it is not blocked")
		}
	}
}

// The end of a job that was cancelled with one that it depends on is written by the leader's term.
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
		record.Version = 0 // as if its key were free
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
			t.Errorf("%s is stored as %+v, error %v", id, record, err)
		}
	}
}

// runUntil runs the commands that are posted to the controller until the condition holds.
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
	t.Fatal("it does not come about")
}
