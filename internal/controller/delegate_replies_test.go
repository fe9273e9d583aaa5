package controller

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// repliesToEither tells whether the member answers one of two heartbeats in a row: a worker is
// redirected after each answer, so one heartbeat alone would not show it.
func repliesToEither(controller *Controller, heartbeat *wire.Heartbeat, now clock.Micros) bool {
	first := controller.replyAsDelegate(heartbeat, &server.Reply{}, now)
	second := controller.replyAsDelegate(heartbeat, &server.Reply{}, now)
	return first || second
}

// A follower that reaches neither the leader nor the store renews a worker's lease at once, and
// redirects the worker after each answer. While the leader is reachable it renews nothing, so that
// it keeps no worker from the leader.
func TestDelegateRedirectsAfterEachReply(t *testing.T) {
	controller := newTestController(t)
	controller.view.IsLoaded = true
	now, back := 100*clock.Second, 5*clock.Second
	heartbeat := &wire.Heartbeat{MachineID: "i-1", FencingToken: 5}
	controller.delegation.delegate = delegation.NewDelegate(controller.settings.Delegation, 1, now-60*clock.Second)
	if repliesToEither(controller, heartbeat, now) {
		t.Fatal("answers as delegate without a grant")
	}
	controller.delegation.delegate.RecordLeaderHeartbeat(now-back, 5, controller.delegation.delegate.Timestamp(now-back))
	for i, want := range []bool{true, false, true, false} {
		if got := controller.replyAsDelegate(heartbeat, &server.Reply{}, now); got != want {
			t.Fatalf("heartbeat %d: answered as delegate %v", i, got)
		}
	}
	if controller.replyAsDelegate(&wire.Heartbeat{MachineID: "i-1", FencingToken: 6}, &server.Reply{}, now) {
		t.Fatal("answers as delegate against a newer leader")
	}
	controller.delegation.delegate.RecordLeaderHeartbeat(now, 5, controller.delegation.delegate.Timestamp(now))
	if repliesToEither(controller, heartbeat, now) {
		t.Fatal("replies as delegate while the leader is reachable")
	}
}
