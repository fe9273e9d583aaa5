package controller

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/health"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/records"
)

// A leader that neither workers nor members reach hands over on the members' reports in the
// store: not on old ones, nor on a few workers, nor while the workers reach it too.
func TestHandOverOnWorkerContactRecords(t *testing.T) {
	said := func(workers uint32, ago clock.Micros) []byte {
		value, err := records.WorkerContact{Workers: workers, ReportedAt: int64(clock.WallTime() - ago)}.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	for _, test := range []struct {
		name    string
		h       health.Reachability
		workers uint32
		ago     clock.Micros
		over    bool
	}{
		{"many ask another", health.Reachability{Up: 20, Reachable: 0}, 12, clock.Second, true},
		{"a few do", health.Reachability{Up: 20, Reachable: 0}, 3, clock.Second, false},
		{"many did", health.Reachability{Up: 20, Reachable: 0}, 12, 8 * clock.Second, false},
		{"they come here too", health.Reachability{Up: 20, Reachable: 15}, 12, clock.Second, false},
	} {
		term := newTestTerm(t)
		controllerOf(term).term = term
		term.environment.View.ApplyPut(records.WorkerContactKey("b"), said(test.workers, test.ago), 10)
		now := clock.Now()
		term.liveness.resumedAt = now - 60*clock.Second
		if got := term.handOverIfCutOff(test.h, now); got != test.over || term.isClosed != test.over {
			t.Errorf("%s: hands over %v, the term is closed %v", test.name, got, term.isClosed)
		}
	}
}

// The member that reports is one that many workers contact and that receives no heartbeats of the leader.
func TestWorkerContactIsReported(t *testing.T) {
	for _, test := range []struct {
		name    string
		workers int
		age     clock.Micros // of the leader's last heartbeat, 0: there is none
		reports bool
	}{
		{"the leader is not heard", 6, 0, true},
		{"no more", 6, 10 * clock.Second, true},
		{"it is heard", 6, clock.Second, false},
		{"hardly asked", 2, 0, false},
	} {
		term := newTestTerm(t)
		controller := controllerOf(term)
		controller.term = nil
		now := 100 * clock.Second
		controller.elector.ObserveLock(now, election.Lock{Exists: true, Holder: "b", LeaseID: 3, Version: 9})
		for i := range test.workers {
			controller.workers.contactAt[string(rune('a'+i))] = now
		}
		if test.age != 0 {
			controller.members.heartbeats["b"] = &ReceivedHeartbeat{ReceivedAt: now - test.age}
		}
		controller.reportWorkerContact(now)
		if got := controller.workers.nextReportAt != 0; got != test.reports {
			t.Errorf("%s: reported %v", test.name, got)
		}
	}
}

// A leader that could not renew its lock for a while does not suspect machines whose heartbeats
// are missing for that time, nor hand over for it.
func TestLapsedTermDoesNotSuspectMachines(t *testing.T) {
	term := newTestTerm(t, "i-1", "i-2", "i-3", "i-4")
	controller := controllerOf(term)
	controller.term = term
	now := clock.Now()
	controller.elector.ObserveLock(now, election.Lock{})
	controller.elector.Tick(now)
	controller.elector.HandleGrantResult(now, 5)
	controller.elector.HandleAcquireResult(now, election.AcquireSucceeded, 9)
	if !controller.isEntitled() {
		t.Fatal("not entitled")
	}
	term.liveness.resumedAt, term.entitlement.hasLapsed = now-75*clock.Second, true
	controller.members.heartbeats["b"] = &ReceivedHeartbeat{ReceivedAt: now, Heartbeat: &peer.Heartbeat{IsStoreReachable: true, WorkerCount: 4}}
	term.Tick(now)
	if term.isClosed || term.liveness.resumedAt != now || term.entitlement.hasLapsed {
		t.Fatalf("handed over %v, awake since %d at %d", term.isClosed, term.liveness.resumedAt, now)
	}
	later := now + controller.suspectTimeout()
	controller.members.heartbeats["b"].ReceivedAt = later
	if !term.handOverIfCutOff(health.Reachability{Up: 4, Reachable: 0}, later) {
		t.Fatal("does not hand over when nobody comes back to it")
	}
}

// A leader whose machines all become unreachable at once hands over, if another member could
// lead. The next one, which no machine has reached yet, does not hand over in turn.
func TestHandOverWhenNoMachineIsReachable(t *testing.T) {
	for _, test := range []struct {
		name         string
		before, then health.Reachability
		peer         clock.Micros // how long ago it was heard
		served, over bool
	}{
		{"all at once", health.Reachability{Up: 20, Reachable: 18}, health.Reachability{Up: 20, Reachable: 0}, clock.Second, true, true},
		{"a third is left", health.Reachability{Up: 20, Reachable: 18}, health.Reachability{Up: 20, Reachable: 7}, clock.Second, true, false},
		{"never heard", health.Reachability{Up: 20, Reachable: 0}, health.Reachability{Up: 20, Reachable: 0}, clock.Second, true, false},
		{"too few to tell", health.Reachability{Up: 2, Reachable: 2}, health.Reachability{Up: 2, Reachable: 0}, clock.Second, true, false},
		{"nobody else is there", health.Reachability{Up: 20, Reachable: 18}, health.Reachability{Up: 20, Reachable: 0}, 9 * clock.Second, true, false},
		{"nobody else could", health.Reachability{Up: 20, Reachable: 18}, health.Reachability{Up: 20, Reachable: 0}, clock.Second, false, false},
	} {
		term := newTestTerm(t)
		controllerOf(term).term = term
		now := 100 * clock.Second
		term.liveness.resumedAt = now
		controllerOf(term).members.heartbeats["b"] = &ReceivedHeartbeat{ReceivedAt: now - test.peer, Heartbeat: &peer.Heartbeat{IsStoreReachable: test.served}}
		if term.handOverIfCutOff(test.before, now) {
			t.Fatalf("%s: hands over at first", test.name)
		}
		if got := term.handOverIfCutOff(test.then, now); got != test.over {
			t.Errorf("%s: hands over %v", test.name, got)
		}
	}
}
