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

// poolFixture is a pool with a small connection limit, and more hosts than the limit.
type poolFixture struct {
	limiter *connlimit.Limiter
	hosts   []*Host
	// onWait is called for each request to /wait. Such requests are answered once releaseRequests is closed.
	onWait          func()
	releaseRequests chan struct{}

	mu        sync.Mutex
	peakCount int // highest number of outbound connections seen when a server accepted a connection
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

// A pool must not exceed its connection limit, in sequential or concurrent calls. At the limit it closes
// idle connections to open new ones, and if none is idle the caller gets ErrPoolExhausted.
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
		t.Fatalf("got %d connections after closing all hosts, want 0", fixture.outboundCount())
	}
}

func testSequentialCalls(t *testing.T, fixture *poolFixture, limit int) {
	for range 3 {
		for i, host := range fixture.hosts {
			if err := get(host, "/"); err != nil {
				t.Fatalf("request to host %d: %v", i, err)
			}
			if count := fixture.outboundCount(); count > limit {
				t.Fatalf("sequential requests: got %d connections, want at most %d", count, limit)
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
		t.Fatalf("got a peak of %d connections and %d at the end, want at most %d", peak, fixture.outboundCount(), limit)
	}
}

// While all connections are in use, a further call must fail at once with ErrPoolExhausted as not sent.
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
		t.Fatalf("request with all connections in use: got error %v, want ErrPoolExhausted within a NotSentError", err)
	}
	close(fixture.releaseRequests)
	callers.Wait()
}
