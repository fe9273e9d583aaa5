//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// JobSpec is what a user submits (PROTOCOL, POST /api/jobs).
type JobSpec struct {
	ID     string   `json:"nameId"`
	Lot    string   `json:"lot"`
	Crew   string   `json:"crew"`
	Shape  string   `json:"shape"`
	Rank   string   `json:"rank"`
	Pieces int      `json:"pieces"`
	Cores  float64  `json:"cores"`
	GPUs   float64  `json:"gpus"`
	RAM    float64  `json:"ramGb"`
	Bundle string   `json:"bundle"`
	PullGb float64  `json:"pullGb"`
	Rigs   []string `json:"rigs"`
	Yard   *string  `json:"yard"`
	One    bool     `json:"oneZone"`
	Spread bool     `json:"spread"`
	Loan   bool     `json:"loaners"`
	Guess  float64  `json:"guessS"`
	Mark   float64  `json:"markS"`
	Stash  float64  `json:"stashS"`
	Due    *float64 `json:"dueS"`
	Awaits []string `json:"awaits,omitempty"`
	runS   float64
}

// Rig is a machine type.
type Rig struct {
	Name  string   `json:"name"`
	Cores float64  `json:"cores"`
	GPUs  float64  `json:"gpus"`
	RAM   float64  `json:"ramGb"`
	Local float64  `json:"localGb"`
	Pull  float64  `json:"pullGbPerS"`
	Rate  float64  `json:"rate"`
	Spot  float64  `json:"spotPrice"`
	BootS float64  `json:"bootS"`
	Yards []string `json:"yards"`
}

// World holds the cloud, its machines with their workers, and the jobs that users have submitted.
type World struct {
	mu        sync.Mutex
	rec       *Record
	rigs      []Rig
	leaseS    float64
	reportS   float64
	cancelS   float64
	lagS      float64
	nodes     []string // names in the workers' order
	addresses map[string]string
	boxes     map[string]*Box
	hires     map[string][]string
	next      int
	capacity  map[string]int // rig/yard/spot -> machines left; absent: 100
	jobs      map[string]*JobSpec
	on        map[string]*Box // task -> machine on which it is (it has its image and has not exited)
	starts    map[string]int  // starts by job
	dones     map[string]int  // tasks done by job
	doneTask  map[string]bool
	broken    []string
	cancelled map[string]time.Time // when the user was told
	quota     map[string]float64   // team -> cpus_max
	history   []listing
	tooLarge  int
	started   []string
}

type listing struct {
	at    time.Time
	boxes []map[string]any
}

// Task is a task on a machine.
type Task struct {
	id       string
	job      *JobSpec
	try      uint64
	stage    string
	cause    string
	saved    bool
	ready    time.Time // when its image is there
	end      time.Time
	flushEnd time.Time
	waitEnd  time.Time // a gang's task waits for the others until then
	lostAt   time.Time // when a task of the running gang was found missing
}

// Box is a machine with its worker.
type Box struct {
	w           *World
	name        string
	rig         Rig
	yard        string
	spot        bool
	created, up time.Time
	endpoint    string
	listener    net.Listener
	gone, isUp  bool
	shift, tick uint64
	baton       uint64
	leaseFrom   time.Time
	tasks       map[string]*Task // by task/try
	order       []*Task
	images      map[string]time.Time // when each image is there
	node        int
	kick        chan struct{}
	lastSent    time.Time
	batonAt     time.Time
	client      *http.Client
	reports     int
}

func newWorld(rec *Record) *World {
	w := &World{rec: rec, boxes: map[string]*Box{}, hires: map[string][]string{}, jobs: map[string]*JobSpec{}, on: map[string]*Box{},
		starts: map[string]int{}, dones: map[string]int{}, doneTask: map[string]bool{}, cancelled: map[string]time.Time{}, capacity: map[string]int{}, quota: map[string]float64{}, addresses: map[string]string{}}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			w.mu.Lock()
			for _, b := range w.boxes {
				b.advance()
			}
			now := time.Now()
			for t, b := range w.on {
				j := strings.SplitN(t, "/", 2)[0]
				if at, ok := w.cancelled[j]; ok && now.Sub(at).Seconds() > w.cancelS {
					w.breach("ran_cancelled: %s is on %s %.1f s after its user was told", t, b.name, now.Sub(at).Seconds())
					delete(w.cancelled, j)
				}
			}
			w.mu.Unlock()
		}
	}()
	go func() {
		for range time.Tick(250 * time.Millisecond) {
			w.mu.Lock()
			w.history = append(w.history, listing{time.Now(), w.list()})
			if len(w.history) > 200 {
				w.history = w.history[100:]
			}
			w.mu.Unlock()
		}
	}()
	return w
}

func (w *World) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.rec.add("BROKEN %s", text)
}

// startLog returns the tasks that were started so far.
func (w *World) startLog() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.started...)
}

func (w *World) list() []map[string]any {
	var out []map[string]any
	for _, b := range w.boxes {
		stage := "booting"
		if b.isUp {
			stage = "running"
		}
		out = append(out, map[string]any{"nameId": b.name, "endpoint": b.endpoint, "rig": b.rig.Name, "yard": b.yard, "loaners": b.spot, "stage": stage, "heldS": time.Since(b.created).Seconds()})
	}
	sort.Slice(out, func(i, j int) bool { return out[i]["nameId"].(string) < out[j]["nameId"].(string) })
	return out
}

// ServeHTTP is the cloud's interface.
func (w *World) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case r.URL.Path == "/flavors":
		reply(rw, 200, map[string]any{"rigs": w.rigs})
	case r.URL.Path == "/hosts" && r.Method == "GET":
		limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
		if err != nil || limit > 500 || limit < 1 {
			limit = 500
		}
		var boxes []map[string]any
		for _, l := range w.history {
			if time.Since(l.at).Seconds() >= w.lagS {
				boxes = l.boxes
			}
		}
		out, more := []map[string]any{}, false
		for _, b := range boxes {
			if b["nameId"].(string) <= r.URL.Query().Get("since") {
				continue
			}
			if len(out) == limit {
				more = true
				break
			}
			out = append(out, b)
		}
		reply(rw, 200, map[string]any{"boxes": out, "hasNext": more})
	case r.URL.Path == "/hosts":
		var q struct {
			Hire, Rig, Yard string
			Loaners         bool
			Count           int
		}
		if json.Unmarshal(body, &q) != nil || q.Count < 1 || q.Count > 50 {
			reply(rw, 400, nil)
			return
		}
		if w.hires[q.Hire] == nil {
			key := fmt.Sprintf("%s/%s/%v", q.Rig, q.Yard, q.Loaners)
			left, ok := w.capacity[key]
			if !ok {
				left = 100
			}
			n := min(q.Count, left)
			if n == 0 {
				reply(rw, 503, map[string]any{"error": "no capacity"})
				return
			}
			w.capacity[key] = left - n
			for range n {
				w.hires[q.Hire] = append(w.hires[q.Hire], w.boot(q.Rig, q.Yard, q.Loaners))
			}
			w.rec.add("cloud: hire %s %s %s loaners=%v count=%d -> %v", q.Hire, q.Rig, q.Yard, q.Loaners, q.Count, w.hires[q.Hire])
		}
		reply(rw, 200, map[string]any{"boxes": w.hires[q.Hire]})
	case r.URL.Path == "/hosts/delete":
		var q struct{ Boxes []string }
		if json.Unmarshal(body, &q) != nil || len(q.Boxes) > 100 {
			reply(rw, 400, nil)
			return
		}
		w.rec.add("cloud: delete %v", q.Boxes)
		for _, name := range q.Boxes {
			if b := w.boxes[name]; b != nil {
				b.remove()
			}
		}
		reply(rw, 200, map[string]any{})
	default:
		reply(rw, 404, nil)
	}
}

func (w *World) boot(rigName, yard string, spot bool) string {
	var rig Rig
	for _, r := range w.rigs {
		if r.Name == rigName {
			rig = r
		}
	}
	w.next++
	b := &Box{w: w, name: fmt.Sprintf("i-%06d", w.next), rig: rig, yard: yard, spot: spot, created: time.Now(), shift: 1, tasks: map[string]*Task{}, images: map[string]time.Time{}, kick: make(chan struct{}, 1)}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fatal(2, "%v", err)
	}
	b.listener, b.endpoint = l, l.Addr().String()
	b.client = &http.Client{Timeout: 4 * time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, Transport: &http.Transport{MaxIdleConns: 4}}
	b.node = w.next
	go (&http.Server{Handler: b, ErrorLog: quiet}).Serve(l)
	w.boxes[b.name] = b
	go b.run(time.Duration(rig.BootS * float64(time.Second)))
	return b.name
}

func (b *Box) remove() {
	b.gone = true
	for _, t := range b.order {
		b.leave(t)
	}
	delete(b.w.boxes, b.name)
	b.listener.Close()
}

// leave notes that a task is no longer on the machine.
func (b *Box) leave(t *Task) {
	if b.w.on[t.id] == b {
		delete(b.w.on, t.id)
	}
}

func (b *Box) exit(t *Task, cause string) {
	t.stage, t.cause = "exited", cause
	b.w.rec.add("%s: %s (attempt %d) exits: %s", b.name, t.id, t.try, cause)
	b.leave(t)
	if cause == "done" && !b.w.doneTask[t.id] {
		b.w.doneTask[t.id] = true
		b.w.dones[t.job.ID]++
	}
	b.changed()
}

func (b *Box) changed() {
	select {
	case b.kick <- struct{}{}:
	default:
	}
}

// advance carries out what is due. The world's lock is held.
func (b *Box) advance() {
	now := time.Now()
	if !b.isUp || b.gone {
		return
	}
	if now.Sub(b.leaseFrom).Seconds() > b.w.leaseS {
		if len(b.order) > 0 {
			b.w.rec.add("%s: lease of session %d is over, %d tasks are killed and forgotten", b.name, b.shift, len(b.order))
		}
		for _, t := range b.order {
			b.leave(t)
		}
		b.tasks, b.order = map[string]*Task{}, nil
		b.shift++
		b.leaseFrom = now
		b.changed()
	}
	for _, t := range b.order {
		switch t.stage {
		case "fetching":
			if !now.Before(t.ready) {
				b.begin(t, now)
			}
		case "waiting":
			if now.After(t.waitEnd) {
				b.exit(t, "incomplete")
			}
		case "running":
			if t.job.Shape == "ensemble" {
				b.w.checkGang(b, t, now)
			} else if t.job.Shape != "service" && now.After(t.end) {
				b.exit(t, "done")
			}
		case "flushing":
			if now.After(t.flushEnd) {
				t.saved = true
				b.exit(t, "stopped")
			}
		}
	}
}

// begin puts a task on the machine: it has its image.
func (b *Box) begin(t *Task, now time.Time) {
	w := b.w
	if w.doneTask[t.id] {
		b.exit(t, "done")
		return
	}
	if other := w.on[t.id]; other != nil && other != b {
		w.breach("ran_twice: %s starts on %s while it is on %s", t.id, b.name, other.name)
	}
	if at, ok := w.cancelled[t.job.ID]; ok && now.Sub(at).Seconds() > w.cancelS {
		w.breach("ran_cancelled: %s starts on %s %.1f s after its user was told", t.id, b.name, now.Sub(at).Seconds())
	}
	w.on[t.id] = b
	w.starts[t.job.ID]++
	w.started = append(w.started, t.id+" on "+b.name)
	w.rec.add("%s: %s (attempt %d) starts", b.name, t.id, t.try)
	if most := w.quota[t.job.Crew]; most > 0 {
		used := 0.0
		for id := range w.on {
			if j := w.jobs[strings.SplitN(id, "/", 2)[0]]; j.Crew == t.job.Crew {
				used += j.Cores
			}
		}
		if used > most+1e-6 {
			w.breach("quota: team %s uses %.2f of %.2f cores as %s starts", t.job.Crew, used, most, t.id)
		}
	}
	b.changed()
	if t.job.Shape == "ensemble" {
		t.stage, t.waitEnd = "waiting", now.Add(30*time.Second)
		w.startGang(t.job, t.try, now)
		return
	}
	t.stage = "running"
	t.end = now.Add(time.Duration(t.job.runS * float64(time.Second)))
}

// gang calls f for each task of a gang's attempt that is on a machine.
func (w *World) gang(job *JobSpec, try uint64, f func(b *Box, t *Task)) {
	for _, b := range w.boxes {
		for _, t := range b.order {
			if t.job == job && t.try == try && (t.stage == "waiting" || t.stage == "running" || t.stage == "flushing") {
				f(b, t)
			}
		}
	}
}

// startGang starts a gang's attempt once the last of its tasks has its image (PROTOCOL, "Gangs").
func (w *World) startGang(job *JobSpec, try uint64, now time.Time) {
	waiting := map[string]bool{}
	w.gang(job, try, func(b *Box, t *Task) {
		if t.stage == "waiting" {
			waiting[t.id] = true
		}
	})
	if len(waiting) < job.Pieces {
		return
	}
	w.gang(job, try, func(b *Box, t *Task) {
		t.stage, t.end = "running", now.Add(time.Duration(job.runS*float64(time.Second)))
		b.changed()
	})
}

// checkGang ends a running gang that has lost a task, and one that has completed.
func (w *World) checkGang(b *Box, t *Task, now time.Time) {
	here := map[string]bool{}
	w.gang(t.job, t.try, func(_ *Box, x *Task) {
		if x.stage == "running" {
			here[x.id] = true
		}
	})
	switch {
	case len(here) == t.job.Pieces && now.After(t.end):
		w.gang(t.job, t.try, func(x *Box, y *Task) { x.exit(y, "done") })
	case len(here) < t.job.Pieces && t.lostAt.IsZero():
		t.lostAt = now
	case len(here) < t.job.Pieces && now.Sub(t.lostAt) > 2*time.Second:
		b.exit(t, "peers")
	}
}

// execute carries out commands. The world's lock is held.
func (b *Box) execute(orders []order) {
	now := time.Now()
	for _, o := range orders {
		key := fmt.Sprintf("%s#%d", o.Piece, o.Try)
		t := b.tasks[key]
		switch o.Verb {
		case "run":
			if t != nil {
				continue
			}
			b.start(o, key, now)
		case "halt":
			if t == nil || t.stage == "exited" {
				continue
			}
			wind := 0.0
			if o.WindS != nil {
				wind = *o.WindS
			}
			switch {
			case t.stage == "flushing" && wind > 0:
			case t.stage == "running" && t.job.Mark > 0 && wind >= t.job.Stash:
				t.stage, t.flushEnd = "flushing", now.Add(time.Duration(t.job.Stash*float64(time.Second)))
				b.changed()
			default:
				b.exit(t, "stopped")
			}
		case "reap":
			if t != nil && t.stage == "exited" {
				delete(b.tasks, key)
				for i := range b.order {
					if b.order[i] == t {
						b.order = append(b.order[:i], b.order[i+1:]...)
						break
					}
				}
			}
		}
	}
}

func (b *Box) start(o order, key string, now time.Time) {
	id, number, _ := strings.Cut(o.Piece, "/")
	job := b.w.jobs[id]
	t := &Task{id: o.Piece, job: job, try: o.Try}
	b.tasks[key] = t
	b.order = append(b.order, t)
	n, err := strconv.Atoi(number)
	if job == nil || err != nil || n >= job.Pieces {
		if job == nil {
			t.job = &JobSpec{ID: id}
		}
		t.stage, t.cause = "exited", "no_such"
		b.changed()
		return
	}
	cores, ram, gpus := job.Cores, job.RAM, job.GPUs
	for _, x := range b.order {
		if x == t || x.stage == "exited" {
			continue
		}
		if x.id == t.id {
			t.stage, t.cause = "exited", "in_use"
			b.changed()
			return
		}
		cores, ram, gpus = cores+x.job.Cores, ram+x.job.RAM, gpus+x.job.GPUs
	}
	if cores > b.rig.Cores+1e-6 || ram > b.rig.RAM+1e-6 || gpus > b.rig.GPUs+1e-6 {
		t.stage, t.cause = "exited", "no_room"
		b.changed()
		return
	}
	ready, ok := b.images[job.Bundle]
	if !ok {
		ready = now.Add(time.Duration(job.PullGb / b.rig.Pull * float64(time.Second)))
		b.images[job.Bundle] = ready
	}
	t.stage, t.ready = "fetching", ready
	if !now.Before(ready) {
		b.begin(t, now)
	}
	b.changed()
}

type order struct {
	Verb  string   `json:"verb"`
	Piece string   `json:"piece"`
	Try   uint64   `json:"try"`
	WindS *float64 `json:"windS"`
}

// report makes the worker's next report. The world's lock is held.
func (b *Box) report() []byte {
	b.advance()
	b.tick++
	pieces := []any{}
	for _, t := range b.order {
		p := map[string]any{"piece": t.id, "try": t.try, "stage": t.stage}
		if t.stage == "exited" {
			p["cause"] = t.cause
			if t.saved {
				p["saved"] = true
			}
		}
		pieces = append(pieces, p)
	}
	out, err := json.Marshal(map[string]any{"box": b.name, "endpoint": b.endpoint, "rig": b.rig.Name, "yard": b.yard, "loaners": b.spot, "shift": b.shift, "tick": b.tick, "baton": b.baton, "recallS": nil, "pieces": pieces})
	if err != nil {
		panic(err)
	}
	return out
}

// raise keeps the highest token seen.
func (b *Box) raise(token uint64) {
	if token > b.baton {
		b.baton = token
		if time.Since(b.batonAt).Seconds() > b.w.leaseS/2 {
			b.batonAt = time.Now()
			b.changed()
		}
	}
}

// ServeHTTP is the worker's interface.
func (b *Box) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 4<<20))
	w := b.w
	w.mu.Lock()
	if b.gone || !b.isUp {
		w.mu.Unlock()
		hang(r)
		return
	}
	defer w.mu.Unlock()
	if r.URL.Path == "/status" {
		rw.Write(b.report())
		return
	}
	if len(body) > 64<<10 {
		w.tooLarge++
		if w.tooLarge <= 20 {
			w.rec.add("%s: POST /commands has a body of %d bytes, more than 64 KiB: 413", b.name, len(body))
		}
		reply(rw, 413, map[string]any{"error": "too large"})
		return
	}
	var q struct {
		Baton, Shift *uint64
		Orders       []order
	}
	if json.Unmarshal(body, &q) != nil || q.Baton == nil || q.Shift == nil {
		reply(rw, 400, nil)
		return
	}
	b.advance()
	status := 409
	if *q.Baton >= b.baton && *q.Shift == b.shift {
		status = 200
		b.raise(*q.Baton)
		b.execute(q.Orders)
	}
	out := b.report()
	rw.Header().Set("Content-Length", strconv.Itoa(len(out)))
	rw.WriteHeader(status)
	rw.Write(out)
}

// run boots the machine and sends the worker's reports till the machine is gone.
func (b *Box) run(boot time.Duration) {
	time.Sleep(boot)
	w := b.w
	w.mu.Lock()
	b.isUp, b.up, b.leaseFrom = true, time.Now(), time.Now()
	w.mu.Unlock()
	wait, k, failed := time.Duration(0), 0, false
	for {
		if failed { // the next node 1 s later, whatever changes meanwhile
			time.Sleep(wait)
		} else {
			timer := time.NewTimer(wait)
			select {
			case <-timer.C:
			case <-b.kick:
				if since := time.Since(b.lastSent); since < 500*time.Millisecond {
					time.Sleep(500*time.Millisecond - since)
				}
			}
			timer.Stop()
		}
		w.mu.Lock()
		if b.gone {
			w.mu.Unlock()
			return
		}
		node := w.nodes[b.node%len(w.nodes)]
		body := b.report()
		shift, sent := b.shift, time.Now()
		b.lastSent = sent
		b.reports++
		w.mu.Unlock()
		if len(body) > 64<<10 {
			w.mu.Lock()
			w.tooLarge++
			if w.tooLarge <= 20 {
				w.rec.add("%s: its report has %d bytes, with %d tasks", b.name, len(body), len(b.order))
			}
			w.mu.Unlock()
		}
		status, answer := b.post("http://"+w.addresses[node]+"/checkin", body)
		k++
		// Plus or minus a quarter, in a fixed pattern.
		wait = time.Duration(w.reportS * (0.75 + 0.5*math.Mod(float64(k)*0.618+float64(b.node)*0.37, 1)) * float64(time.Second))
		failed = status != 200
		w.mu.Lock()
		if b.gone { // it was deleted meanwhile, with everything on it
			w.mu.Unlock()
			return
		}
		switch {
		case status == 200:
			if len(answer) > 64<<10 {
				w.tooLarge++
				if w.tooLarge <= 20 {
					w.rec.add("%s: the answer to its report has a line of %d bytes, more than 64 KiB: dropped", b.name, len(answer))
				}
				break
			}
			var a struct {
				Baton  *uint64
				Orders []order
			}
			if json.Unmarshal(answer, &a) == nil && a.Baton != nil && *a.Baton >= b.baton && shift == b.shift && time.Since(sent) < 4*time.Second {
				b.leaseFrom = sent
				b.raise(*a.Baton)
				b.execute(a.Orders)
			}
		case status == 421:
			var a struct{ Foreman string }
			json.Unmarshal(answer, &a)
			found := -1
			for i, n := range w.nodes {
				if n == a.Foreman && n != node {
					found = i
				}
			}
			if found >= 0 {
				b.node, wait = found, 100*time.Millisecond
			} else {
				b.node, wait = b.node+1, time.Second
			}
		default:
			b.node, wait = b.node+1, time.Second
		}
		w.mu.Unlock()
	}
}

func (b *Box) post(url string, body []byte) (int, []byte) {
	res, err := b.client.Post(url, "application/json", strings.NewReader(string(body)))
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	out, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	if res.StatusCode == 421 {
		b.client.CloseIdleConnections()
	}
	return res.StatusCode, out
}
