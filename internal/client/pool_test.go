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

// A pool never has more connections than its limit, in sequential and concurrent calls; idle ones are
// closed for new ones, and if none is idle the caller gets ErrPoolExhausted.
func TestPoolStaysWithinLimit(t *testing.T) {
	const most = 3
	limiter := connlimit.New(most)
	pool := NewPool(DialTCP, limiter)
	outboundCount := func() int {
		_, out := limiter.Counts()
		return out
	}
	releaseRequests := make(chan struct{})
	var mu sync.Mutex
	openCount, peakCount := 0, 0
	var hosts []*Host
	onRequest := func() {}
	for i := 0; i < 8; i++ {
		testServer := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/wait" {
				onRequest()
				<-releaseRequests
			}
			w.Write([]byte("{}")) //nolint:errcheck // the peer may be gone
		}))
		testServer.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			mu.Lock()
			defer mu.Unlock()
			switch state {
			case http.StateNew:
				openCount++
				peakCount = max(peakCount, outboundCount())
			case http.StateClosed:
				openCount--
			}
		}
		testServer.Start()
		t.Cleanup(testServer.Close)
		hosts = append(hosts, pool.NewHost(testServer.Listener.Addr().String(), 1, 1<<10))
	}
	get := func(host *Host, path string) error {
		_, err := host.Do(Request{Method: "GET", Target: path, Timeout: 30 * clock.Second})
		return err
	}
	for round := 0; round < 3; round++ {
		for i, host := range hosts {
			if err := get(host, "/"); err != nil {
				t.Fatalf("host %d: %v", i, err)
			}
			if n := outboundCount(); n > most {
				t.Fatalf("%d connections, at most %d are allowed", n, most)
			}
		}
	}
	var wg sync.WaitGroup
	for _, host := range hosts {
		for k := 0; k < 4; k++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := 0; n < 20; n++ {
					if err := get(host, "/"); err != nil && !errors.Is(err, ErrPoolExhausted) {
						t.Error(err)
					}
				}
			}()
		}
	}
	wg.Wait()
	if peakCount > most || outboundCount() > most {
		t.Fatalf("%d connections, then %d, at most %d are allowed", peakCount, outboundCount(), most)
	}
	// All are in use: the next call is rejected at once as not sent.
	startedRequests := make(chan struct{}, most)
	onRequest = func() { startedRequests <- struct{}{} }
	for _, host := range hosts[:most] {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := get(host, "/wait"); err != nil {
				t.Error(err)
			}
		}()
	}
	for i := 0; i < most; i++ {
		<-startedRequests
	}
	var notSent *NotSentError
	if err := get(hosts[most], "/"); !errors.Is(err, ErrPoolExhausted) || !errors.As(err, &notSent) {
		t.Fatalf("%v", err)
	}
	close(releaseRequests)
	wg.Wait()
	for _, host := range hosts {
		host.Close()
	}
	if outboundCount() != 0 {
		t.Fatalf("%d connections are left after all were closed", outboundCount())
	}
}
