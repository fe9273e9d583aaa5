package staleness

import (
	"testing"

	"pgregory.net/rapid"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

// cancellationHistory holds the settings of a generated history and the time at which another controller
// confirms a cancellation. The test draws the leader's reads, its lapses of entitlement and the workers'
// heartbeats before and after that time.
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

// A leader may not know of a cancellation that another controller confirmed, because its reads fail or
// its entitlement lapses and is regained. However often that happens, no worker that the leader replies
// to keeps a task of the cancelled job beyond the cancellation timeout, and no task of the job is started
// later than the lock's TTL after the confirmation.
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
					t.Fatalf("MayStartTasks(%d) = true before a read that was sent after the entitlement was regained, want false", now)
				}
			}
			isKnown := tracker.LastReadSentAt() >= history.confirmedAt
			if isKnown || now < history.confirmedAt {
				continue
			}
			unknownCancellationSteps++
			// A worker's lease runs from the time of its heartbeat, which is earlier than the reply.
			if tracker.MayRenewLeases(now) && now+history.leaseTTL >= cancellationDeadline {
				t.Fatalf("at %d a lease may be renewed until %d, want an end before the cancellation deadline %d", now, now+history.leaseTTL, cancellationDeadline)
			}
			if tracker.MayStartTasks(now) && now >= history.confirmedAt+history.lockTTL {
				t.Fatalf("at %d a task may start, want no start beyond the lock's TTL after the unknown cancellation at %d", now, history.confirmedAt)
			}
		}
	})
	if unknownCancellationSteps < 100 {
		t.Fatalf("got %d steps with an unknown cancellation, want at least 100", unknownCancellationSteps)
	}
}

// A leader that reads every second may always renew leases and start tasks.
func TestRegularReadsNeverBlockLeader(t *testing.T) {
	tracker := NewTracker(NewBounds(44*clock.Second, 14*clock.Second, 3*clock.Second), clock.Second)
	for now := clock.Second; now < 60*clock.Second; now += clock.Second {
		tracker.RecordRead(now)
		if later := now + 2*clock.Second; !tracker.MayRenewLeases(later) || !tracker.MayStartTasks(later) {
			t.Fatalf("at %d, 2 s after a read, the leader may not both renew leases and start tasks", later)
		}
	}
}

// Settings that leave no time between a lease and the cancellation timeout fall back to the lock's TTL.
func TestBoundsFallBackToLockTTL(t *testing.T) {
	bounds := NewBounds(10*clock.Second, 36*clock.Second, 6*clock.Second)
	if bounds.RenewalWindow != 6*clock.Second || bounds.StartWindow != 6*clock.Second {
		t.Fatalf("NewBounds(10 s, 36 s, 6 s) = %+v, want both windows of 6 s", bounds)
	}
}
