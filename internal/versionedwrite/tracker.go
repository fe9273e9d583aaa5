// Package versionedwrite tracks which values of one key of the key-value store may be in
// force, as known to the only process that writes it. It is pure: results of writes and
// reads come in.
//
// The key is never deleted, and every write is conditional on the version that the writer
// knows. So once a write is committed, or a newer version has been read, no earlier write
// can be committed any more. Until then a write whose outcome is unknown may be in force,
// or may still come into force, and the writer has to act in accordance with it as well as
// with the last confirmed value.
//
// Invariant: the stored value is always Confirmed or one of Unresolved. The arguments that
// rest on it are in docs/standby.md, "The argument", and docs/design.md, "Delegated renewal
// of leases".
package versionedwrite

import (
	"iter"
	"slices"
)

// Tracker is the writer's knowledge of one key. At most one write is in flight at a time.
type Tracker[T any] struct {
	confirmed T
	// version of confirmed; the next write is conditional on it.
	version uint64
	// unresolved are the values that were sent, oldest first, and that are neither known to
	// have failed nor superseded. While a write is in flight its value is the last one.
	unresolved []T
	isInFlight bool
}

// NewTracker starts from the value and version read from the store. No earlier writer's
// write may be committed after that read.
func NewTracker[T any](stored T, version uint64) *Tracker[T] {
	return &Tracker[T]{confirmed: stored, version: version}
}

// Confirmed returns the last value known to have been in force.
func (tracker *Tracker[T]) Confirmed() T { return tracker.confirmed }

// IsConfirmed reports that no value but Confirmed may be in force.
func (tracker *Tracker[T]) IsConfirmed() bool { return len(tracker.unresolved) == 0 }

// IsInFlight reports that a write waits for its outcome.
func (tracker *Tracker[T]) IsInFlight() bool { return tracker.isInFlight }

// Possible yields every value that may be in force: Confirmed, then the unresolved ones.
func (tracker *Tracker[T]) Possible() iter.Seq[T] {
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

// BeginWrite records that a write of the value is about to be sent, and returns the version
// that it has to be conditional on; ok is false if another write is in flight. The value may
// be in force from now on. The write ends with RecordCommit, RecordRefusal or
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
	tracker.unresolved = nil // the earlier ones are conditional on an older version
}

// RecordRefusal records that the write in flight can never be committed.
func (tracker *Tracker[T]) RecordRefusal() {
	tracker.isInFlight = false
	tracker.unresolved = tracker.unresolved[:len(tracker.unresolved)-1]
}

// RecordUnknownOutcome records that the write in flight may have been committed, or may still be.
func (tracker *Tracker[T]) RecordUnknownOutcome() { tracker.isInFlight = false }

// ObserveStored records the value and version read from the store, and reports whether they
// are newer than what was confirmed. While a write is in flight all unresolved values are
// kept, since the one observed may be that write's; see DropSupersededValues.
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

// DropSupersededValues drops the unresolved values but that of the write in flight. It may be called
// right after ObserveStored has reported a newer version: the writes of the others were
// conditional on an older one. Keeping them is safe too, and errs to the side of caution.
func (tracker *Tracker[T]) DropSupersededValues() {
	if tracker.isInFlight {
		tracker.unresolved = slices.Clone(tracker.unresolved[len(tracker.unresolved)-1:])
	}
}
