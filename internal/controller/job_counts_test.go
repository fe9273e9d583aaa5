package controller

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
)

// The progress of more jobs than fit into a beat is told in turn, and all of it is known
// after one turn; what has no progress any more is forgotten after another two.
func TestProgressCountsAreSentInParts(t *testing.T) {
	const jobs = 3*peer.MaxJobProgress + 17
	term := newTestTerm(t, "i-00")
	for i := range jobs {
		term.tracker.Jobs[fmt.Sprintf("req-%06d", i)] = &allocation.Job{StartedCount: 1}
	}
	var follower progressCounts
	hasEnded := func(job string) bool { return job == "req-000003" }
	now := clock.Second
	turn := func() (heartbeats int) {
		for parts := uint32(1); heartbeats < int(parts); heartbeats++ {
			heartbeat := &peer.Heartbeat{Member: "b", Leader: "b", Token: 9}
			term.addProgressCounts(heartbeat)
			parts = max(heartbeat.ProgressPageCount, 1)
			heartbeat, err := peer.Decode(peer.Encode(heartbeat)[4:])
			if err != nil {
				t.Fatal(err)
			}
			now += heartbeatInterval
			follower.update(heartbeat, now, hasEnded)
		}
		return heartbeats
	}
	if heartbeats := turn(); heartbeats < 4 || len(follower.jobs) != jobs-1 {
		t.Fatalf("%d of %d jobs are known after %d beats", len(follower.jobs), jobs-1, heartbeats)
	}
	delete(term.tracker.Jobs, "req-000007")
	for range 3 {
		turn()
	}
	if _, ok := follower.countOf("req-000007"); ok || len(follower.jobs) != jobs-2 {
		t.Errorf("%d jobs are known", len(follower.jobs))
	}
	clear(term.tracker.Jobs)
	turn()
	if len(follower.jobs) != 0 {
		t.Errorf("%d jobs are known when none has progress", len(follower.jobs))
	}
}
