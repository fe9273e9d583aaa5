package controller

import (
	"testing"
	"time"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/scaleout"
	"firwood.dev/firwood/internal/scheduler"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// runUntil runs the commands that are posted to the owner until the condition holds.
func runUntil(t *testing.T, controller *Controller, isDone func() bool) {
	t.Helper()
	for i := 0; i < 20000; i++ {
		for _, command := range controller.commands.TakeBatch() {
			command()
		}
		controller.startWatches()
		controller.view.ExpireWaiters(clock.Now())
		if isDone() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("it does not come about")
}

// Every transaction that writes a scale-out request's record, or that tasks of a job may be started,
// is executed again at a later time: none undoes what a later one has written.
func TestRepeatedWritesAreIdempotent(t *testing.T) {
	fakeStore, stop := fake.NewStore()
	defer stop()
	term := newTestTerm(t)
	controller := controllerOf(term)
	controller.store = kvstore.New(client.DialTCP, fakeStore.Addr, kvstore.Limits{RPS: 1000, WriteRPS: 1000, MaxTransactionOps: 16}, records.LockKey)
	var token uint64
	controller.store.Commit(&kvstore.Write{Conditions: []wire.Condition{{Key: records.LockKey}}, Changes: []wire.Change{{PutKey: records.LockKey, Value: []byte(`{"m":"a"}`)}}, Done: func(_ kvstore.Outcome, revision uint64) {
		controller.postResult(func() { token = revision })
	}})
	runUntil(t, controller, func() bool { return token != 0 })
	controller.view.ScaleOuts, controller.view.IsLoaded, controller.view.Revision = map[string]*storeview.ScaleOut{}, true, token
	term = controller.newTerm(token, clock.Now())
	term.entitlement.actDeadline.Store(1 << 62)
	controller.term = term
	term.requestScaleOut(scheduler.ScaleOutRequest{Pool: scheduler.Pool{Type: "big", Zone: "x"}, Count: 2}, clock.Now())
	var request *scaleout.Request
	for _, request = range term.scaleOuts {
	}
	runUntil(t, controller, func() bool { return request.Version() != 0 })
	term.handleScaleOutResult(request, []string{"i-1", "i-2"}, nil)
	runUntil(t, controller, func() bool { return term.tracker.Machines["i-1"].RecordedInStore })
	job := term.tracker.AddJob(&wire.Job{ID: "req-000001", Kind: wire.KindArray, Team: "t", TaskCount: 3}, 0, 1, false, nil)
	term.jobs[job.Spec.ID] = &jobState{}
	term.recordStarts(job)
	runUntil(t, controller, func() bool { return job.StartsRecorded })
	before := map[string]string{}
	for _, key := range fakeStore.Keys(records.WatchedPrefix) {
		before[key] = fakeStore.Value(key)
	}
	for _, transaction := range fakeStore.Transactions() {
		fakeStore.ReapplyTransaction(transaction)
		for key, value := range before {
			if fakeStore.Value(key) != value {
				t.Fatalf("%s was %s, after a repeat %s", key, value, fakeStore.Value(key))
			}
		}
	}
	if len(before) < 3 {
		t.Fatalf("only %v written", before)
	}
	// An unknown outcome: the transaction was executed, its answer lost. The next write reads back
	// the version that it left.
	written := request.Version()
	request.RetryFrom(1)
	term.writeScaleOutRecord(request, kvstore.Required)
	runUntil(t, controller, func() bool { return request.Version() > written })
}
