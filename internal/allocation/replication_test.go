package allocation

import (
	"slices"
	"strings"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// recordingReplicator records what a standby that follows a tracker knows.
type recordingReplicator struct {
	t              *testing.T
	requiredID     string   // if set, this task or its job must be in active after each decision
	active         []string // tasks that may be running, and unconfirmed tasks and jobs
	sequence       uint64   // number of the last decision
	replicatedUpTo uint64   // number of the last decision that all standbys have
}

func (replicator *recordingReplicator) RecordStarted(task string, _ uint64, _ string) uint64 {
	replicator.active = append(replicator.active, task)
	replicator.sequence++
	return replicator.sequence
}

func (replicator *recordingReplicator) RecordEnded(task string, _ uint64, _ string) {
	if i := slices.Index(replicator.active, task); i >= 0 {
		replicator.active = slices.Delete(replicator.active, i, i+1)
	}
	if job, _, _ := strings.Cut(replicator.requiredID, "/"); job != "" && !slices.Contains(replicator.active, replicator.requiredID) && !slices.Contains(replicator.active, job) {
		replicator.t.Errorf("neither %s nor its job is published after a decision, want one of them", replicator.requiredID)
	}
}

func (replicator *recordingReplicator) MaySendStart(number uint64) bool {
	return number <= replicator.replicatedUpTo
}

func (replicator *recordingReplicator) RecordUnconfirmed(id string) {
	replicator.RecordStarted(id, 0, "")
}

func (replicator *recordingReplicator) RecordResolved(id string) { replicator.RecordEnded(id, 0, "") }

// newReplicatedTracker returns a tracker with a machine and a job with one placed task.
func newReplicatedTracker(t *testing.T) (*Tracker, *Machine, *Job, *recordingReplicator) {
	t.Helper()
	replicator := &recordingReplicator{replicatedUpTo: 100}
	tracker := New(Config{FencingToken: 9, LeaseTTL: testLeaseTTL, Replicator: replicator})
	tracker.FinishRecovery()
	machine := tracker.AddMachine("i-0", "t", "x", false, Resources{MicroCPU: 8 * Unit, MicroGB: 1 << 50}, 0)
	machine.RecordedInStore, machine.Address = true, "a:1"
	job := tracker.AddJob(&wire.Job{ID: "req-000001", Kind: wire.KindArray, TaskCount: 3, CPUs: 1}, 0, 0, true, nil)
	tracker.RecordHeartbeat(machine, heartbeatListing("i-0", 1, 9, 0), 1)
	if err := tracker.PlaceTask(job, 0, machine, tracker.NextAttempt(), 1); err != nil {
		t.Fatal(err)
	}
	return tracker, machine, job, replicator
}

// A start is sent through neither channel before all standbys have its placement, and is sent after that.
func TestStartWaitsForReplication(t *testing.T) {
	tracker, machine, _, replicator := newReplicatedTracker(t)
	replicator.replicatedUpTo = 0
	if commands := tracker.HeartbeatCommands(machine, 2); len(commands) != 0 {
		t.Fatalf("heartbeat reply before replication: got commands %+v, want none", commands)
	}
	if request, _ := tracker.BuildCommandRequest(machine, 2); request != nil {
		t.Fatalf("before replication: got command request %+v, want none", request)
	}
	tracker.ProcessDispatchQueue(func(*Machine) bool { return false })
	replicator.replicatedUpTo = 1
	tracker.RetryUnreplicatedStarts()
	dispatchCount := 0
	tracker.ProcessDispatchQueue(func(*Machine) bool { dispatchCount++; return false })
	if request, _ := tracker.BuildCommandRequest(machine, 3); dispatchCount != 1 || request == nil || len(request.Commands) != 1 {
		t.Fatalf("after replication: got %d machines to dispatch and request %+v, want 1 machine and 1 command", dispatchCount, request)
	}
}

// Standbys learn that a completed task's placement has ended only once the completion is durable or the job
// is over. If they learned it earlier, the next leader would run the task again.
func TestCompletionIsDurableBeforeEndIsPublished(t *testing.T) {
	tracker, machine, job, replicator := newReplicatedTracker(t)
	tracker.HeartbeatCommands(machine, 2)
	done := heartbeatListing("i-0", 2, 9, 0)
	attempt := job.Tasks[0].Placement.Attempt
	done.Tasks = []wire.TaskStatus{{TaskID: wire.TaskID("req-000001", 0), Attempt: attempt, State: wire.TaskExited, ExitCause: wire.ExitDone}}
	tracker.RecordHeartbeat(machine, done, 3*clock.Second)
	if job.DoneCount() != 1 || len(replicator.active) != 1 {
		t.Fatalf("before the completion is durable: got %d done and %v published as active, want 1 and 1 entry", job.DoneCount(), replicator.active)
	}
	tracker.MarkCompletionsDurable(job, []int{0})
	if len(replicator.active) != 0 {
		t.Fatalf("after the completion is durable: got %v published as active, want none", replicator.active)
	}
}

// Only tasks that an earlier leader may have started are unconfirmed. In a gang, all tasks are or none is.
func TestOnlyPossiblyStartedTasksAreUnconfirmed(t *testing.T) {
	for kind, want := range map[string]int{wire.KindArray: 1, wire.KindGang: 3} {
		tracker := New(Config{FencingToken: 9, LeaseTTL: testLeaseTTL, MayHaveStarted: func(task string) bool { return task == wire.TaskID("req-000001", 1) }})
		job := tracker.AddJob(&wire.Job{ID: "req-000001", Kind: kind, TaskCount: 3, CPUs: 1, Team: "a"}, 0, 0, true, nil)
		if job.UnconfirmedCount() != want || tracker.TeamUsage("a").MicroCPU != int64(want)*Unit {
			t.Errorf("%s: got %d unconfirmed tasks and team usage of %d millionths of a CPU, want 1 task for an array and 3 for a gang, of a CPU each", kind, job.UnconfirmedCount(), tracker.TeamUsage("a").MicroCPU)
		}
	}
}

// newTrackerWithUnconfirmed returns the tracker of a new leader, the first of its two machines, and a job
// whose tasks may be running. The other machine sends no heartbeats.
func newTrackerWithUnconfirmed(t *testing.T, tasks int, mayHaveStarted func(string) bool) (*Tracker, *Machine, *Job, *recordingReplicator) {
	t.Helper()
	replicator := &recordingReplicator{t: t, replicatedUpTo: 100}
	tracker := New(Config{FencingToken: 9, LeaseTTL: testLeaseTTL, Replicator: replicator, MayHaveStarted: mayHaveStarted})
	for _, name := range []string{"i-0", "i-1"} {
		tracker.AddMachine(name, "t", "x", false, Resources{MicroCPU: 64 * Unit, MicroGB: 1 << 50}, 0).RecordedInStore = true
	}
	job := tracker.AddJob(&wire.Job{ID: "req-000001", Kind: wire.KindArray, TaskCount: tasks, CPUs: 1}, 0, 0, true, nil)
	tracker.FinishRecovery()
	return tracker, tracker.Machines["i-0"], job, replicator
}

// The placement of an unconfirmed task is published before the task is published as resolved. Otherwise a
// standby would meanwhile take the task for one that is on no machine.
func TestPlacementIsPublishedBeforeResolution(t *testing.T) {
	task := wire.TaskID("req-000001", 1)
	tracker, machine, job, replicator := newTrackerWithUnconfirmed(t, 3, func(other string) bool { return other == task })
	if !slices.Equal(replicator.active, []string{task}) {
		t.Fatalf("after recovery: published %v, want task 1 alone", replicator.active)
	}
	replicator.requiredID = task
	tracker.RecordHeartbeat(machine, heartbeatListing("i-0", 1, 9, 3, 1), 1)
	if job.UnconfirmedCount() != 0 || !slices.Equal(replicator.active, []string{task}) {
		t.Errorf("after task 1 is listed: got %d unconfirmed and %v published, want 0 and task 1 alone", job.UnconfirmedCount(), replicator.active)
	}
}

// An unconfirmed task that turns out to be done stays published until its completion is durable.
func TestTaskStaysPublishedUntilCompletionIsDurable(t *testing.T) {
	for name, tasks := range map[string]int{"few": 3, "many": maxUnconfirmedTasksPublished + 1} {
		tracker, machine, job, replicator := newTrackerWithUnconfirmed(t, tasks, nil)
		replicator.requiredID = wire.TaskID("req-000001", 0)
		done := heartbeatListing("i-0", 1, 9, 3)
		done.Tasks = []wire.TaskStatus{{TaskID: replicator.requiredID, Attempt: 3, State: wire.TaskExited, ExitCause: wire.ExitDone}}
		tracker.RecordHeartbeat(machine, done, 1)
		tracker.RemoveMachine(tracker.Machines["i-1"], 2)
		if job.DoneCount() != 1 || job.UnconfirmedCount() != 0 {
			t.Fatalf("%s: got %d done and %d unconfirmed, want 1 and 0", name, job.DoneCount(), job.UnconfirmedCount())
		}
		replicator.requiredID = ""
		tracker.MarkCompletionsDurable(job, []int{0})
		if len(replicator.active) != 0 {
			t.Errorf("%s: after the completion is durable: got %v published, want none", name, replicator.active)
		}
	}
}

// Many unconfirmed tasks of a job are published one by one if other tasks of the job may be started.
func TestUnconfirmedTasksOfPartlyConfirmedJobArePublishedSingly(t *testing.T) {
	const tasks = 2 * maxUnconfirmedTasksPublished
	_, _, job, replicator := newTrackerWithUnconfirmed(t, tasks, func(task string) bool { return task != wire.TaskID("req-000001", 0) })
	if job.UnconfirmedCount() != tasks-1 || len(replicator.active) != tasks-1 {
		t.Errorf("got %d unconfirmed and %v published, want all tasks except task 0", job.UnconfirmedCount(), replicator.active)
	}
}

// A job whose tasks are all unconfirmed is published as one entry. Once few of its tasks are unconfirmed,
// these are published one by one.
func TestWhollyUnconfirmedJobIsPublishedAsOne(t *testing.T) {
	const tasks = maxUnconfirmedTasksPublished + 4
	tracker, machine, job, replicator := newTrackerWithUnconfirmed(t, tasks, nil)
	if !slices.Equal(replicator.active, []string{"req-000001"}) {
		t.Fatalf("after recovery: published %v, want the job alone", replicator.active)
	}
	tracker.RecordHeartbeat(machine, heartbeatListing("i-0", 1, 9, 3, 0, 1, 2), 1)
	if job.UnconfirmedCount() != tasks-3 || !slices.Contains(replicator.active, "req-000001") || len(replicator.active) != 4 {
		t.Fatalf("after 3 tasks are listed: got %d unconfirmed and %v published, want 17 and the job with 3 tasks", job.UnconfirmedCount(), replicator.active)
	}
	replicator.requiredID = wire.TaskID("req-000001", tasks-1)
	tracker.recordCompletion(job, 3)
	tracker.MarkCompletionsDurable(job, []int{3})
	if job.UnconfirmedCount() != maxUnconfirmedTasksPublished || slices.Contains(replicator.active, "req-000001") || len(replicator.active) != maxUnconfirmedTasksPublished+3 {
		t.Errorf("after another task is durably done: got %d unconfirmed and %v published, want 16 and 19 single tasks", job.UnconfirmedCount(), replicator.active)
	}
}
