package controller

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/records"
)

// A member that enough workers contact reports this to the store while it receives no recent heartbeat of
// the leader. Without the report, a leader that neither workers nor members reach keeps its lock.
func TestWorkerContactsAreReportedWithoutLeaderHeartbeats(t *testing.T) {
	for _, test := range []struct {
		name         string
		workers      int
		heartbeatAge clock.Micros // of the leader's last heartbeat; 0 means that none was received
		wantReport   bool
	}{
		{"no heartbeat of the leader came", 6, 0, true},
		{"its last heartbeat is too old", 6, 10 * clock.Second, true},
		{"its last heartbeat is recent", 6, clock.Second, false},
		{"too few workers contact this member", 2, 0, false},
	} {
		controller := newTestController(t)
		now := 100 * clock.Second
		controller.elector.ObserveLock(now, election.Lock{Exists: true, Holder: "b", LeaseID: 3, Version: 9})
		for i := range test.workers {
			controller.workers.lastContactAt[string(rune('a'+i))] = now
		}
		if test.heartbeatAge != 0 {
			controller.members.heartbeats["b"] = &leader.ReceivedHeartbeat{ReceivedAt: now - test.heartbeatAge}
		}
		controller.reportWorkerContact(now)
		if got := controller.workers.nextReportAt != 0; got != test.wantReport {
			t.Errorf("%s: wrote a report = %t, want the opposite", test.name, got)
		}
	}
}

// The age of a member's report is the time since it was written, minus the maximum clock skew, so that it is
// never overestimated.
func TestWorkerContactAgeAllowsForClockSkew(t *testing.T) {
	controller := newTestController(t)
	for _, test := range []struct {
		name               string
		agoS, skewS, wantS clock.Micros // in seconds
	}{
		{"new", 0, 0, 0}, {"old", 8, 0, 8}, {"old, by clocks that may differ", 8, 2, 6}, {"from a clock that is ahead", -3, 0, 0},
	} {
		controller.cfg.Deployment.ClockErrorMillis = float64(test.skewS) * 1000 / 2
		value, err := records.WorkerContact{Workers: 12, ReportedAt: int64(clock.WallTime() - test.agoS*clock.Second)}.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		controller.view.ApplyPut(records.WorkerContactKey("b"), value, controller.view.Revision+1)
		contact := controller.workers.reports["b"]
		if age := clock.Now() - contact.ReportedAt; contact.Workers != 12 || age < test.wantS*clock.Second || age > (test.wantS+1)*clock.Second {
			t.Errorf("%s: %d workers, age %.3f s; want 12 workers, age at most 1 s above the case's wantS", test.name, contact.Workers, age.Seconds())
		}
	}
}
