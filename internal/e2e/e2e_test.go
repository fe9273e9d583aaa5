// Package e2e holds the end-to-end test: three controllers as real processes
// on loopback, against our own stand-ins of the outside.
package e2e

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/http1"
	"firwood.dev/firwood/internal/standin"
	"firwood.dev/firwood/wire"
)

const lease = 6 * time.Second

type node struct {
	name, serve, peer, file string
	cmd                     *exec.Cmd
	log                     *os.File // what it writes to standard error, over all its lives
}

func freePort(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (n *node) start(t *testing.T, program string) {
	t.Helper()
	n.cmd = exec.Command(program, "--config", n.file)
	n.cmd.Stderr = n.log
	if err := n.cmd.Start(); err != nil {
		t.Fatal(err)
	}
}

func (n *node) kill(t *testing.T) {
	t.Helper()
	if err := n.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	n.cmd.Wait() //nolint:errcheck // killed
}

func (n *node) said(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile(n.log.Name())
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func ask(n *node, method, target string, body []byte) *http1.Message {
	h := client.NewHost(client.DialTCP, n.serve, 0, 1<<20)
	m, err := h.Do(client.Request{Method: method, Target: target, Body: body, Timeout: 3 * clock.Second})
	if err != nil {
		return &http1.Message{}
	}
	return m
}

// until waits for a condition; the bound only ends a test that is broken.
func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(90 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

func TestThreeControllers(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "firwood")
	if out, err := exec.Command("go", "build", "-o", program, "firwood.dev/firwood/cmd/firwood").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	state, stop := standin.NewState()
	defer stop()
	names := []string{"n0", "n1", "n2"}
	nodes := map[string]*node{}
	addrs := map[string]string{}
	for _, n := range names {
		nodes[n] = &node{name: n, serve: freePort(t), peer: freePort(t), file: filepath.Join(dir, n+".json")}
		addrs[n] = nodes[n].serve
	}
	types := []wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, Price: 1, SpotPrice: 0.5, BootS: 1, Zones: []string{"x", "y"}}}
	cloud, stopCloud := standin.NewCloud(names, addrs, types, 500*time.Millisecond, lease)
	defer stopCloud()
	for i, n := range names {
		var others []string
		for _, o := range names {
			if o != n {
				others = append(others, fmt.Sprintf(`{"member":%q,"location":"x","address":%q}`, o, nodes[o].peer))
			}
		}
		text := fmt.Sprintf(`{"member":%q,"location":"x","serve_on":%q,"peer_bind":%q,"others":[%s],"outside":{"cloud":%q,"state":%q},
		"deployment":{"nodes":3,"zones":["x","y"],"teams":[{"name":"a","cpus":0,"cpus_max":0,"gpus":0,"gpus_max":0}],"objectives":[],
		"workers":{"report_s":0.3,"lease_s":%g,"gang_wait_s":10,"gang_peer_s":2,"cancel_s":15},
		"state":{"rps":500,"write_rps":200,"value_kb":8,"txn_ops":24},"cloud":{"rps":20,"list_lag_s":0.2},
		"limits":{"cores":1,"ram_mb":200,"max_sockets":500},"clock_error_ms":5}}`,
			n, nodes[n].serve, nodes[n].peer, strings.Join(others, ","), cloud.Addr, state.Addr, lease.Seconds())
		if err := os.WriteFile(nodes[names[i]].file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		log, err := os.Create(filepath.Join(dir, n+".log"))
		if err != nil {
			t.Fatal(err)
		}
		defer log.Close()
		nodes[n].log = log
		nodes[n].start(t, program)
	}
	defer func() {
		for _, n := range nodes {
			n.kill(t)
			if t.Failed() {
				t.Logf("%s:\n%s", n.name, n.said(t))
			}
		}
	}()
	submit := func(n *node, id string, kind string, tasks int) {
		t.Helper()
		b, err := json.Marshal(map[string]any{"nameId": id, "lot": "c", "crew": "a", "shape": kind, "rank": "standard", "pieces": tasks,
			"cores": 2, "gpus": 0, "ramGb": 1, "bundle": "img", "pullGb": 0.1, "oneZone": false, "spread": kind == wire.KindService,
			"loaners": false, "guessS": 1, "markS": 0, "stashS": 0})
		if err != nil {
			t.Fatal(err)
		}
		until(t, id+" accepted", func() bool {
			s := ask(n, "POST", "/api/jobs", b).Status
			return s == 201 || s == 200
		})
	}
	stage := func(n *node, id string) string {
		m := ask(n, "GET", "/api/jobs/"+id, nil)
		var s wire.JobStatus
		if m.Status == 404 {
			t.Errorf("%s is forgotten by %s", id, n.name)
		}
		if m.Status != 200 || s.UnmarshalJSON(m.Body) != nil {
			return ""
		}
		return s.State
	}
	is := func(n *node, id, want string) {
		t.Helper()
		until(t, fmt.Sprintf("%s is %s at %s", id, want, n.name), func() bool { return stage(n, id) == want })
	}

	// The usual way: an array, a gang, a service, asked for and shown by
	// different nodes.
	submit(nodes["n0"], "req-000001", wire.KindArray, 7)
	submit(nodes["n1"], "req-000002", wire.KindGang, 3)
	submit(nodes["n2"], "req-000003", wire.KindService, 2)
	is(nodes["n1"], "req-000001", wire.JobDone)
	is(nodes["n2"], "req-000002", wire.JobDone)
	is(nodes["n0"], "req-000003", wire.JobRunning)
	if m := ask(nodes["n0"], "GET", "/api/jobs/req-999999", nil); m.Status != 404 {
		t.Errorf("a job that nobody submitted: %d", m.Status)
	}
	for _, c := range []struct {
		body   string
		status int
	}{{"{", 400}, {`{"nameId":"req-000009"}`, 400}} {
		if m := ask(nodes["n0"], "POST", "/api/jobs", []byte(c.body)); m.Status != c.status {
			t.Errorf("%s: %d", c.body, m.Status)
		}
	}

	// The leader is killed in the middle of a job, and comes back.
	submit(nodes["n0"], "req-000004", wire.KindArray, 12)
	holder := ""
	for _, n := range names {
		if strings.Contains(nodes[n].said(t), "account rebuilt") {
			holder = n
		}
	}
	if holder == "" {
		t.Fatal("nobody leads")
	}
	nodes[holder].kill(t)
	other := nodes[names[(strings.Index("n0n1n2", holder)/2+1)%3]]
	submit(other, "req-000005", wire.KindArray, 3)
	is(other, "req-000004", wire.JobDone)
	is(other, "req-000005", wire.JobDone)
	nodes[holder].start(t, program)
	is(nodes[holder], "req-000004", wire.JobDone)

	// A machine dies without a word, and its tasks run elsewhere.
	until(t, "a machine dies", cloud.KillOne)
	is(other, "req-000003", wire.JobRunning)

	// An outage of the state service: no false answer, and life after it.
	state.SetDown(true)
	if m := ask(other, "GET", "/api/jobs/req-000003", nil); m.Status == 200 {
		t.Error("an answer that may be old")
	}
	if s := stage(other, "req-000001"); s != wire.JobDone {
		t.Errorf("a final state is not told in an outage: %q", s)
	}
	time.Sleep(500 * time.Millisecond)
	state.SetDown(false)
	submit(other, "req-000006", wire.KindArray, 4)
	is(other, "req-000006", wire.JobDone)

	// All controllers crash together in an outage with work under way, and are back
	// at once; when it ends, one falls again in the middle of the election. Every
	// job that was accepted is known to every node, and comes to its end.
	submit(other, "req-000007", wire.KindArray, 12)
	state.SetDown(true)
	for _, n := range names {
		nodes[n].kill(t)
		nodes[n].start(t, program)
	}
	time.Sleep(300 * time.Millisecond)
	state.SetDown(false)
	nodes["n1"].kill(t)
	nodes["n1"].start(t, program)
	submit(nodes["n2"], "req-000008", wire.KindArray, 3)
	for _, n := range names {
		for _, id := range []string{"req-000001", "req-000002", "req-000004", "req-000005", "req-000006", "req-000007", "req-000008"} {
			is(nodes[n], id, wire.JobDone)
		}
		is(nodes[n], "req-000003", wire.JobRunning)
	}

	// A withdrawal lasts, on every node.
	until(t, "withdrawn", func() bool { return ask(other, "POST", "/api/jobs/req-000003/withdraw", nil).Status == 200 })
	for _, n := range names {
		is(nodes[n], "req-000003", wire.JobAborted)
	}
	// Once its tasks are gone nothing but the end is kept of it.
	until(t, "no progress keys are left", func() bool { return len(state.Keys("firwood/done/")) == 0 })
	broken, starts := cloud.Broken()
	if len(broken) > 0 || starts < 31 {
		t.Errorf("%d starts, broken: %v", starts, broken)
	}
}
