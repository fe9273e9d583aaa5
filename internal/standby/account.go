package standby

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/btree"
)

// Account is the set of placements that may be under way, doubts included, with a digest
// of it.
type Account struct {
	places *btree.BTreeG[Placement]
	tasks  map[string]int // placements by task, and doubts by what they are of
	doubts int
	digest uint64
}

// NewAccount makes an empty account.
func NewAccount() *Account {
	less := func(a, b Placement) bool { return a.compare(b) < 0 }
	return &Account{
		places: btree.NewBTreeGOptions(less, btree.Options{NoLocks: true}),
		tasks:  map[string]int{},
	}
}

// Apply takes a decision; one that has been taken already changes nothing.
func (a *Account) Apply(d Decision) {
	switch d.Kind {
	case Started:
		a.add(d.Placement)
	case Over:
		a.remove(d.Placement)
	}
}

func (a *Account) add(p Placement) {
	if _, known := a.places.Set(p); known {
		return
	}
	a.tasks[p.Task]++
	a.digest += hash(p)
	if p.IsDoubt() {
		a.doubts++
	}
}

func (a *Account) remove(p Placement) {
	if _, known := a.places.Delete(p); !known {
		return
	}
	a.digest -= hash(p)
	if p.IsDoubt() {
		a.doubts--
	}
	if a.tasks[p.Task]--; a.tasks[p.Task] == 0 {
		delete(a.tasks, p.Task)
	}
}

// MayRun tells whether a placement of the task may be under way: one that is known, or
// one that the task or its job is in doubt of.
func (a *Account) MayRun(task string) bool { return a.tasks[task] > 0 || a.tasks[jobOf(task)] > 0 }

// Len is how many placements may be under way, doubts included.
func (a *Account) Len() int { return a.places.Len() }

// Doubts is how many tasks, or whole jobs, are in doubt.
func (a *Account) Doubts() int { return a.doubts }

// Digest is the same for equal sets, however they came about.
func (a *Account) Digest() uint64 { return a.digest }

// snapshot is the set as it is now; it costs nothing to take.
func (a *Account) snapshot() *btree.BTreeG[Placement] { return a.places.Copy() }

// hash is the digest of one placement; that of a set is their sum, so it follows each
// change at the cost of the change.
func hash(p Placement) uint64 {
	var d xxhash.Digest
	d.Reset()
	var number [8]byte
	for _, text := range []string{p.Task, p.Machine} {
		binary.LittleEndian.PutUint64(number[:], uint64(len(text)))
		d.Write(number[:])  //nolint:errcheck // never fails
		d.WriteString(text) //nolint:errcheck // never fails
	}
	binary.LittleEndian.PutUint64(number[:], p.Attempt)
	d.Write(number[:]) //nolint:errcheck // never fails
	return d.Sum64()
}
