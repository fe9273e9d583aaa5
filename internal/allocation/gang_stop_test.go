package allocation

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// A stop with grace goes to all machines of a gang at once. If one machine can't be reached, the gang
// can't save its progress, and the run since the last checkpoint is lost. The old attempt may go on
// running on that machine, so no task of a new attempt may be placed before the machine's lease ends.
func TestStoppedGangWaitsForUnreachableMachine(t *testing.T) {
	tracker := New(Config{FencingToken: 7, LeaseTTL: testLeaseTTL, CancelFenceWindow: 20 * clock.Second})
	tracker.FinishRecovery()
	var machines []*Machine
	for _, name := range []string{"i-1", "i-2", "i-3"} {
		machine := tracker.AddMachine(name, "t", "x", false, Resources{MicroCPU: 1 * Unit, MicroGB: 8 * Unit}, 1)
		machine.RecordedInStore = true
		tracker.RecordLeaseRenewal(machine, 1)
		tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 1, 7), 1)
		machines = append(machines, machine)
	}
	job := tracker.AddJob(&wire.Job{ID: "req-000001", Kind: wire.KindGang, Priority: wire.PriorityNormal, TaskCount: 2, CPUs: 1, Team: "a",
		SingleZone: true, CheckpointIntervalSeconds: 20, CheckpointSaveSeconds: 5}, 0, 1, true, nil)
	attempt := tracker.NextAttempt()
	reportRunning := func(machine *Machine, i int, sequence uint64, at clock.Micros) {
		tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, sequence, 7, wire.TaskStatus{TaskID: wire.TaskID("req-000001", i), Attempt: attempt, State: wire.TaskRunning}), at)
	}
	start := clock.Second
	for i := range 2 {
		if err := tracker.PlaceTask(job, i, machines[i], attempt, start); err != nil {
			t.Fatal(err)
		}
		tracker.HeartbeatCommands(machines[i], start)
	}
	for i := range 2 {
		reportRunning(machines[i], i, 2, start)
	}
	if !job.GangStarted {
		t.Fatal("GangStarted = false after heartbeats listed all tasks as running, want true")
	}
	now := start + 50*clock.Second
	for i := range 2 {
		tracker.RecordLeaseRenewal(machines[i], now)
		reportRunning(machines[i], i, 3, now)
	}
	tracker.StopJob(job, 5*clock.Second)
	for i := range 2 {
		request, starts := tracker.BuildCommandRequest(machines[i], now)
		if request == nil || len(request.Commands) != 1 || request.Commands[0].Action != wire.ActionStop || *request.Commands[0].GracePeriodSeconds < 5 {
			t.Fatalf("machine %d: got command request %+v, want one stop with a grace of at least 5 s", i, request)
		}
		if i == 0 {
			tracker.FinishCommandRequest(machines[0], starts, CommandExecuted, now)
		} else {
			tracker.FinishCommandRequest(machines[1], starts, CommandOutcomeUnknown, now)
		}
	}
	now += 6 * clock.Second
	tracker.RecordHeartbeat(machines[0], newHeartbeat(machines[0], 1, 4, 7, wire.TaskStatus{TaskID: "req-000001/0", Attempt: attempt, State: wire.TaskExited, ExitCause: wire.ExitPeerLost}), now)
	for _, candidate := range []uint64{attempt, tracker.NextAttempt()} {
		if tracker.PlaceTask(job, 0, machines[2], candidate, now) == nil {
			t.Fatal("a task was placed while a task of the old attempt may be running")
		}
	}
	if job.CheckpointedSeconds != 40 {
		t.Errorf("got %v s checkpointed after 56 s of run, want 40 s at an interval of 20 s", job.CheckpointedSeconds)
	}
	now = tracker.LeaseEndsAt(machines[1]) + 1
	if !tracker.ExpireLease(machines[1], now) {
		t.Fatal("ExpireLease() = false after LeaseEndsAt, want true")
	}
	tracker.RecordHeartbeat(machines[2], newHeartbeat(machines[2], 1, 2, 7), now)
	nextAttempt := tracker.NextAttempt()
	if err := tracker.PlaceTask(job, 0, machines[2], nextAttempt, now); err != nil || nextAttempt <= attempt {
		t.Fatalf("PlaceTask after the lease has run out: got error %v and attempt %d, want no error and an attempt above %d", err, nextAttempt, attempt)
	}
}
