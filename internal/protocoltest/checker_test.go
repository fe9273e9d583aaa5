package protocoltest

import (
	"testing"
	"testing/synctest"
	"time"

	"firwood.dev/firwood/wire"
)

const jobID = "req-000001"

// course drives a checker over a history of one job of two tasks.
type course struct {
	*Checker
	spec *wire.Job
}

func newCourse() course {
	c := course{
		New(Config{Cancellation: 10 * time.Second, Limits: map[string]Limit{"a": {CPUs: 8}}}),
		&wire.Job{ID: jobID, Team: "a", Kind: wire.KindArray, TaskCount: 2, CPUs: 4},
	}
	c.Submitted(c.spec)
	c.Told(jobID, wire.JobPending, time.Now())
	time.Sleep(time.Second)
	return c
}

func (c course) told(stage string) { c.Told(jobID, stage, time.Now()) }

func (c course) cancelled() {
	c.CancelAsked(jobID)
	c.told(wire.JobCancelled)
	time.Sleep(time.Second)
}

func machine(name, zone string) wire.ListedMachine {
	return wire.ListedMachine{ID: name, MachineType: "m", Zone: zone}
}

// Each rule is found broken where a history breaks it, and in no other history.
func TestEachRule(t *testing.T) {
	const first, second = jobID + "/0", jobID + "/1"
	for _, test := range []struct {
		name string
		rule Rule // empty: none is broken
		play func(c course)
	}{
		{"a good day", "", func(c course) {
			c.Started(machine("i-1", "x"), first)
			c.Started(machine("i-2", "y"), second)
			c.told(wire.JobRunning)
			c.Ended("i-1", first, wire.ExitDone)
			c.Ended("i-2", second, wire.ExitDone)
			c.told(wire.JobDone)
			c.told(wire.JobDone)
		}},
		{"a task moves", "", func(c course) {
			c.Started(machine("i-1", "x"), first)
			c.Ended("i-1", first, wire.ExitStopped)
			c.Started(machine("i-2", "y"), first)
		}},
		{"a task on two machines", RanTwice, func(c course) {
			c.Started(machine("i-1", "x"), first)
			c.Started(machine("i-2", "x"), first)
		}},
		{"over the limit", Quota, func(c course) {
			c.spec.CPUs = 5
			c.Started(machine("i-1", "x"), first)
			c.Started(machine("i-2", "x"), second)
		}},
		{"another zone", WrongPlace, func(c course) {
			c.spec.Zone = "y"
			c.Started(machine("i-1", "x"), first)
		}},
		{"another type", WrongPlace, func(c course) {
			c.spec.MachineTypes = []string{"other"}
			c.Started(machine("i-1", "x"), first)
		}},
		{"a spot machine", WrongPlace, func(c course) {
			m := machine("i-1", "x")
			m.Spot = true
			c.Started(m, first)
		}},
		{"two zones", WrongPlace, func(c course) {
			c.spec.SingleZone = true
			c.Started(machine("i-1", "x"), first)
			c.Started(machine("i-2", "y"), second)
		}},
		{"not spread", WrongPlace, func(c course) {
			c.spec.SpreadZones = true
			c.Started(machine("i-1", "x"), first)
			c.Started(machine("i-2", "x"), second)
		}},
		{"a cancelled task stays", RanCancelled, func(c course) {
			c.Started(machine("i-1", "x"), first)
			c.cancelled()
			time.Sleep(11 * time.Second)
		}},
		{"a cancelled task goes in time", "", func(c course) {
			c.Started(machine("i-1", "x"), first)
			c.cancelled()
			time.Sleep(8 * time.Second)
			c.Ended("i-1", first, wire.ExitStopped)
			time.Sleep(8 * time.Second)
		}},
		{"a cancelled task starts much later", RanCancelled, func(c course) {
			c.cancelled()
			time.Sleep(11 * time.Second)
			c.Started(machine("i-1", "x"), first)
		}},
		{"an accepted job is not found", Forgotten, func(c course) { c.Denied(jobID, 404, time.Now()) }},
		{"a job that nobody submitted", Invented, func(c course) { c.Told("req-000002", wire.JobPending, time.Now()) }},
		{"done too early", NotDone, func(c course) { c.told(wire.JobDone) }},
		{"cancelled, then running", WentBack, func(c course) {
			c.cancelled()
			c.told(wire.JobRunning)
		}},
		{"cancelled without being asked", WentBack, func(c course) { c.told(wire.JobCancelled) }},
		{"started before what it needs", TooEarly, func(c course) {
			c.Submitted(&wire.Job{ID: "req-000002", Team: "a", Kind: wire.KindArray, TaskCount: 1, DependsOn: []string{jobID}})
			c.Started(machine("i-1", "x"), first)
			c.Ended("i-1", first, wire.ExitDone)
			c.Started(machine("i-1", "x"), "req-000002/0")
		}},
		{"started after what it needs", "", func(c course) {
			c.Submitted(&wire.Job{ID: "req-000002", Team: "a", Kind: wire.KindArray, TaskCount: 1, DependsOn: []string{jobID}})
			for _, task := range []string{first, second} {
				c.Started(machine("i-1", "x"), task)
				c.Ended("i-1", task, wire.ExitDone)
			}
			c.Started(machine("i-1", "x"), "req-000002/0")
		}},
		{"cancelled with what it needs", "", func(c course) {
			c.Submitted(&wire.Job{ID: "req-000002", Team: "a", Kind: wire.KindArray, TaskCount: 1, DependsOn: []string{jobID}})
			c.cancelled()
			c.Told("req-000002", wire.JobPending, time.Now())
			time.Sleep(11 * time.Second)
			c.Told("req-000002", wire.JobCancelled, time.Now())
		}},
		{"not cancelled with what it needs", Orphaned, func(c course) {
			c.Submitted(&wire.Job{ID: "req-000002", Team: "a", Kind: wire.KindArray, TaskCount: 1, DependsOn: []string{"req-000003"}})
			c.Submitted(&wire.Job{ID: "req-000003", Team: "a", Kind: wire.KindArray, TaskCount: 1, DependsOn: []string{jobID}})
			c.cancelled()
			time.Sleep(11 * time.Second)
			c.Told("req-000002", wire.JobPending, time.Now())
		}},
		{"a question that was on its way", "", func(c course) {
			asked := time.Now()
			c.cancelled()
			c.Told(jobID, wire.JobPending, asked)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCourse()
				test.play(c)
				got := c.Violations()
				switch {
				case test.rule == "" && len(got) != 0:
					t.Fatalf("found %v", got)
				case test.rule != "" && (len(got) != 1 || got[0].Rule != test.rule):
					t.Fatalf("found %v, want %s", got, test.rule)
				}
			})
		})
	}
}

// Starts after a confirmed cancellation are counted though they break no rule yet.
func TestLateStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCourse()
		c.cancelled()
		c.Started(machine("i-1", "x"), jobID+"/0")
		if len(c.LateStarts()) != 1 || len(c.Violations()) != 0 {
			t.Fatalf("late starts %v, broken %v", c.LateStarts(), c.Violations())
		}
	})
}
