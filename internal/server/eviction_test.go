package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Connections over the limit must be closed at once, and the others served.
func TestConnectionsOverLimitAreClosed(t *testing.T) {
	address, _ := startServer(t, &echoApp{}, 5)
	var netConns []net.Conn
	defer func() {
		for _, netConn := range netConns {
			netConn.Close()
		}
	}()
	closedCount := 0
	for i := 0; i < 12; i++ {
		netConn, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		netConns = append(netConns, netConn)
	}
	for _, netConn := range netConns {
		netConn.SetDeadline(time.Now().Add(20 * time.Second)) //nolint:errcheck // only bounds the test's duration
		io.WriteString(netConn, "GET /up HTTP/1.1\r\n\r\n")   //nolint:errcheck // the server may have closed the connection
		if _, err := http.ReadResponse(bufio.NewReader(netConn), nil); err != nil {
			closedCount++
		}
	}
	if closedCount < 7 || closedCount > 8 {
		t.Fatalf("got %d of 12 connections closed with a limit of 5, want 7 or 8", closedCount)
	}
}

// A flood of connections that send no request must not displace workers. At the limit the server closes
// those connections once their grace period is over. Workers keep their connections, and a new worker or
// probe is admitted.
func TestWorkerConnectionsSurviveFlood(t *testing.T) {
	const workers, limit = 20, 32
	address, _ := startServer(t, &echoApp{}, limit)
	dial := func() net.Conn {
		netConn, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { netConn.Close() })
		if err := netConn.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
			t.Fatal(err)
		}
		return netConn
	}
	sendRequest := func(netConn net.Conn, path, body string) error {
		method := "GET"
		if body != "" {
			method = "POST"
		}
		if _, err := fmt.Fprintf(netConn, "%s %s HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body); err != nil {
			return err
		}
		httpResponse, err := http.ReadResponse(bufio.NewReader(netConn), nil)
		if err == nil {
			httpResponse.Body.Close()
		}
		return err
	}
	sendHeartbeat := func(netConn net.Conn) error {
		return sendRequest(netConn, "/checkin", `{"box":"i-1","shift":1,"tick":1}`)
	}
	var workerConns []net.Conn
	for i := 0; i < workers; i++ {
		netConn := dial()
		if err := sendHeartbeat(netConn); err != nil {
			t.Fatalf("first heartbeat of worker %d: %v", i, err)
		}
		workerConns = append(workerConns, netConn)
	}
	for round := 0; round < 3; round++ {
		for i := 0; i < 2*limit; i++ {
			dial() // sends no request
		}
		time.Sleep(evictionGrace.Duration() + 100*time.Millisecond)
		if err := sendRequest(dial(), "/up", ""); err != nil {
			t.Fatalf("round %d: request of a new probe at the limit: %v", round, err)
		}
		if netConn := dial(); len(workerConns) < limit-8 {
			if err := sendHeartbeat(netConn); err != nil {
				t.Fatalf("round %d: first heartbeat of a new worker at the limit: %v", round, err)
			}
			workerConns = append(workerConns, netConn)
		}
		for i, netConn := range workerConns {
			if err := sendHeartbeat(netConn); err != nil {
				t.Fatalf("round %d: heartbeat of worker %d on its existing connection: %v", round, i, err)
			}
		}
	}
}
