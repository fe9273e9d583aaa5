package election

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
)

// At no instant of the simulated histories are two members entitled.
func TestAtMostOneMemberIsEntitled(t *testing.T) {
	termCount := 0
	for seed := uint64(1); seed <= 80; seed++ {
		simulation := newElectionSimulation(seed)
		for simulation.store.now < 240*clock.Second {
			if entitledCount := simulation.step(); entitledCount > 1 {
				t.Fatalf("simulation %d at %d us: %d members entitled", seed, simulation.store.now, entitledCount)
			}
		}
		termCount += simulation.termCount
	}
	if termCount < 80 {
		t.Fatalf("only %d leadership terms in 80 simulations", termCount)
	}
}

// A restarted member revokes its earlier lease at once: nobody has to wait for its TTL.
func TestRestartRevokesEarlierLease(t *testing.T) {
	elector := New(Config{Member: "a", TTL: testTTL})
	actions := elector.ObserveLock(1, Lock{Exists: true, Holder: "a", LeaseID: 9, Version: 4})
	if len(actions) == 0 || actions[0] != (Action{Kind: RevokeLease, LeaseID: 9}) {
		t.Fatalf("actions on an earlier lease's lock: %v", actions)
	}
	if actions := elector.ObserveLock(2, Lock{Exists: true, Holder: "b", LeaseID: 10, Version: 5}); len(actions) != 0 {
		t.Fatalf("actions on another member's lock: %v", actions)
	}
}

// The response to the transaction that created the lock was lost; the lock itself shows it.
func TestMemberBecomesLeaderAfterLostAcquireResponse(t *testing.T) {
	elector := New(Config{Member: "a", TTL: testTTL})
	elector.ObserveLock(1, Lock{})
	elector.Tick(2)
	if actions := elector.HandleGrantResult(3, 5); len(actions) != 1 || actions[0].Kind != AcquireLock {
		t.Fatalf("actions with a lease: %v", actions)
	}
	elector.HandleAcquireResult(4, AcquireUnknown, 0)
	elector.ObserveLock(5, Lock{Exists: true, Holder: "a", LeaseID: 5, Version: 77})
	if elector.Token() != 77 || !elector.IsEntitled(6) {
		t.Fatalf("token %d", elector.Token())
	}
	// The entitlement runs from the send time of the grant, not from now.
	if elector.IsEntitled(2 + testTTL - testTTL/1000) {
		t.Fatal("entitled past the lease")
	}
}

// A follower campaigns at once when the lock becomes free, whatever it observed before.
func TestFollowerCampaignsAtOnceWhenLockIsFree(t *testing.T) {
	elector := New(Config{Member: "a", TTL: testTTL})
	otherMembersLock := Lock{Exists: true, Holder: "b", LeaseID: 1, Version: 1}
	elector.ObserveLock(1, otherMembersLock)
	elector.Tick(2)
	elector.ObserveLock(3, Lock{})
	if actions := elector.Tick(3); len(actions) != 1 || actions[0].Kind != GrantLease {
		t.Fatalf("actions with a free lock: %v", actions)
	}
}
