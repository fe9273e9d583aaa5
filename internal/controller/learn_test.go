package controller

import (
	"math"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// A new leader does not know when the tasks that it finds running began. What is left
// of their runs was once learnt as run times, so after each change of the lead forecasts
// came out short.
func TestFoundTasksTeachNoRunTimes(t *testing.T) {
	l := rebuilt(t, "i-1")
	l.c.view.jobs["req-000001"] = &jobRecord{At: int64(clock.WallTime()), Job: &wire.Job{
		ID: "req-000001", Class: "c", Kind: wire.KindArray, Priority: wire.PriorityNormal, Team: "t", TaskCount: 2, CPUs: 1, EstimatedRunSeconds: 100,
	}}
	l.c.view.done["req-000001"] = map[int]progressPart{0: {}}
	l = newLead(l.c, 10, clock.Now())
	j, m := l.lg.Jobs["req-000001"], l.lg.Machines["i-1"]
	now := l.since + clock.Second
	seq := uint64(0)
	report := func(task string, attempt uint64, state, why string) {
		seq++
		l.lg.RecordLeaseRenewal(m, now)
		l.lg.RecordHeartbeat(m, &wire.Heartbeat{MachineID: "i-1", Incarnation: 1, Sequence: seq, FencingToken: 10, Tasks: []wire.TaskStatus{{TaskID: task, Attempt: attempt, State: state, ExitCause: why}}}, now)
		l.settle(now)
	}
	report("req-000001/0", 3, wire.TaskRunning, "") // begun long ago
	now += 5 * clock.Second
	report("req-000001/0", 3, wire.TaskExited, wire.ExitDone)
	if got := l.pl.RunTimeModel("c").PredictedSeconds(100); math.Abs(got-100) > 1e-9 {
		t.Fatalf("a task of 100 s is predicted to run %.1f s", got)
	}
	if err := l.lg.PlaceTask(j, 1, m, l.lg.NextAttempt(), now); err != nil {
		t.Fatal(err)
	}
	var attempt uint64
	m.ForEachPlacement(func(p *allocation.Placement) { attempt = p.Attempt })
	l.lg.HeartbeatCommands(m, now)
	report("req-000001/1", attempt, wire.TaskRunning, "")
	now += 50 * clock.Second
	report("req-000001/1", attempt, wire.TaskExited, wire.ExitDone)
	if got := l.pl.RunTimeModel("c").PredictedSeconds(100); math.Abs(got-50) > 1e-6 {
		t.Fatalf("after a run of 50 s, a task estimated at 100 s is predicted to run %.1f s", got)
	}
}
