package controller

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/wire"
)

// A new leader knows from the records which starts press, and gives no machine back
// while tasks are in doubt that may need it in a moment: once it gave back, eight
// seconds after its take-over, what two in three of the fleet's tasks then waited for.
func TestANewLeaderKeepsWhatMayBeNeeded(t *testing.T) {
	l := rebuilt(t, "i-1", "i-2")
	c := l.c
	wall := int64(clock.WallTime())
	for i, at := range []clock.Micros{90, 60, 30} {
		id := []string{"req-000001", "req-000002", "req-000003"}[i]
		c.view.jobs[id] = &jobRecord{At: wall - int64(at*clock.Second), Job: &wire.Job{
			ID: id, Class: "c", Kind: wire.KindArray, Priority: wire.PriorityNormal, Team: "t", TaskCount: 4, CPUs: 4, EstimatedRunSeconds: 60,
		}}
		c.view.done[id] = map[int]progressPart{0: {}}
	}
	c.cfg.Deployment.Objectives = append(c.cfg.Deployment.Objectives, config.Objective{Kind: "wait", Class: "c", TargetSeconds: 2})
	l = newLead(c, 10, clock.Now())
	m := l.lg.Machines["i-1"] // heard, and empty; the other one is not heard
	l.lg.RecordLeaseRenewal(m, l.since)
	l.lg.RecordHeartbeat(m, &wire.Heartbeat{MachineID: "i-1", Incarnation: 1, Sequence: 1, FencingToken: 10}, l.since)
	at := l.since + 40*clock.Second
	m.LastHeartbeatAt, l.pl.HeartbeatWindow = at, 3600*clock.Second
	if d := l.pl.Plan(l.lg, at, clock.WallTime(), nil); len(d.ScaleIn) != 0 {
		t.Fatalf("%s is given back while tasks are in doubt", d.ScaleIn[0].Name)
	}
	for id, j := range l.lg.Jobs {
		l.lg.Cancel(j, at)
		delete(l.lg.Jobs, id)
	}
	// With nothing in doubt, the wait is that of a class whose starts press: a leader
	// that knows of none gives an idle machine back after eight seconds.
	early, late := l.since+20*clock.Second, l.since+l.pl.Settings.IdleTimeout+clock.Second
	if d := l.pl.Plan(l.lg, early, clock.WallTime(), nil); len(d.ScaleIn) != 0 {
		t.Fatalf("%s is given back as if no start pressed", d.ScaleIn[0].Name)
	}
	m.LastHeartbeatAt = late
	if d := l.pl.Plan(l.lg, late, clock.WallTime(), nil); len(d.ScaleIn) != 1 {
		t.Fatalf("%d machines are given back after the idle wait", len(d.ScaleIn))
	}
}
