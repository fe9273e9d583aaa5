package controller

import (
	"math"
	"slices"
	"testing"
	"time"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// A leader resends its hints to a member that has come back, because the member may have missed them.
func TestHintsAreResentToReturningMember(t *testing.T) {
	controller := newTestController(t, "i-1")
	controller.view.Jobs["req-000001"] = &storeview.Job{Job: records.Job{SubmittedAt: int64(clock.WallTime()), Spec: &wire.Job{
		ID: "req-000001", Class: "c", Kind: wire.KindArray, Priority: wire.PriorityNormal, Team: "t", TaskCount: 1, CPUs: 1, Image: "img",
	}}}
	controller.view.Progress["req-000001"] = map[int]storeview.ProgressPart{0: {}}
	controller.term = controller.newTerm(9, clock.Now())
	controller.term.HandleHeartbeat(&wire.Heartbeat{MachineID: "i-1", Zone: "x", Incarnation: 1, Sequence: 1, FencingToken: 9, Tasks: []wire.TaskStatus{
		{TaskID: "req-000001/0", Attempt: 1, State: wire.TaskRunning},
	}}, &server.Reply{})
	sentMachines := func() (machines []string) {
		for _, images := range controller.newHeartbeat(clock.Now()).CachedImages {
			machines = append(machines, images.Machine)
		}
		return machines
	}
	if first := sentMachines(); !slices.Equal(first, []string{"i-1"}) {
		t.Fatalf("the first heartbeat has hints about the machines %v, want i-1", first)
	}
	heartbeat := &peer.Heartbeat{Member: "b", Incarnation: 5, Timestamp: 1}
	for _, test := range []struct {
		name       string
		prepare    func()
		wantResent int
	}{
		{"before any heartbeat", func() {}, 0},
		{"after the first heartbeat", func() { controller.handlePeerHeartbeat(heartbeat) }, 1},
		{"after the next heartbeat", func() { controller.handlePeerHeartbeat(heartbeat) }, 0},
		{"after the process was restarted", func() { controller.handlePeerHeartbeat(&peer.Heartbeat{Member: "b", Incarnation: 6, Timestamp: 1}) }, 1},
		{"after the member was unreachable", func() {
			controller.members.heartbeats["b"].ReceivedAt -= leader.MemberTimeout
			controller.handlePeerHeartbeat(&peer.Heartbeat{Member: "b", Incarnation: 6, Timestamp: 2})
		}, 1},
	} {
		time.Sleep(time.Millisecond) // so that earlier hints were sent at an earlier time
		test.prepare()
		if resent := sentMachines(); len(resent) != test.wantResent {
			t.Errorf("%s: resent hints about the machines %v, want wantResent of them", test.name, resent)
		}
	}
}

// A member begins its own term with the hints about run times and machines from the previous leader's
// heartbeats.
func TestNextTermBeginsWithStoredHints(t *testing.T) {
	controller := newTestController(t, "i-1")
	now := clock.Now()
	controller.handlePeerHeartbeat(&peer.Heartbeat{Member: "b", Leader: "b", Token: 9, LeaderHints: peer.LeaderHints{
		RunTimes: []peer.RunTimeStatistics{{Class: "c", Count: 1, Mean: math.Log(0.5), MeanSquare: math.Log(0.5) * math.Log(0.5)}},
	}})
	if controller.failover.leaderHeartbeatAt < now {
		t.Fatal("leaderHeartbeatAt was not updated by a heartbeat of the leader")
	}
	controller.term = controller.newTerm(10, clock.Now())
	heartbeat := controller.newHeartbeat(clock.Now())
	if len(heartbeat.RunTimes) != 1 || heartbeat.RunTimes[0].Class != "c" || heartbeat.Leader != "a" || heartbeat.Token != 10 {
		t.Fatalf("the heartbeat of the next leader is %+v, want run times of class c, leader a and token 10", heartbeat)
	}
}
