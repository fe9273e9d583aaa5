package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// shows has a machine report all that the ledger has placed on it, in a state.
func (s *scene) shows(m *allocation.Machine, state string) {
	s.l.HeartbeatCommands(m, s.now)
	var tasks []wire.TaskReport
	m.ForEachPlacement(func(p *allocation.Placement) {
		if !p.IsStopping() {
			tasks = append(tasks, wire.TaskReport{Task: wire.TaskID(p.Job.Spec.ID, p.TaskIndex), Attempt: p.Attempt, State: state})
		}
	})
	s.seqs[m.Name] += 2
	s.l.RecordHeartbeat(m, &wire.Report{Machine: m.Name, Session: 1, Seq: s.seqs[m.Name], Token: 1, Tasks: tasks}, s.now)
}

func (s *scene) plan() Decision { return s.pl.Plan(s.l, s.now, s.now, nil) }

// crowded has machines with two cards each, both taken by tasks of an array that end
// at different times.
func crowded(t *testing.T, machines int, spec wire.Job) (*scene, *allocation.Job) {
	t.Helper()
	s := newScene(map[string]allocation.TeamQuota{"a": {}, "b": {}})
	spec.ID, spec.Tasks, spec.CPUs, spec.GPUs, spec.Team = "req-000001", 2*machines, 5, 1, "a"
	batch := s.job(spec)
	for i := range machines {
		m := s.machine(fmt.Sprintf("i-%02d", i), "big", "x", false)
		for k := range 2 {
			if err := s.l.PlaceTask(batch, 2*i+k, m, s.l.NextAttempt(), s.now); err != nil {
				t.Fatal(err)
			}
		}
		s.shows(m, wire.TaskRunning)
	}
	for _, z := range []string{"x", "y", "z"} {
		s.pl.Refused(Pool{"big", z, false}, s.now+10*clock.Second)
		s.pl.Refused(Pool{"big", z, true}, s.now+10*clock.Second)
	}
	return s, batch
}

func stopping(j *allocation.Job) (n int) {
	j.ForEachPlacement(func(p *allocation.Placement) {
		if p.IsStopping() {
			n++
		}
	})
	return n
}

func (s *scene) end(j *allocation.Job, i int) {
	m := j.Tasks[i].Placement.Machine
	var tasks []wire.TaskReport
	m.ForEachPlacement(func(p *allocation.Placement) {
		r := wire.TaskReport{Task: wire.TaskID(p.Job.Spec.ID, p.TaskIndex), Attempt: p.Attempt, State: wire.TaskRunning}
		if p.Job == j && p.TaskIndex == i {
			r.State, r.Why = wire.TaskExited, wire.WhyDone
		}
		tasks = append(tasks, r)
	})
	s.seqs[m.Name] += 2
	s.l.RecordHeartbeat(m, &wire.Report{Machine: m.Name, Session: 1, Seq: s.seqs[m.Name], Token: 1, Tasks: tasks}, s.now)
}

// A card that falls free is kept for a gang whose turn it is, until the machine's
// other card is free too; it once went to the next array task every time, and gangs
// waited for as long as there were any.
func TestAGangKeepsRoomUntilItHasEnough(t *testing.T) {
	s, batch := crowded(t, 1, wire.Job{EstimateS: 20})
	gang := s.job(wire.Job{ID: "req-000002", Team: "b", Kind: wire.KindGang, Tasks: 1, CPUs: 10, GPUs: 2, EstimateS: 60, Priority: wire.PriorityNormal})
	small := s.job(wire.Job{ID: "req-000003", Team: "b", Tasks: 5, CPUs: 5, GPUs: 1, EstimateS: 90})
	s.now += 18 * clock.Second
	s.end(batch, 0)
	s.plan()
	if small.ActiveCount() != 0 {
		t.Fatal("a card that a gang waits for went to an array")
	}
	s.end(batch, 1)
	s.plan()
	if gang.ActiveCount() != 1 || small.ActiveCount() != 0 {
		t.Fatalf("the gang has %d places, the array %d", gang.ActiveCount(), small.ActiveCount())
	}
}

// A claim that could not be filled within what a rented machine takes is not made:
// the room serves others meanwhile. A gang that has waited too long makes it all the
// same, so that the largest begins too.
func TestAClaimIsBounded(t *testing.T) {
	for _, aged := range []bool{false, true} {
		s, batch := crowded(t, 1, wire.Job{EstimateS: 500})
		s.job(wire.Job{ID: "req-000002", Team: "b", Kind: wire.KindGang, Tasks: 1, CPUs: 10, GPUs: 2, EstimateS: 60})
		if aged {
			s.now += s.pl.P.AgeAfter
		}
		small := s.job(wire.Job{ID: "req-000003", Team: "b", Tasks: 5, CPUs: 5, GPUs: 1, EstimateS: 90})
		s.end(batch, 0)
		s.plan()
		if (small.ActiveCount() == 0) != aged {
			t.Errorf("aged %v: %d tasks were placed on the free card", aged, small.ActiveCount())
		}
	}
}

// Lesser work is stopped for a gang where that costs less than the wait for an image
// elsewhere, and not where it costs more; never work of its own rank, nor what
// another team's guarantee covers.
func TestAGangStopsWhatIsWorthLessThanItsWait(t *testing.T) {
	for _, c := range []struct {
		name  string
		age   clock.Micros
		rank  string
		team  allocation.TeamQuota
		found bool // an earlier leader began the work
		stops int
	}{
		{"young work", 3 * clock.Second, wire.PriorityHigh, allocation.TeamQuota{}, false, 2},
		{"old work", 300 * clock.Second, wire.PriorityHigh, allocation.TeamQuota{}, false, 0},
		{"work found just now, half of which may be over", 3 * clock.Second, wire.PriorityHigh, allocation.TeamQuota{}, true, 0},
		{"work of its rank", 3 * clock.Second, wire.PriorityNormal, allocation.TeamQuota{}, false, 0},
		{"work that is owed its room", 3 * clock.Second, wire.PriorityHigh, allocation.TeamQuota{GuaranteedMilliGPU: 8000}, false, 0},
	} {
		s, batch := crowded(t, 2, wire.Job{EstimateS: 1000})
		s.pl.Teams["a"] = c.team
		batch.ForEachPlacement(func(p *allocation.Placement) { p.Adopted = c.found })
		for _, m := range s.l.Machines {
			m.ImageUsedAt["water"] = s.now
		}
		s.machine("i-99", "big", "x", false) // free, without the image
		gang := s.job(wire.Job{ID: "req-000002", Team: "b", Kind: wire.KindGang, Tasks: 1, CPUs: 10, GPUs: 2, EstimateS: 60,
			Priority: c.rank, Image: "water", ImageGB: 20})
		s.now += c.age
		s.plan()
		if stopping(batch) != c.stops {
			t.Errorf("%s: %d tasks are stopped, want %d", c.name, stopping(batch), c.stops)
		}
		if c.stops == 0 && gang.ActiveCount() != 1 {
			t.Errorf("%s: the gang is not placed on the free machine", c.name)
		}
	}
}

// Under a stream of small jobs in an overloaded fleet the largest gang begins within
// the four minutes that the users allow, and gangs start whole.
func TestTheLargestGangIsNotStarved(t *testing.T) {
	rng := rand.New(rand.NewPCG(9, 9))
	s := newScene(map[string]allocation.TeamQuota{"a": {}, "b": {}})
	s.pl.P.GangWeight = 0 // by claims alone, with nothing stopped
	for i := range 8 {
		s.machine(fmt.Sprintf("i-%02d", i), "big", "x", false)
	}
	for _, z := range []string{"x", "y", "z"} {
		s.pl.pool(Pool{"big", z, false}).blockedUntil = 1e15
	}
	ends := map[*allocation.Placement]clock.Micros{}
	var large *allocation.Job
	for n := 0; n < 400; n++ {
		s.job(wire.Job{ID: fmt.Sprintf("req-%06d", n), Team: "a", Tasks: 1 + rng.IntN(2), CPUs: 5, GPUs: 1, EstimateS: 30})
		if n%3 == 0 {
			s.job(wire.Job{ID: fmt.Sprintf("req-1%05d", n), Team: "a", Kind: wire.KindGang, Tasks: 1, CPUs: 10, GPUs: 2, EstimateS: 30})
		}
		if n == 60 {
			large = s.job(wire.Job{ID: "req-200000", Team: "b", Kind: wire.KindGang, Tasks: 6, CPUs: 10, GPUs: 2, EstimateS: 60, OneZone: true})
		}
		s.plan()
		for _, m := range s.l.SortedMachines() {
			s.shows(m, wire.TaskRunning)
			m.ForEachPlacement(func(p *allocation.Placement) {
				if ends[p] == 0 {
					ends[p] = s.now + clock.FromSeconds(20+20*rng.Float64())
				}
			})
			var over []*allocation.Placement
			m.ForEachPlacement(func(p *allocation.Placement) {
				if s.now >= ends[p] && !p.IsStopping() {
					over = append(over, p)
				}
			})
			for _, p := range over {
				if p.Job.Tasks[p.TaskIndex].Placement == p {
					s.end(p.Job, p.TaskIndex)
				}
			}
		}
		if large != nil && large.ActiveCount() != 0 && large.ActiveCount() != 6 && large.DoneCount() == 0 {
			t.Fatalf("%d of six tasks placed", large.ActiveCount())
		}
		if large != nil && large.ActiveCount() == 6 {
			if waited := s.now - large.ReleasedAt; waited > 240*clock.Second {
				t.Fatalf("begun after %v s", waited.Seconds())
			}
			return
		}
		s.now += clock.Second
	}
	t.Fatal("the large gang never began")
}

// A gang that loses a task before it has been complete gets another with the same
// attempt; the images that the others have fetched are not given up.
func TestAGangThatIsNotCompleteGetsWhatItLacks(t *testing.T) {
	s := newScene(map[string]allocation.TeamQuota{"a": {}})
	for i := range 3 {
		s.machine(fmt.Sprintf("i-%d", i), "big", "x", false)
	}
	gang := s.job(wire.Job{ID: "req-000001", Team: "a", Kind: wire.KindGang, Tasks: 2, CPUs: 10, GPUs: 2, EstimateS: 60})
	s.plan()
	attempt := gang.GangAttempt
	for _, m := range s.l.SortedMachines() {
		s.shows(m, wire.TaskWaiting)
	}
	lost := gang.Tasks[0].Placement.Machine
	s.l.RemoveMachine(lost, s.now)
	s.plan()
	if gang.ActiveCount() != 2 || gang.GangAttempt != attempt || stopping(gang) != 0 {
		t.Fatalf("%d places, attempt %d after %d, %d are stopped", gang.ActiveCount(), gang.GangAttempt, attempt, stopping(gang))
	}
	// Once it has run, the loss of one ends the others.
	for _, m := range s.l.SortedMachines() {
		s.shows(m, wire.TaskRunning)
	}
	s.l.RemoveMachine(gang.Tasks[1].Placement.Machine, s.now)
	s.plan()
	if stopping(gang) != 1 || gang.ActiveCount() != 1 {
		t.Fatalf("%d places, %d are stopped", gang.ActiveCount(), stopping(gang))
	}
}

// A gang that no fleet to be had can hold waits, is known, and costs nothing: once
// every pool has refused, nothing is rented for a part of it. Others are served.
func TestAGangThatCannotFitCostsNothing(t *testing.T) {
	s := newScene(map[string]allocation.TeamQuota{"a": {}})
	huge := s.job(wire.Job{ID: "req-000001", Team: "a", Kind: wire.KindGang, Tasks: 100000, CPUs: 10, GPUs: 2, EstimateS: 60, Types: []string{"big"}})
	if d := s.plan(); len(d.Rent) == 0 {
		t.Fatal("nothing is tried for a gang of whose size nothing is known")
	}
	for i := range 6 {
		s.machine(fmt.Sprintf("i-%d", i), "big", []string{"x", "y", "z"}[i%3], false)
	}
	for _, z := range []string{"x", "y", "z"} {
		s.pl.Refused(Pool{"big", z, false}, s.now)
	}
	small := s.job(wire.Job{ID: "req-000002", Team: "a", Kind: wire.KindGang, Tasks: 2, CPUs: 10, GPUs: 2, EstimateS: 60})
	s.now += 60 * clock.Second // the pools may be asked again
	if d := s.plan(); len(d.Rent) != 0 || small.ActiveCount() != 2 || huge.ActiveCount() != 0 {
		t.Fatalf("rented %v, %d of two tasks placed, %d of the huge gang", d.Rent, small.ActiveCount(), huge.ActiveCount())
	}
}
