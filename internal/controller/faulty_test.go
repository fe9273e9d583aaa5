package controller

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// One machine that fails jobs is drained, and given back when it is empty; one that
// cannot be given back, since a replica runs on it, is tried again, at longer and
// longer intervals. When others fail too, none is drained: all pause.
func TestFaultyMachines(t *testing.T) {
	var names []string
	for i := range 12 {
		names = append(names, fmt.Sprintf("i-%02d", i))
	}
	l := rebuilt(t, names...)
	l.c.view.jobs["req-000001"] = &jobRecord{At: int64(clock.WallTime()), Job: &wire.Job{
		ID: "req-000001", Class: "c", Kind: wire.KindService, Team: "t", TaskCount: 1, CPUs: 1,
	}}
	l.c.view.done["req-000001"] = map[int]progressPart{0: {}}
	l = newLead(l.c, 10, clock.Now())
	now := l.since
	for i, n := range names {
		r := &wire.Heartbeat{MachineID: n, Incarnation: 1, Sequence: 1, FencingToken: 10}
		if i == 0 {
			r.Tasks = []wire.TaskStatus{{TaskID: "req-000001/0", Attempt: 1, State: wire.TaskRunning}}
		}
		m := l.lg.Machines[n]
		l.lg.RecordLeaseRenewal(m, now)
		l.lg.RecordHeartbeat(m, r, now)
	}
	m := l.lg.Machines["i-00"]
	if m.IsIdle() {
		t.Fatal("the replica is not known")
	}
	fail := func(n string, job string) {
		l.lg.Machines[n].FailedJobs[job] = true
		l.blame(l.lg.Machines[n], now)
	}
	fail("i-00", "req-000002")
	if m.Draining {
		t.Fatal("drained for one job")
	}
	held := trialAfter
	for round := range 3 {
		fail("i-00", "req-000003")
		fail("i-00", "req-000004")
		if !m.Draining {
			t.Fatalf("round %d: not drained for two jobs", round)
		}
		now += held - 1
		l.tryAgain(m, l.machines["i-00"], now)
		if !m.Draining {
			t.Fatalf("round %d: tried again too soon", round)
		}
		now++
		l.tryAgain(m, l.machines["i-00"], now)
		if m.Draining {
			t.Fatalf("round %d: not tried again", round)
		}
		held *= 2
	}
	idle := l.lg.Machines["i-01"]
	now += 2 * commonFor
	fail("i-01", "req-000002")
	fail("i-01", "req-000003")
	now += 2 * trialAfter
	l.tryAgain(idle, l.machines["i-01"], now)
	if !idle.Draining {
		t.Fatal("an empty faulty machine is tried again in place of being given back")
	}

	now += 2 * commonFor
	for _, n := range names[2:] {
		fail(n, "req-000002")
	}
	for _, n := range names[2:] {
		fail(n, "req-000003")
		m := l.lg.Machines[n]
		if m.Draining || m.BackoffUntil <= now {
			t.Fatalf("%s: draining %v, held until %d at %d, while all fail", n, m.Draining, m.BackoffUntil, now)
		}
	}
	// Where it fails on after that, the machine is at fault after all.
	now += commonFor
	fail("i-05", "req-000003")
	if !l.lg.Machines["i-05"].Draining {
		t.Fatal("a machine that fails for a minute is never blamed")
	}
}
