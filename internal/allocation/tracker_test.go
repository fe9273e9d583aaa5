package allocation

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

func newHeartbeat(machine *Machine, incarnation, sequence, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{MachineID: machine.Name, Address: "127.0.0.1:1", Zone: machine.Zone, Incarnation: incarnation, Sequence: sequence, FencingToken: token, Tasks: tasks}
}

func newSmallTracker(t *testing.T, kind string, tasks int) (*Tracker, *Job, *Machine) {
	t.Helper()
	tracker := New(Config{FencingToken: 7, LeaseTTL: testLeaseTTL, CancelFenceWindow: 20 * clock.Second})
	tracker.FinishRecovery()
	machine := tracker.AddMachine("i-1", "t", "x", false, Resources{8000, 0, 8000}, 1)
	machine.RecordedInStore = true
	job := tracker.AddJob(&wire.Job{ID: "req-000001", Kind: kind, Priority: wire.PriorityNormal, TaskCount: tasks, CPUs: 1, Team: "a"}, 0, 1, true, nil)
	if tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 1, 7), 1) != HeartbeatAccepted {
		t.Fatal("the first heartbeat is not accepted")
	}
	return tracker, job, machine
}

// A start in a command request without an answer may arrive after the worker was told to forget the
// attempt: it would run again.
func TestAttemptIsKeptWhileStartMayArrive(t *testing.T) {
	tracker, job, machine := newSmallTracker(t, wire.KindArray, 1)
	if err := tracker.PlaceTask(job, 0, machine, tracker.NextAttempt(), 2); err != nil {
		t.Fatal(err)
	}
	request, starts := tracker.BuildCommandRequest(machine, 2)
	if request == nil || len(starts) != 1 {
		t.Fatal("no start in a command request")
	}
	tracker.FinishCommandRequest(machine, starts, CommandOutcomeUnknown, 2)
	attempt := request.Commands[0].Attempt
	tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 2, 7, wire.TaskStatus{TaskID: "req-000001/0", Attempt: attempt, State: wire.TaskExited, ExitCause: wire.ExitError}), 3)
	for _, command := range tracker.HeartbeatCommands(machine, 3) {
		if command.Action == wire.ActionReap {
			t.Fatal("reaped an attempt whose start may still arrive")
		}
	}
	// In a new incarnation the worker refuses commands for the old one.
	tracker.RecordHeartbeat(machine, newHeartbeat(machine, 2, 3, 7, wire.TaskStatus{TaskID: "req-000001/0", Attempt: attempt, State: wire.TaskExited, ExitCause: wire.ExitError}), 4)
	if commands := tracker.HeartbeatCommands(machine, 4); len(commands) != 1 || commands[0].Action != wire.ActionReap {
		t.Fatalf("not reaped in the new incarnation: %v", commands)
	}
}

// A start in a heartbeat's reply may still be on its way when the worker answers a command request.
// That answer lacks the task and proves nothing; only the worker's next own heartbeat does.
func TestCommandResponseDoesNotDisproveHeartbeatReply(t *testing.T) {
	tracker, job, machine := newSmallTracker(t, wire.KindArray, 1)
	if err := tracker.PlaceTask(job, 0, machine, tracker.NextAttempt(), 2); err != nil {
		t.Fatal(err)
	}
	if commands := tracker.HeartbeatCommands(machine, 2); len(commands) != 1 {
		t.Fatalf("commands %v", commands)
	}
	tracker.RecordCommandHeartbeat(machine, newHeartbeat(machine, 1, 2, 7), 3)
	tracker.StopPlacement(job.Tasks[0].Placement, 0)
	if tracker.IsVacated(job) || job.WaitingCount() != 0 {
		t.Fatal("a task whose start is on its way is free to start elsewhere")
	}
	tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 3, 7), 4)
	if !tracker.IsVacated(job) {
		t.Fatal("the worker's next heartbeat proves that the start did not arrive")
	}
}

// A cancelled job's start that may still arrive is fenced by a start and a stop in one message, so that
// the late one finds its attempt listed as exited.
func TestFenceStartOfCancelledJob(t *testing.T) {
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
		t.Fatalf("not fenced: %v", commands)
	}
	if tracker.IsVacated(job) {
		t.Fatal("a job with a task that may start is vacated")
	}
	if commands = tracker.HeartbeatCommands(machine, 4+30*clock.Second); len(commands) != 0 {
		t.Fatalf("fenced too long after the cancellation: %v", commands)
	}
	if !tracker.HasUnfenceableStart(machine, 4+30*clock.Second) {
		t.Fatal("the machine is not cordoned")
	}
}

// A heartbeat of an incarnation whose lease has run out may arrive late. It must not bring the tasks
// back.
func TestHeartbeatOfExpiredIncarnationIsStale(t *testing.T) {
	tracker, job, machine := newSmallTracker(t, wire.KindArray, 1)
	if err := tracker.PlaceTask(job, 0, machine, tracker.NextAttempt(), 2); err != nil {
		t.Fatal(err)
	}
	tracker.HeartbeatCommands(machine, 2)
	if !tracker.ExpireLease(machine, tracker.LeaseEndsAt(machine)) || job.ActiveCount() != 0 {
		t.Fatal("not expired")
	}
	late := newHeartbeat(machine, 1, 9, 7, wire.TaskStatus{TaskID: "req-000001/0", Attempt: 1, State: wire.TaskRunning})
	if tracker.RecordHeartbeat(machine, late, tracker.LeaseEndsAt(machine)) != HeartbeatStale {
		t.Fatal("a heartbeat of the expired incarnation was accepted")
	}
}

// One lost task ends a gang's attempt, and the next attempt waits until every task of the old one has
// ended.
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
		t.Fatal("a new attempt is placed beside the old one")
	}
	stops := 0
	for _, command := range tracker.HeartbeatCommands(machine, 5) {
		if command.Action == wire.ActionStop {
			stops++
		}
	}
	if stops != 1 {
		t.Fatalf("%d stops for the rest of the gang", stops)
	}
	tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 4, 7, reportTask(1, wire.TaskExited, wire.ExitPeerLost)), 6)
	if job.GangAttempt != 0 || job.GangAborting {
		t.Fatal("the old attempt is not over")
	}
	tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 5, 7), 7)
	secondAttempt := tracker.NextAttempt()
	for i := range job.Tasks {
		if err := tracker.PlaceTask(job, i, machine, secondAttempt, 8); err != nil {
			t.Fatal(err)
		}
	}
}

// A worker whose lease ran out begins a new incarnation, with its own lease that begins without a
// reply. If the incarnation is first seen in the answer to a probe and tasks are started in it, the
// lease of the old one proves nothing about them (docs/incidents/session-seen-by-probe.md).
func TestNewIncarnationHasOwnLease(t *testing.T) {
	tracker, job, machine := newSmallTracker(t, wire.KindArray, 1)
	tracker.RecordLeaseRenewal(machine, 1)
	now := testLeaseTTL - clock.Second
	if tracker.RecordCommandHeartbeat(machine, newHeartbeat(machine, 2, 2, 7), now) != HeartbeatAccepted {
		t.Fatal("the heartbeat in the answer to the probe is not accepted")
	}
	if err := tracker.PlaceTask(job, 0, machine, tracker.NextAttempt(), now); err != nil {
		t.Fatal(err)
	}
	if request, _ := tracker.BuildCommandRequest(machine, now); request == nil || request.Incarnation != 2 {
		t.Fatal("no start in the new incarnation")
	}
	if tracker.ExpireLease(machine, now+3*clock.Second) || job.Tasks[0].Placement == nil {
		t.Fatal("the task of the new incarnation is ended with the old lease")
	}
}
