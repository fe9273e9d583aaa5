package controller

import (
	"testing"
	"time"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/scheduler"
	"firwood.dev/firwood/wire"
)

// work runs what is posted to the owner until the condition holds.
func work(t *testing.T, c *Core, done func() bool) {
	t.Helper()
	for i := 0; i < 20000; i++ {
		for _, f := range c.q.take() {
			f()
		}
		c.startSync()
		c.view.expireWaiters(clock.Now())
		if done() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("it does not come about")
}

// Every transaction of a rental's and a mark's life comes again, at any later time:
// none takes back what a later one has written.
func TestRepeatedWritesTakeNothingBack(t *testing.T) {
	s, stop := fake.NewState()
	defer stop()
	l := rebuilt(t)
	c := l.c
	c.store = kvstore.New(client.DialTCP, s.Addr, kvstore.Limits{RPS: 1000, WriteRPS: 1000, MaxTransactionOps: 16}, keyLock)
	var token uint64
	c.store.Commit(&kvstore.Write{Conditions: []wire.Condition{{Key: keyLock}}, Changes: []wire.Change{{PutKey: keyLock, Value: []byte(`{"m":"a"}`)}}, Done: func(_ kvstore.Outcome, rev uint64) {
		c.post(func() { token = rev })
	}})
	work(t, c, func() bool { return token != 0 })
	c.view.rentals, c.view.loaded, c.view.rev = map[string]*rentalRecord{}, true, token
	l = newLead(c, token, clock.Now())
	l.deadline.Store(1 << 62)
	c.lead = l
	l.rent(scheduler.ScaleOutRequest{Pool: scheduler.Pool{Type: "big", Zone: "x"}, Count: 2}, clock.Now())
	var h *rental
	for _, h = range l.rentals {
	}
	work(t, c, func() bool { return h.version != 0 })
	l.hired(h, []string{"i-1", "i-2"}, nil)
	work(t, c, func() bool { return l.lg.Machines["i-1"].RecordedInStore })
	j := l.lg.AddJob(&wire.Job{ID: "req-000001", Kind: wire.KindArray, Team: "t", TaskCount: 3}, 0, 1, false, nil)
	l.jobs[j.Spec.ID] = &jobAux{}
	l.mark(j)
	work(t, c, func() bool { return j.StartsRecorded })
	before := map[string]string{}
	for _, k := range s.Keys(prefix) {
		before[k] = s.Value(k)
	}
	for _, txn := range s.Transactions() {
		s.Repeat(txn)
		for k, v := range before {
			if s.Value(k) != v {
				t.Fatalf("%s was %s, after a repeat %s", k, v, s.Value(k))
			}
		}
	}
	if len(before) < 3 {
		t.Fatalf("only %v written", before)
	}
	// An open end: the transaction was carried out, its answer lost. The next write
	// finds the version that it left.
	h.version = 1
	l.recordRental(h, kvstore.Required, func() { h.version |= 1 << 40 })
	work(t, c, func() bool { return h.version>>40 == 1 })
}
