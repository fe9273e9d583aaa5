package leader

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// A new leader learns from the records for which classes starts are urgent, and deletes no idle machine
// while unconfirmed tasks may soon need it. This guards against a leader that, eight seconds after a
// failover, deletes the machines that two thirds of the fleet's tasks then have to wait for.
func TestNewLeaderKeepsMachinesWhileTasksUnconfirmed(t *testing.T) {
	term := newTestTerm(t, "i-1", "i-2")
	owner := ownerOf(term)
	wall := int64(clock.WallTime())
	for i, at := range []clock.Micros{90, 60, 30} {
		id := []string{"req-000001", "req-000002", "req-000003"}[i]
		owner.View.Jobs[id] = &storeview.Job{Job: records.Job{SubmittedAt: wall - int64(at*clock.Second), Spec: &wire.Job{
			ID: id, Class: "c", Kind: wire.KindArray, Priority: wire.PriorityNormal, Team: "t", TaskCount: 4, CPUs: 4, EstimatedRunSeconds: 60,
		}}}
		owner.View.Progress[id] = map[int]storeview.ProgressPart{0: {}}
	}
	owner.Config.Deployment.Objectives = append(owner.Config.Deployment.Objectives, config.Objective{Kind: "wait", Class: "c", TargetSeconds: 2})
	term = owner.newTerm(10, clock.Now())
	machine := term.tracker.Machines["i-1"] // reachable and idle, while i-2 is not reachable
	term.tracker.RecordLeaseRenewal(machine, term.liveness.startedAt)
	term.tracker.RecordHeartbeat(machine, &wire.Heartbeat{MachineID: "i-1", Incarnation: 1, Sequence: 1, FencingToken: 10}, term.liveness.startedAt)
	at := term.liveness.startedAt + 40*clock.Second
	machine.LastHeartbeatAt, term.scheduler.HeartbeatWindow = at, 3600*clock.Second
	if decision := term.scheduler.Plan(term.tracker, at, clock.WallTime(), nil); len(decision.ScaleIn) != 0 {
		t.Fatalf("%s is deleted while tasks are unconfirmed, want no deletion", decision.ScaleIn[0].Name)
	}
	for id, job := range term.tracker.Jobs {
		term.tracker.Cancel(job, at)
		delete(term.tracker.Jobs, id)
	}
	// Once no task is unconfirmed, the idle timeout is the one for a class whose starts are urgent. Without
	// such a class an idle machine would be deleted after eight seconds.
	beforeIdleWait, afterIdleWait := term.liveness.startedAt+20*clock.Second, term.liveness.startedAt+term.scheduler.Settings.IdleTimeout+clock.Second
	if decision := term.scheduler.Plan(term.tracker, beforeIdleWait, clock.WallTime(), nil); len(decision.ScaleIn) != 0 {
		t.Fatalf("%s is deleted before the idle timeout for urgent starts", decision.ScaleIn[0].Name)
	}
	machine.LastHeartbeatAt = afterIdleWait
	if decision := term.scheduler.Plan(term.tracker, afterIdleWait, clock.WallTime(), nil); len(decision.ScaleIn) != 1 {
		t.Fatalf("%d machines are deleted after the idle timeout, want 1", len(decision.ScaleIn))
	}
}
