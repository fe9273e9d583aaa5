package allocation

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// encodedSize returns the size of a reply with commands.
func encodedSize(t *testing.T, commands []wire.Command) int {
	t.Helper()
	body, err := wire.HeartbeatResponse{FencingToken: 1 << 62, Commands: commands}.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	return len(body)
}

// newTrackerWithListedTasks returns the tracker of a new leader, and its machine, which lists more tasks of a job than
// this version places on a machine.
func newTrackerWithListedTasks(taskCount int) (*Tracker, *Machine, *wire.Heartbeat) {
	tracker := New(Config{FencingToken: 1, LeaseTTL: testLeaseTTL})
	machine := tracker.AddMachine("i-1", "t", "x", false, Resources{MicroCPU: 64 * Unit, MicroGB: 1 << 50}, 1)
	machine.RecordedInStore = true
	tracker.AddJob(&wire.Job{ID: "req-000001", Kind: wire.KindArray, Team: "a", TaskCount: taskCount + 10, Priority: wire.PriorityNormal, CheckpointSaveSeconds: 2.5}, 0, 1, true, nil)
	heartbeat := &wire.Heartbeat{MachineID: "i-1", Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1, FencingToken: 1}
	for i := range taskCount {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{TaskID: wire.TaskID("req-000001", i), Attempt: 1<<40 + uint64(i), State: wire.TaskRunning})
	}
	tracker.FinishRecovery()
	tracker.RecordLeaseRenewal(machine, 1)
	tracker.RecordHeartbeat(machine, heartbeat, 1)
	return tracker, machine, heartbeat
}

// Guards against messages that workers refuse for their size: an earlier version has placed very many tasks on a
// machine, and all are cancelled. Each message is within the limit, and together they stop every task.
func TestStopsOfManyTasksAreSentInBoundedMessages(t *testing.T) {
	const taskCount = 3000
	tracker, machine, heartbeat := newTrackerWithListedTasks(taskCount)
	tracker.Cancel(tracker.Jobs["req-000001"], 2)
	stopped := map[string]bool{}
	for round := 0; len(stopped) < taskCount; round++ {
		if round > 10 {
			t.Fatalf("after %d replies: got %d tasks stopped, want %d", round, len(stopped), taskCount)
		}
		commands := tracker.HeartbeatCommands(machine, clock.Micros(3+round))
		if size := encodedSize(t, commands); size > wire.MaxLineBytes || len(commands) == 0 {
			t.Fatalf("reply %d: got %d commands in %d bytes, want some in at most %d", round, len(commands), size, wire.MaxLineBytes)
		}
		for _, command := range commands {
			stopped[command.TaskID] = true
		}
		heartbeat.Sequence++
		for i := range heartbeat.Tasks {
			if task := &heartbeat.Tasks[i]; stopped[task.TaskID] {
				task.State, task.ExitCause = wire.TaskExited, wire.ExitStopped
			}
		}
		tracker.RecordHeartbeat(machine, heartbeat, clock.Micros(3+round))
	}
	if size := encodedSize(t, tracker.RenewalStops(machine)); size > wire.MaxLineBytes {
		t.Errorf("renewal stops: got %d bytes, want at most %d", size, wire.MaxLineBytes)
	}
}

// Guards against a machine whose heartbeats get too large: it gets no more tasks than they can list, counted with the
// exited tasks that are not reaped. Stops go before reaps, and reaps before starts.
func TestMachineGetsNoMoreTasksThanItsHeartbeatsList(t *testing.T) {
	tracker, machine, heartbeat := newTrackerWithListedTasks(100)
	many := tracker.AddJob(&wire.Job{ID: "req-000002", Kind: wire.KindArray, Team: "a", TaskCount: 20000, Priority: wire.PriorityNormal}, 0, 2, true, nil)
	for i := range heartbeat.Tasks {
		heartbeat.Tasks[i].State, heartbeat.Tasks[i].ExitCause = wire.TaskExited, wire.ExitStopped
	}
	heartbeat.Sequence++
	tracker.RecordHeartbeat(machine, heartbeat, 2)
	placed := 0
	for i := range many.Tasks {
		if tracker.PlaceTask(many, i, machine, tracker.NextAttempt(), 2) != nil {
			break
		}
		placed++
	}
	listed := *heartbeat
	for i := range placed {
		listed.Tasks = append(listed.Tasks, wire.TaskStatus{TaskID: wire.TaskID("req-000002", i), Attempt: 1 << 63, State: wire.TaskExited, ExitCause: wire.ExitGangIncomplete, Saved: true})
	}
	body, err := listed.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	if len(body) > wire.MaxBodyBytes || placed < 300 {
		t.Errorf("placed %d tasks, with which a heartbeat has %d bytes; want at least 300 and at most %d bytes", placed, len(body), wire.MaxBodyBytes)
	}
	if free := machine.Free().ReportBytes; free >= many.Request.ReportBytes {
		t.Errorf("the machine has room for %d bytes of heartbeats left, want less than one task takes", free)
	}
	commands := tracker.HeartbeatCommands(machine, 3)
	order := map[string]int{wire.ActionStop: 0, wire.ActionReap: 1, wire.ActionStart: 2}
	for i := 1; i < len(commands); i++ {
		if order[commands[i-1].Action] > order[commands[i].Action] {
			t.Fatalf("command %d is a %s after a %s, want stops, then reaps, then starts", i, commands[i].Action, commands[i-1].Action)
		}
	}
	if size := encodedSize(t, commands); size > wire.MaxLineBytes {
		t.Errorf("the reply has %d bytes, want at most %d", size, wire.MaxLineBytes)
	}
}
