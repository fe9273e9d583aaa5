package leader

import (
	"math"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// A new leader doesn't know when the tasks that it finds running were started, so it must not use the
// time from its election to their end as their run time. When it did, run-time predictions were too
// short after each failover.
func TestAdoptedTasksDoNotUpdateRunTimes(t *testing.T) {
	term := newTestTerm(t, "i-1")
	term.environment.View.Jobs["req-000001"] = &storeview.Job{Job: records.Job{SubmittedAt: int64(clock.WallTime()), Spec: &wire.Job{
		ID: "req-000001", Class: "c", Kind: wire.KindArray, Priority: wire.PriorityNormal, Team: "t", TaskCount: 2, CPUs: 1, EstimatedRunSeconds: 100,
	}}}
	term.environment.View.Progress["req-000001"] = map[int]storeview.ProgressPart{0: {}}
	term = ownerOf(term).newTerm(10, clock.Now())
	job, machine := term.tracker.Jobs["req-000001"], term.tracker.Machines["i-1"]
	now := term.liveness.startedAt + clock.Second
	sequence := uint64(0)
	reportTask := func(task string, attempt uint64, state, exitCause string) {
		sequence++
		term.tracker.RecordLeaseRenewal(machine, now)
		term.tracker.RecordHeartbeat(machine, &wire.Heartbeat{MachineID: "i-1", Incarnation: 1, Sequence: sequence, FencingToken: 10, Tasks: []wire.TaskStatus{{TaskID: task, Attempt: attempt, State: state, ExitCause: exitCause}}}, now)
		term.processTaskEvents(now)
	}
	reportTask("req-000001/0", 3, wire.TaskRunning, "") // started by an earlier leader
	now += 5 * clock.Second
	reportTask("req-000001/0", 3, wire.TaskExited, wire.ExitDone)
	if got := term.scheduler.RunTimeModel("c").PredictedSeconds(100); math.Abs(got-100) > 1e-9 {
		t.Fatalf("after the end of an adopted task, predicted run time of an estimated 100 s is %.1f s, want 100 s", got)
	}
	if err := term.tracker.PlaceTask(job, 1, machine, term.tracker.NextAttempt(), now); err != nil {
		t.Fatal(err)
	}
	var attempt uint64
	machine.ForEachPlacement(func(placement *allocation.Placement) { attempt = placement.Attempt })
	term.tracker.HeartbeatCommands(machine, now)
	reportTask("req-000001/1", attempt, wire.TaskRunning, "")
	now += 50 * clock.Second
	reportTask("req-000001/1", attempt, wire.TaskExited, wire.ExitDone)
	if got := term.scheduler.RunTimeModel("c").PredictedSeconds(100); math.Abs(got-50) > 1e-6 {
		t.Fatalf("after a run of 50 s, predicted run time of an estimated 100 s is %.1f s, want 50 s", got)
	}
}
