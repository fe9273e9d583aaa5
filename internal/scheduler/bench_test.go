package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// fleet makes a ledger of n machines, most of them spot, that are filled to
// the given part by running tasks of arrays and replicas, with so many more
// arrays and services waiting.
func fleet(n int, filled float64, waiting int) *scene {
	s := newScene(map[string]allocation.TeamQuota{"a": {}, "b": {}})
	rng := rand.New(rand.NewPCG(uint64(n), 8))
	var ms []*allocation.Machine
	for i := 0; i < n; i++ {
		ms = append(ms, s.machine(fmt.Sprintf("i-%06d", i), "big", []string{"x", "y", "z"}[i%3], i%4 != 0))
	}
	id := 0
	add := func(service bool, tasks int) *allocation.Job {
		id++
		w := wire.Job{ID: fmt.Sprintf("req-%06d", id), Class: "array", Team: "a", Tasks: tasks, CPUs: 4, MemoryGB: 9, Spot: true,
			EstimateS: 20 + 60*rng.Float64(), Priority: wire.PriorityHigh, Image: fmt.Sprint("array-", id%4), ImageGB: 0.6}
		if service {
			w.Class, w.Team, w.CPUs, w.MemoryGB, w.Spot, w.EstimateS = "service", "b", 1, 2, false, 0
			w.Kind, w.Priority, w.Spread, w.Image = wire.KindService, wire.PriorityProduction, true, fmt.Sprint("service-", id%16)
		}
		return s.job(w)
	}
	orders := map[*allocation.Machine]*wire.Report{}
	for _, m := range ms {
		s.seqs[m.Name]++
		orders[m] = &wire.Report{Machine: m.Name, Session: 1, Seq: s.seqs[m.Name], Token: 1, Addr: "127.0.0.1:1"}
	}
	fill := func(spot bool, size int) {
		var j *allocation.Job
		next := 0
		for _, m := range ms {
			if m.Spot != spot {
				continue
			}
			for float64(m.Used().MilliCPU) < filled*float64(m.Capacity.MilliCPU) {
				if j == nil || next == len(j.Tasks) {
					j, next = add(!spot, size), 0
					j.Spec.Spread = false
				}
				if !j.Request.IsWithin(m.Free()) {
					break
				}
				if err := s.l.PlaceTask(j, next, m, s.l.NextAttempt(), s.now); err != nil {
					panic(err)
				}
				p := j.Tasks[next].Placement
				orders[m].Tasks = append(orders[m].Tasks, wire.TaskReport{Task: wire.TaskID(j.Spec.ID, next), Attempt: p.Attempt, State: wire.TaskRunning})
				next++
			}
		}
	}
	fill(true, 90)
	fill(false, 8)
	s.now += clock.Second
	for _, m := range ms {
		s.l.BuildCommandRequest(m, s.now)
		s.l.RecordHeartbeat(m, orders[m], s.now)
	}
	s.now += 10 * clock.Second
	for i := 0; i < waiting; i++ {
		add(i%3 == 0, []int{90, 8}[btoi(i%3 == 0)])
	}
	return s
}

const plansAtOnce = 10

// The curve of a plan over the size of the fleet: with nothing to do, with a
// queue before a full fleet, and with a queue as at the start of a day.
func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct {
		name    string
		filled  float64
		waiting int
	}{{"quiet", 0.9, 0}, {"full", 1, 40}, {"start", 0, 300}, {"start of a large day", 0, 900}} {
		for _, n := range []int{500, 1500, 4000, 6000} {
			b.Run(fmt.Sprintf("%s/%d", c.name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					b.StopTimer()
					s := fleet(n, c.filled, c.waiting)
					b.StartTimer()
					// As a leader does it: again and again, with little changed.
					for i := 0; i < plansAtOnce; i++ {
						s.pl.Plan(s.l, s.now, s.now, nil)
						s.now += clock.Second / plansAtOnce
					}
				}
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*plansAtOnce), "us/plan")
			})
		}
	}
}

// What a plan allocates follows what waits, not the size of the fleet.
func TestPlanGrowsWithWhatWaits(t *testing.T) {
	allocs := func(machines, waiting int) float64 {
		s := fleet(machines, 1, waiting)
		return testing.AllocsPerRun(5, func() {
			s.pl.Plan(s.l, s.now, s.now, nil)
			s.now += 100 * clock.Millisecond
		})
	}
	small, large := allocs(100, 6), allocs(2000, 6)
	if large > 2*small {
		t.Errorf("a plan before 100 machines allocates %v times, before 2000 %v times", small, large)
	}
	if more := allocs(100, 60); more < 2*small {
		t.Errorf("ten times the queue allocates %v times, against %v: the test counts the wrong thing", more, small)
	}
}

// The fast placement decides as the plain one does: every machine scored for
// every job, sorted in full, and for a spread job sorted anew for every task.
func TestPlacementAgainstThePlainOne(t *testing.T) {
	placed := 0
	for seed := uint64(1); seed <= 300; seed++ {
		build := func() (*scene, []*allocation.Job) {
			rng := rand.New(rand.NewPCG(seed, 21))
			s := newScene(map[string]allocation.TeamQuota{"a": {MaxMilliCPU: int64(20+rng.IntN(100)) * 1000}})
			for i := rng.IntN(30); i >= 0; i-- {
				m := s.machine(fmt.Sprintf("i-%02d", i), []string{"big", "small"}[rng.IntN(2)], []string{"x", "y", "z"}[rng.IntN(3)], rng.IntN(2) == 0)
				if rng.IntN(2) == 0 {
					m.ImageUsedAt[fmt.Sprint("img-", rng.IntN(3))] = s.now
				}
			}
			var jobs []*allocation.Job
			for i := 0; i < 1+rng.IntN(8); i++ {
				w := wire.Job{ID: fmt.Sprintf("req-%06d", i), Team: "a", Tasks: 1 + rng.IntN(12), CPUs: float64(1 + rng.IntN(4)), MemoryGB: float64(1 + rng.IntN(8)),
					EstimateS: float64(5 + rng.IntN(90)), Spot: rng.IntN(2) == 0, Image: fmt.Sprint("img-", rng.IntN(3))}
				if rng.IntN(3) == 0 {
					w.Kind, w.EstimateS, w.Spread = wire.KindService, 0, true
				}
				jobs = append(jobs, s.job(w))
			}
			return s, jobs
		}
		place := func(s *scene, how func(r *round, e *entry)) map[string]string {
			q := s.pl.queue(s.l, nil, s.now, s.now)
			r := s.pl.round(s.l, q, s.now)
			for _, e := range q {
				e.limit = r.allowance(e.job)
				how(r, e)
			}
			got := map[string]string{}
			for _, j := range s.l.Jobs {
				j.ForEachPlacement(func(p *allocation.Placement) { got[wire.TaskID(j.Spec.ID, p.TaskIndex)] = p.Machine.Name })
			}
			return got
		}
		a, _ := build()
		fast := place(a, func(r *round, e *entry) { r.placeTasks(e) })
		b, _ := build()
		plain := place(b, func(r *round, e *entry) {
			j := e.job
			scores := map[*allocation.Machine]float64{}
			for _, m := range r.machines {
				scores[m] = r.score(j, m)
			}
			for k := 0; k < min(len(e.tasks), e.limit); k++ {
				var best *allocation.Machine
				for _, m := range r.machines {
					if !m.IsSchedulable() || !allocation.IsEligible(j, m) || !j.Request.IsWithin(r.free(m)) {
						continue
					}
					if j.Spec.Spread && best != nil && j.CountInZone(m.Zone) > j.CountInZone(best.Zone) {
						continue
					}
					if best == nil || j.Spec.Spread && j.CountInZone(m.Zone) < j.CountInZone(best.Zone) || scores[m] > scores[best] {
						best = m
					}
				}
				if best == nil || r.l.PlaceTask(j, e.tasks[k], best, r.l.NextAttempt(), r.now) != nil {
					return
				}
			}
		})
		if len(fast) != len(plain) {
			t.Fatalf("scene %d: %d tasks placed, plainly %d", seed, len(fast), len(plain))
		}
		for id, m := range plain {
			if fast[id] != m {
				t.Fatalf("scene %d: %s goes to %s, plainly to %s", seed, id, fast[id], m)
			}
		}
		placed += len(plain)
	}
	if placed < 2000 {
		t.Fatalf("only %d tasks were placed", placed)
	}
}
