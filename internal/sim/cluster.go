// Package sim runs whole controllers in simulated time, with the fakes of package fake in place of
// the services and workers, over an in-memory network. It is for tests in a bubble of
// testing/synctest. There, time advances only when every goroutine is blocked: simulated minutes
// take a moment, and no test depends on how busy the machine is.
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
	servePort       = 8080 // port of a controller for users and workers
	peerPort        = 8081 // port of a controller for other controllers
	userHost        = "user"
	machineTypeName = "m"
	pollInterval    = 50 * time.Millisecond // time between two checks of WaitFor's condition
)

// zones are the zones of every deployment. The controllers are placed in them in turn.
var zones = []string{"x", "y"}

// Cluster is a deployment: controllers, fakes of the services and workers that they talk to, and a
// checker of the protocol's rules.
type Cluster struct {
	t       testing.TB
	options Options

	// Network connects the hosts. Tests partition it.
	Network *fake.MemoryNetwork
	// Store and Cloud are the services that controllers depend on. Tests inject faults into them.
	Store *fake.Store
	Cloud *fake.Cloud
	// Checker records what users and workers see, and finds violations of the protocol's rules.
	Checker *protocoltest.Checker

	members     []*clusterMember
	instancesMu sync.Mutex // guards the field instance of each member
	stopStore   func()
	stopCloud   func()
}

// Run starts a cluster in simulated time, waits until it has a leader, calls run, and fails the test
// if a rule of the protocol was violated. It stops the cluster at the end.
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
		MachineTypes: []wire.MachineType{{Name: machineTypeName, CPUs: options.MachineCPUs, MemoryGB: 32, FetchGBPerSecond: 1, OnDemandPrice: 1, SpotPrice: 0.5, BootSeconds: options.BootDuration.Seconds(), Zones: zones}},
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

// taskDuration returns how long a task runs, or 0 for a service's replica, which runs until it is
// stopped.
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
	// Requests that are still waiting for a reply time out.
	time.Sleep(time.Minute)
}

// WaitFor waits until a condition holds, and fails the test after the timeout. The description
// states the condition, as in "the job is done".
func (cluster *Cluster) WaitFor(description string, timeout time.Duration, condition func() bool) {
	cluster.t.Helper()
	for waited := time.Duration(0); waited < timeout; waited += pollInterval {
		if condition() {
			return
		}
		time.Sleep(pollInterval)
	}
	cluster.t.Fatalf("timed out after %v waiting until %s", timeout, description)
}

// WaitForRunningTasks waits until exactly taskCount tasks of a job are on machines.
func (cluster *Cluster) WaitForRunningTasks(id string, taskCount int) {
	cluster.t.Helper()
	cluster.WaitFor(fmt.Sprintf("%d tasks of %s run", taskCount, id), 2*time.Minute, func() bool { return len(cluster.MachinesRunning(id)) == taskCount })
}

// WaitForNoTasks waits until no task of a job is on a machine.
func (cluster *Cluster) WaitForNoTasks(id string, timeout time.Duration) {
	cluster.t.Helper()
	cluster.WaitFor("no task of "+id+" is on a machine", timeout, func() bool { return len(cluster.MachinesRunning(id)) == 0 })
}

// FailOnViolations fails the test if a rule of the protocol was violated.
func (cluster *Cluster) FailOnViolations() {
	cluster.t.Helper()
	for _, violation := range cluster.Checker.Violations() {
		cluster.t.Errorf("%s: %s", violation.Rule, violation.Detail)
	}
}

// MachinesRunning lists the machines that run tasks of a job. A machine is listed once for each task.
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
