package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// cases are the cases by name.
var cases = map[string]func(*run) int{
	"shortage": shortage, "staggered": staggered, "limits": limits, "replicas": replicas, "halves": halves,
}

// start starts a deployment's stand-ins and controllers, and waits until all controllers are up.
func (r *run) start(d deployment, flavors []flavor) (*store, *platform, func()) {
	s, stopStore := newStore(r, d.state)
	p, stopPlatform := newPlatform(r, d, flavors)
	r.startControllers(d, s.address, p.address)
	r.waitReady()
	return s, p, func() { stopPlatform(); stopStore() }
}

// shortage: a gang is submitted while the cloud has no machines for 25 s.
func shortage(r *run) int {
	d, flavors := floodline()
	_, p, stop := r.start(d, flavors)
	defer stop()
	const shortageS = 25
	submittedAt := time.Now()
	if r.hasTrouble {
		p.capacity = func(string, bool) int {
			if time.Since(submittedAt).Seconds() < shortageS {
				return 0
			}
			return 80
		}
	}
	j := &job{id: "req-000101", shape: "ensemble", bundle: "flood-07", pieces: 2, cores: 10, gpus: 2, ramGb: 77, pullGb: 1, run: 20 * time.Second}
	p.addJob(j)
	if status := r.submit(0, submission(j, "deltawatch", "floodnet-train", "urgent", true, true, false, 20)); status != 201 {
		panic(notRun("the gang was not accepted"))
	}
	backAt := submittedAt
	if r.hasTrouble {
		time.Sleep(time.Until(submittedAt.Add(shortageS * time.Second)))
		backAt = time.Now()
		r.logf("cloud: there are machines again, of both kinds")
	}
	for time.Since(submittedAt).Seconds() < 100 && len(p.startsOf(j.id)) < j.pieces {
		time.Sleep(time.Second)
	}
	r.poll(j.id)
	started, asked := len(p.startsOf(j.id)), p.rentalsSince(backAt)
	r.logf("%.0f s after the submission: %d of 2 tasks have started; rental requests since there are machines: %d, in %.0f s", time.Since(submittedAt).Seconds(), started, asked, time.Since(backAt).Seconds())
	if started == 0 && asked == 0 {
		return exitBroken
	}
	return exitHeld
}

// staggered: of the two machines that a gang needs, the first comes up within 2 s and all others after 35 s.
func staggered(r *run) int {
	d, flavors := floodline()
	_, p, stop := r.start(d, flavors)
	defer stop()
	if r.hasTrouble {
		p.bootTime = func(n int) time.Duration {
			if n == 0 {
				return 2 * time.Second
			}
			return 35 * time.Second
		}
	}
	j := &job{id: "req-000201", shape: "ensemble", bundle: "flood-07", pieces: 2, cores: 10, gpus: 2, ramGb: 77, pullGb: 1, run: 20 * time.Second}
	p.addJob(j)
	submittedAt := time.Now()
	if status := r.submit(0, submission(j, "deltawatch", "floodnet-train", "urgent", true, true, false, 20)); status != 201 {
		panic(notRun("the gang was not accepted"))
	}
	for r.seconds() < 113 && len(p.startsOf(j.id)) < j.pieces {
		time.Sleep(time.Second)
	}
	r.poll(j.id)
	p.mu.Lock()
	rented, deleted := p.count, p.deletes
	p.mu.Unlock()
	started := len(p.startsOf(j.id))
	r.logf("%.0f s after the submission: %d of 2 tasks have started; %d machines rented for them, %d of these given back unused", time.Since(submittedAt).Seconds(), started, rented, deleted)
	if started == 0 && deleted >= 3 {
		return exitBroken
	}
	return exitHeld
}

// limits: the state service lowers its limits, as announced, and then users withdraw jobs that await many others.
func limits(r *run) int {
	d, flavors := kingston()
	d.next = map[string]any{"value_kb": 2.0, "txn_ops": 16, "write_rps": 56.0}
	s, p, stop := r.start(d, flavors)
	defer stop()
	const first, last = 105, 135 // how many jobs the withdrawn jobs await
	var ids []string
	var group sync.WaitGroup
	slots := make(chan struct{}, 12)
	accepted := make(chan bool, last+last)
	for i := range last {
		j := &job{id: fmt.Sprintf("req-%06d", 1000+i), shape: "array", bundle: "img-gather", pieces: 1, cores: 0.1, ramGb: 0.2, pullGb: 0.1, run: 600 * time.Second}
		ids = append(ids, j.id)
		p.addJob(j)
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			accepted <- r.submit(i, submission(j, "pitchcrew", "gather", "low", false, false, false, 600)) == 201
		})
	}
	group.Wait()
	var withdrawn []string
	for n := first; n <= last; n++ {
		j := &job{id: fmt.Sprintf("req-%06d", 2000+n), shape: "array", bundle: "img-payout", pieces: 2, cores: 1, ramGb: 3.2, pullGb: 0.1, run: 8 * time.Second}
		p.addJob(j)
		withdrawn = append(withdrawn, j.id)
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			body := submission(j, "pitchcrew", "payout", "urgent", false, false, false, 8)
			body["awaits"], body["dueS"] = ids[:n], 900.0
			accepted <- r.submit(n, body) == 201
		})
	}
	group.Wait()
	close(accepted)
	for ok := range accepted {
		if !ok {
			panic(notRun("a job was not accepted"))
		}
	}
	if r.hasTrouble {
		s.setLimits(stateLimits{200, 56, 2, 16})
		r.logf("state service: the announced limits hold from now on: values up to 2 KiB, 16 changes a transaction, 56 changes a second")
	}
	answers := make([]int, len(withdrawn))
	for i, id := range withdrawn {
		group.Go(func() {
			status, answer, attempts := r.repeat(i, "/api/jobs/"+id+"/withdraw", object{})
			answers[i] = status
			r.logf("user: POST /api/jobs/%s/withdraw -> %d %s (attempt %d); its record has %d bytes", id, status, strings.TrimSpace(string(answer)), attempts, len(s.value("firwood/job/"+id)))
		})
	}
	group.Wait()
	var unanswered []string
	for i, id := range withdrawn {
		if answers[i] != 200 {
			unanswered = append(unanswered, id)
		}
	}
	r.logf("%d of %d withdrawals got one of their two answers within 60 s; without: %v", len(withdrawn)-len(unanswered), len(withdrawn), unanswered)
	if len(unanswered) == len(withdrawn) {
		panic(notRun("no withdrawal was answered"))
	}
	if len(unanswered) > 0 {
		r.poll(unanswered[0])
		return exitBroken
	}
	return exitHeld
}

// replicas: a service that may use spot machines needs two, and the cloud has one of them, but many ordinary ones.
func replicas(r *run) int {
	d, flavors := kingston()
	_, p, stop := r.start(d, flavors)
	defer stop()
	p.bootTime = func(int) time.Duration { return 10 * time.Second }
	if r.hasTrouble {
		p.capacity = func(yard string, loaners bool) int {
			switch {
			case !loaners:
				return 10
			case yard == "portmore":
				return 1
			}
			return 0
		}
	}
	j := &job{id: "req-000301", shape: "service", bundle: "img-stall", pieces: 2, cores: 12, ramGb: 40, pullGb: 0.8}
	p.addJob(j)
	submittedAt := time.Now()
	if status := r.submit(0, submission(j, "pitchcrew", "stallbook", "production", true, false, false, 0)); status != 201 {
		panic(notRun("the service was not accepted"))
	}
	for r.seconds() < 113 && p.onMachines(j.id, "running") < 2 {
		time.Sleep(time.Second)
	}
	r.poll(j.id)
	running, ordinary := p.onMachines(j.id, "running"), 0
	p.mu.Lock()
	for _, asked := range p.rentals {
		if !asked.loaners {
			ordinary++
		}
	}
	p.mu.Unlock()
	r.logf("%.0f s after the submission: %d of 2 replicas run; requests for ordinary machines: %d", time.Since(submittedAt).Seconds(), running, ordinary)
	if running < 2 && ordinary == 0 {
		return exitBroken
	}
	return exitHeld
}

// halves: a service that may not be stopped uses half of the only machine, and a gang of two tasks needs half of a
// machine for each.
func halves(r *run) int {
	d, flavors := kingston()
	_, p, stop := r.start(d, flavors)
	defer stop()
	if r.hasTrouble {
		for i := range 2 {
			j := &job{id: fmt.Sprintf("req-%06d", 501+i), shape: "service", bundle: "img-stall", pieces: 1, cores: 4, ramGb: 15, pullGb: 1.8}
			p.addJob(j)
			if status := r.submit(i, submission(j, "pitchcrew", "stallbook", "production", false, false, false, 0)); status != 201 {
				panic(notRun("the service was not accepted"))
			}
			for p.onMachines(j.id, "running") < 1 {
				if r.seconds() > 45 {
					panic(notRun("the service does not run"))
				}
				time.Sleep(500 * time.Millisecond)
			}
		}
	}
	j := &job{id: "req-000510", shape: "ensemble", bundle: "img-match", pieces: 2, cores: 8, ramGb: 30, pullGb: 0.7, run: 10 * time.Second}
	p.addJob(j)
	submittedAt := time.Now()
	if status := r.submit(2, submission(j, "pitchcrew", "reconcile", "standard", false, false, false, 10)); status != 201 {
		panic(notRun("the gang was not accepted"))
	}
	for r.seconds() < 113 && len(p.startsOf(j.id)) < j.pieces {
		time.Sleep(time.Second)
	}
	r.poll(j.id)
	started, asked := len(p.startsOf(j.id)), p.rentalsSince(submittedAt)
	r.logf("%.0f s after the submission: %d of 2 tasks have started; rental requests since then: %d", time.Since(submittedAt).Seconds(), started, asked)
	if started == 0 && asked == 0 {
		return exitBroken
	}
	return exitHeld
}
