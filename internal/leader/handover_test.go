package leader

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/health"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/records"
)

// A leader that neither workers nor members reach hands over because of the members' reports in the
// store. It does not hand over because of old reports or a few workers, nor while workers reach it too.
func TestHandOverOnWorkerContactRecords(t *testing.T) {
	encodeContact := func(workers uint32, ago clock.Micros) []byte {
		value, err := records.WorkerContact{Workers: workers, ReportedAt: int64(clock.WallTime() - ago)}.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	for _, test := range []struct {
		name         string
		fleet        health.Reachability
		workers      uint32
		reportAge    clock.Micros
		wantHandOver bool
	}{
		{"many workers contact another member", health.Reachability{Up: 20, Reachable: 0}, 12, clock.Second, true},
		{"a few workers contact another member", health.Reachability{Up: 20, Reachable: 0}, 3, clock.Second, false},
		{"many workers contacted another member, long ago", health.Reachability{Up: 20, Reachable: 0}, 12, 8 * clock.Second, false},
		{"most machines reach the leader too", health.Reachability{Up: 20, Reachable: 15}, 12, clock.Second, false},
	} {
		term := newTestTerm(t)
		ownerOf(term).term = term
		term.environment.View.ApplyPut(records.WorkerContactKey("b"), encodeContact(test.workers, test.reportAge), 10)
		now := clock.Now()
		term.liveness.resumedAt = now - 60*clock.Second
		if got := term.handOverIfCutOff(test.fleet, now); got != test.wantHandOver || term.isClosed != test.wantHandOver {
			t.Errorf("%s: hands over %v, the term is closed %v; want both equal to wantHandOver", test.name, got, term.isClosed)
		}
	}
}

// A leader that could not renew its lock for a while does not suspect machines because their heartbeats
// from that time are missing, and does not hand over because of them.
func TestLapsedTermDoesNotSuspectMachines(t *testing.T) {
	term := newTestTerm(t, "i-1", "i-2", "i-3", "i-4")
	owner := ownerOf(term)
	owner.term = term
	now := clock.Now()
	owner.isEntitled, owner.entitledUntil = true, now+term.environment.LeaderTTL
	term.liveness.resumedAt, term.entitlement.hasLapsed = now-75*clock.Second, true
	owner.heartbeats["b"] = &ReceivedHeartbeat{ReceivedAt: now, Heartbeat: &peer.Heartbeat{IsStoreReachable: true, WorkerCount: 4}}
	term.Tick(now)
	if term.isClosed || term.liveness.resumedAt != now || term.entitlement.hasLapsed {
		t.Fatalf("handed over %v, resumed at %d; want false and %d, and hasLapsed cleared", term.isClosed, term.liveness.resumedAt, now)
	}
	later := now + term.environment.Timing.SuspectTimeout
	owner.heartbeats["b"].ReceivedAt = later
	if !term.handOverIfCutOff(health.Reachability{Up: 4, Reachable: 0}, later) {
		t.Fatal("the leader does not hand over, though no machine became reachable again within SuspectTimeout")
	}
}

// A leader whose machines all become unreachable at once hands over if another member could lead. The
// next leader, which no machine has reached yet, does not hand over in turn.
func TestHandOverWhenNoMachineIsReachable(t *testing.T) {
	for _, test := range []struct {
		name                 string
		before, after        health.Reachability
		peerHeartbeatAge     clock.Micros
		isPeerStoreReachable bool
		wantHandOver         bool
	}{
		{"all machines become unreachable", health.Reachability{Up: 20, Reachable: 18}, health.Reachability{Up: 20, Reachable: 0}, clock.Second, true, true},
		{"a third of the machines stays reachable", health.Reachability{Up: 20, Reachable: 18}, health.Reachability{Up: 20, Reachable: 7}, clock.Second, true, false},
		{"no machine was ever reachable", health.Reachability{Up: 20, Reachable: 0}, health.Reachability{Up: 20, Reachable: 0}, clock.Second, true, false},
		{"too few machines to judge by", health.Reachability{Up: 2, Reachable: 2}, health.Reachability{Up: 2, Reachable: 0}, clock.Second, true, false},
		{"no other member is up", health.Reachability{Up: 20, Reachable: 18}, health.Reachability{Up: 20, Reachable: 0}, 9 * clock.Second, true, false},
		{"the other member can't reach the store", health.Reachability{Up: 20, Reachable: 18}, health.Reachability{Up: 20, Reachable: 0}, clock.Second, false, false},
	} {
		term := newTestTerm(t)
		ownerOf(term).term = term
		now := 100 * clock.Second
		term.liveness.resumedAt = now
		ownerOf(term).heartbeats["b"] = &ReceivedHeartbeat{ReceivedAt: now - test.peerHeartbeatAge, Heartbeat: &peer.Heartbeat{IsStoreReachable: test.isPeerStoreReachable}}
		if term.handOverIfCutOff(test.before, now) {
			t.Fatalf("%s: hands over before the reachability changes", test.name)
		}
		if got := term.handOverIfCutOff(test.after, now); got != test.wantHandOver {
			t.Errorf("%s: got hand-over %v, want the opposite", test.name, got)
		}
	}
}
