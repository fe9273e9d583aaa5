package e2e

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/internal/http1"
	"firwood.dev/firwood/internal/protocoltest"
	"firwood.dev/firwood/wire"
)

const lease = 6 * time.Second

type node struct {
	name, serve, peer, file string
	settings                string // the operators' file, if any
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
	if n.settings != "" {
		n.cmd.Args = append(n.cmd.Args, "--settings", n.settings)
	}
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

// cancellation is how long tasks of a cancelled job may stay.
const cancellation = 15 * time.Second

// deployment is three controllers and the outside; a checker sees what users and
// workers see.
type deployment struct {
	dir     string
	names   []string
	nodes   map[string]*node
	state   *fake.State
	cloud   *fake.Cloud
	checker *protocoltest.Checker
}

// build builds the program; of a revision in the repository's history, if one is given.
func build(t *testing.T, revision string) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "firwood")
	command := exec.Command("go", "build", "-o", program, "firwood.dev/firwood/cmd/firwood")
	if revision != "" {
		sources := t.TempDir()
		checkOut := exec.Command("sh", "-c", `git archive "$1" go.mod go.sum cmd internal wire | tar -x -C "$2"`, "sh", revision, sources)
		checkOut.Dir = filepath.Join("..", "..")
		if out, err := checkOut.CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		command.Dir = sources
	}
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// deploy starts the outside and writes the controllers' settings.
func deploy(t *testing.T, lease time.Duration) *deployment {
	t.Helper()
	d := &deployment{dir: t.TempDir(), names: []string{"n0", "n1", "n2"}, nodes: map[string]*node{}}
	var stop func()
	d.state, stop = fake.NewState()
	t.Cleanup(stop)
	addresses := map[string]string{}
	for _, name := range d.names {
		d.nodes[name] = &node{name: name, serve: freePort(t), peer: freePort(t), file: filepath.Join(d.dir, name+".json")}
		addresses[name] = d.nodes[name].serve
	}
	d.checker = protocoltest.New(protocoltest.Config{Cancellation: cancellation})
	d.cloud, stop = fake.NewCloudOn(fake.CloudConfig{
		Network: fake.Loopback{}, Names: d.names, Controllers: addresses,
		Types:  []wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 32, FetchGBPerSecond: 1, OnDemandPrice: 1, SpotPrice: 0.5, BootSeconds: 1, Zones: []string{"x", "y"}}},
		RunFor: d.runFor, Lease: lease, ReportEvery: 300 * time.Millisecond, Observer: d.checker,
	})
	t.Cleanup(stop)
	for _, name := range d.names {
		d.configure(t, d.nodes[name], lease)
	}
	return d
}

// runFor is how long a task runs: a service's until it is stopped.
func (d *deployment) runFor(task string) time.Duration {
	id, _, _ := wire.ParseTaskID(task)
	if d.checker.IsService(id) {
		return 0
	}
	return 500 * time.Millisecond
}

func (d *deployment) configure(t *testing.T, n *node, lease time.Duration) {
	t.Helper()
	p := config.Platform{Member: n.name, Location: "x", ListenAddress: n.serve, PeerListenAddress: n.peer}
	for _, name := range d.names {
		if name != n.name {
			p.Peers = append(p.Peers, config.Peer{Member: name, Location: "x", Address: d.nodes[name].peer})
		}
	}
	p.External = config.ExternalServices{CloudAddress: d.cloud.Addr, StoreAddress: d.state.Addr}
	p.Deployment = config.Deployment{
		ControllerCount: len(d.names), Zones: []string{"x", "y"}, Teams: []config.Team{{Name: "a"}},
		Workers: config.WorkerTimings{HeartbeatIntervalSeconds: 0.3, LeaseSeconds: lease.Seconds(), GangStartTimeoutSeconds: 10, GangPeerTimeoutSeconds: 2, CancelTimeoutSeconds: cancellation.Seconds()},
		Store:   config.StoreLimits{RPS: 500, WriteRPS: 200, MaxValueKB: 8, MaxTransactionOps: 24}, Cloud: config.Cloud{RPS: 20, ListLagSeconds: 0.2},
		ProcessLimits: config.ProcessLimits{Cores: 1, MemoryMB: 200, MaxSockets: 500}, ClockErrorMillis: 5,
	}
	text, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(n.file, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// startAll starts every controller, and ends all at the end of the test.
func (d *deployment) startAll(t *testing.T, program string) {
	t.Helper()
	for _, name := range d.names {
		n := d.nodes[name]
		log, err := os.Create(filepath.Join(d.dir, name+".log"))
		if err != nil {
			t.Fatal(err)
		}
		n.log = log
		n.start(t, program)
	}
	t.Cleanup(func() {
		for _, n := range d.nodes {
			n.kill(t)
			if t.Failed() {
				t.Logf("%s:\n%s", n.name, n.said(t))
			}
			n.log.Close()
		}
	})
}

// restart ends a controller without a word and starts it again, as some version.
func (d *deployment) restart(t *testing.T, name, program string) {
	t.Helper()
	d.nodes[name].kill(t)
	d.nodes[name].start(t, program)
}

// submitter submits jobs, until they are accepted.
func (d *deployment) submitter(t *testing.T) func(n *node, id, kind string, tasks int, awaits ...string) {
	return func(n *node, id, kind string, tasks int, awaits ...string) {
		t.Helper()
		job := &wire.Job{
			ID: id, Class: "c", Team: "a", Kind: kind, Priority: "standard", TaskCount: tasks, CPUs: 2, MemoryGB: 1, Image: "img", ImageSizeGB: 0.1,
			SpreadZones: kind == wire.KindService, EstimatedRunSeconds: 1, DependsOn: awaits,
		}
		body, err := job.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		d.checker.Submitted(job)
		until(t, id+" accepted", func() bool {
			asked := time.Now()
			m := ask(n, "POST", "/api/jobs", body)
			if m.Status != 201 && m.Status != 200 {
				return false
			}
			d.told(id, m, asked)
			return true
		})
	}
}

func (d *deployment) told(id string, m *http1.Message, asked time.Time) string {
	var s wire.JobStatus
	if m.Status/100 != 2 || s.UnmarshalJSON(m.Body) != nil {
		return ""
	}
	d.checker.Told(id, s.State, asked)
	return s.State
}

// stager asks a controller about a job, once.
func (d *deployment) stager(t *testing.T) func(n *node, id string) string {
	return func(n *node, id string) string {
		asked := time.Now()
		m := ask(n, "GET", "/api/jobs/"+id, nil)
		if m.Status == 404 {
			t.Errorf("%s is forgotten by %s", id, n.name)
		}
		return d.told(id, m, asked)
	}
}

// waiter waits until a controller calls a job so.
func (d *deployment) waiter(t *testing.T) func(n *node, id, want string) {
	stage := d.stager(t)
	return func(n *node, id, want string) {
		t.Helper()
		until(t, fmt.Sprintf("%s is %s at %s", id, want, n.name), func() bool { return stage(n, id) == want })
	}
}

// cancel cancels a job.
func (d *deployment) cancel(t *testing.T, n *node, id string) {
	t.Helper()
	d.checker.CancelAsked(id)
	until(t, id+" is cancelled", func() bool {
		asked := time.Now()
		return d.told(id, ask(n, "POST", "/api/jobs/"+id+"/withdraw", nil), asked) == wire.JobCancelled
	})
}

// check fails the test if a rule was broken, or fewer tasks were started than expected.
func (d *deployment) check(t *testing.T, leastStarts int) {
	t.Helper()
	broken, starts := d.cloud.Broken()
	if len(broken) > 0 || starts < leastStarts {
		t.Errorf("%d starts, broken: %v", starts, broken)
	}
	for _, v := range d.checker.Violations() {
		t.Errorf("%s: %s", v.Rule, v.Detail)
	}
}
