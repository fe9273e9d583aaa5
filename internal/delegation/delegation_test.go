package delegation

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
)

// The test guards against a leader that treats a lease as expired while a delegate may still renew it. In
// random histories with lost, late and reordered heartbeats, restarts, leader changes and drifting clocks,
// no delegate replies later than the leader's LatestRenewal.
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
				t.Fatalf("history %d, step %d: a delegate replied at %d, later than LatestRenewal = %d", seed, step, lastReplyAt, latestRenewal)
			}
			if latestRenewal < now-10*clock.Second {
				pastBoundCount++
			}
		}
		replyCount += simulation.replyCount
	}
	if replyCount < 1000 || pastBoundCount < 1000 {
		t.Fatalf("covered %d replies and %d bounds more than 10 s in the past, want at least 1000 of each", replyCount, pastBoundCount)
	}
}

// A grant runs from the follower's own timestamp, not from the arrival of the heartbeat that
// acknowledges it, and the follower uses it only while it receives no heartbeats from the leader.
func TestGrantRunsFromOwnTimestamp(t *testing.T) {
	cfg := NewConfig(66*clock.Second, 36*clock.Second, 3*clock.Second, 18*clock.Second)
	if cfg.GrantTTL+cfg.CancellationGrace+36*clock.Second >= 66*clock.Second || cfg.GrantTTL < 20*clock.Second {
		t.Fatalf("NewConfig = %+v, want GrantTTL >= 20 s and the sum of GrantTTL, CancellationGrace and lease < 66 s", cfg)
	}
	if derived := NewConfig(30*clock.Second, 28*clock.Second, 3*clock.Second, 9*clock.Second); derived.GrantTTL != 0 {
		t.Fatalf("NewConfig = %+v, want GrantTTL 0: the cancellation timeout leaves no time for a grant", derived)
	}
	if derived := NewConfig(44*clock.Second, 14*clock.Second, 3*clock.Second, 13*clock.Second); derived.GrantTTL != 0 {
		t.Fatalf("NewConfig = %+v, want GrantTTL 0: no redirected worker is back in time", derived)
	}
	delegate := NewDelegate(cfg, 1, clock.Second)
	timestamp := delegate.Timestamp(10 * clock.Second)
	delegate.RecordLeaderHeartbeat(25*clock.Second, 5, timestamp) // 15 s after the timestamp
	if _, _, ok := delegate.MayReply(26*clock.Second, 5); ok {
		t.Fatal("MayReply = true while the leader is reachable, want false")
	}
	if _, until, ok := delegate.MayReply(29*clock.Second, 5); !ok || until != timestamp.At+cfg.GrantTTL {
		t.Fatalf("MayReply = until %v, %v; want until the timestamp plus GrantTTL, true", until, ok)
	}
	if _, _, ok := delegate.MayReply(29*clock.Second, 6); ok {
		t.Fatal("MayReply = true for a worker that has seen a newer leader, want false")
	}
	delegate.RecordLeaderHeartbeat(30*clock.Second, 6, Timestamp{})
	if token, until, ok := delegate.MayReply(34*clock.Second, 5); !ok || token != 6 || until != timestamp.At+cfg.GrantTTL {
		t.Fatalf("MayReply under the new leader = token %d, until %v, %v; want token 6, until the timestamp plus GrantTTL, true", token, until, ok)
	}
	if delegate.RecordLeaderHeartbeat(35*clock.Second, 5, delegate.Timestamp(35*clock.Second)); delegate.grantUntil != timestamp.At+cfg.GrantTTL {
		t.Fatal("a heartbeat of a deposed leader extended the grant")
	}
	restarted := NewDelegate(cfg, 2, clock.Second)
	restarted.RecordLeaderHeartbeat(20*clock.Second, 5, timestamp)
	if _, _, ok := restarted.MayReply(24*clock.Second, 5); ok {
		t.Fatal("MayReply = true after an acknowledged timestamp of an earlier incarnation, want false")
	}
}
