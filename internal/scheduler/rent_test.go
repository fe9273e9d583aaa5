package scheduler

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// A machine that has just come up takes work once it has seen the token, with its next
// report, so nothing is rented in its place. One that is heard for longer without having
// seen it can't be told anything, and is not counted on.
func TestAMachineThatHasJustComeUpIsCountedOn(t *testing.T) {
	s := newScene(nil)
	s.pl.Fresh = 8 * clock.Second
	s.job(wire.Job{ID: "req-000001", Team: "a", Tasks: 1, CPUs: 4, EstimateS: 50, Types: []string{"small"}})
	rent := s.pl.Plan(s.l, s.now, s.now, nil).Rent
	if len(rent) != 1 || rent[0].Count != 1 {
		t.Fatalf("rents %v", rent)
	}
	pool := rent[0].Pool
	m := s.l.AddMachine("i-0", pool.Type, pool.Zone, pool.Spot, s.pl.Size(pool.Type), s.now)
	m.RecordedInStore = true
	cameUp := s.now + 10*clock.Second
	for seq, after := range []clock.Micros{0, 4 * clock.Second, 8 * clock.Second, 9 * clock.Second} {
		s.now = cameUp + after
		s.l.RecordHeartbeat(m, &wire.Report{Machine: "i-0", Session: 1, Seq: uint64(seq + 1), Addr: "127.0.0.1:1"}, s.now)
		isRented := len(s.pl.Plan(s.l, s.now, s.now, nil).Rent) > 0
		if isRented != (after > s.pl.Fresh) {
			t.Errorf("%v after it came up another one is rented: %v", after.Duration(), isRented)
		}
	}
}
