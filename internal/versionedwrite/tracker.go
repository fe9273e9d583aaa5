// Package versionedwrite tracks which values of one key of the key-value store may be in force, that is,
// stored. The tracking process is the only one that writes the key. The package performs no I/O: its callers
// pass in the results of writes and reads.
//
// The key is never deleted, and every write is conditional on the version that the writer knows. Once a
// write is committed or a newer version has been read, no earlier write can still be committed. Until
// then, a write with an unknown outcome may be in force already or may come into force later. The writer
// has to honor its value as well as the last confirmed one.
//
// Invariant: the stored value is always Confirmed or one of the unresolved values; see PossibleValues.
// The proofs that rest on this invariant are in docs/standby.md, "The argument", and docs/design.md,
// "Delegated renewal of leases".
package versionedwrite

import (
	"iter"
	"slices"
)

// Tracker is a writer's knowledge of the value of one key. At most one write is in flight at a time.
type Tracker[T any] struct {
	confirmed T
	// version is the version of confirmed; the next write is conditional on it.
	version uint64
	// unresolved are the values of sent writes, oldest first, that are neither known to have failed
	// nor superseded. While a write is in flight, its value is the last one.
	unresolved []T
	isInFlight bool
}

// NewTracker returns a tracker that starts from the value and version read from the store. No write of
// an earlier writer may be committed after that read.
func NewTracker[T any](stored T, version uint64) *Tracker[T] {
	return &Tracker[T]{confirmed: stored, version: version}
}

// Confirmed returns the last value known to have been in force.
func (tracker *Tracker[T]) Confirmed() T { return tracker.confirmed }

// IsConfirmed reports whether Confirmed is the only value that may be in force.
func (tracker *Tracker[T]) IsConfirmed() bool { return len(tracker.unresolved) == 0 }

// IsInFlight reports whether a write awaits its outcome.
func (tracker *Tracker[T]) IsInFlight() bool { return tracker.isInFlight }

// PossibleValues yields every value that may be in force: Confirmed, then the unresolved ones.
func (tracker *Tracker[T]) PossibleValues() iter.Seq[T] {
	return func(yield func(T) bool) {
		if !yield(tracker.confirmed) {
			return
		}
		for _, value := range tracker.unresolved {
			if !yield(value) {
				return
			}
		}
	}
}

// BeginWrite records that a write of the value is about to be sent, and returns the version that the
// write has to be conditional on. ok is false if another write is in flight. The value may be in force
// as soon as BeginWrite returns. The caller then records the outcome with RecordCommit, RecordRefusal or
// RecordUnknownOutcome.
func (tracker *Tracker[T]) BeginWrite(value T) (version uint64, ok bool) {
	if tracker.isInFlight {
		return 0, false
	}
	tracker.isInFlight = true
	tracker.unresolved = append(tracker.unresolved, value)
	return tracker.version, true
}

// RecordCommit records that the write in flight was committed at a version.
func (tracker *Tracker[T]) RecordCommit(version uint64) {
	tracker.isInFlight = false
	tracker.confirmed, tracker.version = tracker.unresolved[len(tracker.unresolved)-1], version
	tracker.unresolved = nil // earlier writes are conditional on an older version
}

// RecordRefusal records that the write in flight can never be committed.
func (tracker *Tracker[T]) RecordRefusal() {
	tracker.isInFlight = false
	tracker.unresolved = tracker.unresolved[:len(tracker.unresolved)-1]
}

// RecordUnknownOutcome records that the write in flight may have been committed or may be committed later.
func (tracker *Tracker[T]) RecordUnknownOutcome() { tracker.isInFlight = false }

// ObserveStored records the value and version read from the store, and reports whether the version is
// newer than the confirmed one. While a write is in flight, the tracker keeps all unresolved values,
// since the observed value may come from that write; see DropSupersededValues.
func (tracker *Tracker[T]) ObserveStored(value T, version uint64) (isNewer bool) {
	if version <= tracker.version {
		return false
	}
	tracker.confirmed, tracker.version = value, version
	if !tracker.isInFlight {
		tracker.unresolved = nil // each was conditional on an older version
	}
	return true
}

// DropSupersededValues drops all unresolved values except that of the write in flight. Call it only
// right after ObserveStored has reported a newer version: the writes of the dropped values were
// conditional on an older one. Keeping these values would also be safe, but more cautious than necessary.
func (tracker *Tracker[T]) DropSupersededValues() {
	if tracker.isInFlight {
		tracker.unresolved = slices.Clone(tracker.unresolved[len(tracker.unresolved)-1:])
	}
}
