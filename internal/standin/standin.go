// Package standin owns our own stand-ins of the outside world: a state
// service, a cloud and its workers, written from the published protocol, for
// tests that run real controllers on loopback.
package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"firwood.dev/firwood/wire"
)

// State is a state service in memory.
type State struct {
	Addr string

	mu     sync.Mutex
	cond   *sync.Cond
	rev    uint64
	keys   map[string]*entry
	log    []logged
	leases map[uint64]*grant
	next   uint64
	down   bool
	txns   []wire.Txn // all that were carried out
}

type entry struct {
	value   json.RawMessage
	version uint64
	lease   uint64
}

type logged struct {
	key   string
	event wire.Event
}

type grant struct {
	ttl  time.Duration
	ends time.Time
}

// serve starts an HTTP server on loopback and returns its address.
func serve(h http.Handler) (string, func()) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: h}
	go s.Serve(l) //nolint:errcheck // ends with Close
	return l.Addr().String(), func() { s.Close() }
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Write(b) //nolint:errcheck // the peer may be gone
}

func read(r *http.Request, v any) bool {
	b, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	return err == nil && json.Unmarshal(b, v) == nil
}

// NewState starts a state service; the function ends it.
func NewState() (*State, func()) {
	s := &State{keys: map[string]*entry{}, leases: map[uint64]*grant{}}
	s.cond = sync.NewCond(&s.mu)
	var stop func()
	s.Addr, stop = serve(s)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
				s.expire()
			}
		}
	}()
	return s, func() { close(done); stop() }
}

// SetDown begins or ends an outage; after it every lease has its time again.
func (s *State) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for _, g := range s.leases {
		g.ends = time.Now().Add(g.ttl)
	}
	s.cond.Broadcast()
}

// Keys lists the keys below a prefix.
func (s *State) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// Value is what a key holds, empty if there is none.
func (s *State) Value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.keys[key]; e != nil {
		return string(e.value)
	}
	return ""
}

// Transactions are those that were carried out so far.
func (s *State) Transactions() []wire.Txn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]wire.Txn(nil), s.txns...)
}

// Repeat carries a transaction out again, as a copy that comes late would be.
func (s *State) Repeat(t wire.Txn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.carry(t)
}

func (s *State) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		for id, g := range s.leases {
			if time.Now().After(g.ends) {
				s.endLease(id)
			}
		}
	}
	s.cond.Broadcast() // long polls look at their time
}

func (s *State) endLease(id uint64) {
	delete(s.leases, id)
	for k, e := range s.keys {
		if e.lease == id {
			s.rev++
			delete(s.keys, k)
			s.log = append(s.log, logged{k, wire.Event{Delete: k, Version: s.rev}})
		}
	}
	s.cond.Broadcast()
}

func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	path := r.URL.Path
	if s.down {
		reply(w, 503, wire.ErrorBody{Error: "trouble"})
		return
	}
	switch {
	case path == "/kv":
		limit, err := strconv.Atoi(q.Get("limit"))
		if err != nil || limit > 1000 {
			limit = 1000
		}
		var names []string
		for k := range s.keys {
			if strings.HasPrefix(k, q.Get("under")) && k > q.Get("since") {
				names = append(names, k)
			}
		}
		sort.Strings(names)
		p := wire.Page{Revision: s.rev, Items: []wire.Item{}}
		for _, k := range names {
			if len(p.Items) == limit {
				p.More = true
				break
			}
			p.Items = append(p.Items, wire.Item{Key: k, Value: []byte(s.keys[k].value), Version: s.keys[k].version})
		}
		reply(w, 200, p)
	case strings.HasPrefix(path, "/kv/"):
		e := s.keys[path[4:]]
		if e == nil {
			reply(w, 404, map[string]uint64{"ledger": s.rev})
			return
		}
		reply(w, 200, wire.Item{Key: path[4:], Value: []byte(e.value), Version: e.version, Lease: e.lease})
	case path == "/txn":
		s.txn(w, r)
	case path == "/grants":
		var g wire.Grant
		if !read(r, &g) || g.TTLMs < 100 {
			reply(w, 400, struct{}{})
			return
		}
		s.next++
		ttl := time.Duration(g.TTLMs) * time.Millisecond
		s.leases[s.next] = &grant{ttl, time.Now().Add(ttl)}
		reply(w, 200, wire.Granted{Lease: s.next})
	case strings.HasPrefix(path, "/grants/"):
		id, err := strconv.ParseUint(strings.TrimSuffix(path[len("/grants/"):], "/renew"), 10, 64)
		g := s.leases[id]
		if err != nil || g == nil {
			reply(w, 404, struct{}{})
			return
		}
		if r.Method == "DELETE" {
			s.endLease(id)
		} else {
			g.ends = time.Now().Add(g.ttl)
		}
		reply(w, 200, struct{}{})
	case path == "/watch":
		s.watch(w, q.Get("under"), q.Get("since"), q.Get("blockMs"))
	default:
		reply(w, 404, struct{}{})
	}
}

func (s *State) txn(w http.ResponseWriter, r *http.Request) {
	var t wire.Txn
	if !read(r, &t) {
		reply(w, 400, struct{}{})
		return
	}
	switch failed, ok := s.carry(t); {
	case !ok:
		reply(w, 400, wire.ErrorBody{Error: "no such lease"})
	case failed != nil:
		reply(w, 409, wire.TxnResult{Revision: s.rev, Failed: failed})
	default:
		reply(w, 200, wire.TxnResult{Revision: s.rev})
	}
}

// carry carries a transaction out, or tells which conditions failed; not ok means
// that a lease is gone. The lock is held.
func (s *State) carry(t wire.Txn) (_ []string, ok bool) {
	for _, c := range t.Then {
		if c.Put != "" && c.Lease != 0 && s.leases[c.Lease] == nil {
			return nil, false
		}
	}
	var failed []string
	for _, c := range t.If {
		var v uint64
		if e := s.keys[c.Key]; e != nil {
			v = e.version
		}
		if v != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return failed, true
	}
	if len(t.Then) > 0 {
		s.rev++
		s.txns = append(s.txns, t)
	}
	for _, c := range t.Then {
		if c.Delete != "" {
			delete(s.keys, c.Delete)
			s.log = append(s.log, logged{c.Delete, wire.Event{Delete: c.Delete, Version: s.rev}})
			continue
		}
		v := append(json.RawMessage(nil), c.Value...)
		s.keys[c.Put] = &entry{v, s.rev, c.Lease}
		s.log = append(s.log, logged{c.Put, wire.Event{Put: c.Put, Value: []byte(v), Version: s.rev}})
	}
	s.cond.Broadcast()
	return nil, true
}

func (s *State) watch(w http.ResponseWriter, prefix, since, block string) {
	from, err1 := strconv.ParseUint(since, 10, 64)
	ms, err2 := strconv.Atoi(block)
	if err1 != nil || err2 != nil {
		reply(w, 400, struct{}{})
		return
	}
	until := time.Now().Add(time.Duration(ms) * time.Millisecond)
	for {
		e := wire.Events{Revision: s.rev, Events: []wire.Event{}}
		for _, l := range s.log {
			if l.event.Version > from && strings.HasPrefix(l.key, prefix) {
				e.Events = append(e.Events, l.event)
			}
		}
		if len(e.Events) > 0 || !time.Now().Before(until) {
			reply(w, 200, e)
			return
		}
		s.cond.Wait()
	}
}

// Cloud rents machines whose workers run tasks in no time to speak of.
type Cloud struct {
	Addr string
	// Broken lists what the rules forbid and was seen.
	mu          sync.Mutex
	broken      []string
	machines    map[string]*worker
	hires       map[string][]string
	controllers map[string]string
	names       []string
	next        int
	types       []wire.MachineType
	runFor      time.Duration
	lease       time.Duration
	starts      int
	done        chan struct{}
}

type worker struct {
	cloud  *Cloud
	hire   wire.Hire
	name   string
	addr   string
	stop   func()
	gone   bool
	report wire.Report
	ends   map[string]time.Time
	node   int
	last   time.Time // when the last answered report was sent
	poke   chan struct{}
}

// NewCloud starts a cloud whose workers report to the controllers, by name in
// order of names.
func NewCloud(names []string, controllers map[string]string, types []wire.MachineType, runFor, lease time.Duration) (*Cloud, func()) {
	c := &Cloud{
		machines: map[string]*worker{}, hires: map[string][]string{}, controllers: controllers, names: names,
		types: types, runFor: runFor, lease: lease, done: make(chan struct{}),
	}
	var stop func()
	c.Addr, stop = serve(c)
	return c, func() {
		close(c.done)
		stop()
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, m := range c.machines {
			m.stop()
		}
	}
}

// Broken returns what the rules forbid and was seen, and how many tasks were
// started in all.
func (c *Cloud) Broken() ([]string, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.broken...), c.starts
}

func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.URL.Path {
	case "/flavors":
		reply(w, 200, wire.MachineTypes{Types: c.types})
	case "/hosts":
		if r.Method == "GET" {
			l := wire.MachineList{Machines: []wire.ListedMachine{}}
			for n, m := range c.machines {
				l.Machines = append(l.Machines, wire.ListedMachine{ID: n, Addr: m.addr, Type: m.hire.Type, Zone: m.hire.Zone, Spot: m.hire.Spot, State: wire.MachineRunning})
			}
			sort.Slice(l.Machines, func(a, b int) bool { return l.Machines[a].ID < l.Machines[b].ID })
			reply(w, 200, l)
			return
		}
		var h wire.Hire
		if !read(r, &h) || h.Count < 1 || h.Count > wire.MaxHire {
			reply(w, 400, struct{}{})
			return
		}
		if c.hires[h.Request] == nil {
			for i := 0; i < h.Count; i++ {
				c.hires[h.Request] = append(c.hires[h.Request], c.boot(h))
			}
		}
		reply(w, 200, wire.Machines{Machines: c.hires[h.Request]})
	case "/hosts/delete":
		var m wire.Machines
		if !read(r, &m) {
			reply(w, 400, struct{}{})
			return
		}
		for _, n := range m.Machines {
			if k := c.machines[n]; k != nil {
				k.gone = true
				k.stop()
				delete(c.machines, n)
			}
		}
		reply(w, 200, struct{}{})
	default:
		reply(w, 404, struct{}{})
	}
}

func (c *Cloud) boot(h wire.Hire) string {
	k := &worker{cloud: c, hire: h, name: fmt.Sprintf("i-%06d", c.next), ends: map[string]time.Time{}, last: time.Now(), poke: make(chan struct{}, 1)}
	c.next++
	k.addr, k.stop = serve(k)
	k.report = wire.Report{Machine: k.name, Addr: k.addr, Type: h.Type, Zone: h.Zone, Spot: h.Spot, Session: 1, Tasks: []wire.TaskReport{}}
	c.machines[k.name] = k
	go k.run()
	return k.name
}

func (k *worker) run() {
	client := &http.Client{Timeout: 4 * time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for {
		c := k.cloud
		c.mu.Lock()
		if k.gone {
			c.mu.Unlock()
			return
		}
		k.step()
		k.report.Seq++
		sent, session := time.Now(), k.report.Session
		body, err := json.Marshal(k.report)
		node := c.names[k.node%len(c.names)]
		url := "http://" + c.controllers[node] + "/checkin"
		c.mu.Unlock()
		if err != nil {
			panic(err)
		}
		wait := 300 * time.Millisecond
		res, err := client.Post(url, "application/json", strings.NewReader(string(body)))
		var answer []byte
		status := 0
		if err == nil {
			status = res.StatusCode
			answer, err = io.ReadAll(res.Body)
			res.Body.Close()
		}
		c.mu.Lock()
		switch {
		case err == nil && status == 200:
			var rep wire.Reply
			if json.Unmarshal(answer, &rep) == nil && rep.Token >= k.report.Token && session == k.report.Session {
				k.report.Token = rep.Token
				k.last = sent
				k.exec(rep.Commands)
			}
		case err == nil && status == 421:
			var e wire.Elsewhere
			next := -1
			if json.Unmarshal(answer, &e) == nil {
				for i, n := range c.names {
					if n == e.ReportTo && n != node {
						next = i
					}
				}
			}
			if next >= 0 {
				k.node, wait = next, 0
			} else {
				k.node++
				wait = 200 * time.Millisecond
			}
		default:
			k.node++
			wait = 200 * time.Millisecond
		}
		c.mu.Unlock()
		select {
		case <-c.done:
			return
		case <-k.poke:
			time.Sleep(20 * time.Millisecond)
		case <-time.After(wait):
		}
	}
}

// step lets time act: the lease, and tasks that are done. The lock is held.
func (k *worker) step() {
	now := time.Now()
	if now.Sub(k.last) > k.cloud.lease {
		k.report.Session++
		k.report.Tasks = []wire.TaskReport{}
		k.last = now
	}
	for i := range k.report.Tasks {
		t := &k.report.Tasks[i]
		if end, ok := k.ends[t.Task]; ok && t.State == wire.TaskRunning && !end.IsZero() && now.After(end) {
			t.State, t.Why = wire.TaskExited, wire.WhyDone
		}
	}
}

func (k *worker) find(id string) int {
	for i := range k.report.Tasks {
		if k.report.Tasks[i].Task == id {
			return i
		}
	}
	return -1
}

func (k *worker) exec(cmds []wire.Command) {
	c := k.cloud
	for _, cmd := range cmds {
		i := k.find(cmd.Task)
		switch cmd.Op {
		case wire.OpStart:
			if i >= 0 {
				continue
			}
			for _, o := range c.machines {
				if j := o.find(cmd.Task); o != k && j >= 0 && o.report.Tasks[j].State != wire.TaskExited {
					c.broken = append(c.broken, fmt.Sprintf("%s starts on %s while on %s", cmd.Task, k.name, o.name))
				}
			}
			c.starts++
			k.ends[cmd.Task] = time.Now().Add(c.runFor)
			k.report.Tasks = append(k.report.Tasks, wire.TaskReport{Task: cmd.Task, Attempt: cmd.Attempt, State: wire.TaskRunning})
		case wire.OpStop:
			if i >= 0 && k.report.Tasks[i].Attempt == cmd.Attempt && k.report.Tasks[i].State != wire.TaskExited {
				k.report.Tasks[i].State, k.report.Tasks[i].Why = wire.TaskExited, wire.WhyStopped
			}
		case wire.OpForget:
			if i >= 0 && k.report.Tasks[i].Attempt == cmd.Attempt && k.report.Tasks[i].State == wire.TaskExited {
				k.report.Tasks = append(k.report.Tasks[:i], k.report.Tasks[i+1:]...)
			}
		}
	}
}

// ServeHTTP takes commands sent straight to the worker, and tells its state.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == "GET" && r.URL.Path == "/status" {
		k.cloud.mu.Lock()
		defer k.cloud.mu.Unlock()
		k.step()
		k.report.Seq++
		reply(w, 200, k.report)
		return
	}
	var d wire.Direct
	if !read(r, &d) {
		reply(w, 400, struct{}{})
		return
	}
	k.cloud.mu.Lock()
	defer k.cloud.mu.Unlock()
	k.step()
	status := 409
	if d.Token >= k.report.Token && d.Session == k.report.Session {
		status = 200
		k.report.Token = d.Token
		k.exec(d.Commands)
	}
	k.report.Seq++
	reply(w, status, k.report)
	select {
	case k.poke <- struct{}{}:
	default:
	}
}

// KillOne takes a machine that runs something away, without notice.
func (c *Cloud) KillOne() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, k := range c.machines {
		for _, t := range k.report.Tasks {
			if t.State == wire.TaskRunning {
				k.gone = true
				k.stop()
				delete(c.machines, n)
				return true
			}
		}
	}
	return false
}
