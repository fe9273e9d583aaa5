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

// A pool never has more connections than its bound, whoever calls whom; the
// one idle longest makes room, and when none is idle the caller is told so.
func TestPoolBound(t *testing.T) {
	const most = 3
	budget := connlimit.New(most)
	p := NewPool(DialTCP, budget)
	held := func() int {
		_, out := budget.Open()
		return out
	}
	gate := make(chan struct{})
	var mu sync.Mutex
	open, peak := 0, 0
	var hosts []*Host
	began := func() {}
	for i := 0; i < 8; i++ {
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/wait" {
				began()
				<-gate
			}
			w.Write([]byte("{}")) //nolint:errcheck // the peer may be gone
		}))
		s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
			mu.Lock()
			defer mu.Unlock()
			switch st {
			case http.StateNew:
				open++
				peak = max(peak, held())
			case http.StateClosed:
				open--
			}
		}
		s.Start()
		t.Cleanup(s.Close)
		hosts = append(hosts, p.Host(s.Listener.Addr().String(), 1, 1<<10))
	}
	do := func(h *Host, path string) error {
		_, err := h.Do(Request{Method: "GET", Target: path, Timeout: 30 * clock.Second})
		return err
	}
	for round := 0; round < 3; round++ {
		for i, h := range hosts {
			if err := do(h, "/"); err != nil {
				t.Fatalf("host %d: %v", i, err)
			}
			if n := held(); n > most {
				t.Fatalf("%d connections, at most %d are allowed", n, most)
			}
		}
	}
	var wg sync.WaitGroup
	for _, h := range hosts {
		for k := 0; k < 4; k++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := 0; n < 20; n++ {
					if err := do(h, "/"); err != nil && !errors.Is(err, ErrBusy) {
						t.Error(err)
					}
				}
			}()
		}
	}
	wg.Wait()
	if peak > most || held() > most {
		t.Fatalf("%d connections, then %d, at most %d are allowed", peak, held(), most)
	}
	// All in use: the next caller is refused at once and knows it was not sent.
	begun := make(chan struct{}, most)
	began = func() { begun <- struct{}{} }
	for _, h := range hosts[:most] {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := do(h, "/wait"); err != nil {
				t.Error(err)
			}
		}()
	}
	for i := 0; i < most; i++ {
		<-begun
	}
	var se *SendError
	if err := do(hosts[most], "/"); !errors.Is(err, ErrBusy) || !errors.As(err, &se) {
		t.Fatalf("%v", err)
	}
	close(gate)
	wg.Wait()
	for _, h := range hosts {
		h.Close()
	}
	if held() != 0 {
		t.Fatalf("%d connections are left after all were closed", held())
	}
}
