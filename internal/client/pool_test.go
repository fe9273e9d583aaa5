package client

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/connlimit"
)

// poolFixture is a pool with a small limit, and more hosts than that.
type poolFixture struct {
	limiter *connlimit.Limiter
	hosts   []*Host
	// onWait is called for each request to /wait, which is answered once releaseRequests is closed.
	onWait          func()
	releaseRequests chan struct{}

	mu        sync.Mutex
	peakCount int // highest number of outbound connections when a server accepted one
}

func newPoolFixture(t *testing.T, limit int) *poolFixture {
	t.Helper()
	fixture := &poolFixture{limiter: connlimit.New(limit), onWait: func() {}, releaseRequests: make(chan struct{})}
	pool := NewPool(DialTCP, fixture.limiter)
	for range 8 {
		testServer := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/wait" {
				fixture.onWait()
				<-fixture.releaseRequests
			}
			w.Write([]byte("{}")) //nolint:errcheck // the peer may be gone
		}))
		testServer.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state != http.StateNew {
				return
			}
			fixture.mu.Lock()
			defer fixture.mu.Unlock()
			fixture.peakCount = max(fixture.peakCount, fixture.outboundCount())
		}
		testServer.Start()
		t.Cleanup(testServer.Close)
		fixture.hosts = append(fixture.hosts, pool.NewHost(testServer.Listener.Addr().String(), 1, 1<<10))
	}
	return fixture
}

func (fixture *poolFixture) outboundCount() int {
	_, outbound := fixture.limiter.Counts()
	return outbound
}

func (fixture *poolFixture) peak() int {
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	return fixture.peakCount
}

func get(host *Host, path string) error {
	_, err := host.Do(Request{Method: "GET", Target: path, Timeout: 30 * clock.Second})
	return err
}

// A pool never has more connections than its limit, in sequential and concurrent calls. At the limit
// idle connections are closed for new ones, and if none is idle the caller gets ErrPoolExhausted.
func TestPoolStaysWithinLimit(t *testing.T) {
	const limit = 3
	fixture := newPoolFixture(t, limit)
	t.Run("sequential calls", func(t *testing.T) { testSequentialCalls(t, fixture, limit) })
	t.Run("concurrent calls", func(t *testing.T) { testConcurrentCalls(t, fixture, limit) })
	t.Run("exhausted", func(t *testing.T) { testExhaustedPool(t, fixture, limit) })
	for _, host := range fixture.hosts {
		host.Close()
	}
	if fixture.outboundCount() != 0 {
		t.Fatalf("%d connections are left after all were closed", fixture.outboundCount())
	}
}

func testSequentialCalls(t *testing.T, fixture *poolFixture, limit int) {
	for range 3 {
		for i, host := range fixture.hosts {
			if err := get(host, "/"); err != nil {
				t.Fatalf("host %d: %v", i, err)
			}
			if count := fixture.outboundCount(); count > limit {
				t.Fatalf("%d connections, at most %d are allowed", count, limit)
			}
		}
	}
}

func testConcurrentCalls(t *testing.T, fixture *poolFixture, limit int) {
	var callers sync.WaitGroup
	for _, host := range fixture.hosts {
		for range 4 {
			callers.Go(func() {
				for range 20 {
					if err := get(host, "/"); err != nil && !errors.Is(err, ErrPoolExhausted) {
						t.Error(err)
					}
				}
			})
		}
	}
	callers.Wait()
	if peak := fixture.peak(); peak > limit || fixture.outboundCount() > limit {
		t.Fatalf("%d connections, then %d, at most %d are allowed", peak, fixture.outboundCount(), limit)
	}
}

// With all connections in use, the next call is rejected at once as not sent.
func testExhaustedPool(t *testing.T, fixture *poolFixture, limit int) {
	startedRequests := make(chan struct{}, limit)
	fixture.onWait = func() { startedRequests <- struct{}{} }
	var callers sync.WaitGroup
	for _, host := range fixture.hosts[:limit] {
		callers.Go(func() {
			if err := get(host, "/wait"); err != nil {
				t.Error(err)
			}
		})
	}
	for range limit {
		<-startedRequests
	}
	var notSent *NotSentError
	if err := get(fixture.hosts[limit], "/"); !errors.Is(err, ErrPoolExhausted) || !errors.As(err, &notSent) {
		t.Fatalf("%v", err)
	}
	close(fixture.releaseRequests)
	callers.Wait()
}
