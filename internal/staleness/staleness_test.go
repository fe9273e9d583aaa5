package staleness

import (
	"testing"

	"pgregory.net/rapid"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

// history is a generated course of reads, lapses and reports of a leader, with a
// withdrawal that another controller confirms somewhere in between.
type history struct {
	cancellation, lease, lock clock.Micros
	confirmedAt               clock.Micros
}

func drawHistory(t *rapid.T) history {
	second := int64(clock.Second)
	lease := clock.Micros(rapid.Int64Range(10*second, 40*second).Draw(t, "lease"))
	return history{
		lease:        lease,
		cancellation: lease + clock.Micros(rapid.Int64Range(8*second, 40*second).Draw(t, "beyond the lease")),
		lock:         max(min(lease/6, 6*clock.Second), 3*clock.Second),
		confirmedAt:  clock.Micros(rapid.Int64Range(20*second, 200*second).Draw(t, "confirmed")),
	}
}

// However reads fail, and however often the entitlement ends and comes back: no
// worker that the leader answers keeps a task of a job that it does not know to be
// withdrawn beyond the cancellation time, and none is started after that time.
func TestNothingOutlivesAnUnknownWithdrawal(t *testing.T) {
	unknown := 0
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		now := 10 * clock.Second
		tracker := NewTracker(ForWorkers(h.cancellation, h.lease, h.lock), now)
		end := h.confirmedAt + h.cancellation
		lapsed := false
		for step := 0; step < 300 && now < 400*clock.Second; step++ {
			now += clock.Micros(rapid.Int64Range(1, 3*int64(clock.Second)).Draw(t, "pause"))
			switch rapid.SampledFrom([]string{"read", "report", "report", "lapse", "silence"}).Draw(t, "event") {
			case "read":
				sentAt := now - clock.Micros(rapid.Int64Range(0, 3*int64(clock.Second)).Draw(t, "read took"))
				tracker.Read(sentAt)
			case "lapse":
				lapsed = true
			case "silence":
				now += clock.Micros(rapid.Int64Range(0, 80*int64(clock.Second)).Draw(t, "silence"))
				lapsed = true
			}
			if lapsed {
				tracker.Regained(now)
				lapsed = false
				if tracker.MayStart(now) {
					t.Fatalf("starts at %d before a read after the entitlement came back", now)
				}
			}
			knows := tracker.ReadAt() >= h.confirmedAt
			if knows || now < h.confirmedAt {
				continue
			}
			unknown++
			// A worker's lease runs from the report, which is older than its answer.
			if tracker.MayRenew(now) && now+h.lease >= end {
				t.Fatalf("at %d a lease is renewed up to %d, the tasks have to be gone at %d", now, now+h.lease, end)
			}
			if tracker.MayStart(now) && now >= h.confirmedAt+h.lock {
				t.Fatalf("at %d a task may start, withdrawn at %d", now, h.confirmedAt)
			}
		}
	})
	if unknown < 100 {
		t.Fatalf("%d instants with an unknown withdrawal: the histories show little", unknown)
	}
}

// A leader that reads every second is never kept from working.
func TestReadsKeepItGoing(t *testing.T) {
	tracker := NewTracker(ForWorkers(44*clock.Second, 14*clock.Second, 3*clock.Second), clock.Second)
	for now := clock.Second; now < 60*clock.Second; now += clock.Second {
		tracker.Read(now)
		if later := now + 2*clock.Second; !tracker.MayRenew(later) || !tracker.MayStart(later) {
			t.Fatalf("kept from working at %d", later)
		}
	}
}

// Settings that leave nothing between a lease and a cancellation allow as little as
// the lock does.
func TestNoTimeLeft(t *testing.T) {
	bounds := ForWorkers(10*clock.Second, 36*clock.Second, 6*clock.Second)
	if bounds.Renewal != 6*clock.Second || bounds.Start != 6*clock.Second {
		t.Fatalf("%+v", bounds)
	}
}
