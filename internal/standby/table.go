package standby

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/btree"
)

// Table is the set of placements that may be running, unconfirmed entries included, with an
// incremental digest of the set.
type Table struct {
	placements       *btree.BTreeG[Placement]
	countByID        map[string]int // number of placements by task id; unconfirmed entries by the id of the task or job
	unconfirmedCount int
	digest           uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	less := func(a, b Placement) bool { return a.compare(b) < 0 }
	return &Table{
		placements: btree.NewBTreeGOptions(less, btree.Options{NoLocks: true}),
		countByID:  map[string]int{},
	}
}

// Apply applies a decision; one that was applied already changes nothing.
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

// MayBeRunning reports whether a task may be running: a placement of it is known, or it or its
// job is unconfirmed.
func (table *Table) MayBeRunning(task string) bool {
	return table.countByID[task] > 0 || table.countByID[jobOfTask(task)] > 0
}

// Len returns how many placements there are, unconfirmed entries included.
func (table *Table) Len() int { return table.placements.Len() }

// UnconfirmedCount returns how many tasks, or whole jobs, are unconfirmed.
func (table *Table) UnconfirmedCount() int { return table.unconfirmedCount }

// Digest is equal for equal sets, whatever the order of the decisions that led to them.
func (table *Table) Digest() uint64 { return table.digest }

// copyPlacements returns the set as it is now, as a copy-on-write copy; taking it is O(1).
func (table *Table) copyPlacements() *btree.BTreeG[Placement] { return table.placements.Copy() }

// placementDigest hashes one placement. The digest of a set is the sum (mod 2^64) of those of its
// placements, so each change updates it in O(1).
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
