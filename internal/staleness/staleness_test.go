package staleness

import (
	"testing"

	"pgregory.net/rapid"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

// cancellationHistory is a generated course of reads, lapses of the entitlement and heartbeats of
// workers at a leader, with a cancellation that another controller confirms somewhere in between.
type cancellationHistory struct {
	cancellationTimeout, leaseTTL, lockTTL clock.Micros
	confirmedAt                            clock.Micros
}

func drawHistory(t *rapid.T) cancellationHistory {
	second := int64(clock.Second)
	leaseTTL := clock.Micros(rapid.Int64Range(10*second, 40*second).Draw(t, "lease"))
	return cancellationHistory{
		leaseTTL:            leaseTTL,
		cancellationTimeout: leaseTTL + clock.Micros(rapid.Int64Range(8*second, 40*second).Draw(t, "beyond the lease")),
		lockTTL:             max(min(leaseTTL/6, 6*clock.Second), 3*clock.Second),
		confirmedAt:         clock.Micros(rapid.Int64Range(20*second, 200*second).Draw(t, "confirmed")),
	}
}

// However reads fail, and however often the entitlement ends and comes back: no worker that the
// leader answers keeps a task of a job whose cancellation the leader doesn't know beyond the
// cancellation timeout, and none is started after it.
func TestUnknownCancellationIsBoundedByTimeout(t *testing.T) {
	unknownCancellationSteps := 0
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		now := 10 * clock.Second
		tracker := NewTracker(NewBounds(history.cancellationTimeout, history.leaseTTL, history.lockTTL), now)
		cancellationDeadline := history.confirmedAt + history.cancellationTimeout
		hasLapsed := false
		for step := 0; step < 300 && now < 400*clock.Second; step++ {
			now += clock.Micros(rapid.Int64Range(1, 3*int64(clock.Second)).Draw(t, "pause"))
			switch rapid.SampledFrom([]string{"read", "heartbeat", "heartbeat", "lapse", "silence"}).Draw(t, "event") {
			case "read":
				sentAt := now - clock.Micros(rapid.Int64Range(0, 3*int64(clock.Second)).Draw(t, "read took"))
				tracker.RecordRead(sentAt)
			case "lapse":
				hasLapsed = true
			case "silence":
				now += clock.Micros(rapid.Int64Range(0, 80*int64(clock.Second)).Draw(t, "silence"))
				hasLapsed = true
			}
			if hasLapsed {
				tracker.RecordEntitlementRegained(now)
				hasLapsed = false
				if tracker.MayStartTasks(now) {
					t.Fatalf("starts at %d before a read after the entitlement came back", now)
				}
			}
			isKnown := tracker.LastReadSentAt() >= history.confirmedAt
			if isKnown || now < history.confirmedAt {
				continue
			}
			unknownCancellationSteps++
			// A worker's lease runs from its heartbeat, which is older than the answer.
			if tracker.MayRenewLeases(now) && now+history.leaseTTL >= cancellationDeadline {
				t.Fatalf("at %d a lease is renewed up to %d, the tasks have to be gone at %d", now, now+history.leaseTTL, cancellationDeadline)
			}
			if tracker.MayStartTasks(now) && now >= history.confirmedAt+history.lockTTL {
				t.Fatalf("at %d a task may start, cancelled at %d", now, history.confirmedAt)
			}
		}
	})
	if unknownCancellationSteps < 100 {
		t.Fatalf("%d instants with an unknown cancellation: too few cases covered", unknownCancellationSteps)
	}
}

// A leader that reads every second is never blocked.
func TestRegularReadsNeverBlockLeader(t *testing.T) {
	tracker := NewTracker(NewBounds(44*clock.Second, 14*clock.Second, 3*clock.Second), clock.Second)
	for now := clock.Second; now < 60*clock.Second; now += clock.Second {
		tracker.RecordRead(now)
		if later := now + 2*clock.Second; !tracker.MayRenewLeases(later) || !tracker.MayStartTasks(later) {
			t.Fatalf("blocked at %d", later)
		}
	}
}

// Settings that leave no time between a lease and a cancellation fall back to the lock's TTL.
func TestBoundsFallBackToLockTTL(t *testing.T) {
	bounds := NewBounds(10*clock.Second, 36*clock.Second, 6*clock.Second)
	if bounds.RenewalWindow != 6*clock.Second || bounds.StartWindow != 6*clock.Second {
		t.Fatalf("%+v", bounds)
	}
}
