package election

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
)

// The test guards against two members that act as leader at the same time. In simulated histories with
// drifting clocks, lost messages, pauses and crashes, at most one member is entitled at any instant.
func TestAtMostOneMemberIsEntitled(t *testing.T) {
	termCount := 0
	for seed := uint64(1); seed <= 80; seed++ {
		simulation := newElectionSimulation(seed)
		for simulation.store.now < 240*clock.Second {
			if entitledCount := simulation.step(); entitledCount > 1 {
				t.Fatalf("simulation %d at %d us: %d members are entitled, want at most 1", seed, simulation.store.now, entitledCount)
			}
		}
		termCount += simulation.termCount
	}
	if termCount < 80 {
		t.Fatalf("%d leadership terms in 80 simulations, want at least 80", termCount)
	}
}

// A restarted member revokes the lease of its earlier incarnation at once, so that no member has to wait
// for the TTL of that lease. It leaves the leases of other members alone.
func TestRestartRevokesEarlierLease(t *testing.T) {
	elector := New(Config{Member: "a", TTL: testTTL})
	actions := elector.ObserveLock(1, Lock{Exists: true, Holder: "a", LeaseID: 9, Version: 4})
	if len(actions) == 0 || actions[0] != (Action{Kind: RevokeLease, LeaseID: 9}) {
		t.Fatalf("ObserveLock(lock of an earlier incarnation) = %v, want a revocation of lease 9 first", actions)
	}
	if actions := elector.ObserveLock(2, Lock{Exists: true, Holder: "b", LeaseID: 10, Version: 5}); len(actions) != 0 {
		t.Fatalf("ObserveLock(lock of another member) = %v, want no actions", actions)
	}
}

// If the response to the transaction that created the lock is lost, the member learns from the observed
// lock that it is leader.
func TestMemberBecomesLeaderAfterLostAcquireResponse(t *testing.T) {
	elector := New(Config{Member: "a", TTL: testTTL})
	elector.ObserveLock(1, Lock{})
	elector.Tick(2)
	if actions := elector.HandleGrantResult(3, 5); len(actions) != 1 || actions[0].Kind != AcquireLock {
		t.Fatalf("HandleGrantResult = %v, want a single acquire_lock action", actions)
	}
	elector.HandleAcquireResult(4, AcquireUnknown, 0)
	elector.ObserveLock(5, Lock{Exists: true, Holder: "a", LeaseID: 5, Version: 77})
	if elector.Token() != 77 || !elector.IsEntitled(6) {
		t.Fatalf("Token = %d, want 77 and an entitled member", elector.Token())
	}
	// The entitlement runs from the send time of the grant, not from the observation of the lock.
	if elector.IsEntitled(2 + testTTL - testTTL/1000) {
		t.Fatal("IsEntitled = true after the end of the lease, want false")
	}
}

// A follower campaigns at once when the lock becomes free, even if it has observed another holder before.
func TestFollowerCampaignsAtOnceWhenLockIsFree(t *testing.T) {
	elector := New(Config{Member: "a", TTL: testTTL})
	otherMembersLock := Lock{Exists: true, Holder: "b", LeaseID: 1, Version: 1}
	elector.ObserveLock(1, otherMembersLock)
	elector.Tick(2)
	elector.ObserveLock(3, Lock{})
	if actions := elector.Tick(3); len(actions) != 1 || actions[0].Kind != GrantLease {
		t.Fatalf("Tick with a free lock = %v, want a single grant_lease action", actions)
	}
}
