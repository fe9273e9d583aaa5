package leader

import (
	"errors"
	"slices"
	"testing"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/health"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/wire"
)

// A new leader has had no heartbeats yet from the machines that an earlier leader requested. Missing
// heartbeats don't show that such a machine never booted. The cloud's list shows it by listing the machine
// as booting.
func TestMachineWithoutHeartbeatIsDeletedOnlyIfListedBooting(t *testing.T) {
	term := newTestTerm(t, "i-1", "i-2", "i-3")
	later := term.liveness.startedAt + term.environment.Timing.SuspectTimeout + 2*clock.Second
	term.reviewMachines(later)
	if len(term.deletions.pending) != 0 {
		t.Fatalf("got deletions of %v, want none before the cloud's list", term.deletions.pending)
	}
	term.applyListedMachine(&wire.ListedMachine{ID: "i-1", State: wire.MachineRunning}, later)
	term.applyListedMachine(&wire.ListedMachine{ID: "i-2", State: wire.MachineBooting}, later)
	term.reviewMachines(later)
	if !slices.Equal(term.deletions.pending, []string{"i-2"}) {
		t.Fatalf("got deletions of %v, want only i-2, which has never booted", term.deletions.pending)
	}
}

// Heartbeats that are missing because this process was stalled must not make machines suspected: no machine
// is deleted, no zone is constrained and leadership is not handed over.
func TestProcessStallDoesNotSuspectMachines(t *testing.T) {
	term := newTestTerm(t, "i-1", "i-2", "i-3", "i-4")
	term.entitlement.actDeadline.Store(1 << 62)
	owner := ownerOf(term)
	owner.term = term
	now := term.liveness.startedAt
	for _, machine := range term.tracker.Machines {
		term.tracker.RecordHeartbeat(machine, &wire.Heartbeat{MachineID: machine.Name, Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1, FencingToken: 9}, now)
	}
	now += 20 * clock.Second // less than a lease
	firstMachine := term.tracker.Machines["i-1"]
	firstMachine.LastHeartbeatAt, term.tracker.Machines["i-2"].LastHeartbeatAt = now, now
	owner.heartbeats["b"] = &ReceivedHeartbeat{Heartbeat: &peer.Heartbeat{Member: "b", IsStoreReachable: true, WorkerCount: 4}, ReceivedAt: now}
	term.ResetSilence(now)
	term.reviewMachines(now)
	if len(term.deletions.pending) != 0 || len(term.renewals.constraints.ConstrainedZones()) != 0 || term.isClosed {
		t.Fatalf("after a stall: got deletions of %v, constrained zones %v and term closed %v, want none of them", term.deletions.pending, term.renewals.constraints.ConstrainedZones(), term.isClosed)
	}
	if term.scheduler.ResumedAt != now {
		t.Fatal("the scheduler has another ResumedAt than the end of the stall, so it would suspect machines")
	}
	now += term.environment.Timing.SuspectTimeout + clock.Second
	firstMachine.LastHeartbeatAt, term.tracker.Machines["i-2"].LastHeartbeatAt = now, now
	term.reviewMachines(now)
	if len(term.deletions.pending) != 2 {
		t.Fatalf("got deletions of %v, want the 2 machines without heartbeats since the stall", term.deletions.pending)
	}
}

// A machine that answers no probe is deleted only while its zone mostly answers. If the zone is cut off, no
// machine in it answers. If this process handled the result too late itself, or had no connection free,
// the missing response proves nothing.
func TestProbeMissesDeleteMachineOnlyIfZoneAnswers(t *testing.T) {
	errNoAnswer := errors.New("no answer")
	for _, test := range []struct {
		name           string
		answering      int // how many of the four machines answer
		err            error
		delay          clock.Micros // from the probe's timeout to the handling of its result
		isDeleted      bool
		isInconclusive bool // the result must not count as a miss
	}{
		{"one hangs", 3, errNoAnswer, 0, true, false},
		{"zone cut off", 0, errNoAnswer, 0, false, false},
		{"half hang", 2, errNoAnswer, 0, false, false},
		{"no connection free", 3, client.ErrPoolExhausted, 0, false, true},
		{"result handled late", 3, errNoAnswer, 5 * clock.Second, false, true},
	} {
		term := newTestTerm(t, "i-1", "i-2", "i-3", "i-4")
		term.entitlement.actDeadline.Store(1 << 62)
		names := []string{"i-1", "i-2", "i-3", "i-4"}
		for _, name := range names {
			term.tracker.RecordHeartbeat(term.tracker.Machines[name], &wire.Heartbeat{MachineID: name, Incarnation: 1, Sequence: 1, FencingToken: 9}, clock.Now())
			term.tracker.Machines[name].LastHeartbeatAt -= 20 * clock.Second
		}
		term.liveness.resumedAt -= 60 * clock.Second
		// The clock starts with the process, so probes may be sent at negative instants, which are before
		// the zero value of zoneUnreachableAt.
		term.liveness.zoneUnreachableAt["x"] = term.liveness.resumedAt
		for round := uint64(0); round < 2; round++ {
			sent := clock.Now() - health.ProbeTimeout - test.delay
			for i, name := range names {
				machine := term.tracker.Machines[name]
				if i < test.answering {
					term.handleProbeResult(machine, term.machines[name], sent, &wire.Heartbeat{MachineID: name, Incarnation: 1, Sequence: 2 + round, FencingToken: 9}, nil)
				} else {
					term.handleProbeResult(machine, term.machines[name], sent, nil, test.err)
				}
			}
		}
		if got := len(term.deletions.pending) > 0; got != test.isDeleted {
			t.Errorf("%s: got deletions of %v, want some only if one machine hangs and the result is conclusive", test.name, term.deletions.pending)
		}
		if test.isInconclusive && term.machines["i-4"].probes.Misses != 0 {
			t.Errorf("%s: the result counted as a miss, want it ignored", test.name)
		}
	}
}

// The machines of a zone that was cut off come back one by one. Once a third of the zone is reachable
// again, the others get the suspect timeout from that time, and only those still silent after it are deleted.
func TestRecoveringZoneKeepsItsMachines(t *testing.T) {
	names := []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"}
	term := newTestTerm(t, names...)
	term.entitlement.actDeadline.Store(1 << 62)
	now := term.liveness.startedAt
	for _, name := range names {
		term.tracker.RecordHeartbeat(term.tracker.Machines[name], &wire.Heartbeat{MachineID: name, Incarnation: 1, Sequence: 1, FencingToken: 9}, now)
	}
	for end := now + term.environment.Timing.SuspectTimeout + 3*clock.Second; now < end; now += clock.Second / 2 {
		term.reviewMachines(now)
	}
	recordHeartbeats := func(names ...string) {
		for _, name := range names {
			term.tracker.Machines[name].LastHeartbeatAt = now
		}
	}
	recordHeartbeats("i-1", "i-2")
	for _, name := range names[2:] {
		term.machines[name].probes.Misses = 5
		term.handleProbeResult(term.tracker.Machines[name], term.machines[name], now-clock.Second, nil, errors.New("no answer"))
	}
	term.reviewMachines(now)
	if len(term.deletions.pending) != 0 {
		t.Fatalf("got deletions of %v when the zone comes back, want none", term.deletions.pending)
	}
	recordHeartbeats("i-3", "i-4")
	for end := now + term.environment.Timing.SuspectTimeout + 3*clock.Second; now < end; now += clock.Second / 2 {
		recordHeartbeats("i-1", "i-2", "i-3", "i-4")
		term.reviewMachines(now)
	}
	slices.Sort(term.deletions.pending)
	if !slices.Equal(term.deletions.pending, []string{"i-5", "i-6"}) {
		t.Fatalf("got deletions of %v after the suspect timeout, want i-5 and i-6", term.deletions.pending)
	}
}
