package server

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/tidwall/evio"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/connlimit"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/wire"
)

// echoApp replies with the ID from the request. ShowJob replies from another goroutine.
type echoApp struct {
	replyDeadline     clock.Micros
	oversizedMachines chan string // receives the machines of oversized heartbeats
}

func (app *echoApp) SubmitJob(job *wire.Job, reply *Reply) {
	reply.Send(201, []byte(`"`+job.ID+`"`), 0)
}
func (app *echoApp) ShowJob(id string, reply *Reply) {
	go reply.Send(200, []byte(`"`+id+`"`), 0)
}
func (app *echoApp) CancelJob(id string, reply *Reply) { reply.Send(503, ErrorBody("later"), 3) }
func (app *echoApp) HandleHeartbeat(_ *wire.Heartbeat, reply *Reply) {
	reply.SendBefore(200, []byte(`{}`), 0, app.replyDeadline)
}
func (app *echoApp) RecordOversizedHeartbeat(machine string, _ int) {
	select {
	case app.oversizedMachines <- machine:
	default:
	}
}
func (app *echoApp) IsHealthy() bool                { return true }
func (app *echoApp) SendJobReport(reply *Reply)     { reply.Send(200, []byte(`{}`), 0) }
func (app *echoApp) SendStandbyStatus(reply *Reply) { reply.Send(200, []byte(`{}`), 0) }
func (app *echoApp) SendMetrics(reply *Reply) {
	reply.SendText("text/plain; version=0.0.4", []byte("up 1\n"))
}
func (app *echoApp) HandlePeerHeartbeat(*peer.Heartbeat) {}

// startServer starts a server with a connection limit and returns its serve address and peer address.
func startServer(t *testing.T, app App, limit int) (string, string) {
	t.Helper()
	freeAddress := func() string {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		return listener.Addr().String()
	}
	cfg := Config{ServeAddress: freeAddress(), PeerAddress: freeAddress(), Limiter: connlimit.New(limit), IdleTimeout: 60 * clock.Second, ReadTimeout: clock.Second, WorkerLeaseTTL: 60 * clock.Second}
	server := New(cfg, app, slog.New(slog.NewTextHandler(io.Discard, nil)))
	go server.Run() //nolint:errcheck // runs until the test process ends
	for i := 0; i < 200; i++ {
		if netConn, err := net.Dial("tcp4", cfg.ServeAddress); err == nil {
			netConn.Close()
			return cfg.ServeAddress, cfg.PeerAddress
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("got no connection to the serve address within 200 attempts, want a listening server")
	return "", ""
}

// statusOf sends input to a server and returns the status of the first response, or 0 if the server
// closed the connection without a response.
func statusOf(t *testing.T, address, input string) int {
	t.Helper()
	netConn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer netConn.Close()
	if err := netConn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	io.WriteString(netConn, input) //nolint:errcheck // the server may close the connection early
	httpResponse, err := http.ReadResponse(bufio.NewReader(netConn), nil)
	if err != nil {
		return 0
	}
	httpResponse.Body.Close()
	return httpResponse.StatusCode
}

// fakeConn is a connection that only counts its wakes. The test itself calls handleData for them.
type fakeConn struct {
	evio.Conn
	context   any
	wakeCount int
}

func (fake *fakeConn) Context() any     { return fake.context }
func (fake *fakeConn) SetContext(v any) { fake.context = v }
func (fake *fakeConn) AddrIndex() int   { return 0 }
func (fake *fakeConn) Wake()            { fake.wakeCount++ }
