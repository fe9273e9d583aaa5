package controller

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// recordOf makes the record of a job of one task.
func recordOf(id, priority string, at, deadlineS float64, awaits ...string) *jobRecord {
	return &jobRecord{At: int64(clock.FromSeconds(at)), version: 1, Job: &wire.Job{
		ID: id, Kind: wire.KindArray, Team: "t", TaskCount: 1, CPUs: 1, Priority: priority, EstimatedRunSeconds: 10, DeadlineSeconds: deadlineS, DependsOn: awaits,
	}}
}

// The leader's account has a job once all that it awaits is done, with the urgency of
// what awaits it, and its waits count from then; one that names a job which is
// cancelled is over at once, as is everything after it.
func TestAccountOfAPipeline(t *testing.T) {
	l := rebuilt(t)
	c := l.c
	c.lead = l
	wall := clock.WallTime().Seconds()
	c.setJob("req-000002", recordOf("req-000002", wire.PriorityLow, wall, 0, "req-000001"))
	if l.lg.Jobs["req-000002"] != nil {
		t.Fatal("a job is in the account whose awaited job is not even known")
	}
	c.setJob("req-000001", recordOf("req-000001", wire.PriorityLow, wall, 0))
	first := l.lg.Jobs["req-000001"]
	if first == nil || first.Priority != wire.PriorityIndex(wire.PriorityLow) || first.Deadline != 0 {
		t.Fatalf("the first is %+v", first)
	}
	c.setJob("req-000003", recordOf("req-000003", wire.PriorityHigh, wall, 300, "req-000002"))
	want := clock.FromSeconds(wall+300) - 2*(10*clock.Second+startTime)
	if first.Priority != wire.PriorityIndex(wire.PriorityHigh) || first.Deadline != want {
		t.Fatalf("after the last: priority %d, deadline %d, want %d", first.Priority, first.Deadline, want)
	}
	end := clock.FromSeconds(wall + 50)
	c.setJob("req-000001", &jobRecord{At: 1, State: wire.JobDone, End: int64(end), version: 2})
	second := l.lg.Jobs["req-000002"]
	if second == nil || second.ReleasedAt != end || second.Priority != wire.PriorityIndex(wire.PriorityHigh) {
		t.Fatalf("the second is %+v", second)
	}
	if l.lg.Jobs["req-000003"] != nil {
		t.Fatal("the third is in the account before the second is done")
	}
	over := overRecord(c.view.jobs["req-000002"], wire.JobCancelled, clock.WallTime())
	over.version = 3
	c.setJob("req-000002", over)
	if r := c.view.jobs["req-000003"]; !r.over() || r.state() != wire.JobCancelled {
		t.Fatal("the third is not cancelled with the second")
	}
	c.setJob("req-000004", recordOf("req-000004", wire.PriorityLow, wall, 0, "req-000003"))
	if r := c.view.jobs["req-000004"]; r.state() != wire.JobCancelled || l.lg.Jobs["req-000004"] != nil {
		t.Fatal("a job that names a cancelled one goes on")
	}
}

// What a job awaits is split so that every value fits, and comes together again in
// whatever order its keys are read.
func TestLongListsAreSplit(t *testing.T) {
	l := rebuilt(t)
	c := l.c
	c.cfg.Deployment.Store.MaxValueKB = 1
	rec := recordOf("req-000500", wire.PriorityLow, 1, 0)
	for i := range 300 {
		rec.Job.DependsOn = append(rec.Job.DependsOn, fmt.Sprintf("req-%06d", i))
	}
	changes := c.submissionChanges(rec)
	if len(changes) < 3 || rec.Parts != len(changes)-1 {
		t.Fatalf("%d changes, %d parts", len(changes), rec.Parts)
	}
	for _, backwards := range []bool{false, true} {
		c.view.init()
		for i := range changes {
			change := changes[i]
			if backwards {
				change = changes[len(changes)-1-i]
			}
			if len(change.Value) > 1<<10 {
				t.Fatalf("a value of %d bytes", len(change.Value))
			}
			c.put(change.PutKey, change.Value, 5)
		}
		awaits, whole := c.awaits("req-000500", c.view.jobs["req-000500"])
		if !whole || len(awaits) != 300 || awaits[299] != "req-000299" {
			t.Fatalf("%d of 300 are read, whole %v", len(awaits), whole)
		}
		if !c.blocked("req-000500", c.view.jobs["req-000500"]) {
			t.Fatal("it is not blocked")
		}
	}
}
