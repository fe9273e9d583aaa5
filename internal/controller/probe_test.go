package controller

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// In a fleet with more replicas than probes may be under way at a time, each machine is
// asked in its turn, and one that left a probe unanswered is asked at once.
func TestProbesGoRound(t *testing.T) {
	const fleet = 300
	var names []string
	for i := range fleet {
		names = append(names, fmt.Sprintf("i-%06d", i))
	}
	l := rebuilt(t, names...)
	l.c.directs = 20
	j := l.lg.AddJob(&wire.Job{ID: "req-000001", Kind: wire.KindService, TaskCount: fleet, CPUs: 1, Team: "t", Priority: wire.PriorityProduction}, 0, 1, true, nil)
	now := l.since
	for i, name := range names {
		m := l.lg.Machines[name]
		l.lg.RecordLeaseRenewal(m, now)
		l.lg.RecordHeartbeat(m, &wire.Heartbeat{MachineID: name, Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1, FencingToken: 9}, now)
		if err := l.lg.PlaceTask(j, i, m, l.lg.NextAttempt(), now); err != nil {
			t.Fatal(err)
		}
	}
	asked := map[string]int{}
	look := func() {
		l.probe(now)
		for _, name := range names {
			if a := l.machines[name]; a.probes.busy {
				asked[name]++
				a.probes.busy, a.probes.answered = false, now
				l.probing--
			}
		}
	}
	now += probeEvery
	for range fleet/l.c.directs + 1 {
		look()
		now += clock.Second / 2
		for _, m := range l.lg.Machines {
			m.LastHeartbeatAt = max(m.LastHeartbeatAt, now-probeEvery) // reports are not overdue
		}
	}
	for _, name := range names {
		if asked[name] == 0 {
			t.Fatalf("%s is never asked", name)
		}
	}
	last := names[fleet-1]
	l.machines[last].probes.misses = 1
	before := asked[last]
	look()
	if asked[last] != before+1 {
		t.Error("a machine that left a probe unanswered waits for its turn")
	}
	if n := l.probing; n != 0 {
		t.Errorf("%d probes are left", n)
	}
}
