package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// flavor is a machine type.
type flavor struct {
	name                string
	cores, gpus, ramGb  float64
	localGb, pullGbPerS float64
	rate, spotPrice     float64
	bootS               float64
	yards               []string
}

// job is what a user uploads for the workers.
type job struct {
	id, shape, bundle          string
	pieces                     int
	cores, gpus, ramGb, pullGb float64
	run                        time.Duration // 0: until it is stopped
}

// platform is a stand-in of the cloud and of its machines with their workers (PROTOCOL, "Workers -> controller
// nodes", "Controller nodes -> workers", "Gangs" and "Controller nodes -> cloud"). One lock guards all of it.
type platform struct {
	r       *run
	address string
	flavors []flavor
	d       deployment
	listLag time.Duration
	// capacity returns how many machines of a kind there may be at this moment.
	capacity func(yard string, loaners bool) int
	// bootTime returns the boot time of the n-th machine, counted from 0.
	bootTime func(n int) time.Duration

	mu       sync.Mutex
	jobs     map[string]*job
	boxes    map[string]*box
	gone     map[string]*box // deleted machines that the list still shows
	hires    map[string][]string
	count    int
	requests bucket
	starts   []start
	rentals  []rental
	deletes  int
	done     chan struct{}
}

// start is a task that is on its machine with its image.
type start struct {
	at    time.Time
	piece string
	box   string
}

// rental is one POST /hosts.
type rental struct {
	at      time.Time
	loaners bool
	granted int
	status  int
}

func newPlatform(r *run, d deployment, flavors []flavor) (*platform, func()) {
	p := &platform{
		r: r, flavors: flavors, d: d, listLag: time.Duration(d.listLagS * float64(time.Second)), jobs: map[string]*job{}, boxes: map[string]*box{}, gone: map[string]*box{}, hires: map[string][]string{},
		capacity: func(string, bool) int { return 1 << 20 }, bootTime: func(int) time.Duration { return time.Duration(flavors[0].bootS * float64(time.Second)) },
		requests: bucket{rate: d.cloudRPS, tokens: 2 * d.cloudRPS, at: time.Now()}, done: make(chan struct{}),
	}
	var stop func()
	p.address, stop = serve(p)
	go p.tickLoop()
	return p, func() {
		close(p.done)
		stop()
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, b := range p.boxes {
			b.stop()
		}
	}
}

func (p *platform) addJob(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobs[j.id] = j
}

func (p *platform) flavor(name string) *flavor {
	for i := range p.flavors {
		if p.flavors[i].name == name {
			return &p.flavors[i]
		}
	}
	return nil
}

// takeRequest allows cloud.rps requests per second, with bursts worth two seconds.
func (p *platform) takeRequest() bool {
	now := time.Now()
	p.requests.tokens = min(2*p.requests.rate, p.requests.tokens+p.requests.rate*now.Sub(p.requests.at).Seconds())
	p.requests.at = now
	if p.requests.tokens < 1 {
		return false
	}
	p.requests.tokens--
	return true
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	time.Sleep(100 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.takeRequest() {
		writeJSON(w, 429, object{"error": "too many requests"})
		return
	}
	switch {
	case r.URL.Path == "/flavors":
		var rigs []object
		for _, f := range p.flavors {
			rigs = append(rigs, object{"name": f.name, "cores": f.cores, "gpus": f.gpus, "ramGb": f.ramGb, "localGb": f.localGb, "pullGbPerS": f.pullGbPerS, "rate": f.rate, "spotPrice": f.spotPrice, "bootS": f.bootS, "yards": f.yards})
		}
		writeJSON(w, 200, object{"rigs": rigs})
	case r.URL.Path == "/hosts" && r.Method == "GET":
		p.list(w, r)
	case r.URL.Path == "/hosts":
		p.hire(w, body)
	case r.URL.Path == "/hosts/delete":
		var asked struct {
			Boxes []string `json:"boxes"`
		}
		if json.Unmarshal(body, &asked) != nil || len(asked.Boxes) > 100 {
			writeJSON(w, 400, object{})
			return
		}
		for _, name := range asked.Boxes {
			p.remove(name)
		}
		writeJSON(w, 200, object{})
	default:
		writeJSON(w, 404, object{})
	}
}

func (p *platform) remove(name string) {
	b := p.boxes[name]
	if b == nil {
		return
	}
	p.deletes++
	p.r.logf("cloud: controllers delete %s (up: %t, tasks on it: %d)", name, b.isUp, b.activeCount())
	b.isGone, b.goneAt = true, time.Now()
	b.stop()
	delete(p.boxes, name)
	p.gone[name] = b
}

func (p *platform) list(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit > 500 || limit < 1 {
		limit = 500
	}
	asOf := time.Now().Add(-p.listLag)
	var listed []*box
	for _, b := range p.boxes {
		if b.rentedAt.Before(asOf) {
			listed = append(listed, b)
		}
	}
	for name, b := range p.gone {
		if b.goneAt.After(asOf) && b.rentedAt.Before(asOf) {
			listed = append(listed, b)
		} else if b.goneAt.Before(asOf) {
			delete(p.gone, name)
		}
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].name < listed[j].name })
	boxes, hasNext := []object{}, false
	for _, b := range listed {
		if b.name <= r.URL.Query().Get("since") {
			continue
		}
		if len(boxes) == limit {
			hasNext = true
			break
		}
		stage := "booting"
		if b.isUp && b.upAt.Before(asOf) {
			stage = "running"
		}
		boxes = append(boxes, object{"nameId": b.name, "endpoint": b.address, "rig": b.rig.name, "yard": b.yard, "loaners": b.loaners, "stage": stage, "heldS": asOf.Sub(b.rentedAt).Seconds()})
	}
	writeJSON(w, 200, object{"boxes": boxes, "hasNext": hasNext})
}

func (p *platform) hire(w http.ResponseWriter, body []byte) {
	var asked struct {
		Hire    string `json:"hire"`
		Rig     string `json:"rig"`
		Yard    string `json:"yard"`
		Loaners bool   `json:"loaners"`
		Count   int    `json:"count"`
	}
	rig := (*flavor)(nil)
	if json.Unmarshal(body, &asked) == nil {
		rig = p.flavor(asked.Rig)
	}
	if rig == nil || asked.Count < 1 || asked.Count > 50 {
		writeJSON(w, 400, object{})
		return
	}
	if names, ok := p.hires[asked.Hire]; ok {
		writeJSON(w, 200, object{"boxes": names})
		return
	}
	used := 0
	for _, b := range p.boxes {
		if b.yard == asked.Yard && b.loaners == asked.Loaners {
			used++
		}
	}
	granted := min(asked.Count, p.capacity(asked.Yard, asked.Loaners)-used)
	kind := "ordinary"
	if asked.Loaners {
		kind = "spot"
	}
	if granted <= 0 {
		p.rentals = append(p.rentals, rental{time.Now(), asked.Loaners, 0, 503})
		p.r.logf("cloud: POST /hosts %s: %d %s machines in %s -> 503 no capacity", asked.Hire, asked.Count, kind, asked.Yard)
		writeJSON(w, 503, object{"error": "no capacity"})
		return
	}
	var names []string
	for range granted {
		names = append(names, p.boot(rig, asked.Yard, asked.Loaners))
	}
	p.hires[asked.Hire] = names
	p.rentals = append(p.rentals, rental{time.Now(), asked.Loaners, granted, 200})
	p.r.logf("cloud: POST /hosts %s: %d %s machines in %s -> 200 %v", asked.Hire, asked.Count, kind, asked.Yard, names)
	writeJSON(w, 200, object{"boxes": names})
}

func (p *platform) boot(rig *flavor, yard string, loaners bool) string {
	b := &box{
		p: p, name: fmt.Sprintf("i-%06d", p.count), rig: rig, yard: yard, loaners: loaners, rentedAt: time.Now(),
		shift: 1, images: map[string]bool{}, wake: make(chan struct{}, 1),
	}
	boot := p.bootTime(p.count)
	p.count++
	p.boxes[b.name] = b
	b.address, b.stop = serve(b)
	go b.run(boot)
	return b.name
}

// tickLoop lets time pass on the machines.
func (p *platform) tickLoop() {
	for {
		select {
		case <-p.done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		p.mu.Lock()
		for _, b := range p.boxes {
			b.tick()
		}
		p.tickGangs()
		p.mu.Unlock()
	}
}

// tickGangs starts gangs that are complete, ends those that are done, and lets the rest of a gang that lost a
// task notice that.
func (p *platform) tickGangs() {
	type attempt struct {
		job string
		try uint64
	}
	members := map[attempt][]*piece{}
	for _, b := range p.boxes {
		for _, t := range b.pieces {
			if t.job != nil && t.job.shape == "ensemble" && (t.stage == "waiting" || t.stage == "running") {
				key := attempt{t.job.id, t.try}
				members[key] = append(members[key], t)
			}
		}
	}
	now := time.Now()
	for _, tasks := range members {
		waiting, running := 0, 0
		for _, t := range tasks {
			if t.stage == "waiting" {
				waiting++
			} else {
				running++
			}
		}
		j := tasks[0].job
		switch {
		case waiting == j.pieces:
			for _, t := range tasks {
				t.stage = "running"
				t.endsAt = now.Add(j.run)
				t.box.report()
			}
			p.r.logf("worker: the gang %s starts with attempt %d", j.id, tasks[0].try)
		case running > 0 && running < j.pieces:
			for _, t := range tasks {
				if t.lostAt.IsZero() {
					t.lostAt = now
				} else if now.Sub(t.lostAt).Seconds() > p.d.workers.gangPeerS {
					t.exit("peers")
				}
			}
		}
	}
}

// startsOf returns the starts of a job's tasks.
func (p *platform) startsOf(id string) (starts []start) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.starts {
		if len(s.piece) > len(id) && s.piece[:len(id)+1] == id+"/" {
			starts = append(starts, s)
		}
	}
	return starts
}

// onMachines returns how many tasks of a job are on machines with their image.
func (p *platform) onMachines(id, stage string) (count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.boxes {
		for _, t := range b.pieces {
			if t.job != nil && t.job.id == id && t.stage == stage {
				count++
			}
		}
	}
	return count
}

// rentalsSince counts rental requests that came after an instant.
func (p *platform) rentalsSince(at time.Time) (count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, asked := range p.rentals {
		if asked.at.After(at) {
			count++
		}
	}
	return count
}
