package controller

import (
	"slices"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// repliesToOneOfTwoHeartbeats reports whether the member replies, as delegate, to one of two heartbeats in a
// row. One heartbeat is not enough to tell, since a worker is redirected after each reply.
func repliesToOneOfTwoHeartbeats(controller *Controller, heartbeat *wire.Heartbeat, now clock.Micros) bool {
	first := controller.replyAsDelegate(heartbeat, &server.Reply{}, now)
	second := controller.replyAsDelegate(heartbeat, &server.Reply{}, now)
	return first || second
}

// A follower that reaches neither the leader nor the store renews a worker's lease at once, and redirects the
// worker after each reply. While the leader is reachable the follower renews nothing, so that it keeps no
// worker from the leader.
func TestDelegateRedirectsAfterEachReply(t *testing.T) {
	controller := newTestController(t)
	controller.view.IsLoaded = true
	now, leaderSilence := 100*clock.Second, 5*clock.Second
	heartbeat := &wire.Heartbeat{MachineID: "i-1", FencingToken: 5}
	controller.delegation.delegate = delegation.NewDelegate(controller.settings.Delegation, 1, now-60*clock.Second)
	if repliesToOneOfTwoHeartbeats(controller, heartbeat, now) {
		t.Fatal("the member replies as delegate without a grant")
	}
	controller.delegation.delegate.RecordLeaderHeartbeat(now-leaderSilence, 5, controller.delegation.delegate.Timestamp(now-leaderSilence))
	for i, want := range []bool{true, false, true, false} {
		if got := controller.replyAsDelegate(heartbeat, &server.Reply{}, now); got != want {
			t.Fatalf("heartbeat %d: replyAsDelegate = %v, want the opposite", i, got)
		}
	}
	if controller.replyAsDelegate(&wire.Heartbeat{MachineID: "i-1", FencingToken: 6}, &server.Reply{}, now) {
		t.Fatal("the member replies as delegate to a worker that knows a newer leader")
	}
	controller.delegation.delegate.RecordLeaderHeartbeat(now, 5, controller.delegation.delegate.Timestamp(now))
	if repliesToOneOfTwoHeartbeats(controller, heartbeat, now) {
		t.Fatal("the member replies as delegate while the leader is reachable")
	}
}

// A delegate's reply stops the listed tasks of cancelled jobs, also of those whose record no longer has the
// specification. Tasks of active jobs continue, and so do tasks of jobs that the delegate doesn't know: the
// leader may have started them since the delegate last read the store.
func TestDelegateStopsCancelledTasks(t *testing.T) {
	controller := newTestController(t)
	controller.view.IsLoaded = true
	now := 100 * clock.Second
	controller.delegation.delegate = delegation.NewDelegate(controller.settings.Delegation, 1, now-60*clock.Second)
	controller.delegation.delegate.RecordLeaderHeartbeat(now-5*clock.Second, 5, controller.delegation.delegate.Timestamp(now-5*clock.Second))
	spec := &wire.Job{ID: "req-000001", Kind: wire.KindArray, TaskCount: 1, Team: "t"}
	controller.view.Jobs["req-000001"] = &storeview.Job{Job: records.Job{Spec: spec}}
	controller.view.Jobs["req-000002"] = &storeview.Job{Job: records.Job{Spec: spec, State: wire.JobCancelled}}
	controller.view.Jobs["req-000003"] = &storeview.Job{Job: records.Job{State: wire.JobCancelled}}
	heartbeat := &wire.Heartbeat{MachineID: "i-1", FencingToken: 5}
	for _, task := range []string{"req-000001/0", "req-000002/0", "req-000003/0", "req-000004/0"} {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{TaskID: task, Attempt: 7, State: wire.TaskRunning})
	}
	heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{TaskID: "req-000002/1", Attempt: 7, State: wire.TaskExited})
	var response wire.HeartbeatResponse
	reply := server.NewReply(func(_ int, body []byte, _ int) {
		if err := response.UnmarshalJSON(body); err != nil {
			t.Fatal(err)
		}
	})
	if !controller.replyAsDelegate(heartbeat, reply, now) {
		t.Fatal("the member does not reply as delegate")
	}
	var stopped []string
	for _, command := range response.Commands {
		if command.Action != wire.ActionStop || command.Attempt != 7 {
			t.Errorf("command is %+v, want a stop of attempt 7", command)
		}
		stopped = append(stopped, command.TaskID)
	}
	if !slices.Equal(stopped, []string{"req-000002/0", "req-000003/0"}) {
		t.Fatalf("stopped tasks are %v, want those of the cancelled jobs req-000002 and req-000003", stopped)
	}
}
