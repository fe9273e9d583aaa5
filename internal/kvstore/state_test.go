package kvstore

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

func open(t *testing.T) (*Client, *fake.State) {
	t.Helper()
	s, stop := fake.NewState()
	t.Cleanup(stop)
	c := New(client.DialTCP, s.Addr, Limits{RPS: 1000, WriteRPS: 1000, TxnOps: 4}, "lead")
	c.SetShare(1)
	return c, s
}

type outcome struct {
	o   Outcome
	rev uint64
}

func commit(t *testing.T, c *Client, ws ...*Write) []outcome {
	t.Helper()
	out := make([]outcome, len(ws))
	var wg sync.WaitGroup
	for i, w := range ws {
		wg.Add(1)
		w.Done = func(o Outcome, rev uint64) {
			out[i] = outcome{o, rev}
			wg.Done()
		}
		if !c.Commit(w) {
			t.Fatal("refused")
		}
	}
	wg.Wait()
	return out
}

func put(key, value string) []wire.Change { return []wire.Change{{Put: key, Value: []byte(value)}} }

// A write whose own condition fails does not fail those it went with, and a
// lost lock fails all that were bound to it and no others.
func TestGroupCommit(t *testing.T) {
	c, s := open(t)
	if o := commit(t, c, &Write{Then: put("a/0", "1")}); o[0].o != Committed {
		t.Fatalf("%v", o)
	}
	var ws []*Write
	for i := 0; i < 10; i++ {
		k := fmt.Sprint("a/", i)
		ws = append(ws, &Write{If: []wire.Condition{{Key: k}}, Then: put(k, "2")})
	}
	for i, o := range commit(t, c, ws...) {
		want := Committed
		if i == 0 {
			want = Conflict
		}
		if o.o != want {
			t.Errorf("write %d: %v", i, o)
		}
	}
	if n := len(s.Keys("a/")); n != 10 {
		t.Errorf("%d keys", n)
	}
	lock := commit(t, c, &Write{Then: put("lead", "{}")})[0].rev
	o := commit(t, c, &Write{Fence: lock, Then: put("b/1", "1")}, &Write{Fence: lock - 1, Then: put("b/2", "1")}, &Write{Then: put("b/3", "1")})
	if o[0].o != Committed || o[1].o != Fenced || o[2].o != Committed {
		t.Errorf("%v", o)
	}
}

func TestWatchAndLeases(t *testing.T) {
	c, s := open(t)
	if _, err := c.Get("a/lock"); !errors.Is(err, ErrGone) {
		t.Fatalf("a key that nobody wrote: %v", err)
	}
	lease, err := c.Grant(5 * clock.Second)
	if err != nil {
		t.Fatal(err)
	}
	o := commit(t, c, &Write{Then: []wire.Change{{Put: "a/lock", Value: []byte("{}"), Lease: lease}}})
	if it, err := c.Get("a/lock"); err != nil || it.Lease != lease || it.Version != o[0].rev {
		t.Fatalf("%+v %v", it, err)
	}
	got := make(chan *wire.Events, 1)
	go func() {
		e, err := c.Watch("a/", o[0].rev, 20*clock.Second)
		if err != nil {
			t.Error(err)
		}
		got <- e
	}()
	if err := c.Revoke(lease); err != nil {
		t.Fatal(err)
	}
	if e := <-got; e == nil || len(e.Events) != 1 || e.Events[0].Delete != "a/lock" {
		t.Fatalf("%+v", e)
	}
	if err := c.Renew(lease, clock.Second); !errors.Is(err, ErrGone) {
		t.Fatalf("renewal of an ended lease: %v", err)
	}
	var items []wire.Item
	rev, err := c.Load("a/", func(page []wire.Item) { items = append(items, page...) })
	if err != nil || len(items) != 0 || rev <= o[0].rev {
		t.Fatalf("%v %d %v", items, rev, err)
	}
	s.SetDown(true)
	if o := commit(t, c, &Write{Then: put("a/x", "1")}); o[0].o != Refused {
		t.Fatalf("in an outage: %v", o)
	}
	if c.LastRefused() <= c.LastOK() {
		t.Fatal("the refusal is not noted")
	}
}

// What may no longer be sent is not sent; what was not sent is told from what
// may have arrived.
func TestSendLimits(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b := make([]byte, 1000)
		n, _ := c.Read(b) // the error shows in n
		got <- n
		c.Close()
	}()
	h := client.NewHost(client.DialTCP, l.Addr().String(), 1, 1000)
	r := client.Request{Method: "POST", Target: "/x", Timeout: 5 * clock.Second, SendDeadline: func() clock.Micros { return 1 }}
	if _, err := h.Do(r); !errors.Is(err, client.ErrSendDeadlinePassed) {
		t.Fatalf("too late: %v", err)
	}
	if n := <-got; n != 0 {
		t.Fatalf("%d bytes were sent too late", n)
	}
	l.Close()
	var se *client.NotSentError
	if _, err := h.Do(client.Request{Method: "GET", Target: "/", Timeout: clock.Second}); !errors.As(err, &se) {
		t.Fatalf("nobody listens: %v", err)
	}
}

// When more waits than the rate allows, what somebody waits for goes first, and
// what can wait is sent only with rate to spare. Nothing of it is lost.
func TestRanks(t *testing.T) {
	c := New(client.DialTCP, "127.0.0.1:1", Limits{RPS: 1000, WriteRPS: 8, TxnOps: 8}, "lead")
	c.writes = client.NewTokenBucket(8, 8)
	c.inFlight, c.looking = maxInFlight, true // the test takes the batches itself
	write := func(r Rank, key string) {
		if !c.Commit(&Write{Rank: r, Fence: 7, Then: put(key, "1"), Done: func(Outcome, uint64) {}}) {
			t.Fatal("refused")
		}
	}
	for i := 0; i < 20; i++ {
		write(Spare, fmt.Sprint("spare/", i))
	}
	write(Needed, "needed/0")
	write(Binding, "binding/0")
	first := c.next()
	if len(first) < 3 || first[0].Rank != Binding || first[1].Rank != Needed || first[2].Rank != Spare {
		t.Fatalf("the first batch has %d writes, ranks %v ...", len(first), first[0].Rank)
	}
	c.writes.Reserve(8) // the burst is used up
	if b := c.next(); len(b) != 0 {
		t.Fatalf("%d writes that can wait are sent with no rate to spare", len(b))
	}
	c.inFlight = maxInFlight
	write(Binding, "binding/1")
	if b := c.next(); len(b) != 1 || b[0].Rank != Binding {
		t.Fatalf("a binding write waits behind others: %d writes", len(b))
	}
	if n := len(first) + 1 + len(c.pending); n != 23 {
		t.Fatalf("%d of 23 writes are left", n)
	}
}

// A watch that would bring more than is read at once is answered by reading all keys,
// page by page: asked for again it would be too large again.
func TestWatchThatIsTooLarge(t *testing.T) {
	c, _ := open(t)
	value := `"` + strings.Repeat("x", 40<<10) + `"`
	for i := range maxAnswer/len(value) + 2 {
		if o := commit(t, c, &Write{Then: put(fmt.Sprint("a/", i%50), value)}); o[0].o != Committed {
			t.Fatal(o)
		}
	}
	if _, err := c.Watch("a/", 0, 0); !errors.Is(err, ErrCompacted) {
		t.Fatalf("the watch ends with %v", err)
	}
	var items []wire.Item
	revision, err := c.Load("a/", func(page []wire.Item) { items = append(items, page...) })
	if err != nil || len(items) != 50 || revision == 0 {
		t.Errorf("%d keys are read, %v", len(items), err)
	}
}

// Under a flood of what users ask, writes that work waits for take turns with those once
// they have waited for a moment, and a flood of these does not have users refused.
func TestNeededWritesAreNotStarved(t *testing.T) {
	c := New(client.DialTCP, "127.0.0.1:1", Limits{RPS: 1000, WriteRPS: 8, TxnOps: 1}, "lead")
	c.writes = client.NewTokenBucket(8, 8)
	c.inFlight, c.looking = maxInFlight, true // the test takes the batches itself
	now := clock.Now()
	write := func(r Rank, key string, ago clock.Micros) {
		w := &Write{Rank: r, Then: put(key, "1"), Done: func(Outcome, uint64) {}}
		if !c.Commit(w) {
			t.Fatal("refused")
		}
		w.queuedAt = now - ago
	}
	for i := range 10 {
		write(Binding, fmt.Sprint("users/", i), clock.Micros(10-i)*100*clock.Millisecond)
	}
	for i := range 30 {
		write(Needed, fmt.Sprint("old/", i), 750*clock.Millisecond)
	}
	write(Needed, "new", 0)
	if delay := c.Delay(); delay > 3*clock.Second {
		t.Errorf("a user waits %v for 10 of users and 30 others at 8 a second", delay)
	}
	var order []string
	for range 41 {
		for _, w := range c.next() {
			order = append(order, w.Then[0].Put)
		}
	}
	if len(order) != 41 || order[40] != "new" {
		t.Fatalf("sent in the order %v", order)
	}
	for i := range 10 {
		if order[2*i] != fmt.Sprint("users/", i) || order[2*i+1] != fmt.Sprint("old/", i) {
			t.Fatalf("sent in the order %v", order)
		}
	}
	if binding, waited := c.waiting(); binding+waited != 0 {
		t.Errorf("%d and %d changes are left", binding, waited)
	}
}

// One request tells which of many keys exist, as far as any does, and that none does.
func TestExisting(t *testing.T) {
	c, s := open(t)
	commit(t, c, &Write{Then: put("a/1", "1")})
	commit(t, c, &Write{Then: put("a/2", "1")})
	for _, want := range [][]string{nil, {"a/1"}, {"a/1", "a/2"}} {
		got, err := c.Existing(append([]string{"a/3", "a/4"}, want...))
		if err != nil || !slices.Equal(got, want) {
			t.Errorf("%v, %v; want %v", got, err, want)
		}
	}
	s.SetDown(true)
	if got, err := c.Existing([]string{"a/3"}); err == nil {
		t.Errorf("in an outage: %v", got)
	}
}
