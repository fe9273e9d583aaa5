package leader

import (
	"testing"

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

// The store may execute a write late or twice. Every transaction that writes a scale-out request's record,
// or records that tasks of a job may be started, is executed again at a later time here; none may undo what
// a later transaction has written.
func TestRepeatedWritesAreIdempotent(t *testing.T) {
	fakeStore, stop := fake.NewStore()
	defer stop()
	term := newTestTerm(t)
	owner := ownerOf(term)
	owner.Store = kvstore.New(client.DialTCP, fakeStore.Addr, kvstore.Limits{RPS: 1000, WriteRPS: 1000, MaxTransactionOps: 16}, records.LockKey)
	var token uint64
	owner.Store.Commit(&kvstore.Write{Conditions: []wire.Condition{{Key: records.LockKey}}, Changes: []wire.Change{{PutKey: records.LockKey, Value: []byte(`{"m":"a"}`)}}, Done: func(_ kvstore.Outcome, revision uint64) {
		owner.PostResult(func() { token = revision })
	}})
	runUntil(t, owner, func() bool { return token != 0 })
	owner.View.ScaleOuts, owner.View.IsLoaded, owner.View.Revision = map[string]*storeview.ScaleOut{}, true, token
	term = owner.newTerm(token, clock.Now())
	term.entitlement.actDeadline.Store(1 << 62)
	owner.term = term
	term.requestScaleOut(scheduler.ScaleOutRequest{Pool: scheduler.Pool{Type: "big", Zone: "x"}, Count: 2}, clock.Now())
	var request *scaleout.Request
	for _, request = range term.scaleOuts {
	}
	runUntil(t, owner, func() bool { return request.Version() != 0 })
	term.handleScaleOutResult(request, []string{"i-1", "i-2"}, nil)
	runUntil(t, owner, func() bool { return term.tracker.Machines["i-1"].RecordedInStore })
	job := term.tracker.AddJob(&wire.Job{ID: "req-000001", Kind: wire.KindArray, Team: "t", TaskCount: 3}, 0, 1, false, nil)
	term.jobs[job.Spec.ID] = &jobState{}
	term.recordStarts(job)
	runUntil(t, owner, func() bool { return job.StartsRecorded })
	before := map[string]string{}
	for _, key := range fakeStore.Keys(records.WatchedPrefix) {
		before[key] = fakeStore.Value(key)
	}
	for _, transaction := range fakeStore.Transactions() {
		fakeStore.ReapplyTransaction(transaction)
		for key, value := range before {
			if fakeStore.Value(key) != value {
				t.Fatalf("key %s: want value %s, got %s after a repeated transaction", key, value, fakeStore.Value(key))
			}
		}
	}
	if len(before) < 3 {
		t.Fatalf("got records %v, want at least 3", before)
	}
	// If a transaction was executed and the store's response lost, its outcome is unknown. The next write
	// reads back the version that the transaction left.
	written := request.Version()
	request.RetryFrom(1)
	term.writeScaleOutRecord(request, kvstore.Required)
	runUntil(t, owner, func() bool { return request.Version() > written })
}
