package controller

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/peer"
)

// A leader that no worker reaches, and that hears no controller either, hands over on
// what others say by way of the state service: not on what they said long ago, nor of
// a few, nor while it hears the workers itself.
func TestHandOverWithoutLinks(t *testing.T) {
	said := func(workers uint32, ago clock.Micros) []byte {
		v, err := askedRecord{Workers: workers, At: int64(clock.WallTime() - ago)}.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	for _, c := range []struct {
		name    string
		h       hearing
		workers uint32
		ago     clock.Micros
		over    bool
	}{
		{"many ask another", hearing{20, 0}, 12, clock.Second, true},
		{"a few do", hearing{20, 0}, 3, clock.Second, false},
		{"many did", hearing{20, 0}, 12, 8 * clock.Second, false},
		{"they come here too", hearing{20, 15}, 12, clock.Second, false},
	} {
		l := rebuilt(t)
		l.c.lead = l
		l.c.put(prefixAsked+"b", said(c.workers, c.ago), 10)
		now := clock.Now()
		l.awake = now - 60*clock.Second
		if got := l.handOver(c.h, now); got != c.over || l.closed != c.over {
			t.Errorf("%s: hands over %v, the lead is over %v", c.name, got, l.closed)
		}
	}
}

// Who says so is a member that is asked by many and does not hear the leader.
func TestWhoTellsOfWorkers(t *testing.T) {
	for _, c := range []struct {
		name    string
		workers int
		beat    clock.Micros // how long ago the leader was heard, 0: never
		told    bool
	}{
		{"the leader is not heard", 6, 0, true},
		{"no more", 6, 10 * clock.Second, true},
		{"it is heard", 6, clock.Second, false},
		{"hardly asked", 2, 0, false},
	} {
		l := rebuilt(t)
		k := l.c
		k.lead = nil
		now := 100 * clock.Second
		k.el.ObserveLock(now, election.Lock{Exists: true, Holder: "b", LeaseID: 3, Version: 9})
		for i := range c.workers {
			k.workers[string(rune('a'+i))] = now
		}
		if c.beat != 0 {
			k.beats["b"] = &beatSeen{at: now - c.beat}
		}
		k.tellAsked(now)
		if got := k.nextAsked != 0; got != c.told {
			t.Errorf("%s: told %v", c.name, got)
		}
	}
}

// A leader that could not renew its lock for a while does not take what it has not
// heard meanwhile for silent, nor hand over for it.
func TestALapseIsNoSilence(t *testing.T) {
	l := rebuilt(t, "i-1", "i-2", "i-3", "i-4")
	k := l.c
	k.lead = l
	now := clock.Now()
	k.el.ObserveLock(now, election.Lock{})
	k.el.Tick(now)
	k.el.HandleGrantResult(now, 5)
	k.el.HandleAcquireResult(now, election.AcquireSucceeded, 9)
	if !k.entitled() {
		t.Fatal("not entitled")
	}
	l.awake, l.lapsed = now-75*clock.Second, true
	k.beats["b"] = &beatSeen{at: now, beat: &peer.Heartbeat{IsStoreReachable: true, WorkerCount: 4}}
	l.tick(now)
	if l.closed || l.awake != now || l.lapsed {
		t.Fatalf("handed over %v, awake since %d at %d", l.closed, l.awake, now)
	}
	later := now + k.silentAfter()
	k.beats["b"].at = later
	if !l.handOver(hearing{4, 0}, later) {
		t.Fatal("does not hand over when nobody comes back to it")
	}
}

// A leader that hears all machines fall silent at once hands over, if another could
// lead, and the next one does not pass the lead on that it has heard nobody with.
func TestAllFallSilent(t *testing.T) {
	for _, c := range []struct {
		name         string
		before, then hearing
		peer         clock.Micros // how long ago it was heard
		served, over bool
	}{
		{"all at once", hearing{20, 18}, hearing{20, 0}, clock.Second, true, true},
		{"a third is left", hearing{20, 18}, hearing{20, 7}, clock.Second, true, false},
		{"never heard", hearing{20, 0}, hearing{20, 0}, clock.Second, true, false},
		{"too few to tell", hearing{2, 2}, hearing{2, 0}, clock.Second, true, false},
		{"nobody else is there", hearing{20, 18}, hearing{20, 0}, 9 * clock.Second, true, false},
		{"nobody else could", hearing{20, 18}, hearing{20, 0}, clock.Second, false, false},
	} {
		l := rebuilt(t)
		l.c.lead = l
		now := 100 * clock.Second
		l.awake = now
		l.c.beats["b"] = &beatSeen{at: now - c.peer, beat: &peer.Heartbeat{IsStoreReachable: c.served}}
		if l.handOver(c.before, now) {
			t.Fatalf("%s: hands over at first", c.name)
		}
		if got := l.handOver(c.then, now); got != c.over {
			t.Errorf("%s: hands over %v", c.name, got)
		}
	}
}
