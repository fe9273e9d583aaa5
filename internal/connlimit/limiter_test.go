package connlimit

import (
	"math/rand/v2"
	"testing"
)

// At the limits and the numbers of machines of both fleets, and with half as many machines again,
// every worker and several hundred users get a connection however many outbound connections are
// requested, and outbound ones get what is left, at least a few.
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
					t.Fatalf("%+v: worker %d finds no room", fleet, i)
				}
			}
		}
		for i := 0; i < fleet.users; i++ {
			if !limiter.AcquireInbound() {
				limiter.ReleaseOutbound()
				if !limiter.AcquireInbound() {
					t.Fatalf("%+v: user %d finds no room", fleet, i)
				}
			}
		}
		if inbound, outbound := limiter.Counts(); outbound < 8 || inbound != fleet.machines+fleet.users {
			t.Errorf("%+v: %d in, %d out", fleet, inbound, outbound)
		}
	}
}

// In generated histories the limit is never exceeded, and no inbound connection is rejected while
// outbound ones hold more than their minimum and there is headroom.
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
				t.Fatalf("history %d: %d in and %d out of %d", seed, inbound, outbound, limit)
			}
			if outbound > limiter.outboundMinimum && inbound+outbound < limit-limiter.inboundHeadroom && !limiter.AcquireInbound() {
				t.Fatalf("history %d: rejected with room left", seed)
			}
		}
		if rejectedInbound == 0 && limit < 20 {
			t.Fatalf("history %d never reached its limit", seed)
		}
	}
}
