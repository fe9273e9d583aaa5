package controller

import (
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/wire"
)

// leadOnState makes a lead that holds the lock of a stand-in state service. Nothing
// but the test works through its commands.
func leadOnState(t *testing.T, limits config.StoreLimits) (*fake.State, *lead) {
	t.Helper()
	s, stop := fake.NewState()
	t.Cleanup(stop)
	c := rebuilt(t).c
	c.cfg.Deployment.Store = limits
	c.chunk = chunkOf(limits.MaxValueKB)
	c.store = kvstore.New(client.DialTCP, s.Addr, kvstore.Limits{RPS: limits.RPS, WriteRPS: limits.WriteRPS, MaxTransactionOps: limits.Effective().MaxTransactionOps}, keyLock)
	c.store.SetRateShare(1)
	c.view.rentals, c.view.loaded = map[string]*rentalRecord{}, true
	return s, leadAgain(t, c)
}

// leadAgain takes the lock in place of whoever holds it, and leads.
func leadAgain(t *testing.T, c *Core) *lead {
	t.Helper()
	if c.lead != nil {
		c.lead.close()
		c.lead = nil
	}
	var token uint64
	c.store.Commit(&kvstore.Write{Changes: []wire.Change{{PutKey: keyLock, Value: []byte(`{"m":"a"}`)}}, Done: func(_ kvstore.Outcome, rev uint64) {
		c.post(func() { token = rev })
	}})
	work(t, c, func() bool { return token != 0 })
	synced := false
	c.view.wantSync(func(err error) { synced = err == nil }, clock.Now()+10*clock.Second)
	work(t, c, func() bool { return synced })
	c.lead = newLead(c, token, clock.Now())
	c.lead.deadline.Store(1 << 62)
	return c.lead
}

// The life of a large job in the state service, with small values and transactions:
// every value and every transaction stays within the limits, every task's end is
// told, and nothing is left but the job's own end.
func TestSmallValuesAndTransactions(t *testing.T) {
	for _, c := range []struct {
		valueKB float64
		ops     int
		tasks   int
	}{{4, 8, 60000}, {1, 1, 20000}} {
		s, l := leadOnState(t, config.StoreLimits{RPS: 1000, WriteRPS: 1000, MaxValueKB: c.valueKB, MaxTransactionOps: c.ops})
		core, token := l.c, l.token

		const id = "req-000001"
		rec := &jobRecord{Job: &wire.Job{ID: id, Kind: wire.KindArray, Team: "t", TaskCount: c.tasks, Priority: wire.PriorityNormal}, At: int64(clock.WallTime())}
		v, err := rec.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		core.store.Commit(&kvstore.Write{Conditions: []wire.Condition{{Key: prefixJob + id}}, Changes: []wire.Change{{PutKey: prefixJob + id, Value: v}}, Done: func(kvstore.Outcome, uint64) {}})
		core.view.wantSync(func(error) {}, clock.Now()+10*clock.Second)
		work(t, core, func() bool { return l.lg.Jobs[id] != nil })
		j := l.lg.Jobs[id]
		l.mark(j)
		work(t, core, func() bool { return j.StartsRecorded })

		complete := func(from, to int) {
			for i := from; i < to; i++ {
				j.Tasks[i].State = allocation.TaskWaiting
			}
			m := l.lg.Machines["i-1"]
			if m == nil {
				m = l.lg.AddMachine("i-1", "big", "x", false, l.pl.MachineCapacity("big"), clock.Now())
				m.RecordedInStore = true
			}
			rep := &wire.Heartbeat{MachineID: "i-1", Incarnation: 1, Sequence: m.HeartbeatSequence + 1, FencingToken: token}
			for i := from; i < to; i++ {
				rep.Tasks = append(rep.Tasks, wire.TaskStatus{TaskID: wire.TaskID(id, i), Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitDone})
			}
			if l.lg.RecordHeartbeat(m, rep, clock.Now()) != allocation.HeartbeatAccepted {
				t.Fatal("report not taken")
			}
		}
		complete(0, c.tasks-1)
		work(t, core, func() bool { l.durable(clock.Now() + clock.Second); return len(j.UnpersistedCompletions()) == 0 })
		done := core.view.done[id]
		core.view.wantSync(func(error) { done = core.view.done[id] }, clock.Now()+10*clock.Second)
		work(t, core, func() bool { done = core.view.done[id]; return len(done) == (c.tasks-1)/core.chunk+1 })
		for _, i := range []int{0, core.chunk - 1, core.chunk, c.tasks - 2} {
			if !done[i/core.chunk].bits.has(i % core.chunk) {
				t.Errorf("%v KiB: task %d is done, and the record does not say so", c.valueKB, i)
			}
		}
		complete(c.tasks-1, c.tasks)
		sweepAt := clock.Now()
		work(t, core, func() bool {
			l.durable(clock.Now() + clock.Second)
			sweepAt += sweepEvery
			l.cleanUp(sweepAt) // what the end's transaction could not take
			return len(s.Keys(prefixDone)) == 0 && l.lg.Jobs[id] == nil
		})
		for _, x := range s.Transactions() {
			if len(x.Changes) > c.ops {
				t.Errorf("a transaction of %d changes, %d are allowed", len(x.Changes), c.ops)
			}
			for _, ch := range x.Changes {
				if len(ch.Value) > int(c.valueKB*1024) {
					t.Errorf("%s: a value of %d bytes, %v KiB are allowed", ch.PutKey, len(ch.Value), c.valueKB)
				}
			}
		}
	}
}
