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
func TestProgressOfManyJobsIsToldInTurn(t *testing.T) {
	const jobs = 3*peer.MaxJobProgress + 17
	l := rebuilt(t, "i-00")
	for i := range jobs {
		l.lg.Jobs[fmt.Sprintf("req-%06d", i)] = &allocation.Job{StartedCount: 1}
	}
	var follower jobCounts
	isOver := func(job string) bool { return job == "req-000003" }
	now := clock.Second
	turn := func() (beats int) {
		for of := uint32(1); beats < int(of); beats++ {
			b := &peer.Heartbeat{Member: "b", Leader: "b", Token: 9}
			l.tellCounts(b)
			of = max(b.ProgressPageCount, 1)
			b, err := peer.Decode(peer.Encode(b)[4:])
			if err != nil {
				t.Fatal(err)
			}
			now += beatEvery
			follower.take(b, now, isOver)
		}
		return beats
	}
	if beats := turn(); beats < 4 || len(follower.jobs) != jobs-1 {
		t.Fatalf("%d of %d jobs are known after %d beats", len(follower.jobs), jobs-1, beats)
	}
	delete(l.lg.Jobs, "req-000007")
	for range 3 {
		turn()
	}
	if _, ok := follower.of("req-000007"); ok || len(follower.jobs) != jobs-2 {
		t.Errorf("%d jobs are known", len(follower.jobs))
	}
	clear(l.lg.Jobs)
	turn()
	if len(follower.jobs) != 0 {
		t.Errorf("%d jobs are known when none has progress", len(follower.jobs))
	}
}
