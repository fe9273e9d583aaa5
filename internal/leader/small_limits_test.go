package leader

import (
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// newTermOnStore returns the term of a leader that holds the lock of a fake store. Posted commands run only
// when the test runs them.
func newTermOnStore(t *testing.T, limits config.StoreLimits) (*fake.Store, *Term) {
	t.Helper()
	fakeStore, stop := fake.NewStore()
	t.Cleanup(stop)
	owner := ownerOf(newTestTerm(t))
	owner.Config.Deployment.Store = limits
	owner.TasksPerKey = records.TasksPerProgressKey(limits.MaxValueKB)
	owner.Store = kvstore.New(client.DialTCP, fakeStore.Addr, kvstore.Limits{RPS: limits.RPS, WriteRPS: limits.WriteRPS, MaxTransactionOps: limits.Effective().MaxTransactionOps}, records.LockKey)
	owner.Store.SetRateShare(1)
	owner.View.ScaleOuts, owner.View.IsLoaded = map[string]*storeview.ScaleOut{}, true
	return fakeStore, startNewTerm(t, owner)
}

// startNewTerm takes the lock, even if another leader holds it, and begins a term.
func startNewTerm(t *testing.T, owner *testOwner) *Term {
	t.Helper()
	if owner.term != nil {
		owner.term.Close()
		owner.term = nil
	}
	var token uint64
	owner.Store.Commit(&kvstore.Write{Changes: []wire.Change{{PutKey: records.LockKey, Value: []byte(`{"m":"a"}`)}}, Done: func(_ kvstore.Outcome, revision uint64) {
		owner.PostResult(func() { token = revision })
	}})
	runUntil(t, owner, func() bool { return token != 0 })
	synced := false
	owner.View.RequestSync(func(err error) { synced = err == nil }, clock.Now()+10*clock.Second)
	runUntil(t, owner, func() bool { return synced })
	owner.term = owner.newTerm(token, clock.Now())
	owner.term.entitlement.actDeadline.Store(1 << 62)
	return owner.term
}

// A store may have small limits for values and transactions. Every value and every transaction that is
// written for a large job has to stay within them, every completed task has to be recorded, and in the end
// only the record of the job's end may be left.
func TestLargeJobFitsSmallStoreLimits(t *testing.T) {
	for _, test := range []struct {
		valueKB float64
		ops     int
		tasks   int
	}{{4, 8, 60000}, {1, 1, 20000}} {
		fakeStore, term := newTermOnStore(t, config.StoreLimits{RPS: 1000, WriteRPS: 1000, MaxValueKB: test.valueKB, MaxTransactionOps: test.ops})
		owner, token := ownerOf(term), term.token

		const id = "req-000001"
		record := &storeview.Job{Job: records.Job{Spec: &wire.Job{ID: id, Kind: wire.KindArray, Team: "t", TaskCount: test.tasks, Priority: wire.PriorityNormal}, SubmittedAt: int64(clock.WallTime())}}
		value, err := record.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		owner.Store.Commit(&kvstore.Write{Conditions: []wire.Condition{{Key: records.JobKey(id)}}, Changes: []wire.Change{{PutKey: records.JobKey(id), Value: value}}, Done: func(kvstore.Outcome, uint64) {}})
		owner.View.RequestSync(func(error) {}, clock.Now()+10*clock.Second)
		runUntil(t, owner, func() bool { return term.tracker.Jobs[id] != nil })
		job := term.tracker.Jobs[id]
		term.recordStarts(job)
		runUntil(t, owner, func() bool { return job.StartsRecorded })

		complete := func(from, to int) {
			for i := from; i < to; i++ {
				job.Tasks[i].State = allocation.TaskWaiting
			}
			machine := term.tracker.Machines["i-1"]
			if machine == nil {
				machine = term.tracker.AddMachine("i-1", "big", "x", false, term.scheduler.MachineCapacity("big"), clock.Now())
				machine.RecordedInStore = true
			}
			heartbeat := &wire.Heartbeat{MachineID: "i-1", Incarnation: 1, Sequence: machine.HeartbeatSequence + 1, FencingToken: token}
			for i := from; i < to; i++ {
				heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{TaskID: wire.TaskID(id, i), Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitDone})
			}
			if term.tracker.RecordHeartbeat(machine, heartbeat, clock.Now()) != allocation.HeartbeatAccepted {
				t.Fatal("the heartbeat that lists the tasks as done was not accepted, want it accepted")
			}
		}
		complete(0, test.tasks-1)
		runUntil(t, owner, func() bool {
			term.persistJobs(clock.Now() + clock.Second)
			return len(job.UnpersistedCompletions()) == 0
		})
		progress := owner.View.Progress[id]
		owner.View.RequestSync(func(error) { progress = owner.View.Progress[id] }, clock.Now()+10*clock.Second)
		runUntil(t, owner, func() bool {
			progress = owner.View.Progress[id]
			return len(progress) == (test.tasks-1)/owner.TasksPerKey+1
		})
		for _, i := range []int{0, owner.TasksPerKey - 1, owner.TasksPerKey, test.tasks - 2} {
			if !progress[i/owner.TasksPerKey].Bits.IsSet(i % owner.TasksPerKey) {
				t.Errorf("value limit of %v KiB: task %d is not recorded as done, want it recorded", test.valueKB, i)
			}
		}
		complete(test.tasks-1, test.tasks)
		sweepAt := clock.Now()
		runUntil(t, owner, func() bool {
			term.persistJobs(clock.Now() + clock.Second)
			sweepAt += sweepInterval
			term.persistence.cleanup.tick(sweepAt) // deletes the keys that did not fit the end's transaction
			return len(fakeStore.Keys(records.ProgressPrefix)) == 0 && term.tracker.Jobs[id] == nil
		})
		for _, transaction := range fakeStore.Transactions() {
			if len(transaction.Changes) > test.ops {
				t.Errorf("got a transaction of %d changes, want at most %d", len(transaction.Changes), test.ops)
			}
			for _, change := range transaction.Changes {
				if len(change.Value) > int(test.valueKB*1024) {
					t.Errorf("key %s: got a value of %d bytes, want at most %v KiB", change.PutKey, len(change.Value), test.valueKB)
				}
			}
		}
	}
}
