package standby

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/btree"
)

// Table is the set of placements that may be under way, doubts included, with a digest
// of it.
type Table struct {
	placements       *btree.BTreeG[Placement]
	countByID        map[string]int // placements by task, and doubts by what they are of
	unconfirmedCount int
	digest           uint64
}

// NewTable makes an empty account.
func NewTable() *Table {
	less := func(a, b Placement) bool { return a.compare(b) < 0 }
	return &Table{
		placements: btree.NewBTreeGOptions(less, btree.Options{NoLocks: true}),
		countByID:  map[string]int{},
	}
}

// Apply takes a decision; one that has been taken already changes nothing.
func (table *Table) Apply(decision Decision) {
	switch decision.Kind {
	case Started:
		table.add(decision.Placement)
	case Ended:
		table.remove(decision.Placement)
	}
}

func (table *Table) add(placement Placement) {
	if _, known := table.placements.Set(placement); known {
		return
	}
	table.countByID[placement.Task]++
	table.digest += placementDigest(placement)
	if placement.IsUnconfirmed() {
		table.unconfirmedCount++
	}
}

func (table *Table) remove(placement Placement) {
	if _, known := table.placements.Delete(placement); !known {
		return
	}
	table.digest -= placementDigest(placement)
	if placement.IsUnconfirmed() {
		table.unconfirmedCount--
	}
	if table.countByID[placement.Task]--; table.countByID[placement.Task] == 0 {
		delete(table.countByID, placement.Task)
	}
}

// MayBeRunning tells whether a placement of the task may be under way: one that is known, or
// one that the task or its job is in doubt of.
func (table *Table) MayBeRunning(task string) bool {
	return table.countByID[task] > 0 || table.countByID[jobOfTask(task)] > 0
}

// Len is how many placements may be under way, doubts included.
func (table *Table) Len() int { return table.placements.Len() }

// UnconfirmedCount is how many tasks, or whole jobs, are in doubt.
func (table *Table) UnconfirmedCount() int { return table.unconfirmedCount }

// Digest is the same for equal sets, however they came about.
func (table *Table) Digest() uint64 { return table.digest }

// copyPlacements is the set as it is now; it costs nothing to take.
func (table *Table) copyPlacements() *btree.BTreeG[Placement] { return table.placements.Copy() }

// placementDigest is the digest of one placement; that of a set is their sum, so it follows each
// change at the cost of the change.
func placementDigest(placement Placement) uint64 {
	var hasher xxhash.Digest
	hasher.Reset()
	var encoded [8]byte
	for _, text := range []string{placement.Task, placement.Machine} {
		binary.LittleEndian.PutUint64(encoded[:], uint64(len(text)))
		hasher.Write(encoded[:]) //nolint:errcheck // never fails
		hasher.WriteString(text) //nolint:errcheck // never fails
	}
	binary.LittleEndian.PutUint64(encoded[:], placement.Attempt)
	hasher.Write(encoded[:]) //nolint:errcheck // never fails
	return hasher.Sum64()
}
