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

// Connections over the limit are closed at once; the others are served.
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
		netConn.SetDeadline(time.Now().Add(20 * time.Second)) //nolint:errcheck // a bound of the test
		io.WriteString(netConn, "GET /up HTTP/1.1\r\n\r\n")   //nolint:errcheck // may be closed
		if _, err := http.ReadResponse(bufio.NewReader(netConn), nil); err != nil {
			closedCount++
		}
	}
	if closedCount < 7 || closedCount > 8 {
		t.Fatalf("%d of 12 connections were closed with a limit of 5", closedCount)
	}
}

// At the limit, connections without a request are closed, once the grace for them is over; those of
// workers stay, and a new worker or probe is admitted.
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
			t.Fatalf("worker %d: %v", i, err)
		}
		workerConns = append(workerConns, netConn)
	}
	for round := 0; round < 3; round++ {
		for i := 0; i < 2*limit; i++ {
			dial() // without a request
		}
		time.Sleep(evictionGrace.Duration() + 100*time.Millisecond)
		if err := sendRequest(dial(), "/up", ""); err != nil {
			t.Fatalf("round %d: a probe finds no room: %v", round, err)
		}
		if netConn := dial(); len(workerConns) < limit-8 {
			if err := sendHeartbeat(netConn); err != nil {
				t.Fatalf("round %d: a new worker finds no room: %v", round, err)
			}
			workerConns = append(workerConns, netConn)
		}
		for i, netConn := range workerConns {
			if err := sendHeartbeat(netConn); err != nil {
				t.Fatalf("round %d: worker %d has lost its connection: %v", round, i, err)
			}
		}
	}
}
