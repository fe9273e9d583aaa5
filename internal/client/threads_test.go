package client

import (
	"net"
	"runtime/pprof"
	"sync"
	"testing"
	"time"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/connlimit"
)

// Requests in flight to hundreds of machines that don't respond must not hold one thread each. The
// platform allows a process 2000 threads.
func TestHungRequestsHoldNoThreads(t *testing.T) {
	const hungCount = 300
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var accepted []net.Conn
	acceptSignals := make(chan struct{}, hungCount)
	go func() {
		for {
			netConn, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			accepted = append(accepted, netConn)
			mu.Unlock()
			acceptSignals <- struct{}{}
		}
	}()
	pool := NewPool(DialTCP, connlimit.New(2*hungCount))
	var wg sync.WaitGroup
	for i := 0; i < hungCount; i++ {
		host := pool.NewHost(listener.Addr().String(), 1, 1<<10)
		wg.Add(1)
		go func() {
			defer wg.Done()
			if _, err := host.Do(Request{Method: "GET", Target: "/status", Timeout: 60 * clock.Second}); err == nil {
				t.Error("a request to a hung machine got a response, want an error")
			}
		}()
	}
	for i := 0; i < hungCount; i++ {
		<-acceptSignals
	}
	time.Sleep(50 * time.Millisecond) // lets all requests reach their reads
	if threadCount := pprof.Lookup("threadcreate").Count(); threadCount > 64 {
		t.Errorf("got %d threads with %d requests to hung machines, want at most 64", threadCount, hungCount)
	}
	listener.Close()
	mu.Lock()
	for _, netConn := range accepted {
		netConn.Close()
	}
	mu.Unlock()
	wg.Wait()
}
