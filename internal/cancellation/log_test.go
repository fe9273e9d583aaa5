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

// An entry is sent to members with an older view until the cancelled job's tasks are gone. An entry that
// is already too old when it is added is not kept.
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
			t.Errorf("UnknownTo(revision %d, now %d) = %v, want job new alone until it expires", test.revision, test.now, unknown)
		}
	}
}

// If there are more entries than fit into one message, successive messages send them in turn, so that
// each entry is sent soon.
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
			t.Fatalf("got a message of %d entries, want peer.MaxCancellations", len(unknown))
		}
		for _, cancellation := range unknown {
			sent[cancellation.Job] = true
		}
	}
	if len(sent) != entries {
		t.Errorf("3 messages sent %d of %d entries, want all", len(sent), entries)
	}
}

// The store's write rate bounds the size of the log. A full log drops its older half.
func TestLogIsBounded(t *testing.T) {
	log := NewLog(cancelTimeout, 1)
	for i := range 1000 {
		log.Add(peer.Cancellation{Job: fmt.Sprint(i), Revision: 9, CancelledAt: wallTime}, 0, wallTime)
	}
	if len(log.entries) > 2*61 || log.entries[len(log.entries)-1].Job != "999" {
		t.Errorf("got %d entries, the last of job %s; want at most 122, the last of job 999", len(log.entries), log.entries[len(log.entries)-1].Job)
	}
}

// An early send is requested once for new entries, and not more often than MinEarlySendInterval.
func TestEarlySendIsRequestedOncePerInterval(t *testing.T) {
	log := NewLog(cancelTimeout, 10)
	add := func() { log.Add(peer.Cancellation{Job: "j", Revision: 9, CancelledAt: wallTime}, 0, wallTime) }
	now := 10 * clock.Second
	if log.TakeEarlySendRequest(now) {
		t.Fatal("TakeEarlySendRequest of an empty log = true, want false")
	}
	add()
	if !log.TakeEarlySendRequest(now) || log.TakeEarlySendRequest(now+MinEarlySendInterval) {
		t.Fatal("TakeEarlySendRequest after Add: want true once, then false until another Add")
	}
	add()
	if log.TakeEarlySendRequest(now+MinEarlySendInterval-1) || !log.TakeEarlySendRequest(now+MinEarlySendInterval) {
		t.Fatal("TakeEarlySendRequest after a second Add: want false before MinEarlySendInterval has passed, then true")
	}
}
