package fake

import (
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"firwood.dev/firwood/wire"
)

// Observer receives the starts and exits of tasks on machines, in order and one at a time.
// Its methods run under the cloud's lock: they must not call the cloud.
type Observer interface {
	// RecordTaskStart is called when a task starts on a machine.
	RecordTaskStart(machine wire.ListedMachine, task string)
	// RecordTaskEnd is called when a task is no longer on a machine; the cause is the wire's
	// (wire.ExitDone and its like).
	RecordTaskEnd(machine, task, cause string)
}

// noObserver is the observer of a cloud that has none.
type noObserver struct{}

// RecordTaskStart does nothing.
func (noObserver) RecordTaskStart(wire.ListedMachine, string) {}

// RecordTaskEnd does nothing.
func (noObserver) RecordTaskEnd(_, _, _ string) {}

// CloudConfig describes a cloud and its workers.
type CloudConfig struct {
	// Network is what the cloud and its workers listen and dial on.
	Network Network
	// ControllerNames are the controllers in the order in which workers try them,
	// ControllerAddresses their addresses (host:port) by name.
	ControllerNames     []string
	ControllerAddresses map[string]string
	MachineTypes        []wire.MachineType
	// TaskDuration returns how long a task runs; 0: until it is stopped.
	TaskDuration func(task string) time.Duration
	// LeaseTTL is how long a worker runs tasks without an answered heartbeat,
	// HeartbeatInterval the time between two heartbeats (PROTOCOL, workers).
	LeaseTTL, HeartbeatInterval time.Duration
	// BootDuration is the time from a scale-out request to the machine's first heartbeat.
	BootDuration time.Duration
	// Observer, if not nil, receives the starts and exits of tasks.
	Observer Observer
}

// CloudHost is the host of the cloud's interface in a network.
const CloudHost = "cloud"

// Cloud is a fake cloud: machines with workers that run tasks without fetching images.
type Cloud struct {
	Addr string // host:port of its interface

	cfg               CloudConfig
	mu                sync.Mutex
	isDown            bool // its interface answers 503
	workers           map[string]*workerProcess
	machinesByRequest map[string][]string // by scale-out request
	nextMachineNumber int
	zoneByMachine     sync.Map // zone by machine, of every machine that ever booted; written by bootMachine only

	// What is seen of tasks.
	workerByTask map[string]*workerProcess // that last started each task, to detect duplicate execution
	startCount   int
	violations   []string // duplicate executions

	// Lifecycle.
	done       chan struct{}
	goroutines sync.WaitGroup // the workers and the loop that advances them
}

// NewCloud starts a cloud on loopback, whose tasks all run for taskDuration and whose workers have
// leases of leaseTTL; the function stops it.
func NewCloud(controllerNames []string, controllerAddresses map[string]string, machineTypes []wire.MachineType, taskDuration, leaseTTL time.Duration) (*Cloud, func()) {
	return NewCloudWithConfig(CloudConfig{
		Network: Loopback{}, ControllerNames: controllerNames, ControllerAddresses: controllerAddresses, MachineTypes: machineTypes,
		TaskDuration: func(string) time.Duration { return taskDuration }, LeaseTTL: leaseTTL, HeartbeatInterval: 300 * time.Millisecond,
	})
}

// advanceInterval is how often task ends and lease expiries are looked for.
const advanceInterval = 50 * time.Millisecond

// NewCloudWithConfig starts a cloud; the function stops it and its machines.
func NewCloudWithConfig(cfg CloudConfig) (*Cloud, func()) {
	if cfg.Observer == nil {
		cfg.Observer = noObserver{}
	}
	cloud := &Cloud{
		cfg: cfg, workers: map[string]*workerProcess{}, machinesByRequest: map[string][]string{},
		workerByTask: map[string]*workerProcess{}, done: make(chan struct{}),
	}
	var stopServing func()
	cloud.Addr, stopServing = Serve(cfg.Network, CloudHost, cloud)
	cloud.goroutines.Go(cloud.runAdvanceLoop)
	return cloud, func() {
		close(cloud.done)
		stopServing()
		cloud.mu.Lock()
		for _, worker := range cloud.workers {
			worker.stop()
		}
		cloud.mu.Unlock()
		cloud.goroutines.Wait()
	}
}

// runAdvanceLoop ends tasks and leases that are due, until the cloud is stopped.
func (cloud *Cloud) runAdvanceLoop() {
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-cloud.done:
			return
		case <-ticker.C:
		}
		cloud.mu.Lock()
		for _, worker := range cloud.workers {
			worker.advance()
		}
		cloud.mu.Unlock()
	}
}

// Violations lists the starts of tasks that were running on another machine.
func (cloud *Cloud) Violations() []string {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	return slices.Clone(cloud.violations)
}

// StartCount is how many tasks were started so far, each attempt counted.
func (cloud *Cloud) StartCount() int {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	return cloud.startCount
}

// MachineNames lists the machines that were not deleted, sorted.
func (cloud *Cloud) MachineNames() []string {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	var names []string
	for name := range cloud.workers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// SetFault sets the fault of a machine, in place of any other; MachineHealthy ends it.
func (cloud *Cloud) SetFault(machine string, fault MachineFault) {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	if worker := cloud.workers[machine]; worker != nil {
		worker.fault = fault
	}
}

// SetDown begins or ends an outage of the cloud's interface; machines keep running.
func (cloud *Cloud) SetDown(down bool) {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	cloud.isDown = down
}

// LastHeartbeats are the bodies of the last heartbeat that each machine has sent.
func (cloud *Cloud) LastHeartbeats() [][]byte {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	var bodies [][]byte
	for _, worker := range cloud.workers {
		if worker.lastHeartbeatBody != nil {
			bodies = append(bodies, worker.lastHeartbeatBody)
		}
	}
	return bodies
}

// SeenToken is the highest fencing token that a machine's worker has seen, 0 if there is none.
func (cloud *Cloud) SeenToken(machine string) uint64 {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	if worker := cloud.workers[machine]; worker != nil {
		return worker.heartbeat.FencingToken
	}
	return 0
}

// deleteMachine deletes a machine with its tasks. The lock is held.
func (cloud *Cloud) deleteMachine(name string) {
	worker := cloud.workers[name]
	if worker == nil {
		return
	}
	worker.isDeleted = true
	worker.killAllTasks()
	worker.stop()
	delete(cloud.workers, name)
}

// bootMachine adds a machine and returns its name. The lock is held.
func (cloud *Cloud) bootMachine(request wire.ScaleOutRequest) string {
	worker := newWorker(cloud, request, fmt.Sprintf("i-%06d", cloud.nextMachineNumber))
	cloud.nextMachineNumber++
	cloud.workers[worker.machine.ID] = worker
	cloud.zoneByMachine.Store(worker.machine.ID, request.Zone)
	cloud.goroutines.Go(worker.run)
	return worker.machine.ID
}

// KillBusyMachine deletes a machine that runs a task, without notice; false if there is none.
func (cloud *Cloud) KillBusyMachine() bool {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	for name, worker := range cloud.workers {
		for _, task := range worker.heartbeat.Tasks {
			if task.State == wire.TaskRunning {
				cloud.deleteMachine(name)
				return true
			}
		}
	}
	return false
}

// FailTask has a task exit with an error, on whatever machine it runs.
func (cloud *Cloud) FailTask(task string) {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	for _, worker := range cloud.workers {
		if i := worker.taskIndex(task); i >= 0 && worker.heartbeat.Tasks[i].State == wire.TaskRunning {
			worker.exitTask(&worker.heartbeat.Tasks[i], wire.ExitError)
			worker.requestHeartbeat()
		}
	}
}

// RunningTaskCount is how many tasks are on machines and have not exited.
func (cloud *Cloud) RunningTaskCount() int {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	count := 0
	for _, worker := range cloud.workers {
		for i := range worker.heartbeat.Tasks {
			if worker.heartbeat.Tasks[i].State != wire.TaskExited {
				count++
			}
		}
	}
	return count
}

// RunningTasks lists the tasks that are on machines and have not exited, as "machine task", sorted.
func (cloud *Cloud) RunningTasks() []string {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	var lines []string
	for name, worker := range cloud.workers {
		for _, task := range worker.heartbeat.Tasks {
			if task.State != wire.TaskExited {
				lines = append(lines, name+" "+task.TaskID)
			}
		}
	}
	sort.Strings(lines)
	return lines
}

// ZoneOf is the zone of a machine, also of a deleted one; empty if no machine had that name.
func (cloud *Cloud) ZoneOf(machine string) string {
	zone, _ := cloud.zoneByMachine.Load(machine)
	name, _ := zone.(string)
	return name
}
