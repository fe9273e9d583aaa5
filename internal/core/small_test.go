package core

import (
	"testing"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/ledger"
	"firwood.dev/firwood/internal/standin"
	"firwood.dev/firwood/internal/state"
	"firwood.dev/firwood/wire"
)

// The life of a large job in the state service, with small values and transactions:
// every value and every transaction stays within the limits, every task's end is
// told, and nothing is left but the job's own end.
func TestSmallValuesAndTransactions(t *testing.T) {
	for _, c := range []struct {
		valueKB float64
		ops     int
		tasks   int
	}{{4, 8, 60000}, {1, 1, 20000}} {
		s, stop := standin.NewState()
		l := rebuilt(t)
		core := l.c
		core.cfg.Deployment.State.ValueKB, core.cfg.Deployment.State.TxnOps = c.valueKB, c.ops
		core.chunk = chunkOf(c.valueKB)
		core.store = state.New(client.DialTCP, s.Addr, state.Limits{RPS: 1000, WriteRPS: 1000, TxnOps: c.ops}, keyLock)
		var token uint64
		core.store.Commit(&state.Write{If: []wire.Condition{{Key: keyLock}}, Then: []wire.Change{{Put: keyLock, Value: []byte(`{"m":"a"}`)}}, Done: func(_ state.Outcome, rev uint64) {
			core.post(func() { token = rev })
		}})
		work(t, core, func() bool { return token != 0 })
		core.view.rentals, core.view.loaded, core.view.rev = map[string]*rentalRecord{}, true, token
		l = newLead(core, token, clock.Now())
		l.deadline.Store(1 << 62)
		core.lead = l

		const id = "req-000001"
		rec := &jobRecord{Job: &wire.Job{ID: id, Kind: wire.KindArray, Team: "t", Tasks: c.tasks, Priority: wire.PriorityNormal}, At: int64(clock.Wall())}
		v, err := rec.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		core.store.Commit(&state.Write{If: []wire.Condition{{Key: prefixJob + id}}, Then: []wire.Change{{Put: prefixJob + id, Value: v}}, Done: func(state.Outcome, uint64) {}})
		core.view.wantSync(func(error) {}, clock.Now()+10*clock.Second)
		work(t, core, func() bool { return l.lg.Jobs[id] != nil })
		j := l.lg.Jobs[id]
		l.mark(j)
		work(t, core, func() bool { return j.Marked })

		complete := func(from, to int) {
			for i := from; i < to; i++ {
				j.Tasks[i].State = ledger.Waiting
			}
			m := l.lg.Machines["i-1"]
			if m == nil {
				m = l.lg.AddMachine("i-1", "big", "x", false, l.pl.Size("big"), clock.Now())
				m.Recorded = true
			}
			rep := &wire.Report{Machine: "i-1", Session: 1, Seq: m.Seq + 1, Token: token}
			for i := from; i < to; i++ {
				rep.Tasks = append(rep.Tasks, wire.TaskReport{Task: wire.TaskID(id, i), Attempt: 1, State: wire.TaskExited, Why: wire.WhyDone})
			}
			if l.lg.Report(m, rep, clock.Now()) != ledger.Taken {
				t.Fatal("report not taken")
			}
		}
		complete(0, c.tasks-1)
		work(t, core, func() bool { l.durable(clock.Now() + clock.Second); return len(j.NotDurable()) == 0 })
		done := core.view.done[id]
		core.view.wantSync(func(error) { done = core.view.done[id] }, clock.Now()+10*clock.Second)
		work(t, core, func() bool { done = core.view.done[id]; return len(done) == (c.tasks-1)/core.chunk+1 })
		for _, i := range []int{0, core.chunk - 1, core.chunk, c.tasks - 2} {
			if !done[i/core.chunk].has(i % core.chunk) {
				t.Errorf("%v KiB: task %d is done, and the record does not say so", c.valueKB, i)
			}
		}
		complete(c.tasks-1, c.tasks)
		work(t, core, func() bool {
			l.durable(clock.Now() + clock.Second)
			return len(s.Keys(prefixDone)) == 0 && l.lg.Jobs[id] == nil
		})
		for _, x := range s.Transactions() {
			if len(x.Then) > c.ops {
				t.Errorf("a transaction of %d changes, %d are allowed", len(x.Then), c.ops)
			}
			for _, ch := range x.Then {
				if len(ch.Value) > int(c.valueKB*1024) {
					t.Errorf("%s: a value of %d bytes, %v KiB are allowed", ch.Put, len(ch.Value), c.valueKB)
				}
			}
		}
		stop()
	}
}
