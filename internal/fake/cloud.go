package fake

import (
	"fmt"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"sync"
	"time"

	"firwood.dev/firwood/wire"
)

// Observer is told what happens on machines. Its methods are called in order, one
// at a time, and must not call back.
type Observer interface {
	// RecordTaskStart tells that a task is on a machine from now on.
	RecordTaskStart(machine wire.ListedMachine, task string)
	// RecordTaskEnd tells that a task is not on a machine any more, and its cause on the
	// wire.
	RecordTaskEnd(machine, task, cause string)
}

// CloudConfig says what a cloud and its workers are like.
type CloudConfig struct {
	Network Network
	// ControllerNames are the controllers in the order in which workers try them, and
	// Controllers their addresses.
	ControllerNames     []string
	ControllerAddresses map[string]string
	MachineTypes        []wire.MachineType
	// TaskDuration is how long a task runs; 0 is until it is stopped.
	TaskDuration func(task string) time.Duration
	// LeaseTTL is the workers' lease, HeartbeatInterval the time between two reports.
	LeaseTTL, HeartbeatInterval time.Duration
	// BootDuration is how long a machine takes to come up.
	BootDuration time.Duration
	// Observer, if not nil, is told of tasks.
	Observer Observer
}

// CloudHost is the host of the cloud.
const CloudHost = "cloud"

// Cloud rents machines whose workers run tasks without fetching images.
type Cloud struct {
	Addr string

	cfg               CloudConfig
	mu                sync.Mutex
	violations        []string // what the rules forbid and was seen
	workers           map[string]*workerProcess
	machinesByRequest map[string][]string
	nextMachineNumber int
	startCount        int
	done              chan struct{}
	goroutines        sync.WaitGroup
	workerByTask      map[string]*workerProcess // where each task runs that was started last
	isDown            bool                      // its interface answers 503
	zoneByMachine     sync.Map                  // zone by machine, of all that were ever rented
}

// NewCloud starts a cloud on loopback; the function ends it.
func NewCloud(names []string, controllers map[string]string, types []wire.MachineType, runFor, lease time.Duration) (*Cloud, func()) {
	return NewCloudWithConfig(CloudConfig{
		Network: Loopback{}, ControllerNames: names, ControllerAddresses: controllers, MachineTypes: types,
		TaskDuration: func(string) time.Duration { return runFor }, LeaseTTL: lease, HeartbeatInterval: 300 * time.Millisecond,
	})
}

// advanceInterval is how often time acts on the machines.
const advanceInterval = 50 * time.Millisecond

// NewCloudWithConfig starts a cloud; the function ends it.
func NewCloudWithConfig(cfg CloudConfig) (*Cloud, func()) {
	cloud := &Cloud{cfg: cfg, workers: map[string]*workerProcess{}, workerByTask: map[string]*workerProcess{}, machinesByRequest: map[string][]string{}, done: make(chan struct{})}
	var stop func()
	cloud.Addr, stop = Serve(cfg.Network, CloudHost, cloud)
	cloud.goroutines.Go(cloud.runAdvanceLoop)
	return cloud, func() {
		close(cloud.done)
		stop()
		cloud.mu.Lock()
		for _, worker := range cloud.workers {
			worker.stop()
		}
		cloud.mu.Unlock()
		cloud.goroutines.Wait()
	}
}

// runAdvanceLoop lets time act on the machines until the end.
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

// Violations returns what the rules forbid and was seen, and how many tasks were
// started in all.
func (cloud *Cloud) Violations() ([]string, int) {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	return append([]string(nil), cloud.violations...), cloud.startCount
}

// MachineNames lists the machines that are up, in the order of their names.
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

// SetFault sets what is wrong with a machine.
func (cloud *Cloud) SetFault(machine string, fault MachineFault) {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	if worker := cloud.workers[machine]; worker != nil {
		worker.fault = fault
	}
}

// SetDown begins or ends an outage of the cloud's interface; machines go on.
func (cloud *Cloud) SetDown(down bool) {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	cloud.isDown = down
}

// LastHeartbeats are the bodies of the newest reports that machines have sent.
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

// ServeHTTP is the cloud's interface.
func (cloud *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	if cloud.isDown {
		writeUnavailable(w)
		return
	}
	switch r.URL.Path {
	case "/flavors":
		writeJSON(w, 200, wire.MachineTypeList{Types: cloud.cfg.MachineTypes})
	case "/hosts":
		if r.Method == "GET" {
			cloud.serveMachineList(w, r.URL.Query())
			return
		}
		var request wire.ScaleOutRequest
		if !readJSON(r, &request) || request.Count < 1 || request.Count > wire.MaxScaleOutCount {
			writeJSON(w, 400, struct{}{})
			return
		}
		if cloud.machinesByRequest[request.RequestID] == nil {
			for i := 0; i < request.Count; i++ {
				cloud.machinesByRequest[request.RequestID] = append(cloud.machinesByRequest[request.RequestID], cloud.bootMachine(request))
			}
		}
		writeJSON(w, 200, wire.MachineIDs{IDs: cloud.machinesByRequest[request.RequestID]})
	case "/hosts/delete":
		var request wire.MachineIDs
		if !readJSON(r, &request) {
			writeJSON(w, 400, struct{}{})
			return
		}
		for _, machine := range request.IDs {
			cloud.deleteMachine(machine)
		}
		writeJSON(w, 200, struct{}{})
	default:
		writeJSON(w, 404, struct{}{})
	}
}

// serveMachineList answers with a page of the machines, in the order of their names.
func (cloud *Cloud) serveMachineList(w http.ResponseWriter, query url.Values) {
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > wire.MaxMachinesPerPage {
		limit = wire.MaxMachinesPerPage
	}
	var names []string
	for name := range cloud.workers {
		if name > query.Get("since") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	page := wire.MachineList{Machines: []wire.ListedMachine{}, HasMore: len(names) > limit}
	for _, name := range names[:min(len(names), limit)] {
		page.Machines = append(page.Machines, cloud.workers[name].listedMachine())
	}
	writeJSON(w, 200, page)
}

// deleteMachine ends a machine and everything on it. The lock is held.
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

func (cloud *Cloud) bootMachine(request wire.ScaleOutRequest) string {
	worker := newWorker(cloud, request, fmt.Sprintf("i-%06d", cloud.nextMachineNumber))
	cloud.nextMachineNumber++
	cloud.workers[worker.name] = worker
	cloud.zoneByMachine.Store(worker.name, request.Zone)
	cloud.goroutines.Go(worker.run)
	return worker.name
}

// KillBusyMachine takes a machine that runs something away, without notice.
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

// Fail has a task end with an error, wherever it is.
func (cloud *Cloud) Fail(task string) {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	for _, worker := range cloud.workers {
		if i := worker.taskIndex(task); i >= 0 && worker.heartbeat.Tasks[i].State == wire.TaskRunning {
			worker.exitTask(&worker.heartbeat.Tasks[i], wire.ExitError)
			worker.requestHeartbeat()
		}
	}
}

// RunningTaskCount is how many tasks are on machines.
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

// RunningTasks lists the tasks that are on machines, as "machine task".
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

// ZoneOf is the zone of a machine that is, or was, rented; empty if there is none
// of the name.
func (cloud *Cloud) ZoneOf(machine string) string {
	zone, _ := cloud.zoneByMachine.Load(machine)
	name, _ := zone.(string)
	return name
}
