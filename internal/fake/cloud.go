package fake

import (
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"firwood.dev/firwood/wire"
)

// Observer is notified of each start and exit of a task on a machine, in order and one at a time.
// The cloud calls its methods with its lock held, so they must not call the cloud.
type Observer interface {
	// RecordTaskStart is called when a task starts on a machine.
	RecordTaskStart(machine wire.ListedMachine, task string)
	// RecordTaskEnd is called when a task no longer runs on a machine. The cause is one of the
	// wire package's exit causes, such as wire.ExitDone.
	RecordTaskEnd(machine, task, cause string)
}

// noObserver is the Observer that is used if CloudConfig.Observer is nil.
type noObserver struct{}

// RecordTaskStart does nothing.
func (noObserver) RecordTaskStart(wire.ListedMachine, string) {}

// RecordTaskEnd does nothing.
func (noObserver) RecordTaskEnd(_, _, _ string) {}

// CloudConfig describes a cloud and its workers.
type CloudConfig struct {
	// Network is the network on which the cloud and its workers listen and dial.
	Network Network
	// ControllerNames lists the controllers in the order in which workers try them, and
	// ControllerAddresses holds their addresses (host:port) by name.
	ControllerNames     []string
	ControllerAddresses map[string]string
	MachineTypes        []wire.MachineType
	// TaskDuration returns how long a task runs, or 0 if the task runs until it is stopped.
	TaskDuration func(task string) time.Duration
	// LeaseTTL is how long a worker keeps tasks running after it has sent the last heartbeat that
	// was answered. HeartbeatInterval is the time between two heartbeats. PROTOCOL specifies both in
	// its section on workers.
	LeaseTTL, HeartbeatInterval time.Duration
	// BootDuration is the time from a scale-out request to the machine's first heartbeat.
	BootDuration time.Duration
	// Observer, if not nil, is notified of the starts and exits of tasks.
	Observer Observer
}

// CloudHost is the name of the host in a Network on which the cloud serves its API.
const CloudHost = "cloud"

// Cloud is a fake cloud. Its machines have workers, which run tasks without fetching images.
type Cloud struct {
	Addr string // host:port of the cloud's API

	cfg               CloudConfig
	mu                sync.Mutex
	isDown            bool                      // whether every API request is answered with 503
	capacity          int                       // the largest number of machines at a time, or 0 if there is no bound
	workers           map[string]*workerProcess // by machine, without deleted machines
	machinesByRequest map[string][]string       // machines that were booted, by ID of the scale-out request
	nextMachineNumber int
	zoneByMachine     sync.Map // zone of every machine that ever booted; only bootMachine writes to it

	// The starts of tasks so far.
	workerByTask map[string]*workerProcess // worker that last started each task, to detect duplicate execution
	startCount   int
	violations   []string // descriptions of duplicate executions
	messages     MessageCounts

	executedRequests []executedRequest // the last command requests that workers have executed

	// Lifecycle.
	done       chan struct{}  // closed when the cloud is stopped
	goroutines sync.WaitGroup // the workers' goroutines and runAdvanceLoop
}

// NewCloud starts a cloud on loopback. Every task runs for taskDuration, and a worker's lease lasts for
// leaseTTL. The returned function stops the cloud.
func NewCloud(controllerNames []string, controllerAddresses map[string]string, machineTypes []wire.MachineType, taskDuration, leaseTTL time.Duration) (*Cloud, func()) {
	return NewCloudWithConfig(CloudConfig{
		Network: Loopback{}, ControllerNames: controllerNames, ControllerAddresses: controllerAddresses, MachineTypes: machineTypes,
		TaskDuration: func(string) time.Duration { return taskDuration }, LeaseTTL: leaseTTL, HeartbeatInterval: 300 * time.Millisecond,
	})
}

// advanceInterval is how often the cloud checks for tasks that are due to end and for expired leases.
const advanceInterval = 50 * time.Millisecond

// NewCloudWithConfig starts a cloud. The returned function stops the cloud and its machines.
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

// isStopped reports whether the cloud is stopped.
func (cloud *Cloud) isStopped() bool {
	select {
	case <-cloud.done:
		return true
	default:
		return false
	}
}

// SetCapacity bounds how many machines there are at a time. 0 means that there is no bound.
func (cloud *Cloud) SetCapacity(machines int) {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	cloud.capacity = machines
}

// runAdvanceLoop ends tasks that are due and leases that have expired, until the cloud is stopped.
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

// Violations describes each start of a task that was still running on another machine.
func (cloud *Cloud) Violations() []string {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	return slices.Clone(cloud.violations)
}

// StartCount returns how many tasks have been started so far, counting each attempt.
func (cloud *Cloud) StartCount() int {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	return cloud.startCount
}

// MachineNames returns the sorted names of the machines that have not been deleted.
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

// SetFault replaces the fault of a machine. MachineHealthy ends the current fault.
func (cloud *Cloud) SetFault(machine string, fault MachineFault) {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	if worker := cloud.workers[machine]; worker != nil {
		worker.fault = fault
	}
}

// SetDown begins or ends an outage of the cloud's API. Machines keep running in an outage.
func (cloud *Cloud) SetDown(down bool) {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	cloud.isDown = down
}

// LastHeartbeats returns the body of the last heartbeat that each machine sent, if it sent any.
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

// SeenToken returns the highest fencing token that a machine's worker has seen, or 0 if there is none.
func (cloud *Cloud) SeenToken(machine string) uint64 {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	if worker := cloud.workers[machine]; worker != nil {
		return worker.heartbeat.FencingToken
	}
	return 0
}

// deleteMachine deletes a machine and ends its tasks. The caller holds the cloud's lock.
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

// bootMachine adds a machine and returns its name. The caller holds the cloud's lock.
func (cloud *Cloud) bootMachine(request wire.ScaleOutRequest) string {
	worker := newWorker(cloud, request, fmt.Sprintf("i-%06d", cloud.nextMachineNumber))
	cloud.nextMachineNumber++
	cloud.workers[worker.machine.ID] = worker
	cloud.zoneByMachine.Store(worker.machine.ID, request.Zone)
	cloud.goroutines.Go(worker.run)
	return worker.machine.ID
}

// KillBusyMachine deletes a machine that runs a task, without notice, and reports whether there was one.
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

// FailTask makes a running task exit with an error, whichever machine it runs on.
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

// RunningTaskCount returns how many tasks are on machines and have not exited.
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

// RunningTasks returns the tasks that are on machines and have not exited, sorted, each in the form
// "machine task".
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

// ZoneOf returns the zone of a machine, even if the machine has been deleted, or "" if no machine had
// that name.
func (cloud *Cloud) ZoneOf(machine string) string {
	zone, _ := cloud.zoneByMachine.Load(machine)
	name, _ := zone.(string)
	return name
}
