package leader

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/staleness"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// cancelledTask is the task of a cancelled job that the workers in these tests list.
const cancelledTask = "req-000001/0"

// newTermWithCancelledJob returns an entitled term that took over a cancelled job with a task that may
// still run. The term knows the machine i-1.
func newTermWithCancelledJob(t *testing.T) *Term {
	t.Helper()
	term := newTestTerm(t, "i-1")
	ownerOf(term).term = term
	term.entitlement.actDeadline.Store(1 << 62)
	spec := &wire.Job{ID: "req-000001", Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: 1, CPUs: 1, Team: "t"}
	cancelledRecord := &storeview.Job{Job: records.Job{Spec: spec, State: wire.JobCancelled, EndedAt: int64(clock.WallTime())}}
	term.cancelJob(term.addJob(spec.ID, cancelledRecord, true), cancelledRecord, clock.Now())
	return term
}

// replyTo has a term handle a heartbeat and returns the reply.
func replyTo(t *testing.T, term *Term, heartbeat *wire.Heartbeat) (status int, response wire.HeartbeatResponse) {
	t.Helper()
	term.HandleHeartbeat(heartbeat, server.NewReply(func(code int, body []byte, _ int) {
		status = code
		if err := response.UnmarshalJSON(body); err != nil {
			t.Fatal(err)
		}
	}))
	return status, response
}

// heartbeatWith returns a heartbeat that lists a task as running.
func heartbeatWith(machine, task string, sequence, token uint64) *wire.Heartbeat {
	return &wire.Heartbeat{
		MachineID: machine, Address: "127.0.0.1:1", Zone: "x", Incarnation: 1, Sequence: sequence, FencingToken: token,
		Tasks: []wire.TaskStatus{{TaskID: task, Attempt: 40, State: wire.TaskRunning}},
	}
}

// Every reply that renews a lease has to stop the listed tasks that have to end. That holds for a heartbeat
// with an earlier leader's token, for one that the response to a command request or a probe has overtaken,
// and for a machine that no record names. The tasks may be those of a cancelled job or of a job that this
// leader doesn't know.
func TestEveryRenewingReplyCarriesStops(t *testing.T) {
	const unknownTask = "req-000002/0"
	for name, heartbeat := range map[string]*wire.Heartbeat{
		"token not confirmed":      heartbeatWith("i-1", cancelledTask, 6, 4),
		"token confirmed":          heartbeatWith("i-1", cancelledTask, 6, 9),
		"overtaken":                heartbeatWith("i-1", cancelledTask, 3, 4),
		"unknown machine":          heartbeatWith("i-9", cancelledTask, 6, 4),
		"unknown job, unconfirmed": heartbeatWith("i-1", unknownTask, 6, 4),
		"unknown job, overtaken":   heartbeatWith("i-1", unknownTask, 3, 4),
		"unknown job and machine":  heartbeatWith("i-9", unknownTask, 6, 4),
	} {
		t.Run(name, func(t *testing.T) {
			term := newTermWithCancelledJob(t)
			// The worker sent the response to a probe after the overtaken heartbeat and before the others.
			probed := heartbeatWith("i-1", heartbeat.Tasks[0].TaskID, 5, 4)
			term.handleProbeResponse(term.tracker.Machines["i-1"], term.machines["i-1"], probed, clock.Now())
			status, response := replyTo(t, term, heartbeat)
			if status != 200 || len(response.Commands) != 1 {
				t.Fatalf("got status %d and commands %+v, want status 200 and one command", status, response.Commands)
			}
			command := response.Commands[0]
			if command.Action != wire.ActionStop || command.TaskID != heartbeat.Tasks[0].TaskID || command.Attempt != 40 {
				t.Fatalf("got command %+v, want a stop of attempt 40 of the listed task", command)
			}
		})
	}
}

// A job whose dependency is not known yet is missing from the allocation table, although an earlier leader
// may have started it. The first reply to a machine must not stop the job's tasks, whether a record names
// the machine or not.
func TestTasksOfBlockedJobsAreNotStoppedAtOnce(t *testing.T) {
	term := newTermWithCancelledJob(t)
	spec := &wire.Job{ID: "req-000002", Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: 1, CPUs: 1, Team: "t", DependsOn: []string{"req-000009"}}
	term.environment.View.Jobs[spec.ID] = &storeview.Job{Job: records.Job{Spec: spec}}
	for _, machine := range []string{"i-1", "i-9"} {
		status, response := replyTo(t, term, heartbeatWith(machine, "req-000002/0", 5, 4))
		if status != 200 || len(response.Commands) != 0 {
			t.Errorf("machine %s: got status %d and commands %+v, want status 200 and no commands", machine, status, response.Commands)
		}
	}
}

// The reply to a heartbeat that waited for a read of the store has to reflect what the read returned, which
// may include a cancellation.
func TestDeferredHeartbeatIsAnsweredWithNewStops(t *testing.T) {
	term := newTestTerm(t, "i-1")
	owner := ownerOf(term)
	owner.term, owner.entitledUntil = term, 1<<62
	spec := &wire.Job{ID: "req-000001", Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: 1, CPUs: 1, Team: "t"}
	term.addJob(spec.ID, &storeview.Job{Job: records.Job{Spec: spec}}, true)
	bounds := term.environment.Staleness
	term.entitlement.viewAge = staleness.NewTracker(bounds, clock.Now()-bounds.RenewalWindow)
	var response wire.HeartbeatResponse
	term.HandleHeartbeat(heartbeatWith("i-1", cancelledTask, 6, 4), server.NewReply(func(_ int, body []byte, _ int) {
		if err := response.UnmarshalJSON(body); err != nil {
			t.Fatal(err)
		}
	}))
	if len(term.renewals.deferredHeartbeats) != 1 {
		t.Fatal("got no deferred heartbeat, or several, want one")
	}
	term.ApplyJobRecord(spec.ID, &storeview.Job{Job: records.Job{Spec: spec, State: wire.JobCancelled, EndedAt: int64(clock.WallTime())}})
	term.recordViewRead(clock.Now())
	if len(response.Commands) != 1 || response.Commands[0].Action != wire.ActionStop {
		t.Fatalf("got commands %+v, want one stop", response.Commands)
	}
}
