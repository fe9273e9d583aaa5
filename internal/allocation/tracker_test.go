package allocation

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

func newHeartbeat(machine *Machine, incarnation, sequence, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{MachineID: machine.Name, Address: "127.0.0.1:1", Zone: machine.Zone, Incarnation: incarnation, Sequence: sequence, FencingToken: token, Tasks: tasks}
}

// newSmallTracker returns a tracker with one job and with one machine that has confirmed the token.
func newSmallTracker(t *testing.T, kind string, tasks int) (*Tracker, *Job, *Machine) {
	t.Helper()
	tracker := New(Config{FencingToken: 7, LeaseTTL: testLeaseTTL, CancelFenceWindow: 20 * clock.Second})
	tracker.FinishRecovery()
	machine := tracker.AddMachine("i-1", "t", "x", false, Resources{MicroCPU: 8 * Unit, MicroGB: 8 * Unit}, 1)
	machine.RecordedInStore = true
	job := tracker.AddJob(&wire.Job{ID: "req-000001", Kind: kind, Priority: wire.PriorityNormal, TaskCount: tasks, CPUs: 1, Team: "a"}, 0, 1, true, nil)
	if tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 1, 7), 1) != HeartbeatAccepted {
		t.Fatal("the first heartbeat is not accepted")
	}
	return tracker, job, machine
}

// A start in a command request that got no response may arrive late. If the worker had been told to forget
// the attempt before, the late start would run the task again.
func TestAttemptIsNotReapedWhileStartMayArrive(t *testing.T) {
	tracker, job, machine := newSmallTracker(t, wire.KindArray, 1)
	if err := tracker.PlaceTask(job, 0, machine, tracker.NextAttempt(), 2); err != nil {
		t.Fatal(err)
	}
	request, starts := tracker.BuildCommandRequest(machine, 2)
	if request == nil || len(starts) != 1 {
		t.Fatal("BuildCommandRequest after a placement: want a request with one start")
	}
	tracker.FinishCommandRequest(machine, starts, CommandOutcomeUnknown, 2)
	attempt := request.Commands[0].Attempt
	tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 2, 7, wire.TaskStatus{TaskID: "req-000001/0", Attempt: attempt, State: wire.TaskExited, ExitCause: wire.ExitError}), 3)
	for _, command := range tracker.HeartbeatCommands(machine, 3) {
		if command.Action == wire.ActionReap {
			t.Fatal("reaped an attempt whose start may still arrive")
		}
	}
	// Under a new incarnation the worker refuses commands for the old one.
	tracker.RecordHeartbeat(machine, newHeartbeat(machine, 2, 3, 7, wire.TaskStatus{TaskID: "req-000001/0", Attempt: attempt, State: wire.TaskExited, ExitCause: wire.ExitError}), 4)
	if commands := tracker.HeartbeatCommands(machine, 4); len(commands) != 1 || commands[0].Action != wire.ActionReap {
		t.Fatalf("commands under the new incarnation: got %v, want one reap", commands)
	}
}

// A start in a heartbeat's reply may still be in flight when the worker responds to a command request. If
// the response doesn't list the task, that doesn't prove that the start was lost. Only the worker's next own
// heartbeat does.
func TestCommandResponseDoesNotDisproveHeartbeatReply(t *testing.T) {
	tracker, job, machine := newSmallTracker(t, wire.KindArray, 1)
	if err := tracker.PlaceTask(job, 0, machine, tracker.NextAttempt(), 2); err != nil {
		t.Fatal(err)
	}
	if commands := tracker.HeartbeatCommands(machine, 2); len(commands) != 1 {
		t.Fatalf("commands in the heartbeat reply: got %v, want one start", commands)
	}
	tracker.RecordCommandHeartbeat(machine, newHeartbeat(machine, 1, 2, 7), 3)
	tracker.StopPlacement(job.Tasks[0].Placement, 0)
	if tracker.IsVacated(job) || job.WaitingCount() != 0 {
		t.Fatal("a task whose start is in flight counts as vacated or waiting, want neither")
	}
	tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 3, 7), 4)
	if !tracker.IsVacated(job) {
		t.Fatal("IsVacated after the worker's next own heartbeat = false, want true: it proves that the start did not arrive")
	}
}

// A start of a cancelled job that may still arrive is fenced by sending a start and a stop in one message,
// so that the late start finds its attempt listed as exited.
func TestPendingStartOfCancelledJobIsFenced(t *testing.T) {
	tracker, job, machine := newSmallTracker(t, wire.KindArray, 1)
	if err := tracker.PlaceTask(job, 0, machine, tracker.NextAttempt(), 2); err != nil {
		t.Fatal(err)
	}
	_, starts := tracker.BuildCommandRequest(machine, 2)
	tracker.FinishCommandRequest(machine, starts, CommandOutcomeUnknown, 2)
	tracker.Cancel(job, 3)
	tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 2, 7), 4)
	commands := tracker.HeartbeatCommands(machine, 4)
	if len(commands) != 2 || commands[0].Action != wire.ActionStart || commands[1].Action != wire.ActionStop {
		t.Fatalf("commands after the cancellation: got %v, want a start and a stop", commands)
	}
	if tracker.IsVacated(job) {
		t.Fatal("IsVacated of a job whose task may still start = true, want false")
	}
	if commands = tracker.HeartbeatCommands(machine, 4+30*clock.Second); len(commands) != 0 {
		t.Fatalf("commands 30 s after the cancellation, with a fence window of 20 s: got %v, want none", commands)
	}
	if !tracker.HasUnfenceableStart(machine, 4+30*clock.Second) {
		t.Fatal("HasUnfenceableStart 30 s after the cancellation, with a fence window of 20 s = false, want true")
	}
}

// A heartbeat of an incarnation whose lease has run out may arrive late. It must not bring the
// incarnation's tasks back.
func TestHeartbeatOfExpiredIncarnationIsStale(t *testing.T) {
	tracker, job, machine := newSmallTracker(t, wire.KindArray, 1)
	if err := tracker.PlaceTask(job, 0, machine, tracker.NextAttempt(), 2); err != nil {
		t.Fatal(err)
	}
	tracker.HeartbeatCommands(machine, 2)
	if !tracker.ExpireLease(machine, tracker.LeaseEndsAt(machine)) || job.ActiveCount() != 0 {
		t.Fatal("after the end of the lease: want ExpireLease to return true and end all placements")
	}
	lateHeartbeat := newHeartbeat(machine, 1, 9, 7, wire.TaskStatus{TaskID: "req-000001/0", Attempt: 1, State: wire.TaskRunning})
	if tracker.RecordHeartbeat(machine, lateHeartbeat, tracker.LeaseEndsAt(machine)) != HeartbeatStale {
		t.Fatal("a heartbeat of the expired incarnation is not stale, want HeartbeatStale")
	}
}

// The loss of one task ends a gang's attempt. The next attempt starts only after every task of the old one
// has ended.
func TestGangRestartsTogether(t *testing.T) {
	tracker, job, machine := newSmallTracker(t, wire.KindGang, 2)
	firstAttempt := tracker.NextAttempt()
	for i := range job.Tasks {
		if err := tracker.PlaceTask(job, i, machine, firstAttempt, 2); err != nil {
			t.Fatal(err)
		}
	}
	tracker.HeartbeatCommands(machine, 2)
	reportTask := func(i int, state, cause string) wire.TaskStatus {
		return wire.TaskStatus{TaskID: wire.TaskID("req-000001", i), Attempt: firstAttempt, State: state, ExitCause: cause}
	}
	tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 2, 7, reportTask(0, wire.TaskRunning, ""), reportTask(1, wire.TaskRunning, "")), 3)
	tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 3, 7, reportTask(0, wire.TaskExited, wire.ExitError), reportTask(1, wire.TaskRunning, "")), 4)
	if err := tracker.PlaceTask(job, 0, machine, tracker.NextAttempt(), 5); err == nil {
		t.Fatal("PlaceTask under a new attempt while the old one has a running task = nil, want an error")
	}
	stops := 0
	for _, command := range tracker.HeartbeatCommands(machine, 5) {
		if command.Action == wire.ActionStop {
			stops++
		}
	}
	if stops != 1 {
		t.Fatalf("got %d stops for the gang's remaining task, want 1", stops)
	}
	tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 4, 7, reportTask(1, wire.TaskExited, wire.ExitPeerLost)), 6)
	if job.GangAttempt != 0 || job.GangAborting {
		t.Fatal("the gang's attempt is not over after its last task has exited")
	}
	tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 5, 7), 7)
	secondAttempt := tracker.NextAttempt()
	for i := range job.Tasks {
		if err := tracker.PlaceTask(job, i, machine, secondAttempt, 8); err != nil {
			t.Fatal(err)
		}
	}
}

// A worker whose lease has run out begins a new incarnation, whose own lease begins without any reply from
// a leader. If the leader first sees the incarnation in the response to a probe and starts tasks under it, the
// end of the old incarnation's lease proves nothing about these tasks
// (docs/incidents/session-seen-by-probe.md).
func TestNewIncarnationHasOwnLease(t *testing.T) {
	tracker, job, machine := newSmallTracker(t, wire.KindArray, 1)
	tracker.RecordLeaseRenewal(machine, 1)
	now := testLeaseTTL - clock.Second
	if tracker.RecordCommandHeartbeat(machine, newHeartbeat(machine, 2, 2, 7), now) != HeartbeatAccepted {
		t.Fatal("the heartbeat in the response to the probe is not accepted")
	}
	if err := tracker.PlaceTask(job, 0, machine, tracker.NextAttempt(), now); err != nil {
		t.Fatal(err)
	}
	if request, _ := tracker.BuildCommandRequest(machine, now); request == nil || request.Incarnation != 2 {
		t.Fatal("BuildCommandRequest under the new incarnation: want a request with incarnation 2")
	}
	if tracker.ExpireLease(machine, now+3*clock.Second) || job.Tasks[0].Placement == nil {
		t.Fatal("the end of the old lease has ended the task of the new incarnation")
	}
}
