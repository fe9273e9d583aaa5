//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// cases are the cases of the review. Each plays its events and returns the rules that were broken, besides those that
// the workers' stand-ins have found.
var cases = map[string]func(rec *Record, program []string, trouble bool) []string{
	"all-crash":   allCrash,
	"cancelled":   cancelled,
	"zero-amount": zeroAmount,
}

// begin starts the controllers and waits until they are healthy and one of them leads.
func begin(rec *Record, program []string, o Options, trouble bool) *Site {
	site = newSite(rec, program, o, trouble)
	for _, n := range site.nodes {
		site.startNode(n)
	}
	go site.watchMemory()
	if !site.healthy(20*time.Second) || site.waitLeader(20*time.Second) == nil {
		fatal(2, "the controllers don't get healthy")
	}
	rec.add("leader: %s", site.leader().name)
	return site
}

// all calls f for 0 to n-1, a few at a time.
func all(n, width int, f func(i int)) {
	var group sync.WaitGroup
	slots := make(chan bool, width)
	for i := range n {
		group.Add(1)
		slots <- true
		go func() {
			defer group.Done()
			f(i)
			<-slots
		}()
	}
	group.Wait()
}

// waitFor waits until f holds; it is called with the world's lock held.
func (s *Site) waitFor(what string, limit time.Duration, f func() bool) {
	for end := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		s.world.mu.Lock()
		ok := f()
		s.world.mu.Unlock()
		if ok {
			return
		}
		if time.Now().After(end) {
			fatal(2, "it took too long: %s", what)
		}
	}
}

// waitDone asks for a job until it is called done.
func (s *Site) waitDone(id string, first int, limit time.Duration) {
	for k, end := first, time.Now().Add(limit); ; k++ {
		if _, stage, _ := s.stage(s.nodes[k%len(s.nodes)], id); stage == "done" {
			return
		}
		if time.Now().After(end) {
			fatal(2, "%s is not done in time", id)
		}
		time.Sleep(time.Second)
	}
}

// single returns an array of one task for the Kingston deployment.
func single(id int, lot string, cores, runS float64, awaits ...string) *JobSpec {
	j := job(id, "array", 1, cores, 4, runS)
	j.Lot, j.Rank, j.Crew, j.Awaits = lot, "standard", fmt.Sprintf("pitchcrew-%d", id%12), awaits
	return j
}

func name(id int) string { return fmt.Sprintf("req-%06d", id) }

// allCrash is case 1. Pipelines of two jobs: the first are done, the second run. Meanwhile more other jobs have ended than
// a controller caches. Then all controllers end at once and are back 3 s later.
func allCrash(rec *Record, program []string, trouble bool) []string {
	const pipelines, others, cores = 28, 130, 8
	o := kingston()
	o.Settings = "finished_jobs: 100\n"
	s := begin(rec, program, o, trouble)
	w := s.world
	rec.add("== the first jobs of %d pipelines", pipelines)
	all(pipelines, 8, func(i int) { s.submit(single(1000+i, "gather", 1, 0.5), i) })
	all(pipelines, 8, func(i int) { s.waitDone(name(1000+i), i, 30*time.Second) })
	rec.add("== the second jobs, which run long, and as many others beside them")
	all(2*pipelines, 8, func(i int) {
		if i%2 == 0 {
			s.submit(single(2000+i/2, "tally", cores, 300, name(1000+i/2)), i)
		} else {
			s.submit(single(4000+i/2, "gather", cores, 300), i)
		}
	})
	s.waitFor("these jobs run", 40*time.Second, func() bool {
		for i := range pipelines {
			if w.starts[name(2000+i)] == 0 || w.starts[name(4000+i)] == 0 {
				return false
			}
		}
		return true
	})
	rec.add("== %d further jobs are submitted and cancelled, and then the others beside the second jobs are", others)
	all(others, 8, func(i int) {
		s.submit(single(3000+i, "gather", 1, 5), i)
		s.withdraw(name(3000+i), i, 10*time.Second)
	})
	all(pipelines, 8, func(i int) { s.withdraw(name(4000+i), i, 10*time.Second) })
	time.Sleep(3 * time.Second)
	before := len(w.startLog())
	if trouble {
		rec.add("== all controllers end, and are back 3 s later")
		var group sync.WaitGroup
		for _, n := range s.nodes {
			group.Add(1)
			go func() {
				defer group.Done()
				s.kill(n)
				time.Sleep(3 * time.Second)
				s.startNode(n)
			}()
		}
		group.Wait()
	}
	time.Sleep(15 * time.Second)
	rec.add("tasks that were started after that: %v", w.startLog()[before:])
	return nil
}

// cancelled is case 2. A job needs two others, which run. One of these is cancelled, and the job with it. After more other
// jobs have ended than a controller caches, the second one completes.
func cancelled(rec *Record, program []string, trouble bool) []string {
	const others = 130
	o := kingston()
	o.Settings = "finished_jobs: 100\n"
	s := begin(rec, program, o, trouble)
	s.submit(single(1, "tally", 1, 45), 0)
	s.submit(single(2, "feesplit", 1, 45), 1)
	s.submit(single(3, "payout", 1, 5, name(1), name(2)), 2)
	if trouble {
		rec.add("== %s is cancelled, and %s with it", name(2), name(3))
		s.withdraw(name(2), 0, 10*time.Second)
		s.stage(s.nodes[1], name(3))
	}
	rec.add("== one-task jobs, four a second, a quarter of them cancelled")
	all(others, 20, func(i int) {
		time.Sleep(time.Duration(i%20) * 265 * time.Millisecond)
		s.submit(single(1000+i, "gather", 1, 1), i)
		if i%4 == 0 {
			s.withdraw(name(1000+i), i, 10*time.Second)
		}
		time.Sleep(time.Duration(19-i%20) * 265 * time.Millisecond)
	})
	s.waitFor(name(1)+" completes", 60*time.Second, func() bool { return s.world.dones[name(1)] == 1 })
	for i := range 10 {
		time.Sleep(time.Second)
		s.stage(s.nodes[i%3], name(1))
	}
	var broken []string
	for _, n := range s.nodes {
		if n.ended > 0 {
			broken = append(broken, fmt.Sprintf("node_restarts: %s ended by itself, %d times", n.name, n.ended))
		}
	}
	return broken
}

// zeroAmount is case 3. A gang is submitted whose amounts have all been left at 0, and it is accepted. Ordinary jobs follow.
func zeroAmount(rec *Record, program []string, trouble bool) []string {
	s := begin(rec, program, tilehaven(), trouble)
	gang := job(1, "ensemble", 4, 0, 0, 5)
	if !trouble {
		gang.Cores, gang.RAM = 1, 2
	}
	if !s.submit(gang, 0) {
		rec.add("the gang was refused, which is fair")
		gang = nil
	}
	var ordinary []*JobSpec
	for i := range 95 {
		if i%10 == 0 {
			j := job(100+i, "array", 4, 1, 2, 5)
			ordinary = append(ordinary, j)
			s.submit(j, i)
		}
		for k, j := range ordinary {
			if (i+k)%5 == 0 {
				s.stage(s.nodes[(i+k)%3], j.ID)
			}
		}
		time.Sleep(time.Until(rec.start.Add(time.Duration(i+3) * time.Second)))
	}
	var broken []string
	starts := len(s.world.startLog())
	rec.add("tasks started: %d; processes over the memory limit: %d", starts, s.overMemory)
	if starts == 0 {
		broken = append(broken, fmt.Sprintf("nothing_ran: no task was started in %.0f s; controllers ended for memory %d times", time.Since(rec.start).Seconds(), s.overMemory))
	} else if s.overMemory > 0 {
		broken = append(broken, fmt.Sprintf("node_restarts: controllers ended for memory %d times", s.overMemory))
	}
	return broken
}
