package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// box is a machine with its worker.
type box struct {
	p        *platform
	name     string
	address  string
	rig      *flavor
	yard     string
	loaners  bool
	rentedAt time.Time
	isUp     bool
	upAt     time.Time
	isGone   bool
	goneAt   time.Time
	stop     func()

	shift, sequence, baton uint64
	leaseFrom              time.Time
	tokenReportedAt        time.Time
	pieces                 []*piece
	images                 map[string]bool
	wake                   chan struct{}
}

// piece is an attempt at a task on a machine.
type piece struct {
	box   *box
	job   *job // nil if it is unknown
	id    string
	try   uint64
	stage string
	cause string
	readyAt,
	waitsFrom, endsAt, lostAt time.Time
}

func (t *piece) exit(cause string) {
	if t.stage == "exited" {
		return
	}
	t.stage, t.cause = "exited", cause
	t.box.p.r.logf("worker %s: %s attempt %d exits: %s", t.box.name, t.id, t.try, cause)
	t.box.report()
}

// report makes the worker report a change.
func (b *box) report() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *box) activeCount() (count int) {
	for _, t := range b.pieces {
		if t.stage != "exited" {
			count++
		}
	}
	return count
}

// tick lets time pass. The platform's lock is held.
func (b *box) tick() {
	if !b.isUp {
		return
	}
	now := time.Now()
	if now.Sub(b.leaseFrom).Seconds() > b.p.d.workers.leaseS {
		if len(b.pieces) > 0 {
			b.p.r.logf("worker %s: its lease is over, with %d tasks", b.name, b.activeCount())
		}
		b.pieces = nil
		b.shift++
		b.leaseFrom = now
		b.report()
	}
	for _, t := range b.pieces {
		switch {
		case t.stage == "fetching" && now.After(t.readyAt):
			b.images[t.job.bundle] = true
			b.p.starts = append(b.p.starts, start{now, t.id, b.name})
			b.p.r.logf("worker %s: %s attempt %d has its image", b.name, t.id, t.try)
			if t.job.shape == "ensemble" {
				t.stage, t.waitsFrom = "waiting", now
			} else {
				t.stage = "running"
				if t.job.run > 0 {
					t.endsAt = now.Add(t.job.run)
				}
			}
			b.report()
		case t.stage == "waiting" && now.Sub(t.waitsFrom).Seconds() > b.p.d.workers.gangWaitS:
			t.exit("incomplete")
		case t.stage == "running" && t.lostAt.IsZero() && !t.endsAt.IsZero() && now.After(t.endsAt):
			t.exit("done")
		}
	}
}

func (b *box) reportBody() object {
	b.sequence++
	pieces := []object{}
	for _, t := range b.pieces {
		one := object{"piece": t.id, "try": t.try, "stage": t.stage}
		if t.stage == "exited" {
			one["cause"] = t.cause
			if t.cause == "stopped" {
				one["saved"] = false
			}
		}
		pieces = append(pieces, one)
	}
	return object{"box": b.name, "endpoint": b.address, "rig": b.rig.name, "yard": b.yard, "loaners": b.loaners, "shift": b.shift, "tick": b.sequence, "baton": b.baton, "recallS": nil, "pieces": pieces}
}

type order struct {
	Verb  string   `json:"verb"`
	Piece string   `json:"piece"`
	Try   uint64   `json:"try"`
	WindS *float64 `json:"windS"`
}

// execute carries out commands in order. The platform's lock is held.
func (b *box) execute(orders []order) {
	for _, o := range orders {
		var same *piece
		isElsewhere := false
		for _, t := range b.pieces {
			switch {
			case t.id == o.Piece && t.try == o.Try:
				same = t
			case t.id == o.Piece && t.stage != "exited":
				isElsewhere = true
			}
		}
		switch {
		case o.Verb == "run" && same == nil:
			b.start(o, isElsewhere)
		case o.Verb == "halt" && same != nil:
			same.exit("stopped")
		case o.Verb == "reap" && same != nil && same.stage == "exited":
			kept := b.pieces[:0]
			for _, t := range b.pieces {
				if t != same {
					kept = append(kept, t)
				}
			}
			b.pieces = kept
		}
	}
}

// roomMargin allows for the rounding of sums of binary fractions.
const roomMargin = 1e-9

func (b *box) start(o order, isElsewhere bool) {
	t := &piece{box: b, id: o.Piece, try: o.Try}
	b.pieces = append(b.pieces, t)
	id, index, _ := strings.Cut(o.Piece, "/")
	t.job = b.p.jobs[id]
	number, err := strconv.Atoi(index)
	if t.job == nil || err != nil || number < 0 || number >= t.job.pieces {
		t.exit("no_such")
		return
	}
	if isElsewhere {
		t.exit("in_use")
		return
	}
	cores, gpus, ramGb := t.job.cores, t.job.gpus, t.job.ramGb
	for _, other := range b.pieces {
		if other != t && other.stage != "exited" && other.job != nil {
			cores, gpus, ramGb = cores+other.job.cores, gpus+other.job.gpus, ramGb+other.job.ramGb
		}
	}
	if cores > b.rig.cores+roomMargin || gpus > b.rig.gpus+roomMargin || ramGb > b.rig.ramGb+roomMargin {
		t.exit("no_room")
		return
	}
	t.stage, t.readyAt = "fetching", time.Now()
	if !b.images[t.job.bundle] {
		t.readyAt = t.readyAt.Add(time.Duration(t.job.pullGb / b.rig.pullGbPerS * float64(time.Second)))
	}
	b.p.r.logf("worker %s: %s attempt %d is started", b.name, t.id, t.try)
	b.report()
}

// ServeHTTP serves POST /commands and GET /status.
func (b *box) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10+1))
	if err != nil {
		return
	}
	b.p.mu.Lock()
	defer b.p.mu.Unlock()
	if b.isGone || !b.isUp {
		panic(http.ErrAbortHandler)
	}
	if r.Method == "GET" && r.URL.Path == "/status" {
		writeJSON(w, 200, b.reportBody())
		return
	}
	var asked struct {
		Baton  *uint64 `json:"baton"`
		Shift  *uint64 `json:"shift"`
		Orders []order `json:"orders"`
	}
	if json.Unmarshal(body, &asked) != nil || asked.Baton == nil || asked.Shift == nil {
		writeJSON(w, 400, object{})
		return
	}
	if *asked.Baton < b.baton || *asked.Shift != b.shift {
		writeJSON(w, 409, b.reportBody())
		return
	}
	b.see(*asked.Baton)
	b.execute(asked.Orders)
	writeJSON(w, 200, b.reportBody())
}

// see notes a token, which counts as a change at most once per half of a lease.
func (b *box) see(token uint64) {
	if token <= b.baton {
		return
	}
	b.baton = token
	if now := time.Now(); now.Sub(b.tokenReportedAt).Seconds() > b.p.d.workers.leaseS/2 {
		b.tokenReportedAt = now
		b.report()
	}
}

// run boots the machine and reports until it is gone.
func (b *box) run(boot time.Duration) {
	time.Sleep(boot)
	p := b.p
	p.mu.Lock()
	if b.isGone {
		p.mu.Unlock()
		return
	}
	b.isUp, b.upAt, b.leaseFrom = true, time.Now(), time.Now()
	p.r.logf("cloud: %s is up, %.1f s after its rental", b.name, time.Since(b.rentedAt).Seconds())
	p.mu.Unlock()
	client := &http.Client{Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	node := rand.IntN(len(p.d.names))
	wait := time.Duration(0)
	for {
		sentLast := time.Now()
		timer := time.NewTimer(wait)
		select {
		case <-p.done:
			return
		case <-timer.C:
		case <-b.wake:
			timer.Stop()
			time.Sleep(time.Until(sentLast.Add(500 * time.Millisecond))) // no more often than every half second
		}
		p.mu.Lock()
		if b.isGone {
			p.mu.Unlock()
			return
		}
		sentAt, shift := time.Now(), b.shift
		body, err := json.Marshal(b.reportBody())
		p.mu.Unlock()
		if err != nil {
			panic(err)
		}
		status, answer := post(client, "http://"+p.d.serve[p.d.names[node]]+"/checkin", body)
		wait = time.Second
		switch {
		case status == 200:
			wait = time.Duration(p.d.workers.reportS * (0.75 + rand.Float64()/2) * float64(time.Second))
			b.apply(answer, sentAt, shift)
		case status == 421:
			var redirect struct {
				Foreman string `json:"foreman"`
			}
			json.Unmarshal(answer, &redirect) //nolint:errcheck // without a name it tries the next node
			target := -1
			for i, name := range p.d.names {
				if name == redirect.Foreman && i != node {
					target = i
				}
			}
			if target >= 0 {
				node, wait = target, time.Duration(rand.IntN(500))*time.Millisecond
			} else {
				node = (node + 1) % len(p.d.names)
			}
		default:
			node = (node + 1) % len(p.d.names)
		}
	}
}

// apply takes the response to a report of a session.
func (b *box) apply(answer []byte, sentAt time.Time, shift uint64) {
	var response struct {
		Baton  *uint64 `json:"baton"`
		Orders []order `json:"orders"`
	}
	if json.Unmarshal(answer, &response) != nil || response.Baton == nil {
		return
	}
	b.p.mu.Lock()
	defer b.p.mu.Unlock()
	if b.isGone || *response.Baton < b.baton || shift != b.shift {
		return
	}
	b.see(*response.Baton)
	b.leaseFrom = sentAt
	b.execute(response.Orders)
}

func post(client *http.Client, url string, body []byte) (status int, answer []byte) {
	response, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}
