package planner

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/ledger"
	"firwood.dev/firwood/wire"
)

// The first machines of a burst to come up are the fast ones. By their times alone
// the others counted as overdue, and each was rented a second time.
func TestTheFirstToBootSayLittleOfTheOthers(t *testing.T) {
	s := newScene(nil)
	var late []*ledger.Machine
	for i := range 10 {
		m := s.l.AddMachine(string(rune('a'+i)), "big", "x", true, s.pl.Size("big"), s.now)
		m.Recorded = true
		late = append(late, m)
	}
	s.job(wire.Job{ID: "req-000001", Tasks: 40, CPUs: 4, EstimateS: 60, Spot: true})
	for range 20 {
		s.pl.Booted("big", 9*clock.Second)
	}
	s.now += 14 * clock.Second // nominal is 15
	if d := s.pl.Plan(s.l, s.now, s.now, nil); len(d.Rent) > 0 {
		t.Errorf("%d machines boot in their usual time, and %v is rented", len(late), d.Rent)
	}
	s.now += 60 * clock.Second
	if d := s.pl.Plan(s.l, s.now, s.now, nil); len(d.Rent) == 0 {
		t.Error("all machines are overdue, and nothing is rented for them")
	}
}

// A job that may use spot machines waits for one only where the forecast has room on
// one before its patience ends; else the ordinary machine that it would get in the
// end is rented at once.
func TestNoWaitForSpotMachinesThatWillNotBeFree(t *testing.T) {
	for _, c := range []struct {
		age  clock.Micros
		rent bool
	}{{5 * clock.Second, true}, {70 * clock.Second, false}} {
		s := newScene(nil)
		s.pl.P.SpotPatience = 40 * clock.Second
		first := s.job(wire.Job{ID: "req-000001", Tasks: 4, CPUs: 4, EstimateS: 100, Spot: true})
		m := s.machine("i-1", "big", "x", true)
		for i := range 4 {
			if err := s.l.Place(first, i, m, s.l.Attempt(), s.now); err != nil {
				t.Fatal(err)
			}
		}
		s.l.Orders(m, s.now)
		var tasks []wire.TaskReport
		m.Places(func(p *ledger.Placement) {
			tasks = append(tasks, wire.TaskReport{Task: wire.TaskID(p.Job.Spec.ID, p.Index), Attempt: p.Attempt, State: wire.TaskRunning})
		})
		s.l.Report(m, &wire.Report{Machine: "i-1", Session: 1, Seq: 9, Token: 1, Tasks: tasks}, s.now)
		for _, z := range []string{"x", "y", "z"} {
			s.pl.Refused(Pool{"big", z, true}, s.now+c.age)
			s.pl.Refused(Pool{"small", z, true}, s.now+c.age)
		}
		for range 30 {
			s.pl.Class("").Observe(100, 100, 0.1) // estimates are good
		}
		s.now += c.age
		s.job(wire.Job{ID: "req-000002", Tasks: 4, CPUs: 4, EstimateS: 100, Spot: true})
		if d := s.pl.Plan(s.l, s.now, s.now, nil); (len(d.Rent) > 0) != c.rent {
			t.Errorf("spot machine busy for another %v of 100 s: rented %v, want %v", c.age, d.Rent, c.rent)
		}
	}
}
