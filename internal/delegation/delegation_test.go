package delegation

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
)

// Over generated histories (lost, late and reordered heartbeats, restarts, changes of the leader,
// drifting clocks) no delegate answers later than the leader's LatestRenewal.
func TestLatestRenewalBoundsEveryDelegatedReply(t *testing.T) {
	replyCount, pastBoundCount := 0, 0
	for seed := uint64(1); seed <= 1500; seed++ {
		simulation := newDelegationSimulation(seed)
		for step := range 400 {
			simulation.step()
			leader := simulation.leader()
			if leader == nil {
				continue
			}
			now, lastReplyAt := leader.localTime(simulation.now), leader.localTime(simulation.lastReplyAt)
			latestRenewal := leader.grants.LatestRenewal(now)
			if latestRenewal < lastReplyAt && simulation.lastReplyAt != 0 {
				t.Fatalf("history %d, step %d: answered as delegate at %d, the leader takes %d for the latest", seed, step, lastReplyAt, latestRenewal)
			}
			if latestRenewal < now-10*clock.Second {
				pastBoundCount++
			}
		}
		replyCount += simulation.replyCount
	}
	if replyCount < 1000 || pastBoundCount < 1000 {
		t.Fatalf("%d answers, %d proofs: too few cases covered", replyCount, pastBoundCount)
	}
}

// A grant runs from the follower's own timestamp, not from the heartbeat that acknowledges it,
// and is used only while the leader is silent.
func TestGrantRunsFromOwnTimestamp(t *testing.T) {
	cfg := NewConfig(66*clock.Second, 36*clock.Second, 3*clock.Second, 18*clock.Second)
	if cfg.GrantTTL+cfg.CancellationGrace+36*clock.Second >= 66*clock.Second || cfg.GrantTTL < 20*clock.Second {
		t.Fatalf("%+v", cfg)
	}
	if derived := NewConfig(30*clock.Second, 28*clock.Second, 3*clock.Second, 9*clock.Second); derived.GrantTTL != 0 {
		t.Fatalf("a grant where a cancellation leaves no time: %+v", derived)
	}
	if derived := NewConfig(44*clock.Second, 14*clock.Second, 3*clock.Second, 13*clock.Second); derived.GrantTTL != 0 {
		t.Fatalf("a grant where no worker is back in time: %+v", derived)
	}
	delegate := NewDelegate(cfg, 1, clock.Second)
	timestamp := delegate.Timestamp(10 * clock.Second)
	delegate.RecordLeaderHeartbeat(25*clock.Second, 5, timestamp) // fifteen seconds late
	if _, _, ok := delegate.MayReply(26*clock.Second, 5); ok {
		t.Fatal("answers as delegate while the leader is reachable")
	}
	if _, until, ok := delegate.MayReply(29*clock.Second, 5); !ok || until != timestamp.At+cfg.GrantTTL {
		t.Fatalf("until %v, %v", until, ok)
	}
	if _, _, ok := delegate.MayReply(29*clock.Second, 6); ok {
		t.Fatal("answers as delegate for a worker that has seen a newer leader")
	}
	delegate.RecordLeaderHeartbeat(30*clock.Second, 6, Timestamp{})
	if token, until, ok := delegate.MayReply(34*clock.Second, 5); !ok || token != 6 || until != timestamp.At+cfg.GrantTTL {
		t.Fatalf("under the new leader: token %d until %v, %v", token, until, ok)
	}
	if delegate.RecordLeaderHeartbeat(35*clock.Second, 5, delegate.Timestamp(35*clock.Second)); delegate.grantUntil != timestamp.At+cfg.GrantTTL {
		t.Fatal("a deposed leader extends a grant")
	}
	restarted := NewDelegate(cfg, 2, clock.Second)
	restarted.RecordLeaderHeartbeat(20*clock.Second, 5, timestamp)
	if _, _, ok := restarted.MayReply(24*clock.Second, 5); ok {
		t.Fatal("a timestamp of an earlier incarnation gives a grant")
	}
}
