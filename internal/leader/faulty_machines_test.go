package leader

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/health"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// A machine on which several jobs fail is drained, and stays drained until it is deleted if it is empty.
// If a replica runs on it, so that it cannot be deleted, it is retried at increasing intervals. While
// failures are widespread, the machines are paused and none is drained.
func TestFaultyMachineIsDrainedAndRetried(t *testing.T) {
	var names []string
	for i := range 12 {
		names = append(names, fmt.Sprintf("i-%02d", i))
	}
	term := newTestTerm(t, names...)
	term.environment.View.Jobs["req-000001"] = &storeview.Job{Job: records.Job{SubmittedAt: int64(clock.WallTime()), Spec: &wire.Job{
		ID: "req-000001", Class: "c", Kind: wire.KindService, Team: "t", TaskCount: 1, CPUs: 1,
	}}}
	term.environment.View.Progress["req-000001"] = map[int]storeview.ProgressPart{0: {}}
	term = ownerOf(term).newTerm(10, clock.Now())
	now := term.liveness.startedAt
	for i, name := range names {
		heartbeat := &wire.Heartbeat{MachineID: name, Incarnation: 1, Sequence: 1, FencingToken: 10}
		if i == 0 {
			heartbeat.Tasks = []wire.TaskStatus{{TaskID: "req-000001/0", Attempt: 1, State: wire.TaskRunning}}
		}
		machine := term.tracker.Machines[name]
		term.tracker.RecordLeaseRenewal(machine, now)
		term.tracker.RecordHeartbeat(machine, heartbeat, now)
	}
	machine := term.tracker.Machines["i-00"]
	if machine.IsIdle() {
		t.Fatal("the machine is idle, want the replica from its heartbeat to be known")
	}
	fail := func(name string, job string) {
		term.tracker.Machines[name].FailedJobs[job] = true
		term.recordTaskFailure(term.tracker.Machines[name], now)
	}
	fail("i-00", "req-000002")
	if machine.Draining {
		t.Fatal("the machine is drained after one job has failed, want two")
	}
	backoff := health.RetryBackoff
	for round := range 3 {
		fail("i-00", "req-000003")
		fail("i-00", "req-000004")
		if !machine.Draining {
			t.Fatalf("round %d: the machine is not drained after two jobs have failed", round)
		}
		now += backoff - 1
		term.retryFaultyMachine(machine, term.machines["i-00"], now)
		if !machine.Draining {
			t.Fatalf("round %d: the machine is retried before the backoff has passed", round)
		}
		now++
		term.retryFaultyMachine(machine, term.machines["i-00"], now)
		if machine.Draining {
			t.Fatalf("round %d: the machine is not retried after the backoff", round)
		}
		backoff *= 2
	}
	idle := term.tracker.Machines["i-01"]
	now += 2 * health.SharedFaultWindow
	fail("i-01", "req-000002")
	fail("i-01", "req-000003")
	now += 2 * health.RetryBackoff
	term.retryFaultyMachine(idle, term.machines["i-01"], now)
	if !idle.Draining {
		t.Fatal("an empty faulty machine is retried, want it to stay drained until it is deleted")
	}

	now += 2 * health.SharedFaultWindow
	for _, name := range names[2:] {
		fail(name, "req-000002")
	}
	for _, name := range names[2:] {
		fail(name, "req-000003")
		machine := term.tracker.Machines[name]
		if machine.Draining || machine.BackoffUntil <= now {
			t.Fatalf("%s: draining %v, paused until %d at %d; want paused but not draining while failures are widespread", name, machine.Draining, machine.BackoffUntil, now)
		}
	}
	// A machine on which tasks still fail after the window is taken to be faulty itself.
	now += health.SharedFaultWindow
	fail("i-05", "req-000003")
	if !term.tracker.Machines["i-05"].Draining {
		t.Fatal("a machine on which tasks fail for longer than the window is not drained")
	}
}
