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

func newTestClient(t *testing.T) (*Client, *fake.Store) {
	t.Helper()
	fakeStore, stop := fake.NewStore()
	t.Cleanup(stop)
	store := New(client.DialTCP, fakeStore.Addr, Limits{RPS: 1000, WriteRPS: 1000, MaxTransactionOps: 4}, "lead")
	store.SetRateShare(1)
	return store, fakeStore
}

type commitResult struct {
	outcome  Outcome
	revision uint64
}

func commitAll(t *testing.T, store *Client, writes ...*Write) []commitResult {
	t.Helper()
	results := make([]commitResult, len(writes))
	var wg sync.WaitGroup
	for i, write := range writes {
		wg.Add(1)
		write.Done = func(outcome Outcome, revision uint64) {
			results[i] = commitResult{outcome, revision}
			wg.Done()
		}
		if !store.Commit(write) {
			t.Fatal("Commit refused a write, want it queued")
		}
	}
	wg.Wait()
	return results
}

func putChange(key, value string) []wire.Change {
	return []wire.Change{{PutKey: key, Value: []byte(value)}}
}

// A write whose own condition fails does not fail the others of its transaction. A fencing token
// that is not the lock's version fails all writes that carry it, and no others.
func TestConflictAndFencingFailOnlyOwnWrites(t *testing.T) {
	store, fakeStore := newTestClient(t)
	if results := commitAll(t, store, &Write{Changes: putChange("a/0", "1")}); results[0].outcome != Committed {
		t.Fatalf("unconditional write: got %v, want outcome committed", results)
	}
	var writes []*Write
	for i := 0; i < 10; i++ {
		key := fmt.Sprint("a/", i)
		writes = append(writes, &Write{Conditions: []wire.Condition{{Key: key}}, Changes: putChange(key, "2")})
	}
	for i, result := range commitAll(t, store, writes...) {
		want := Committed
		if i == 0 {
			want = Conflict
		}
		if result.outcome != want {
			t.Errorf("write %d: got %v, want conflict for write 0 and committed for the others", i, result)
		}
	}
	if n := len(fakeStore.Keys("a/")); n != 10 {
		t.Errorf("the store has %d keys below a/, want 10", n)
	}
	lockVersion := commitAll(t, store, &Write{Changes: putChange("lead", "{}")})[0].revision
	results := commitAll(t, store, &Write{FencingToken: lockVersion, Changes: putChange("b/1", "1")}, &Write{FencingToken: lockVersion - 1, Changes: putChange("b/2", "1")}, &Write{Changes: putChange("b/3", "1")})
	if results[0].outcome != Committed || results[1].outcome != Fenced || results[2].outcome != Committed {
		t.Errorf("writes with the lock's version, another token, no token: got %v, want committed, fenced, committed", results)
	}
}

// Revoking a lease deletes its keys, a watch shows the deletion, and the ended lease can't be
// renewed. In an outage writes are not executed, and the failure is recorded.
func TestLeaseRevocationIsWatchedAndOutageIsRecorded(t *testing.T) {
	store, fakeStore := newTestClient(t)
	if _, err := store.Get("a/lock"); !errors.Is(err, ErrNotFound) {
		t.Fatalf("Get of a key that was never written: got %v, want ErrNotFound", err)
	}
	lease, err := store.GrantLease(5 * clock.Second)
	if err != nil {
		t.Fatal(err)
	}
	results := commitAll(t, store, &Write{Changes: []wire.Change{{PutKey: "a/lock", Value: []byte("{}"), LeaseID: lease}}})
	if item, err := store.Get("a/lock"); err != nil || item.LeaseID != lease || item.Version != results[0].revision {
		t.Fatalf("Get of the leased key: got %+v, %v; want the lease's ID and the write's revision", item, err)
	}
	responses := make(chan *wire.WatchResponse, 1)
	go func() {
		response, err := store.Watch("a/", results[0].revision, 20*clock.Second)
		if err != nil {
			t.Error(err)
		}
		responses <- response
	}()
	if err := store.RevokeLease(lease); err != nil {
		t.Fatal(err)
	}
	if response := <-responses; response == nil || len(response.Events) != 1 || response.Events[0].DeleteKey != "a/lock" {
		t.Fatalf("watch during the revocation: got %+v, want the deletion of a/lock", response)
	}
	if err := store.RenewLease(lease, clock.Second); !errors.Is(err, ErrNotFound) {
		t.Fatalf("renewal of a revoked lease: got %v, want ErrNotFound", err)
	}
	var items []wire.KeyValue
	revision, err := store.LoadPrefix("a/", func(page []wire.KeyValue) { items = append(items, page...) })
	if err != nil || len(items) != 0 || revision <= results[0].revision {
		t.Fatalf("load after the revocation: got items %v, revision %d, error %v; want no items and a later revision", items, revision, err)
	}
	fakeStore.SetDown(true)
	if results := commitAll(t, store, &Write{Changes: putChange("a/x", "1")}); results[0].outcome != NotExecuted {
		t.Fatalf("write in an outage: got %v, want outcome not_executed", results)
	}
	if store.LastFailureAt() <= store.LastSuccessAt() {
		t.Fatal("LastFailureAt is not after LastSuccessAt in an outage")
	}
}

// A request whose send deadline has passed is not sent, and a request to an address where no process
// listens fails with a NotSentError.
func TestExpiredRequestIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan int, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 1000)
		n, _ := connection.Read(buffer) // after an error n is 0, which the test checks
		received <- n
		connection.Close()
	}()
	host := client.NewHost(client.DialTCP, listener.Addr().String(), 1, 1000)
	request := client.Request{Method: "POST", Target: "/x", Timeout: 5 * clock.Second, SendDeadline: func() clock.Micros { return 1 }}
	if _, err := host.Do(request); !errors.Is(err, client.ErrSendDeadlinePassed) {
		t.Fatalf("request after its send deadline: got %v, want ErrSendDeadlinePassed", err)
	}
	if n := <-received; n != 0 {
		t.Fatalf("%d bytes were sent after the send deadline, want 0", n)
	}
	listener.Close()
	var notSentError *client.NotSentError
	if _, err := host.Do(client.Request{Method: "GET", Target: "/", Timeout: clock.Second}); !errors.As(err, &notSentError) {
		t.Fatalf("request where no process listens: got %v, want a NotSentError", err)
	}
}

// When more changes are queued than the rate allows, interactive writes go first and background
// writes are sent only from spare rate. No write is lost.
func TestInteractiveWritesGoFirstAndBackgroundUsesSpareRate(t *testing.T) {
	store := New(client.DialTCP, "127.0.0.1:1", Limits{RPS: 1000, WriteRPS: 8, MaxTransactionOps: 8}, "lead")
	store.writeBudget = client.NewTokenBucket(8, 8)
	store.activeSenders, store.isRecheckScheduled = maxSenders, true // the test takes the batches itself
	enqueue := func(priority Priority, key string) {
		if !store.Commit(&Write{Priority: priority, FencingToken: 7, Changes: putChange(key, "1"), Done: func(Outcome, uint64) {}}) {
			t.Fatal("Commit refused a write, want it queued")
		}
	}
	for i := 0; i < 20; i++ {
		enqueue(Background, fmt.Sprint("background/", i))
	}
	enqueue(Required, "required/0")
	enqueue(Interactive, "interactive/0")
	first := store.takeBatch()
	if len(first) < 3 || first[0].Priority != Interactive || first[1].Priority != Required || first[2].Priority != Background {
		t.Fatalf("first batch: got %d writes, the first %v; want at least 3: interactive, required, background", len(first), first[0].Priority)
	}
	store.writeBudget.Reserve(8) // the burst is used up
	if batch := store.takeBatch(); len(batch) != 0 {
		t.Fatalf("without spare rate %d background writes were taken, want 0", len(batch))
	}
	store.activeSenders = maxSenders
	enqueue(Interactive, "interactive/1")
	if batch := store.takeBatch(); len(batch) != 1 || batch[0].Priority != Interactive {
		t.Fatalf("batch after the burst was used up: got %d writes, want only the interactive one", len(batch))
	}
	if n := len(first) + 1 + len(store.pending); n != 23 {
		t.Fatalf("taken and queued writes: got %d, want 23", n)
	}
}

// A watch whose response would exceed maxResponseBytes returns ErrCompacted. All keys can still be
// loaded page by page.
func TestOversizedWatchReturnsErrCompacted(t *testing.T) {
	store, _ := newTestClient(t)
	value := `"` + strings.Repeat("x", 40<<10) + `"`
	for i := range maxResponseBytes/len(value) + 2 {
		if results := commitAll(t, store, &Write{Changes: putChange(fmt.Sprint("a/", i%50), value)}); results[0].outcome != Committed {
			t.Fatal(results)
		}
	}
	if _, err := store.Watch("a/", 0, 0); !errors.Is(err, ErrCompacted) {
		t.Fatalf("watch of more than maxResponseBytes: got %v, want ErrCompacted", err)
	}
	var items []wire.KeyValue
	revision, err := store.LoadPrefix("a/", func(page []wire.KeyValue) { items = append(items, page...) })
	if err != nil || len(items) != 50 || revision == 0 {
		t.Errorf("load page by page: got %d keys, error %v; want 50 keys and a revision", len(items), err)
	}
}

// Under a flood of interactive writes, required writes alternate with them once they have been
// queued for requiredPromotionAge. A flood of required writes does not delay interactive writes for
// so long that they are refused.
func TestRequiredWritesAreNotStarved(t *testing.T) {
	store := New(client.DialTCP, "127.0.0.1:1", Limits{RPS: 1000, WriteRPS: 8, MaxTransactionOps: 1}, "lead")
	store.writeBudget = client.NewTokenBucket(8, 8)
	store.activeSenders, store.isRecheckScheduled = maxSenders, true // the test takes the batches itself
	now := clock.Now()
	enqueue := func(priority Priority, key string, age clock.Micros) {
		write := &Write{Priority: priority, Changes: putChange(key, "1"), Done: func(Outcome, uint64) {}}
		if !store.Commit(write) {
			t.Fatal("Commit refused a write, want it queued")
		}
		write.queuedAt = now - age
	}
	for i := range 10 {
		enqueue(Interactive, fmt.Sprint("users/", i), clock.Micros(10-i)*100*clock.Millisecond)
	}
	for i := range 30 {
		enqueue(Required, fmt.Sprint("old/", i), 750*clock.Millisecond)
	}
	enqueue(Required, "new", 0)
	if delay := store.InteractiveDelay(); delay > 3*clock.Second {
		t.Errorf("InteractiveDelay() = %v with 10 interactive and 30 promoted changes at 8 per second, want at most 3 s", delay)
	}
	var order []string
	for range 41 {
		for _, write := range store.takeBatch() {
			order = append(order, write.Changes[0].PutKey)
		}
	}
	if len(order) != 41 || order[40] != "new" {
		t.Fatalf("order of sending: got %v, want 41 writes with \"new\" last", order)
	}
	for i := range 10 {
		if order[2*i] != fmt.Sprint("users/", i) || order[2*i+1] != fmt.Sprint("old/", i) {
			t.Fatalf("order of sending: got %v, want users/ and old/ writes alternating", order)
		}
	}
	if interactive, promoted := store.countQueuedChanges(); interactive+promoted != 0 {
		t.Errorf("queued changes at the end: got %d interactive and %d promoted, want 0", interactive, promoted)
	}
}

// One request finds out which of several keys exist, also when none does.
func TestFindExisting(t *testing.T) {
	store, fakeStore := newTestClient(t)
	commitAll(t, store, &Write{Changes: putChange("a/1", "1")})
	commitAll(t, store, &Write{Changes: putChange("a/2", "1")})
	for _, want := range [][]string{nil, {"a/1"}, {"a/1", "a/2"}} {
		got, err := store.FindExisting(append([]string{"a/3", "a/4"}, want...))
		if err != nil || !slices.Equal(got, want) {
			t.Errorf("FindExisting: got %v, %v; want %v", got, err, want)
		}
	}
	fakeStore.SetDown(true)
	if got, err := store.FindExisting([]string{"a/3"}); err == nil {
		t.Errorf("FindExisting in an outage: got %v, want an error", got)
	}
}
