package connlimit

import (
	"math/rand/v2"
	"testing"
)

// Outbound connections must not keep inbound ones out. With the connection limits of two fleets, each with
// its number of machines and with 1.5 times that number, every worker and 300 users get a connection, however
// many outbound connections are requested. Outbound connections get the rest, at least a few.
func TestInboundHasPriorityOverOutbound(t *testing.T) {
	for _, fleet := range []struct{ limit, machines, users int }{
		{3172, 1457, 300}, {3172, 2190, 300}, {2215, 1205, 300}, {2215, 1810, 300},
	} {
		limiter := New(fleet.limit - 64)
		for i := 0; i < fleet.machines; i++ {
			limiter.AcquireOutbound()
			limiter.AcquireOutbound()
			if !limiter.AcquireInbound() {
				// An outbound connection is closed for the inbound one.
				limiter.ReleaseOutbound()
				if !limiter.AcquireInbound() {
					t.Fatalf("fleet %+v: the connection of worker %d was rejected after closing an outbound one", fleet, i)
				}
			}
		}
		for i := 0; i < fleet.users; i++ {
			if !limiter.AcquireInbound() {
				limiter.ReleaseOutbound()
				if !limiter.AcquireInbound() {
					t.Fatalf("fleet %+v: the connection of user %d was rejected after closing an outbound one", fleet, i)
				}
			}
		}
		if inbound, outbound := limiter.Counts(); outbound < 8 || inbound != fleet.machines+fleet.users {
			t.Errorf("fleet %+v: got %d inbound and %d outbound connections, want all of its machines and users inbound and at least 8 outbound", fleet, inbound, outbound)
		}
	}
}

// In random histories of calls, the limit must never be exceeded. An inbound connection must not be rejected
// while outbound ones exceed their minimum and the headroom is free.
func TestLimitIsNeverExceeded(t *testing.T) {
	for seed := uint64(1); seed <= 300; seed++ {
		rng := rand.New(rand.NewPCG(seed, 1))
		limit := 1 + rng.IntN(200)
		limiter := New(limit)
		rejectedInbound := 0
		for i := 0; i < 2000; i++ {
			inbound, outbound := limiter.Counts()
			switch rng.IntN(5) {
			case 0, 1:
				if !limiter.AcquireInbound() {
					rejectedInbound++
				}
			case 2:
				limiter.AcquireOutbound()
			case 3:
				if inbound > 0 {
					limiter.ReleaseInbound(1)
				}
			case 4:
				if outbound > 0 {
					limiter.ReleaseOutbound()
				}
			}
			if inbound, outbound = limiter.Counts(); inbound+outbound > limit || inbound < 0 || outbound < 0 {
				t.Fatalf("seed %d: got %d inbound and %d outbound connections, want at most %d together", seed, inbound, outbound, limit)
			}
			if outbound > limiter.outboundMinimum && inbound+outbound < limit-limiter.inboundHeadroom && !limiter.AcquireInbound() {
				t.Fatalf("seed %d: an inbound connection was rejected while the headroom was free", seed)
			}
		}
		if rejectedInbound == 0 && limit < 20 {
			t.Fatalf("seed %d: no inbound connection was rejected at a limit below 20, want at least one", seed)
		}
	}
}
