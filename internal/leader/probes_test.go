package leader

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/health"
	"firwood.dev/firwood/wire"
)

// The first machines by name must not be probed again and again while the last ones never are. With more
// replicas than probes may be in flight, each machine is probed in its turn, and a machine that left a probe
// unanswered is probed out of turn.
func TestProbesAreRoundRobin(t *testing.T) {
	const fleet = 300
	var names []string
	for i := range fleet {
		names = append(names, fmt.Sprintf("i-%06d", i))
	}
	term := newTestTerm(t, names...)
	term.environment.WorkerRequests.MaxInFlight = 20
	job := term.tracker.AddJob(&wire.Job{ID: "req-000001", Kind: wire.KindService, TaskCount: fleet, CPUs: 1, Team: "t", Priority: wire.PriorityProduction}, 0, 1, true, nil)
	now := term.liveness.startedAt
	for i, name := range names {
		machine := term.tracker.Machines[name]
		term.tracker.RecordLeaseRenewal(machine, now)
		term.tracker.RecordHeartbeat(machine, &wire.Heartbeat{MachineID: name, Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1, FencingToken: 9}, now)
		if err := term.tracker.PlaceTask(job, i, machine, term.tracker.NextAttempt(), now); err != nil {
			t.Fatal(err)
		}
	}
	probed := map[string]int{}
	sendRound := func() {
		term.sendProbes(now)
		for _, name := range names {
			if machineInfo := term.machines[name]; machineInfo.probes.IsInFlight {
				probed[name]++
				machineInfo.probes.IsInFlight, machineInfo.probes.AnsweredAt = false, now
				term.probing.inFlight--
			}
		}
	}
	now += health.ProbeInterval
	for range fleet/term.environment.WorkerRequests.MaxInFlight + 1 {
		sendRound()
		now += clock.Second / 2
		for _, machine := range term.tracker.Machines {
			machine.LastHeartbeatAt = max(machine.LastHeartbeatAt, now-health.ProbeInterval) // heartbeats are not overdue
		}
	}
	for _, name := range names {
		if probed[name] == 0 {
			t.Fatalf("machine %s got no probe, want at least one", name)
		}
	}
	last := names[fleet-1]
	term.machines[last].probes.Misses = 1
	before := probed[last]
	sendRound()
	if probed[last] != before+1 {
		t.Error("got no out-of-turn probe of the machine that left a probe unanswered, want one")
	}
	if inFlight := term.probing.inFlight; inFlight != 0 {
		t.Errorf("got %d probes still in flight, want 0", inFlight)
	}
}
