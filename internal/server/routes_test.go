package server

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/evio"

	"firwood.dev/firwood/internal/connlimit"
)

// Each route and each kind of malformed request must get its expected status. Garbage on either port must end
// only the connection that sent it.
func TestRoutesAndMalformedInputGetExpectedStatus(t *testing.T) {
	address, peerAddress := startServer(t, &echoApp{replyDeadline: 1}, 100)
	post := func(path, body string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	}
	for _, c := range []struct {
		input  string
		status int
	}{
		{"GET /up HTTP/1.1\r\n\r\n", 200},
		{"POST /up HTTP/1.1\r\n\r\n", 405},
		{"GET /nowhere HTTP/1.1\r\n\r\n", 404},
		{"GET /metrics HTTP/1.1\r\n\r\n", 200},
		{"GET /metrics?name[]=up HTTP/1.1\r\n\r\n", 200},
		{"POST /metrics HTTP/1.1\r\n\r\n", 405},
		{"GET /metrics/x HTTP/1.1\r\n\r\n", 404},
		{"GET /api/jobs/req-000001 HTTP/1.1\r\n\r\n", 200},
		{"GET /api/jobs/x HTTP/1.1\r\n\r\n", 404},
		{"DELETE /api/jobs/req-000001 HTTP/1.1\r\n\r\n", 405},
		{post("/api/jobs/req-000001/withdraw", "{}"), 503},
		{post("/api/jobs", "{"), 400},
		{post("/api/jobs", "[]"), 400},
		{post("/checkin", "{}"), 400},
		{post("/checkin", `{"box":"i-1","tick":18446744073709551616}`), 400},
		// The reply's deadline has passed when the event loop takes the reply.
		{post("/checkin", `{"box":"i-1"}`), 503},
		{"POST /api/jobs HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413},
		{"GET /up HTTP/1.1\r\nA: " + strings.Repeat("a", 9000), 431},
		{"nonsense\r\n\r\n", 400},
		{"POST /api/jobs HTTP/1.1\r\nContent-Length: 10\r\n\r\n{", 0}, // the body never ends
	} {
		if got := statusOf(t, address, c.input); got != c.status {
			t.Errorf("status of %.50q: got %d, want %d", c.input, got, c.status)
		}
	}
	rng := rand.New(rand.NewPCG(8, 8))
	for i := 0; i < 60; i++ {
		garbage := make([]byte, 1+rng.IntN(400))
		for offset := range garbage {
			garbage[offset] = byte(rng.Uint32())
		}
		for _, target := range []string{address, peerAddress} {
			netConn, err := net.Dial("tcp4", target)
			if err != nil {
				t.Fatal(err)
			}
			netConn.Write(garbage) //nolint:errcheck // the server may close the connection early
			netConn.Close()
		}
	}
	if got := statusOf(t, address, "GET /up HTTP/1.1\r\n\r\n"); got != 200 {
		t.Fatalf("status of GET /up after the garbage: got %d, want 200", got)
	}
}

// Requests that are sent one after the other, each after the reply to the one before, must be answered in
// order. Pipelined requests, which the protocol does not use, must get one reply and a close, and never the
// reply to another request.
func TestPipelinedRequestsGetOneReply(t *testing.T) {
	address, _ := startServer(t, &echoApp{}, 100)
	dial := func() (net.Conn, *bufio.Reader) {
		netConn, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		if err := netConn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		return netConn, bufio.NewReader(netConn)
	}
	readReply := func(reader *bufio.Reader) (string, bool, error) {
		httpResponse, err := http.ReadResponse(reader, nil)
		if err != nil {
			return "", false, err
		}
		body, err := io.ReadAll(httpResponse.Body)
		return string(body), httpResponse.Close, err
	}
	showRequest := func(i int) string { return fmt.Sprintf("GET /api/jobs/req-%06d HTTP/1.1\r\n\r\n", i) }

	netConn, reader := dial()
	defer netConn.Close()
	for i := 0; i < 200; i++ {
		if _, err := io.WriteString(netConn, showRequest(i)); err != nil {
			t.Fatal(err)
		}
		if body, _, err := readReply(reader); err != nil || body != fmt.Sprintf(`"req-%06d"`, i) {
			t.Fatalf("reply %d: got body %s, error %v, want the ID of its own request", i, body, err)
		}
	}

	for _, firstRequest := range []string{showRequest(0), "GET /api/jobs/req-000000/withdraw HTTP/1.1\r\n\r\n"} {
		netConn, reader = dial()
		defer netConn.Close()
		if _, err := io.WriteString(netConn, firstRequest+showRequest(1)+showRequest(2)); err != nil {
			t.Fatal(err)
		}
		body, isClosing, err := readReply(reader)
		if err != nil || !isClosing || strings.Contains(body, "req-000001") {
			t.Fatalf("reply to the first of three pipelined requests: got body %s, close %v, error %v, want the first reply with a close", body, isClosing, err)
		}
		if body, _, err := readReply(reader); err == nil {
			t.Fatalf("got a second reply to pipelined requests, want a closed connection: %s", body)
		}
	}
}

// A reply that was sent synchronously is written at once, but its wake arrives later. If handleData has decided
// to close the connection by then, the wake must not cause another reply.
func TestWakeAfterCloseSendsNothing(t *testing.T) {
	server := New(Config{Limiter: connlimit.New(10)}, &echoApp{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	conn := &fakeConn{}
	if _, _, action := server.handleOpened(conn); action != evio.None {
		t.Fatal("handleOpened closed the first connection, want it admitted")
	}
	cancelRequest := "POST /api/jobs/req-000001/withdraw HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
	output, action := server.handleData(conn, []byte(cancelRequest+cancelRequest+cancelRequest))
	if action != evio.Close || strings.Count(string(output), "HTTP/1.1 503") != 1 {
		t.Fatalf("three pipelined requests: got output %q, action %v, want one 503 and a close", output, action)
	}
	for i := 0; i < 3; i++ {
		if output, action := server.handleData(conn, nil); len(output) > 0 || action != evio.Close {
			t.Fatalf("wake %d: got output %q, action %v, want no output and a close", i, output, action)
		}
	}
	if conn.wakeCount != 1 {
		t.Fatalf("got %d processed requests, want 1", conn.wakeCount)
	}
}

// Metrics must have the media type of text, while all other replies are JSON.
func TestMetricsAreText(t *testing.T) {
	address, _ := startServer(t, &echoApp{}, 100)
	for path, want := range map[string]string{"/metrics": "text/plain; version=0.0.4", "/up": "application/json"} {
		response, err := http.Get("http://" + address + path)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if got := response.Header.Get("Content-Type"); got != want || response.StatusCode != 200 {
			t.Errorf("GET %s: got status %d, Content-Type %q, want 200 and the media type of its route", path, response.StatusCode, got)
		}
	}
}
