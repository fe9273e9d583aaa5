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

// Hundreds of machines that don't respond, each with a request in flight, don't hold a thread each.
// The platform allows a process 2000 threads.
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
				t.Error("a hung machine answers")
			}
		}()
	}
	for i := 0; i < hungCount; i++ {
		<-acceptSignals
	}
	time.Sleep(50 * time.Millisecond) // let the requests reach their reads
	if threadCount := pprof.Lookup("threadcreate").Count(); threadCount > 64 {
		t.Errorf("%d threads for %d hung machines", threadCount, hungCount)
	}
	listener.Close()
	mu.Lock()
	for _, netConn := range accepted {
		netConn.Close()
	}
	mu.Unlock()
	wg.Wait()
}
