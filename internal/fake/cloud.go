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
	// Started tells that a task is on a machine from now on.
	Started(machine wire.ListedMachine, task string)
	// Ended tells that a task is not on a machine any more, and its cause on the
	// wire.
	Ended(machine, task, cause string)
}

// CloudConfig says what a cloud and its workers are like.
type CloudConfig struct {
	Network Network
	// Names are the controllers in the order in which workers try them, and
	// Controllers their addresses.
	Names       []string
	Controllers map[string]string
	Types       []wire.MachineType
	// RunFor is how long a task runs; 0 is until it is stopped.
	RunFor func(task string) time.Duration
	// Lease is the workers' lease, ReportEvery the time between two reports.
	Lease, ReportEvery time.Duration
	// Boot is how long a machine takes to come up.
	Boot time.Duration
	// Observer, if not nil, is told of tasks.
	Observer Observer
}

// CloudHost is the host of the cloud.
const CloudHost = "cloud"

// Cloud rents machines whose workers run tasks without fetching images.
type Cloud struct {
	Addr string

	cfg      CloudConfig
	mu       sync.Mutex
	broken   []string // what the rules forbid and was seen
	machines map[string]*worker
	hires    map[string][]string
	next     int
	starts   int
	done     chan struct{}
	running  sync.WaitGroup
	on       map[string]*worker // where each task runs that was started last
	down     bool               // its interface answers 503
	zones    sync.Map           // zone by machine, of all that were ever rented
}

// NewCloud starts a cloud on loopback; the function ends it.
func NewCloud(names []string, controllers map[string]string, types []wire.MachineType, runFor, lease time.Duration) (*Cloud, func()) {
	return NewCloudOn(CloudConfig{
		Network: Loopback{}, Names: names, Controllers: controllers, Types: types,
		RunFor: func(string) time.Duration { return runFor }, Lease: lease, ReportEvery: 300 * time.Millisecond,
	})
}

// stepEvery is how often time acts on the machines.
const stepEvery = 50 * time.Millisecond

// NewCloudOn starts a cloud; the function ends it.
func NewCloudOn(cfg CloudConfig) (*Cloud, func()) {
	c := &Cloud{cfg: cfg, machines: map[string]*worker{}, on: map[string]*worker{}, hires: map[string][]string{}, done: make(chan struct{})}
	var stop func()
	c.Addr, stop = Serve(cfg.Network, CloudHost, c)
	c.running.Go(c.steps)
	return c, func() {
		close(c.done)
		stop()
		c.mu.Lock()
		for _, m := range c.machines {
			m.stop()
		}
		c.mu.Unlock()
		c.running.Wait()
	}
}

// steps lets time act on the machines until the end.
func (c *Cloud) steps() {
	ticker := time.NewTicker(stepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		for _, m := range c.machines {
			m.step()
		}
		c.mu.Unlock()
	}
}

// Broken returns what the rules forbid and was seen, and how many tasks were
// started in all.
func (c *Cloud) Broken() ([]string, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.broken...), c.starts
}

// Machines lists the machines that are up, in the order of their names.
func (c *Cloud) Machines() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name := range c.machines {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// SetFault sets what is wrong with a machine.
func (c *Cloud) SetFault(machine string, f MachineFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.machines[machine]; m != nil {
		m.fault = f
	}
}

// SetDown begins or ends an outage of the cloud's interface; machines go on.
func (c *Cloud) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// Reports are the bodies of the newest reports that machines have sent.
func (c *Cloud) Reports() [][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	var bodies [][]byte
	for _, m := range c.machines {
		if m.lastBody != nil {
			bodies = append(bodies, m.lastBody)
		}
	}
	return bodies
}

// ServeHTTP is the cloud's interface.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		reply(w, 503, wire.ErrorResponse{Error: "trouble"})
		return
	}
	switch r.URL.Path {
	case "/flavors":
		reply(w, 200, wire.MachineTypeList{Types: c.cfg.Types})
	case "/hosts":
		if r.Method == "GET" {
			c.list(w, r.URL.Query())
			return
		}
		var h wire.ScaleOutRequest
		if !read(r, &h) || h.Count < 1 || h.Count > wire.MaxScaleOutCount {
			reply(w, 400, struct{}{})
			return
		}
		if c.hires[h.RequestID] == nil {
			for i := 0; i < h.Count; i++ {
				c.hires[h.RequestID] = append(c.hires[h.RequestID], c.boot(h))
			}
		}
		reply(w, 200, wire.MachineIDs{IDs: c.hires[h.RequestID]})
	case "/hosts/delete":
		var m wire.MachineIDs
		if !read(r, &m) {
			reply(w, 400, struct{}{})
			return
		}
		for _, n := range m.IDs {
			c.remove(n)
		}
		reply(w, 200, struct{}{})
	default:
		reply(w, 404, struct{}{})
	}
}

// list answers with a page of the machines, in the order of their names.
func (c *Cloud) list(w http.ResponseWriter, query url.Values) {
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > wire.MaxMachinesPerPage {
		limit = wire.MaxMachinesPerPage
	}
	var names []string
	for name := range c.machines {
		if name > query.Get("since") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	l := wire.MachineList{Machines: []wire.ListedMachine{}, HasMore: len(names) > limit}
	for _, name := range names[:min(len(names), limit)] {
		l.Machines = append(l.Machines, c.machines[name].listed())
	}
	reply(w, 200, l)
}

// remove ends a machine and everything on it. The lock is held.
func (c *Cloud) remove(name string) {
	m := c.machines[name]
	if m == nil {
		return
	}
	m.gone = true
	m.endAll()
	m.stop()
	delete(c.machines, name)
}

func (c *Cloud) boot(h wire.ScaleOutRequest) string {
	m := newWorker(c, h, fmt.Sprintf("i-%06d", c.next))
	c.next++
	c.machines[m.name] = m
	c.zones.Store(m.name, h.Zone)
	c.running.Go(m.run)
	return m.name
}

// KillOne takes a machine that runs something away, without notice.
func (c *Cloud) KillOne() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, m := range c.machines {
		for _, t := range m.report.Tasks {
			if t.State == wire.TaskRunning {
				c.remove(name)
				return true
			}
		}
	}
	return false
}

// Fail has a task end with an error, wherever it is.
func (c *Cloud) Fail(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if i := m.find(task); i >= 0 && m.report.Tasks[i].State == wire.TaskRunning {
			m.exit(&m.report.Tasks[i], wire.ExitError)
			m.reportSoon()
		}
	}
}

// CountRunning is how many tasks are on machines.
func (c *Cloud) CountRunning() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, m := range c.machines {
		for i := range m.report.Tasks {
			if m.report.Tasks[i].State != wire.TaskExited {
				count++
			}
		}
	}
	return count
}

// Running lists the tasks that are on machines, as "machine task".
func (c *Cloud) Running() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for name, m := range c.machines {
		for _, t := range m.report.Tasks {
			if t.State != wire.TaskExited {
				out = append(out, name+" "+t.TaskID)
			}
		}
	}
	sort.Strings(out)
	return out
}

// ZoneOf is the zone of a machine that is, or was, rented; empty if there is none
// of the name.
func (c *Cloud) ZoneOf(machine string) string {
	zone, _ := c.zones.Load(machine)
	name, _ := zone.(string)
	return name
}
