package cancellation

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
)

const (
	cancelTimeout = 60 * clock.Second
	wallTime      = 1000 * clock.Second
)

// An entry is sent to members whose view is older, until its tasks are gone; one that is old
// already is not kept.
func TestEntriesExpire(t *testing.T) {
	log := NewLog(cancelTimeout, 10)
	log.Add(peer.Cancellation{Job: "old", Revision: 4, CancelledAt: wallTime - cancelTimeout - 1}, 0, wallTime)
	log.Add(peer.Cancellation{Job: "new", Revision: 5, CancelledAt: wallTime - cancelTimeout}, 0, wallTime)
	for _, test := range []struct {
		revision  uint64
		now       clock.Micros
		wantCount int
	}{{4, 0, 1}, {5, 0, 0}, {0, cancelTimeout, 1}, {0, cancelTimeout + 1, 0}, {0, 0, 0}} {
		if unknown := log.UnknownTo(test.revision, test.now); len(unknown) != test.wantCount || len(unknown) > 0 && unknown[0].Job != "new" {
			t.Errorf("a view of revision %d at %d lacks %v", test.revision, test.now, unknown)
		}
	}
}

// More entries than fit into a message are sent in turn, and each of them soon.
func TestEntriesBeyondOneMessageAreSentInTurn(t *testing.T) {
	log := NewLog(cancelTimeout, 1000)
	const entries = 2*peer.MaxCancellations + 5
	for i := range entries {
		log.Add(peer.Cancellation{Job: fmt.Sprint(i), Revision: 9, CancelledAt: wallTime}, 0, wallTime)
	}
	sent := map[string]bool{}
	for range 3 {
		unknown := log.UnknownTo(8, 0)
		if len(unknown) != peer.MaxCancellations {
			t.Fatalf("a message of %d entries", len(unknown))
		}
		for _, cancellation := range unknown {
			sent[cancellation.Job] = true
		}
	}
	if len(sent) != entries {
		t.Errorf("%d of %d entries were sent", len(sent), entries)
	}
}

// The log is bounded by what the store's rate allows, and drops the older half beyond that.
func TestLogIsBounded(t *testing.T) {
	log := NewLog(cancelTimeout, 1)
	for i := range 1000 {
		log.Add(peer.Cancellation{Job: fmt.Sprint(i), Revision: 9, CancelledAt: wallTime}, 0, wallTime)
	}
	if len(log.entries) > 2*61 || log.entries[len(log.entries)-1].Job != "999" {
		t.Errorf("%d entries, the last is %s", len(log.entries), log.entries[len(log.entries)-1].Job)
	}
}

// News is taken once, and not more often than the interval.
func TestEarlySendIsRequestedOncePerInterval(t *testing.T) {
	log := NewLog(cancelTimeout, 10)
	add := func() { log.Add(peer.Cancellation{Job: "j", Revision: 9, CancelledAt: wallTime}, 0, wallTime) }
	now := 10 * clock.Second
	if log.TakeEarlySendRequest(now) {
		t.Fatal("news without an entry")
	}
	add()
	if !log.TakeEarlySendRequest(now) || log.TakeEarlySendRequest(now+MinEarlySendInterval) {
		t.Fatal("news is not taken once")
	}
	add()
	if log.TakeEarlySendRequest(now+MinEarlySendInterval-1) || !log.TakeEarlySendRequest(now+MinEarlySendInterval) {
		t.Fatal("news is not spaced")
	}
}
