package delegation

import (
	"maps"
	"slices"

	"firwood.dev/firwood/internal/clock"
)

// Promises is what a leader leaves behind for whoever leads next, in the state
// service: promises that hold for every leader until one takes them back there.
// Without it a new leader has to reckon every lease from its own beginning, and
// every right of a member that it does not hear: once replicas of a zone that was
// cut off were started anew half a minute after the last of them had died.
type Promises struct {
	// Zones are those in which no worker's report is answered.
	Zones map[string]ZonePromise `json:"z,omitempty"`
	// Members are those that get no new right, with the end, as a time of day, of
	// the last that they may have.
	Members map[string]clock.Micros `json:"m,omitempty"`
}

// ZonePromise is the promise about a zone.
type ZonePromise struct {
	// At is the time of day of the last report there that may have been answered,
	// by delegates left out.
	At clock.Micros `json:"t"`
	// By are the members that know of the promise, in all lives from then on: they
	// renew no leases as delegates there.
	By []string `json:"b,omitempty"`
}

// Equal tells whether two sets of promises say the same.
func (w Promises) Equal(o Promises) bool {
	return maps.EqualFunc(w.Zones, o.Zones, func(a, b ZonePromise) bool { return a.At == b.At && slices.Equal(a.By, b.By) }) &&
		maps.Equal(w.Members, o.Members)
}

// PromiseTracker is a leader's account of which promises are, or may be, in force. The
// promises have one key, which is never deleted, and every write is conditional on
// its version: once one is carried out, no earlier one can be any more.
type PromiseTracker struct {
	promises Promises
	version  uint64
	sent     []Promises // written, not known to have failed, and not overtaken
	writing  bool
}

// NewPromiseTracker starts from what the state service has, as new as the leader's token.
func NewPromiseTracker(w Promises, version uint64) *PromiseTracker {
	return &PromiseTracker{promises: w, version: version}
}

// Current is what is known to be in force.
func (k *PromiseTracker) Current() (Promises, uint64) { return k.promises, k.version }

// Settled tells that what is known to be in force is all that may be.
func (k *PromiseTracker) Settled() bool { return len(k.sent) == 0 }

// Zone tells whether a promise about the zone may be in force.
func (k *PromiseTracker) Zone(z string) bool {
	_, ok := k.promises.Zones[z]
	return ok || slices.ContainsFunc(k.sent, func(w Promises) bool { _, ok := w.Zones[z]; return ok })
}

// Member tells whether a promise about the member may be in force.
func (k *PromiseTracker) Member(m string) bool {
	_, ok := k.promises.Members[m]
	return ok || slices.ContainsFunc(k.sent, func(w Promises) bool { _, ok := w.Members[m]; return ok })
}

// Zones are those that a promise may be in force about.
func (k *PromiseTracker) Zones() map[string]bool {
	out := map[string]bool{}
	for _, w := range append(slices.Clone(k.sent), k.promises) {
		for z := range w.Zones {
			out[z] = true
		}
	}
	return out
}

// Write begins a write of a promises, conditional on the returned version; false
// means that one is under way. What it promises is to be kept from now on.
func (k *PromiseTracker) Write(w Promises) (version uint64, ok bool) {
	if k.writing {
		return 0, false
	}
	k.writing = true
	k.sent = append(k.sent, w)
	return k.version, true
}

// Committed takes the news that the write is carried out.
func (k *PromiseTracker) Committed(version uint64) {
	k.writing = false
	k.promises, k.version = k.sent[len(k.sent)-1], version
	k.sent = nil
}

// Refused takes the news that the write will never be carried out.
func (k *PromiseTracker) Refused() {
	k.writing = false
	k.sent = k.sent[:len(k.sent)-1]
}

// Open takes the news that the write may have been carried out, or may yet be.
func (k *PromiseTracker) Open() { k.writing = false }

// Seen takes the promises as the state service has it.
func (k *PromiseTracker) Seen(w Promises, version uint64) {
	if version <= k.version {
		return
	}
	k.promises, k.version = w, version
	if !k.writing {
		k.sent = nil // each was conditional on an older version
	}
}
