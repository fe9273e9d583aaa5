package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// run plays workers for a second: what was placed starts, what is through with
// its time completes.
func (s *scene) run(took, first map[*allocation.Job]clock.Micros) {
	s.now += clock.Second
	for _, m := range s.l.SortedMachines() {
		s.seqs[m.Name]++
		r := &wire.Report{Machine: m.Name, Session: 1, Seq: s.seqs[m.Name], Token: 1, Addr: "127.0.0.1:1"}
		m.ForEachPlacement(func(p *allocation.Placement) {
			t := wire.TaskReport{Task: wire.TaskID(p.Job.Spec.ID, p.TaskIndex), Attempt: p.Attempt, State: wire.TaskRunning}
			if p.StartedAt != 0 && s.now-p.StartedAt >= took[p.Job] {
				t.State, t.Why = wire.TaskExited, wire.WhyDone
			}
			r.Tasks = append(r.Tasks, t)
		})
		s.l.RecordHeartbeat(m, r, s.now)
	}
	for _, p := range s.l.Started {
		if first[p.Job] == 0 {
			first[p.Job] = s.now
		}
	}
	s.l.Exited, s.l.Started = nil, nil
	for _, j := range s.l.Jobs {
		if j.IsComplete() {
			s.l.MarkDurable(j, j.UnpersistedCompletions())
			s.l.RemoveJob(j)
		}
	}
}

// Under a load above what the fleet can do, smallest first would have the large
// wait for as long as small ones come. Over generated loads the largest begin
// within four minutes, and at least half of every class and team is begun.
func TestNobodyStarvesUnderOverload(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		rng := rand.New(rand.NewPCG(seed, 12))
		s := newScene(map[string]allocation.TeamQuota{"a": {GuaranteedMilliCPU: 64000, MaxMilliCPU: 160000}, "b": {GuaranteedMilliCPU: 64000, MaxMilliCPU: 160000}})
		for i := 0; i < 12; i++ {
			s.machine(fmt.Sprintf("i-%02d", i), "big", []string{"x", "y", "z"}[i%3], true)
		}
		took, first := map[*allocation.Job]clock.Micros{}, map[*allocation.Job]clock.Micros{}
		type sub struct {
			j    *allocation.Job
			at   clock.Micros
			size int
		}
		var all []sub
		for sec := 0; sec < 900; sec++ {
			// 48 tasks fit at a time; what comes asks for half as much again.
			if sec < 660 && rng.IntN(10) == 0 {
				size, class := 2+rng.IntN(20), "short"
				if rng.IntN(6) == 0 {
					size, class = 40+rng.IntN(60), "large"
				}
				run := 10 + 30*rng.Float64()
				w := wire.Job{ID: fmt.Sprintf("req-%06d", len(all)), Class: class, Team: []string{"a", "b"}[rng.IntN(2)], Tasks: size,
					CPUs: 4, MemoryGB: 14, Spot: true, EstimateS: run, DeadlineS: 2*run + 30}
				j := s.job(w)
				took[j] = clock.FromSeconds(run)
				all = append(all, sub{j, s.now, size})
			}
			s.pl.Plan(s.l, s.now, s.now, nil)
			s.run(took, first)
		}
		slices.SortFunc(all, func(a, b sub) int { return b.size - a.size })
		begun, count := map[string]int{}, map[string]int{}
		for i, k := range all {
			at := first[k.j]
			for _, g := range []string{k.j.Spec.Class, k.j.Spec.Team} {
				count[g]++
				begun[g] += btoi(at != 0)
			}
			if i < len(all)/10 && (at == 0 || at-k.at > 240*clock.Second) {
				t.Errorf("load %d: %s with %d tasks begins after %v", seed, k.j.Spec.ID, k.size, (at - k.at).Seconds())
			}
		}
		for g, n := range count {
			if 2*begun[g] < n {
				t.Errorf("load %d: %d of %d of %s were begun", seed, begun[g], n, g)
			}
		}
	}
}
