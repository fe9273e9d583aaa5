package scheduler

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/wire"
)

// A guarantee of 0 is none, in each dimension for itself: it covers nothing and
// bounds nothing. Guarantees in cards alone once covered no job at all, since all
// take processors too.
func TestGuaranteesInEachDimension(t *testing.T) {
	both := wire.Job{Tasks: 2, CPUs: 4, GPUs: 1}
	cpus := wire.Job{Tasks: 2, CPUs: 4}
	for _, c := range []struct {
		name string
		team allocation.TeamQuota
		jobs []wire.Job
		want []bool
	}{
		{"none", allocation.TeamQuota{}, []wire.Job{both, cpus}, []bool{false, false}},
		{"cards alone", allocation.TeamQuota{GuaranteedMilliGPU: 4000}, []wire.Job{both, both, both}, []bool{true, true, false}},
		{"cards alone, a job without any", allocation.TeamQuota{GuaranteedMilliGPU: 4000}, []wire.Job{cpus, both}, []bool{false, true}},
		{"processors alone", allocation.TeamQuota{GuaranteedMilliCPU: 16000}, []wire.Job{both, cpus, cpus}, []bool{true, true, false}},
		{"both, cards short", allocation.TeamQuota{GuaranteedMilliCPU: 80000, GuaranteedMilliGPU: 2000}, []wire.Job{both, both}, []bool{true, false}},
		{"both, processors short", allocation.TeamQuota{GuaranteedMilliCPU: 8000, GuaranteedMilliGPU: 8000}, []wire.Job{both, both}, []bool{true, false}},
		{"what comes after one that is too large", allocation.TeamQuota{GuaranteedMilliGPU: 3000}, []wire.Job{{Tasks: 4, GPUs: 1}, both}, []bool{false, false}},
	} {
		s := newScene(map[string]allocation.TeamQuota{"a": c.team})
		var jobs []*allocation.Job
		for i, w := range c.jobs {
			w.ID, w.Team = fmt.Sprintf("req-%06d", i), "a"
			jobs = append(jobs, s.job(w))
		}
		owed := s.pl.owed(s.l)
		for i, j := range jobs {
			if owed[j] != c.want[i] {
				t.Errorf("%s: job %d owed: %v, want %v", c.name, i, owed[j], c.want[i])
			}
		}
	}
}

// A machine is as full as what is shortest on it: with all cards taken there is no
// room on it, however many processors are left, and no spare to count on.
func TestRoomIsWhatIsShortest(t *testing.T) {
	size := allocation.Resources{MilliCPU: 12000, MilliGPU: 2000, MemoryMB: 96000}
	for _, c := range []struct {
		used allocation.Resources
		want float64
	}{
		{allocation.Resources{}, 1},
		{allocation.Resources{MilliCPU: 5000, MilliGPU: 1000, MemoryMB: 36000}, 0.5},
		{allocation.Resources{MilliCPU: 10000, MilliGPU: 2000, MemoryMB: 72000}, 0},
		{allocation.Resources{MilliCPU: 3000, MemoryMB: 72000}, 0.25},
	} {
		if got := openPart(size.Sub(c.used), size); !near(got, c.want) {
			t.Errorf("%v of %v used: %v is open, want %v", c.used, size, got, c.want)
		}
	}
	if got := openPart(allocation.Resources{MilliCPU: 4000}, allocation.Resources{MilliCPU: 16000}); !near(got, 0.25) {
		t.Errorf("a machine without cards: %v", got)
	}
}

// What was begun because it had waited too long is not stopped for what a guarantee
// covers: else each plan places it, and stops it again.
func TestNothingIsPlacedOnlyToBeStopped(t *testing.T) {
	s := newScene(map[string]allocation.TeamQuota{"a": {}, "b": {GuaranteedMilliGPU: 100000}})
	m := s.machine("i-0", "big", "x", false)
	for _, z := range s.pl.Zones {
		s.pl.pool(Pool{"big", z, false}).blockedUntil = 1e15
	}
	old := s.job(wire.Job{ID: "req-000001", Team: "a", Tasks: 2, CPUs: 5, GPUs: 1, EstimateS: 50})
	s.now += s.pl.P.AgeAfter
	owed := s.job(wire.Job{ID: "req-000002", Team: "b", Tasks: 2, CPUs: 5, GPUs: 1, EstimateS: 50})
	for range 3 {
		s.plan()
		s.shows(m, wire.TaskRunning)
		if old.ActiveCount() != 2 || stopping(old) != 0 || owed.ActiveCount() != 0 {
			t.Fatalf("%d old tasks are placed, %d of them stopping, %d owed ones placed", old.ActiveCount(), stopping(old), owed.ActiveCount())
		}
	}
	// Other work beyond a guarantee does give way.
	s = newScene(map[string]allocation.TeamQuota{"a": {}, "b": {GuaranteedMilliGPU: 100000}})
	m = s.machine("i-0", "big", "x", false)
	young := s.job(wire.Job{ID: "req-000001", Team: "a", Tasks: 2, CPUs: 5, GPUs: 1, EstimateS: 50})
	s.plan()
	s.shows(m, wire.TaskRunning)
	s.job(wire.Job{ID: "req-000002", Team: "b", Tasks: 2, CPUs: 5, GPUs: 1, EstimateS: 50})
	s.plan()
	if stopping(young) != 2 {
		t.Fatalf("%d tasks are stopped for a guarantee of two", stopping(young))
	}
}
