package scheduler

import (
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// The first machines of a burst to come up are the fast ones. By their times alone
// the others counted as overdue, and each was rented a second time.
func TestTheFirstToBootSayLittleOfTheOthers(t *testing.T) {
	s := newScene(nil)
	var late []*allocation.Machine
	for i := range 10 {
		m := s.l.AddMachine(string(rune('a'+i)), "big", "x", true, s.pl.Size("big"), s.now)
		m.RecordedInStore = true
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

// An array waits a while for a spot machine; a gang does not, which would need all
// its machines to come in that time.
func TestAGangDoesNotWaitForSpotMachines(t *testing.T) {
	for _, kind := range []string{wire.KindArray, wire.KindGang} {
		s := newScene(nil)
		s.pl.P.SpotPatience = 40 * clock.Second
		for _, typ := range []string{"big", "small"} {
			for _, z := range []string{"x", "y", "z"} {
				s.pl.Refused(Pool{typ, z, true}, s.now)
			}
		}
		s.job(wire.Job{ID: "req-000001", Kind: kind, Tasks: 4, CPUs: 4, EstimateS: 100, Spot: true})
		if d := s.pl.Plan(s.l, s.now, s.now, nil); (len(d.Rent) > 0) != (kind == wire.KindGang) {
			t.Errorf("%s: rented %v", kind, d.Rent)
		}
	}
}
