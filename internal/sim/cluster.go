// Package sim runs whole controllers in simulated time against the fakes of package fake, over a
// network in memory. It is for tests inside a bubble of testing/synctest: time passes only when
// every goroutine waits, so that minutes take a moment and no test depends on how busy the machine
// is.
package sim

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/internal/protocoltest"
	"firwood.dev/firwood/wire"
)

const (
	memberCount     = 3
	servePort       = 8080 // of users and workers
	peerPort        = 8081 // of other controllers
	userHost        = "user"
	machineTypeName = "m"
	pollInterval    = 50 * time.Millisecond // of WaitFor's conditions
)

// zones are the zones of every deployment; the members' locations go round them.
var zones = []string{"x", "y"}

// Cluster is a deployment: controllers, the services and workers around them, and a checker of the
// protocol's rules.
type Cluster struct {
	t       testing.TB
	options Options

	// Network connects the hosts; tests partition it.
	Network *fake.MemoryNetwork
	// Store and Cloud are what controllers depend on; tests inject their faults.
	Store *fake.Store
	Cloud *fake.Cloud
	// Checker sees what users and workers see.
	Checker *protocoltest.Checker

	members     []*clusterMember
	instancesMu sync.Mutex // guards the instances of members
	stopStore   func()
	stopCloud   func()
}

// Run plays a test with a cluster that has a leader, stops the cluster, and fails the test if a
// rule was violated.
func Run(t *testing.T, options Options, run func(cluster *Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		clock.ResetOrigin()
		cluster := startCluster(t, options)
		defer cluster.close()
		cluster.WaitForLeader(30 * time.Second)
		run(cluster)
		cluster.FailOnViolations()
	})
}

func startCluster(t testing.TB, options Options) *Cluster {
	options.setDefaults()
	cluster := &Cluster{t: t, options: options, Network: fake.NewMemoryNetwork(), Checker: newChecker(&options)}
	cluster.Store, cluster.stopStore = fake.NewStoreOnNetwork(cluster.Network)
	addresses := map[string]string{}
	for i := range memberCount {
		name := fmt.Sprintf("n%d", i)
		addresses[name] = fmt.Sprintf("%s:%d", name, servePort)
		cluster.members = append(cluster.members, &clusterMember{name: name})
	}
	cluster.Cloud, cluster.stopCloud = fake.NewCloudWithConfig(fake.CloudConfig{
		Network: cluster.Network, ControllerNames: cluster.Members(), ControllerAddresses: addresses,
		MachineTypes: []wire.MachineType{{Name: machineTypeName, CPUs: 8, MemoryGB: 32, FetchGBPerSecond: 1, OnDemandPrice: 1, SpotPrice: 0.5, BootSeconds: options.BootDuration.Seconds(), Zones: zones}},
		TaskDuration: cluster.taskDuration, LeaseTTL: options.Workers.LeaseTTL, HeartbeatInterval: options.Workers.HeartbeatInterval,
		BootDuration: options.BootDuration, Observer: cluster.Checker,
	})
	for _, member := range cluster.members {
		member.cfg = cluster.platformConfig(member.name)
		cluster.Start(member.name)
	}
	return cluster
}

func newChecker(options *Options) *protocoltest.Checker {
	quotas := map[string]protocoltest.TeamQuota{}
	for _, team := range options.Teams {
		quotas[team.Name] = protocoltest.TeamQuota{CPUs: team.MaxCPUs, GPUs: team.MaxGPUs}
	}
	return protocoltest.New(protocoltest.Config{CancellationGrace: options.Workers.CancellationGrace, QuotaByTeam: quotas})
}

// taskDuration is how long a task runs; 0 for a service's, which runs until it is stopped.
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
		location := zones[i%len(zones)]
		if member.name == name {
			platform.Location = location
			continue
		}
		platform.Peers = append(platform.Peers, config.Peer{Member: member.name, Location: location, Address: fmt.Sprintf("%s:%d", member.name, peerPort)})
	}
	platform.External = config.ExternalServices{CloudAddress: cluster.Cloud.Addr, StoreAddress: cluster.Store.Addr}
	workers, limits := cluster.options.Workers, cluster.options.Limits
	deployment := &platform.Deployment
	deployment.ControllerCount, deployment.Zones, deployment.Teams = len(cluster.members), zones, cluster.options.Teams
	deployment.Workers = config.WorkerTimings{
		HeartbeatIntervalSeconds: workers.HeartbeatInterval.Seconds(), LeaseSeconds: workers.LeaseTTL.Seconds(),
		GangStartTimeoutSeconds: 30, GangPeerTimeoutSeconds: 8, CancelTimeoutSeconds: workers.CancellationGrace.Seconds(),
	}
	deployment.Store = config.StoreLimits{RPS: 200, WriteRPS: limits.WriteRPS, MaxValueKB: 8, MaxTransactionOps: 24, Upcoming: limits.UpcomingStore}
	deployment.Cloud = config.Cloud{RPS: limits.CloudRPS, ListLagSeconds: 1}
	deployment.ProcessLimits = config.ProcessLimits{Cores: 1, MemoryMB: 200, MaxSockets: limits.MaxSockets}
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
	// Requests that still wait for replies time out.
	time.Sleep(time.Minute)
}

// WaitFor waits until a condition holds, and fails the test after the timeout.
func (cluster *Cluster) WaitFor(description string, timeout time.Duration, condition func() bool) {
	cluster.t.Helper()
	for waited := time.Duration(0); waited < timeout; waited += pollInterval {
		if condition() {
			return
		}
		time.Sleep(pollInterval)
	}
	cluster.t.Fatalf("not within %v: %s", timeout, description)
}

// WaitForRunningTasks waits until so many tasks of a job are on machines.
func (cluster *Cluster) WaitForRunningTasks(id string, taskCount int) {
	cluster.t.Helper()
	cluster.WaitFor(fmt.Sprintf("%d tasks of %s run", taskCount, id), 2*time.Minute, func() bool { return len(cluster.MachinesRunning(id)) == taskCount })
}

// WaitForNoTasks waits until no task of a job is on a machine.
func (cluster *Cluster) WaitForNoTasks(id string, timeout time.Duration) {
	cluster.t.Helper()
	cluster.WaitFor("no task of "+id+" is on a machine", timeout, func() bool { return len(cluster.MachinesRunning(id)) == 0 })
}

// FailOnViolations fails the test if a rule was violated.
func (cluster *Cluster) FailOnViolations() {
	cluster.t.Helper()
	for _, violation := range cluster.Checker.Violations() {
		cluster.t.Errorf("%s: %s", violation.Rule, violation.Detail)
	}
}

// MachinesRunning lists the machines that run tasks of a job, one for each task.
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
