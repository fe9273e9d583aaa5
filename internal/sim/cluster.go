// Package sim runs whole controllers in simulated time against the stand-ins of
// package fake, over a network in memory. It is for tests inside a bubble of
// testing/synctest: time passes only when everything waits, so minutes take a
// moment, and no test depends on how busy the machine is.
package sim

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/controller"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/protocoltest"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// standbyInAll plays every test with copies of the leader's account.
var standbyInAll = flag.Bool("standby", false, "have controllers keep copies of the leader's account in every test")

// Options say what a deployment is like; times not set have defaults.
type Options struct {
	Nodes int
	Zones []string
	Teams []config.Team
	// Lease, Cancellation and ReportEvery are the workers' times.
	Lease, Cancellation, ReportEvery time.Duration
	// RunFor is how long a task runs, Boot how long a machine takes to come up.
	RunFor, Boot time.Duration
	// Apart, if set, is by how much longer each next task of a job runs.
	Apart time.Duration
	// WriteRPS is the state service's rate of changes.
	WriteRPS float64
	// CloudRPS is the cloud's rate of requests, Sockets the limit of connections of a
	// controller.
	CloudRPS float64
	Sockets  int
	// Next are the limits of the state service to come.
	Next *config.UpcomingStoreLimits
	// Standby has controllers keep copies of the leader's account, but for those named in
	// WithoutStandby.
	Standby        bool
	WithoutStandby []string
	// FinishedJobs, if set, is how many finished jobs a controller remembers.
	FinishedJobs int
	// ArchiveAfter, if set, is after how long finished jobs are archived; WithoutArchive are
	// controllers that move them back when they lead.
	ArchiveAfter   time.Duration
	WithoutArchive []string
	// Log, if set, gets what controllers log.
	Log *slog.Logger
}

func (o *Options) setDefaults() {
	if o.Nodes == 0 {
		o.Nodes = 3
	}
	if o.Zones == nil {
		o.Zones = []string{"x", "y"}
	}
	if o.Teams == nil {
		o.Teams = []config.Team{{Name: "a"}, {Name: "b", MaxCPUs: 16}}
	}
	defaultTo(&o.Lease, 36*time.Second)
	defaultTo(&o.Cancellation, 66*time.Second)
	defaultTo(&o.ReportEvery, 3*time.Second)
	defaultTo(&o.RunFor, 20*time.Second)
	defaultTo(&o.Boot, 2*time.Second)
	defaultTo(&o.WriteRPS, 80)
	defaultTo(&o.CloudRPS, 10)
	defaultTo(&o.Sockets, 900)
	o.Standby = o.Standby || *standbyInAll
}

func defaultTo[T comparable](option *T, value T) {
	var unset T
	if *option == unset {
		*option = value
	}
}

const (
	servePort = 8080
	peerPort  = 8081
	userHost  = "user"
	typeName  = "m"
)

// Cluster is a deployment: controllers, the outside, and a checker of the rules.
type Cluster struct {
	t       testing.TB
	options Options

	Network *fake.Memory
	State   *fake.State
	Cloud   *fake.Cloud
	Checker *protocoltest.Checker

	nodes     []*node
	lives     sync.Mutex // guards the lives of nodes
	stopState func()
	stopCloud func()
}

// node is a controller over all its lives.
type node struct {
	name string
	cfg  *config.Platform
	// app is the present life, nil while there is none.
	app  *controller.Controller
	end  context.CancelFunc
	stop []func()
}

// Run plays a test with a cluster that is up, and ends it.
func Run(t *testing.T, options Options, play func(c *Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		clock.ResetOrigin()
		c := start(t, options)
		defer c.close()
		c.Until("a leader is elected", 30*time.Second, func() bool { return c.Leader() != "" })
		play(c)
		c.Check()
	})
}

func start(t testing.TB, options Options) *Cluster {
	options.setDefaults()
	c := &Cluster{t: t, options: options, Network: fake.NewMemory()}
	limits := map[string]protocoltest.Limit{}
	for _, team := range options.Teams {
		limits[team.Name] = protocoltest.Limit{CPUs: team.MaxCPUs, GPUs: team.MaxGPUs}
	}
	c.Checker = protocoltest.New(protocoltest.Config{Cancellation: options.Cancellation, Limits: limits})
	c.State, c.stopState = fake.NewStateOn(c.Network)
	names, addresses := []string{}, map[string]string{}
	for i := range options.Nodes {
		name := fmt.Sprintf("n%d", i)
		names = append(names, name)
		addresses[name] = fmt.Sprintf("%s:%d", name, servePort)
		c.nodes = append(c.nodes, &node{name: name})
	}
	c.Cloud, c.stopCloud = fake.NewCloudOn(fake.CloudConfig{
		Network: c.Network, Names: names, Controllers: addresses,
		Types:  []wire.MachineType{{Name: typeName, CPUs: 8, MemoryGB: 32, FetchGBPerSecond: 1, OnDemandPrice: 1, SpotPrice: 0.5, BootSeconds: options.Boot.Seconds(), Zones: options.Zones}},
		RunFor: c.runFor, Lease: options.Lease, ReportEvery: options.ReportEvery, Boot: options.Boot,
		Observer: c.Checker,
	})
	for _, n := range c.nodes {
		n.cfg = c.platform(n.name)
		c.Start(n.name)
	}
	return c
}

// runFor is how long a task runs: a service's until it is stopped.
func (c *Cluster) runFor(task string) time.Duration {
	id, index, _ := wire.ParseTaskID(task)
	if c.Checker.IsService(id) {
		return 0
	}
	return c.options.RunFor + time.Duration(index)*c.options.Apart
}

func (c *Cluster) platform(name string) *config.Platform {
	p := &config.Platform{Member: name}
	for i, n := range c.nodes {
		location := c.options.Zones[i%len(c.options.Zones)]
		if n.name == name {
			p.Location = location
			continue
		}
		p.Peers = append(p.Peers, config.Peer{Member: n.name, Location: location, Address: fmt.Sprintf("%s:%d", n.name, peerPort)})
	}
	p.External = config.ExternalServices{CloudAddress: c.Cloud.Addr, StoreAddress: c.State.Addr}
	d := &p.Deployment
	d.ControllerCount, d.Zones, d.Teams = len(c.nodes), c.options.Zones, c.options.Teams
	d.Workers = config.WorkerTimings{
		HeartbeatIntervalSeconds: c.options.ReportEvery.Seconds(), LeaseSeconds: c.options.Lease.Seconds(),
		GangStartTimeoutSeconds: 30, GangPeerTimeoutSeconds: 8, CancelTimeoutSeconds: c.options.Cancellation.Seconds(),
	}
	d.Store = config.StoreLimits{RPS: 200, WriteRPS: c.options.WriteRPS, MaxValueKB: 8, MaxTransactionOps: 24, Upcoming: c.options.Next}
	d.Cloud = config.Cloud{RPS: c.options.CloudRPS, ListLagSeconds: 1}
	d.ProcessLimits = config.ProcessLimits{Cores: 1, MemoryMB: 200, MaxSockets: c.options.Sockets}
	d.ClockErrorMillis = 5
	return p
}

func (c *Cluster) close() {
	c.Network.HealAll()
	for _, n := range c.nodes {
		c.Crash(n.name)
	}
	c.stopCloud()
	c.stopState()
	for _, host := range append(c.Cloud.Machines(), fake.StateHost, fake.CloudHost, userHost) {
		c.Network.Down(host)
	}
	// What still waits for answers gives up.
	time.Sleep(time.Minute)
}

func (c *Cluster) node(name string) *node {
	for _, n := range c.nodes {
		if n.name == name {
			return n
		}
	}
	c.t.Fatalf("no node %q", name)
	return nil
}

// life is the present life of a controller, nil if there is none.
func (c *Cluster) life(n *node) *controller.Controller {
	c.lives.Lock()
	defer c.lives.Unlock()
	return n.app
}

// Nodes are the names of the controllers.
func (c *Cluster) Nodes() []string {
	var names []string
	for _, n := range c.nodes {
		names = append(names, n.name)
	}
	return names
}

// Start begins a new life of a controller.
func (c *Cluster) Start(name string) {
	n := c.node(name)
	c.lives.Lock()
	defer c.lives.Unlock()
	if n.app != nil {
		return
	}
	log := c.options.Log
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	dial := func(address string, timeout time.Duration) (net.Conn, error) {
		return c.Network.Dial(name, address, timeout)
	}
	tuning := config.DefaultTuning()
	tuning.Standby.Enabled = c.options.Standby && !slices.Contains(c.options.WithoutStandby, name)
	tuning.FinishedJobs = c.options.FinishedJobs
	if !slices.Contains(c.options.WithoutArchive, name) {
		tuning.ArchiveFinishedAfterS = c.options.ArchiveAfter.Seconds()
	}
	n.app = controller.New(n.cfg, tuning, log.With("member", name), dial)
	ctx, cancel := context.WithCancel(context.Background())
	n.end = cancel
	go n.app.Run(ctx)
	n.stop = []func(){c.serveHTTP(n), c.servePeers(n)}
}

// Crash ends a controller's life without a word.
func (c *Cluster) Crash(name string) {
	n := c.node(name)
	c.lives.Lock()
	defer c.lives.Unlock()
	if n.app == nil {
		return
	}
	n.end()
	for _, stop := range n.stop {
		stop()
	}
	n.app = nil
	c.Network.Down(name)
}

// serveHTTP serves the workers' interface of a controller.
func (c *Cluster) serveHTTP(n *node) (stop func()) {
	l, err := c.Network.ListenAt(n.name, servePort)
	if err != nil {
		c.t.Fatal(err)
	}
	app := n.app
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		report := &wire.Heartbeat{}
		body := http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes)
		if err := decode(body, report); err != nil {
			w.WriteHeader(400)
			return
		}
		answer := ask(func(reply *server.Reply) { app.HandleHeartbeat(report, reply) }, 10*time.Second)
		w.WriteHeader(answer.Status)
		w.Write(answer.Body) //nolint:errcheck // the worker may be gone
	})}
	go s.Serve(l) //nolint:errcheck // ends with Close
	return func() { s.Close() }
}

// servePeers takes the messages of other controllers.
func (c *Cluster) servePeers(n *node) (stop func()) {
	l, err := c.Network.ListenAt(n.name, peerPort)
	if err != nil {
		c.t.Fatal(err)
	}
	app := n.app
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go readFrames(conn, app)
		}
	}()
	return func() { l.Close() }
}

func readFrames(conn net.Conn, app *controller.Controller) {
	defer conn.Close()
	var frames peer.FrameReader
	buffer := make([]byte, 32<<10)
	for {
		size, err := conn.Read(buffer)
		if err != nil || frames.Feed(buffer[:size], app.HandlePeerHeartbeat) != nil {
			return
		}
	}
}

// Leader is the controller that answers workers as leader, empty if there is none.
func (c *Cluster) Leader() string {
	for _, n := range c.nodes {
		if app := c.life(n); app != nil && app.IsLeader() {
			return n.name
		}
	}
	return ""
}

// Others are the controllers but one.
func (c *Cluster) Others(name string) []string {
	var names []string
	for _, n := range c.nodes {
		if n.name != name {
			names = append(names, n.name)
		}
	}
	return names
}

// Until waits for a condition, for so long at most.
func (c *Cluster) Until(what string, atMost time.Duration, condition func() bool) {
	c.t.Helper()
	for waited := time.Duration(0); waited < atMost; waited += 50 * time.Millisecond {
		if condition() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("not within %v: %s", atMost, what)
}

// Check fails the test if a rule was broken.
func (c *Cluster) Check() {
	c.t.Helper()
	for _, v := range c.Checker.Violations() {
		c.t.Errorf("%s: %s", v.Rule, v.Detail)
	}
}

// On lists the machines that tasks of a job are on, a machine for each task.
func (c *Cluster) On(job string) []string {
	var machines []string
	for _, line := range c.Cloud.Running() {
		machine, task, _ := strings.Cut(line, " ")
		if strings.HasPrefix(task, job+"/") {
			machines = append(machines, machine)
		}
	}
	return machines
}
