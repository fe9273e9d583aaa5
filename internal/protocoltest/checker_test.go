package protocoltest

import (
	"testing"
	"testing/synctest"
	"time"

	"firwood.dev/firwood/wire"
)

const jobID = "req-000001"

// singleJobScenario is a checker with a history of one job that has two tasks.
type singleJobScenario struct {
	*Checker
	spec *wire.Job
}

func newScenario() singleJobScenario {
	scenario := singleJobScenario{
		New(Config{CancellationGrace: 10 * time.Second, QuotaByTeam: map[string]TeamQuota{"a": {CPUs: 8}}}),
		&wire.Job{ID: jobID, Team: "a", Kind: wire.KindArray, TaskCount: 2, CPUs: 4},
	}
	scenario.RecordSubmission(scenario.spec)
	scenario.RecordJobState(jobID, wire.JobPending, time.Now())
	time.Sleep(time.Second)
	return scenario
}

func (scenario singleJobScenario) recordState(state string) {
	scenario.RecordJobState(jobID, state, time.Now())
}

func (scenario singleJobScenario) cancelJob() {
	scenario.RecordCancelRequest(jobID)
	scenario.recordState(wire.JobCancelled)
	time.Sleep(time.Second)
}

func newMachine(name, zone string) wire.ListedMachine {
	return wire.ListedMachine{ID: name, MachineType: "m", Zone: zone}
}

// Each case records a history that violates one rule, or none. The checker has to find exactly that
// violation.
func TestCheckerFindsEachViolation(t *testing.T) {
	const first, second = jobID + "/0", jobID + "/1"
	for _, test := range []struct {
		name string
		rule Rule // the violated rule, or empty if the history violates none
		run  func(scenario singleJobScenario)
	}{
		{"job runs to completion", "", func(scenario singleJobScenario) {
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
			scenario.RecordTaskStart(newMachine("i-2", "y"), second)
			scenario.recordState(wire.JobRunning)
			scenario.RecordTaskEnd("i-1", first, wire.ExitDone)
			scenario.RecordTaskEnd("i-2", second, wire.ExitDone)
			scenario.recordState(wire.JobDone)
			scenario.recordState(wire.JobDone)
		}},
		{"task moves to another machine", "", func(scenario singleJobScenario) {
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
			scenario.RecordTaskEnd("i-1", first, wire.ExitStopped)
			scenario.RecordTaskStart(newMachine("i-2", "y"), first)
		}},
		{"task on two machines", DuplicateExecution, func(scenario singleJobScenario) {
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
			scenario.RecordTaskStart(newMachine("i-2", "x"), first)
		}},
		{"team over its quota", QuotaExceeded, func(scenario singleJobScenario) {
			scenario.spec.CPUs = 5
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
			scenario.RecordTaskStart(newMachine("i-2", "x"), second)
		}},
		{"machine in another zone", PlacementViolated, func(scenario singleJobScenario) {
			scenario.spec.Zone = "y"
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
		}},
		{"machine of another type", PlacementViolated, func(scenario singleJobScenario) {
			scenario.spec.MachineTypes = []string{"other"}
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
		}},
		{"spot machine not allowed", PlacementViolated, func(scenario singleJobScenario) {
			machine := newMachine("i-1", "x")
			machine.Spot = true
			scenario.RecordTaskStart(machine, first)
		}},
		{"single-zone job in two zones", PlacementViolated, func(scenario singleJobScenario) {
			scenario.spec.SingleZone = true
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
			scenario.RecordTaskStart(newMachine("i-2", "y"), second)
		}},
		{"spread job in one zone", PlacementViolated, func(scenario singleJobScenario) {
			scenario.spec.SpreadZones = true
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
			scenario.RecordTaskStart(newMachine("i-2", "x"), second)
		}},
		{"cancelled task outlasts the grace", CancelledTaskRan, func(scenario singleJobScenario) {
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
			scenario.cancelJob()
			time.Sleep(11 * time.Second)
		}},
		{"cancelled task ends within the grace", "", func(scenario singleJobScenario) {
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
			scenario.cancelJob()
			time.Sleep(8 * time.Second)
			scenario.RecordTaskEnd("i-1", first, wire.ExitStopped)
			time.Sleep(8 * time.Second)
		}},
		{"cancelled task starts after the grace", CancelledTaskRan, func(scenario singleJobScenario) {
			scenario.cancelJob()
			time.Sleep(11 * time.Second)
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
		}},
		{"accepted job is not found", AcceptedJobLost, func(scenario singleJobScenario) { scenario.RecordRejection(jobID, 404, time.Now()) }},
		{"job that was never submitted", UnknownJob, func(scenario singleJobScenario) { scenario.RecordJobState("req-000002", wire.JobPending, time.Now()) }},
		{"job done before its tasks", IncompleteJobDone, func(scenario singleJobScenario) { scenario.recordState(wire.JobDone) }},
		{"cancelled job is running again", StateRegressed, func(scenario singleJobScenario) {
			scenario.cancelJob()
			scenario.recordState(wire.JobRunning)
		}},
		{"cancellation that no user requested", StateRegressed, func(scenario singleJobScenario) { scenario.recordState(wire.JobCancelled) }},
		{"task starts before the dependency is done", DependencyNotDone, func(scenario singleJobScenario) {
			scenario.RecordSubmission(&wire.Job{ID: "req-000002", Team: "a", Kind: wire.KindArray, TaskCount: 1, DependsOn: []string{jobID}})
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
			scenario.RecordTaskEnd("i-1", first, wire.ExitDone)
			scenario.RecordTaskStart(newMachine("i-1", "x"), "req-000002/0")
		}},
		{"task starts after the dependency is done", "", func(scenario singleJobScenario) {
			scenario.RecordSubmission(&wire.Job{ID: "req-000002", Team: "a", Kind: wire.KindArray, TaskCount: 1, DependsOn: []string{jobID}})
			for _, task := range []string{first, second} {
				scenario.RecordTaskStart(newMachine("i-1", "x"), task)
				scenario.RecordTaskEnd("i-1", task, wire.ExitDone)
			}
			scenario.RecordTaskStart(newMachine("i-1", "x"), "req-000002/0")
		}},
		{"dependent is cancelled with its dependency", "", func(scenario singleJobScenario) {
			scenario.RecordSubmission(&wire.Job{ID: "req-000002", Team: "a", Kind: wire.KindArray, TaskCount: 1, DependsOn: []string{jobID}})
			scenario.cancelJob()
			scenario.RecordJobState("req-000002", wire.JobPending, time.Now())
			time.Sleep(11 * time.Second)
			scenario.RecordJobState("req-000002", wire.JobCancelled, time.Now())
		}},
		{"dependent is not cancelled with its dependency", DependentNotCancelled, func(scenario singleJobScenario) {
			scenario.RecordSubmission(&wire.Job{ID: "req-000002", Team: "a", Kind: wire.KindArray, TaskCount: 1, DependsOn: []string{"req-000003"}})
			scenario.RecordSubmission(&wire.Job{ID: "req-000003", Team: "a", Kind: wire.KindArray, TaskCount: 1, DependsOn: []string{jobID}})
			scenario.cancelJob()
			time.Sleep(11 * time.Second)
			scenario.RecordJobState("req-000002", wire.JobPending, time.Now())
		}},
		{"read sent before the cancellation was confirmed", "", func(scenario singleJobScenario) {
			sentAt := time.Now()
			scenario.cancelJob()
			scenario.RecordJobState(jobID, wire.JobPending, sentAt)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scenario := newScenario()
				test.run(scenario)
				got := scenario.Violations()
				switch {
				case test.rule == "" && len(got) != 0:
					t.Fatalf("got violations %v, want none", got)
				case test.rule != "" && (len(got) != 1 || got[0].Rule != test.rule):
					t.Fatalf("got violations %v, want one of rule %s", got, test.rule)
				}
			})
		})
	}
}

// A start after a confirmed cancellation is listed by LateStarts although it violates no rule within
// the grace.
func TestLateStartsAreCountedSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scenario := newScenario()
		scenario.cancelJob()
		scenario.RecordTaskStart(newMachine("i-1", "x"), jobID+"/0")
		if len(scenario.LateStarts()) != 1 || len(scenario.Violations()) != 0 {
			t.Fatalf("got late starts %v and violations %v, want 1 late start and no violation", scenario.LateStarts(), scenario.Violations())
		}
	})
}
