package hints

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
)

// The progress of more jobs than fit into one heartbeat is sent in pages. A follower knows all of it once
// all pages were sent, and drops a job without progress after all pages were sent twice more.
func TestProgressIsSentInPages(t *testing.T) {
	const jobs = 3*peer.MaxJobProgress + 17
	running := map[string]*allocation.Job{}
	for i := range jobs {
		running[fmt.Sprintf("req-%06d", i)] = &allocation.Job{StartedCount: 1}
	}
	const interval = clock.Second
	var sender ProgressSender
	follower := NewProgressCounts(interval)
	hasEnded := func(job string) bool { return job == "req-000003" }
	now := clock.Second
	sendAllPages := func() (heartbeats int) {
		for pageCount := uint32(1); heartbeats < int(pageCount); heartbeats++ {
			heartbeat := &peer.Heartbeat{Member: "b", Leader: "b", Token: 9}
			sender.Add(heartbeat, running)
			pageCount = max(heartbeat.ProgressPageCount, 1)
			heartbeat, err := peer.Decode(peer.Encode(heartbeat)[4:])
			if err != nil {
				t.Fatal(err)
			}
			now += interval
			follower.Update(heartbeat, now, hasEnded)
		}
		return heartbeats
	}
	if heartbeats := sendAllPages(); heartbeats < 4 || len(follower.jobs) != jobs-1 {
		t.Fatalf("the follower knows %d jobs, want %d; all pages took %d heartbeats, want at least 4", len(follower.jobs), jobs-1, heartbeats)
	}
	delete(running, "req-000007")
	for range 3 {
		sendAllPages()
	}
	if _, ok := follower.Progress("req-000007"); ok || len(follower.jobs) != jobs-2 {
		t.Errorf("after a job lost its progress: knows %d jobs, want one fewer than before, without that job", len(follower.jobs))
	}
	clear(running)
	sendAllPages()
	if len(follower.jobs) != 0 {
		t.Errorf("after all jobs lost their progress: knows %d jobs, want 0", len(follower.jobs))
	}
}
