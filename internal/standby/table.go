package standby

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/btree"
)

// Table is the set of placements that may be running, unconfirmed entries included, with an
// incremental digest of the set.
type Table struct {
	placements *btree.BTreeG[Placement]
	// countByID is the number of placements by task id. An unconfirmed entry counts under the id of
	// its task or job.
	countByID        map[string]int
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

// Apply applies a decision. Applying the same decision again changes nothing.
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

// MayBeRunning reports whether a task may be running: whether the table has a placement of it, or an
// unconfirmed entry for it or its job.
func (table *Table) MayBeRunning(task string) bool {
	return table.countByID[task] > 0 || table.countByID[jobOfTask(task)] > 0
}

// Len returns the number of placements, unconfirmed entries included.
func (table *Table) Len() int { return table.placements.Len() }

// UnconfirmedCount returns the number of unconfirmed entries, each of which is for a task or a whole
// job.
func (table *Table) UnconfirmedCount() int { return table.unconfirmedCount }

// Digest returns the digest of the set. Equal sets have equal digests, whatever the order of the
// decisions that led to them.
func (table *Table) Digest() uint64 { return table.digest }

// copyPlacements returns a copy-on-write copy of the present set, in O(1) time.
func (table *Table) copyPlacements() *btree.BTreeG[Placement] { return table.placements.Copy() }

// placementDigest returns the hash of one placement. The digest of a set is the sum (mod 2^64) of the
// hashes of its placements, so that each change updates it in O(1) time.
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
