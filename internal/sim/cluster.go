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

// standbyInAllTests plays every test with copies of the leader's account.
var standbyInAllTests = flag.Bool("standby", false, "have controllers keep copies of the leader's account in every test")

// Options say what a deployment is like; times not set have defaults.
type Options struct {
	MemberCount int
	Zones       []string
	Teams       []config.Team
	// LeaseTTL, Cancellation and HeartbeatInterval are the workers' times.
	LeaseTTL, CancellationGrace, HeartbeatInterval time.Duration
	// TaskDuration is how long a task runs, Boot how long a machine takes to come up.
	TaskDuration, BootDuration time.Duration
	// TaskDurationStep, if set, is by how much longer each next task of a job runs.
	TaskDurationStep time.Duration
	// WriteRPS is the state service's rate of changes.
	WriteRPS float64
	// CloudRPS is the cloud's rate of requests, Sockets the limit of connections of a
	// controller.
	CloudRPS   float64
	MaxSockets int
	// NextLimits are the limits of the state service to come.
	NextLimits *config.UpcomingStoreLimits
	// Standby has controllers keep copies of the leader's account, but for those named in
	// MembersWithoutStandby.
	Standby               bool
	MembersWithoutStandby []string
	// CachedFinishedJobs, if set, is how many finished jobs a controller remembers.
	CachedFinishedJobs int
	// ArchiveAfter, if set, is after how long finished jobs are archived; MembersWithoutArchive are
	// controllers that move them back when they lead.
	ArchiveAfter          time.Duration
	MembersWithoutArchive []string
	// Logger, if set, gets what controllers log.
	Logger *slog.Logger
}

func (options *Options) setDefaults() {
	if options.MemberCount == 0 {
		options.MemberCount = 3
	}
	if options.Zones == nil {
		options.Zones = []string{"x", "y"}
	}
	if options.Teams == nil {
		options.Teams = []config.Team{{Name: "a"}, {Name: "b", MaxCPUs: 16}}
	}
	defaultTo(&options.LeaseTTL, 36*time.Second)
	defaultTo(&options.CancellationGrace, 66*time.Second)
	defaultTo(&options.HeartbeatInterval, 3*time.Second)
	defaultTo(&options.TaskDuration, 20*time.Second)
	defaultTo(&options.BootDuration, 2*time.Second)
	defaultTo(&options.WriteRPS, 80)
	defaultTo(&options.CloudRPS, 10)
	defaultTo(&options.MaxSockets, 900)
	options.Standby = options.Standby || *standbyInAllTests
}

func defaultTo[T comparable](setting *T, value T) {
	var unset T
	if *setting == unset {
		*setting = value
	}
}

const (
	servePort       = 8080
	peerPort        = 8081
	userHost        = "user"
	machineTypeName = "m"
)

// Cluster is a deployment: controllers, the outside, and a checker of the rules.
type Cluster struct {
	t       testing.TB
	options Options

	Network *fake.MemoryNetwork
	Store   *fake.Store
	Cloud   *fake.Cloud
	Checker *protocoltest.Checker

	members     []*clusterMember
	instancesMu sync.Mutex // guards the lives of nodes
	stopStore   func()
	stopCloud   func()
}

// clusterMember is a controller over all its lives.
type clusterMember struct {
	name string
	cfg  *config.Platform
	// instance is the present life, nil while there is none.
	instance    *controller.Controller
	cancelRun   context.CancelFunc
	stopServers []func()
}

// Run plays a test with a cluster that is up, and ends it.
func Run(t *testing.T, options Options, run func(cluster *Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		clock.ResetOrigin()
		cluster := startCluster(t, options)
		defer cluster.close()
		cluster.WaitFor("a leader is elected", 30*time.Second, func() bool { return cluster.Leader() != "" })
		run(cluster)
		cluster.FailOnViolations()
	})
}

func startCluster(t testing.TB, options Options) *Cluster {
	options.setDefaults()
	cluster := &Cluster{t: t, options: options, Network: fake.NewMemoryNetwork()}
	limits := map[string]protocoltest.TeamQuota{}
	for _, team := range options.Teams {
		limits[team.Name] = protocoltest.TeamQuota{CPUs: team.MaxCPUs, GPUs: team.MaxGPUs}
	}
	cluster.Checker = protocoltest.New(protocoltest.Config{CancellationGrace: options.CancellationGrace, QuotaByTeam: limits})
	cluster.Store, cluster.stopStore = fake.NewStoreOnNetwork(cluster.Network)
	names, addresses := []string{}, map[string]string{}
	for i := range options.MemberCount {
		name := fmt.Sprintf("n%d", i)
		names = append(names, name)
		addresses[name] = fmt.Sprintf("%s:%d", name, servePort)
		cluster.members = append(cluster.members, &clusterMember{name: name})
	}
	cluster.Cloud, cluster.stopCloud = fake.NewCloudWithConfig(fake.CloudConfig{
		Network: cluster.Network, ControllerNames: names, ControllerAddresses: addresses,
		MachineTypes: []wire.MachineType{{Name: machineTypeName, CPUs: 8, MemoryGB: 32, FetchGBPerSecond: 1, OnDemandPrice: 1, SpotPrice: 0.5, BootSeconds: options.BootDuration.Seconds(), Zones: options.Zones}},
		TaskDuration: cluster.taskDuration, LeaseTTL: options.LeaseTTL, HeartbeatInterval: options.HeartbeatInterval, BootDuration: options.BootDuration,
		Observer: cluster.Checker,
	})
	for _, member := range cluster.members {
		member.cfg = cluster.platformConfig(member.name)
		cluster.Start(member.name)
	}
	return cluster
}

// taskDuration is how long a task runs: a service's until it is stopped.
func (cluster *Cluster) taskDuration(task string) time.Duration {
	id, index, _ := wire.ParseTaskID(task)
	if cluster.Checker.IsService(id) {
		return 0
	}
	return cluster.options.TaskDuration + time.Duration(index)*cluster.options.TaskDurationStep
}

func (cluster *Cluster) platformConfig(name string) *config.Platform {
	platform := &config.Platform{Member: name}
	for i, member := range cluster.members {
		location := cluster.options.Zones[i%len(cluster.options.Zones)]
		if member.name == name {
			platform.Location = location
			continue
		}
		platform.Peers = append(platform.Peers, config.Peer{Member: member.name, Location: location, Address: fmt.Sprintf("%s:%d", member.name, peerPort)})
	}
	platform.External = config.ExternalServices{CloudAddress: cluster.Cloud.Addr, StoreAddress: cluster.Store.Addr}
	deployment := &platform.Deployment
	deployment.ControllerCount, deployment.Zones, deployment.Teams = len(cluster.members), cluster.options.Zones, cluster.options.Teams
	deployment.Workers = config.WorkerTimings{
		HeartbeatIntervalSeconds: cluster.options.HeartbeatInterval.Seconds(), LeaseSeconds: cluster.options.LeaseTTL.Seconds(),
		GangStartTimeoutSeconds: 30, GangPeerTimeoutSeconds: 8, CancelTimeoutSeconds: cluster.options.CancellationGrace.Seconds(),
	}
	deployment.Store = config.StoreLimits{RPS: 200, WriteRPS: cluster.options.WriteRPS, MaxValueKB: 8, MaxTransactionOps: 24, Upcoming: cluster.options.NextLimits}
	deployment.Cloud = config.Cloud{RPS: cluster.options.CloudRPS, ListLagSeconds: 1}
	deployment.ProcessLimits = config.ProcessLimits{Cores: 1, MemoryMB: 200, MaxSockets: cluster.options.MaxSockets}
	deployment.ClockErrorMillis = 5
	return platform
}

func (cluster *Cluster) close() {
	cluster.Network.HealAll()
	for _, member := range cluster.members {
		cluster.Crash(member.name)
	}
	cluster.stopCloud()
	cluster.stopStore()
	for _, host := range append(cluster.Cloud.MachineNames(), fake.StoreHost, fake.CloudHost, userHost) {
		cluster.Network.CloseConnections(host)
	}
	// What still waits for answers gives up.
	time.Sleep(time.Minute)
}

func (cluster *Cluster) member(name string) *clusterMember {
	for _, member := range cluster.members {
		if member.name == name {
			return member
		}
	}
	cluster.t.Fatalf("no node %q", name)
	return nil
}

// runningInstance is the present life of a controller, nil if there is none.
func (cluster *Cluster) runningInstance(member *clusterMember) *controller.Controller {
	cluster.instancesMu.Lock()
	defer cluster.instancesMu.Unlock()
	return member.instance
}

// Members are the names of the controllers.
func (cluster *Cluster) Members() []string {
	var names []string
	for _, member := range cluster.members {
		names = append(names, member.name)
	}
	return names
}

// Start begins a new life of a controller.
func (cluster *Cluster) Start(name string) {
	member := cluster.member(name)
	cluster.instancesMu.Lock()
	defer cluster.instancesMu.Unlock()
	if member.instance != nil {
		return
	}
	log := cluster.options.Logger
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	dial := func(address string, timeout time.Duration) (net.Conn, error) {
		return cluster.Network.Dial(name, address, timeout)
	}
	tuning := config.DefaultTuning()
	tuning.Standby.Enabled = cluster.options.Standby && !slices.Contains(cluster.options.MembersWithoutStandby, name)
	tuning.FinishedJobs = cluster.options.CachedFinishedJobs
	if !slices.Contains(cluster.options.MembersWithoutArchive, name) {
		tuning.ArchiveFinishedAfterS = cluster.options.ArchiveAfter.Seconds()
	}
	member.instance = controller.New(member.cfg, tuning, log.With("member", name), dial)
	ctx, cancel := context.WithCancel(context.Background())
	member.cancelRun = cancel
	go member.instance.Run(ctx)
	member.stopServers = []func(){cluster.serveHTTP(member), cluster.servePeers(member)}
}

// Crash ends a controller's life without a word.
func (cluster *Cluster) Crash(name string) {
	member := cluster.member(name)
	cluster.instancesMu.Lock()
	defer cluster.instancesMu.Unlock()
	if member.instance == nil {
		return
	}
	member.cancelRun()
	for _, stop := range member.stopServers {
		stop()
	}
	member.instance = nil
	cluster.Network.CloseConnections(name)
}

// serveHTTP serves the workers' interface of a controller.
func (cluster *Cluster) serveHTTP(member *clusterMember) (stop func()) {
	listener, err := cluster.Network.ListenAt(member.name, servePort)
	if err != nil {
		cluster.t.Fatal(err)
	}
	instance := member.instance
	httpServer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		heartbeat := &wire.Heartbeat{}
		body := http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes)
		if err := decodeJSON(body, heartbeat); err != nil {
			w.WriteHeader(400)
			return
		}
		answer := awaitResponse(func(reply *server.Reply) { instance.HandleHeartbeat(heartbeat, reply) }, 10*time.Second)
		w.WriteHeader(answer.Status)
		w.Write(answer.Body) //nolint:errcheck // the worker may be gone
	})}
	go httpServer.Serve(listener) //nolint:errcheck // ends with Close
	return func() { httpServer.Close() }
}

// servePeers takes the messages of other controllers.
func (cluster *Cluster) servePeers(member *clusterMember) (stop func()) {
	listener, err := cluster.Network.ListenAt(member.name, peerPort)
	if err != nil {
		cluster.t.Fatal(err)
	}
	instance := member.instance
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go readFrames(conn, instance)
		}
	}()
	return func() { listener.Close() }
}

func readFrames(conn net.Conn, instance *controller.Controller) {
	defer conn.Close()
	var frames peer.FrameReader
	buffer := make([]byte, 32<<10)
	for {
		size, err := conn.Read(buffer)
		if err != nil || frames.Feed(buffer[:size], instance.HandlePeerHeartbeat) != nil {
			return
		}
	}
}

// Leader is the controller that answers workers as leader, empty if there is none.
func (cluster *Cluster) Leader() string {
	for _, member := range cluster.members {
		if instance := cluster.runningInstance(member); instance != nil && instance.IsLeader() {
			return member.name
		}
	}
	return ""
}

// OtherMembers are the controllers but one.
func (cluster *Cluster) OtherMembers(name string) []string {
	var names []string
	for _, member := range cluster.members {
		if member.name != name {
			names = append(names, member.name)
		}
	}
	return names
}

// WaitFor waits for a condition, for so long at most.
func (cluster *Cluster) WaitFor(description string, timeout time.Duration, condition func() bool) {
	cluster.t.Helper()
	for waited := time.Duration(0); waited < timeout; waited += 50 * time.Millisecond {
		if condition() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	cluster.t.Fatalf("not within %v: %s", timeout, description)
}

// FailOnViolations fails the test if a rule was broken.
func (cluster *Cluster) FailOnViolations() {
	cluster.t.Helper()
	for _, violation := range cluster.Checker.Violations() {
		cluster.t.Errorf("%s: %s", violation.Rule, violation.Detail)
	}
}

// MachinesRunning lists the machines that tasks of a job are on, a machine for each task.
func (cluster *Cluster) MachinesRunning(job string) []string {
	var machines []string
	for _, line := range cluster.Cloud.RunningTasks() {
		machine, task, _ := strings.Cut(line, " ")
		if strings.HasPrefix(task, job+"/") {
			machines = append(machines, machine)
		}
	}
	return machines
}
