package protocoltest

import (
	"testing"
	"testing/synctest"
	"time"

	"firwood.dev/firwood/wire"
)

const jobID = "req-000001"

// singleJobScenario drives a checker over a history of one job of two tasks.
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

func (scenario singleJobScenario) recordState(stage string) {
	scenario.RecordJobState(jobID, stage, time.Now())
}

func (scenario singleJobScenario) cancelJob() {
	scenario.RecordCancelRequest(jobID)
	scenario.recordState(wire.JobCancelled)
	time.Sleep(time.Second)
}

func newMachine(name, zone string) wire.ListedMachine {
	return wire.ListedMachine{ID: name, MachineType: "m", Zone: zone}
}

// Each rule is found broken where a history breaks it, and in no other history.
func TestCheckerFindsEachViolation(t *testing.T) {
	const first, second = jobID + "/0", jobID + "/1"
	for _, test := range []struct {
		name string
		rule Rule // empty: none is broken
		play func(scenario singleJobScenario)
	}{
		{"a good day", "", func(scenario singleJobScenario) {
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
			scenario.RecordTaskStart(newMachine("i-2", "y"), second)
			scenario.recordState(wire.JobRunning)
			scenario.RecordTaskEnd("i-1", first, wire.ExitDone)
			scenario.RecordTaskEnd("i-2", second, wire.ExitDone)
			scenario.recordState(wire.JobDone)
			scenario.recordState(wire.JobDone)
		}},
		{"a task moves", "", func(scenario singleJobScenario) {
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
			scenario.RecordTaskEnd("i-1", first, wire.ExitStopped)
			scenario.RecordTaskStart(newMachine("i-2", "y"), first)
		}},
		{"a task on two machines", DuplicateExecution, func(scenario singleJobScenario) {
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
			scenario.RecordTaskStart(newMachine("i-2", "x"), first)
		}},
		{"over the limit", QuotaExceeded, func(scenario singleJobScenario) {
			scenario.spec.CPUs = 5
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
			scenario.RecordTaskStart(newMachine("i-2", "x"), second)
		}},
		{"another zone", PlacementViolated, func(scenario singleJobScenario) {
			scenario.spec.Zone = "y"
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
		}},
		{"another type", PlacementViolated, func(scenario singleJobScenario) {
			scenario.spec.MachineTypes = []string{"other"}
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
		}},
		{"a spot machine", PlacementViolated, func(scenario singleJobScenario) {
			machine := newMachine("i-1", "x")
			machine.Spot = true
			scenario.RecordTaskStart(machine, first)
		}},
		{"two zones", PlacementViolated, func(scenario singleJobScenario) {
			scenario.spec.SingleZone = true
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
			scenario.RecordTaskStart(newMachine("i-2", "y"), second)
		}},
		{"not spread", PlacementViolated, func(scenario singleJobScenario) {
			scenario.spec.SpreadZones = true
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
			scenario.RecordTaskStart(newMachine("i-2", "x"), second)
		}},
		{"a cancelled task stays", CancelledTaskRan, func(scenario singleJobScenario) {
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
			scenario.cancelJob()
			time.Sleep(11 * time.Second)
		}},
		{"a cancelled task goes in time", "", func(scenario singleJobScenario) {
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
			scenario.cancelJob()
			time.Sleep(8 * time.Second)
			scenario.RecordTaskEnd("i-1", first, wire.ExitStopped)
			time.Sleep(8 * time.Second)
		}},
		{"a cancelled task starts much later", CancelledTaskRan, func(scenario singleJobScenario) {
			scenario.cancelJob()
			time.Sleep(11 * time.Second)
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
		}},
		{"an accepted job is not found", AcceptedJobLost, func(scenario singleJobScenario) { scenario.RecordRejection(jobID, 404, time.Now()) }},
		{"a job that nobody submitted", UnknownJob, func(scenario singleJobScenario) { scenario.RecordJobState("req-000002", wire.JobPending, time.Now()) }},
		{"done too early", IncompleteJobDone, func(scenario singleJobScenario) { scenario.recordState(wire.JobDone) }},
		{"cancelled, then running", StateRegressed, func(scenario singleJobScenario) {
			scenario.cancelJob()
			scenario.recordState(wire.JobRunning)
		}},
		{"cancelled without being asked", StateRegressed, func(scenario singleJobScenario) { scenario.recordState(wire.JobCancelled) }},
		{"started before what it needs", DependencyNotDone, func(scenario singleJobScenario) {
			scenario.RecordSubmission(&wire.Job{ID: "req-000002", Team: "a", Kind: wire.KindArray, TaskCount: 1, DependsOn: []string{jobID}})
			scenario.RecordTaskStart(newMachine("i-1", "x"), first)
			scenario.RecordTaskEnd("i-1", first, wire.ExitDone)
			scenario.RecordTaskStart(newMachine("i-1", "x"), "req-000002/0")
		}},
		{"started after what it needs", "", func(scenario singleJobScenario) {
			scenario.RecordSubmission(&wire.Job{ID: "req-000002", Team: "a", Kind: wire.KindArray, TaskCount: 1, DependsOn: []string{jobID}})
			for _, task := range []string{first, second} {
				scenario.RecordTaskStart(newMachine("i-1", "x"), task)
				scenario.RecordTaskEnd("i-1", task, wire.ExitDone)
			}
			scenario.RecordTaskStart(newMachine("i-1", "x"), "req-000002/0")
		}},
		{"cancelled with what it needs", "", func(scenario singleJobScenario) {
			scenario.RecordSubmission(&wire.Job{ID: "req-000002", Team: "a", Kind: wire.KindArray, TaskCount: 1, DependsOn: []string{jobID}})
			scenario.cancelJob()
			scenario.RecordJobState("req-000002", wire.JobPending, time.Now())
			time.Sleep(11 * time.Second)
			scenario.RecordJobState("req-000002", wire.JobCancelled, time.Now())
		}},
		{"not cancelled with what it needs", DependentNotCancelled, func(scenario singleJobScenario) {
			scenario.RecordSubmission(&wire.Job{ID: "req-000002", Team: "a", Kind: wire.KindArray, TaskCount: 1, DependsOn: []string{"req-000003"}})
			scenario.RecordSubmission(&wire.Job{ID: "req-000003", Team: "a", Kind: wire.KindArray, TaskCount: 1, DependsOn: []string{jobID}})
			scenario.cancelJob()
			time.Sleep(11 * time.Second)
			scenario.RecordJobState("req-000002", wire.JobPending, time.Now())
		}},
		{"a question that was on its way", "", func(scenario singleJobScenario) {
			sentAt := time.Now()
			scenario.cancelJob()
			scenario.RecordJobState(jobID, wire.JobPending, sentAt)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scenario := newScenario()
				test.play(scenario)
				got := scenario.Violations()
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
func TestLateStartsAreCountedSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scenario := newScenario()
		scenario.cancelJob()
		scenario.RecordTaskStart(newMachine("i-1", "x"), jobID+"/0")
		if len(scenario.LateStarts()) != 1 || len(scenario.Violations()) != 0 {
			t.Fatalf("late starts %v, broken %v", scenario.LateStarts(), scenario.Violations())
		}
	})
}
