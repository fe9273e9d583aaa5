package kvstore

import (
	"slices"
	"strconv"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Outcome is the result of a write.
type Outcome uint8

const (
	// Committed means that the write was executed and is durable.
	Committed Outcome = iota
	// Conflict means that one of the write's own conditions failed. Nothing was changed.
	Conflict
	// Fenced means that the lock key's version is not the write's fencing token, so another leader
	// may hold the lock. Nothing was changed.
	Fenced
	// NotExecuted means that the write was certainly not executed.
	NotExecuted
	// Unknown means that the write may have been executed, or may still be.
	Unknown
)

// Priority orders the queued writes. At times far more writes are queued than the store's write rate
// allows. The zero value is Interactive.
type Priority int8

const (
	// Critical is for writes that the leader lock depends on. They go first, and may join a
	// transaction even if the write rate does not cover them yet.
	Critical Priority = iota - 1
	// Interactive is for writes whose result a caller waits for.
	Interactive
	// Required is for writes that scheduling waits for.
	Required
	// Background is for writes that are sent only from spare rate.
	Background
)

// String returns the outcome's name in log lines.
func (outcome Outcome) String() string {
	switch outcome {
	case Committed:
		return "committed"
	case Conflict:
		return "conflict"
	case Fenced:
		return "fenced"
	case NotExecuted:
		return "not_executed"
	case Unknown:
		return "unknown"
	}
	return "outcome(" + strconv.Itoa(int(outcome)) + ")"
}

// String returns the priority's name in log lines.
func (priority Priority) String() string {
	switch priority {
	case Critical:
		return "critical"
	case Interactive:
		return "interactive"
	case Required:
		return "required"
	case Background:
		return "background"
	}
	return "priority(" + strconv.Itoa(int(priority)) + ")"
}

// Write is a set of changes of which the store executes all or none.
type Write struct {
	Priority Priority
	// FencingToken, if not 0, is the version that the lock key must have.
	FencingToken uint64
	// Conditions must all hold for the changes to be made.
	Conditions []wire.Condition
	// Changes are at most Limits.MaxTransactionOps puts and deletes.
	Changes []wire.Change
	// Deadline is the instant from which the write is no longer sent, or 0 for no deadline. A write
	// that was sent before its deadline may still be executed after it.
	Deadline clock.Micros
	// Done is called once with the result, on a goroutine of this package. That goroutine sends
	// other writes only after Done returns, so Done must not block. revision is the revision of the
	// changes for Committed, the store's latest revision for Conflict and Fenced, and 0 otherwise.
	Done func(outcome Outcome, revision uint64)

	sizeBytes int          // estimated size in a transaction; see estimateSize
	queuedAt  clock.Micros // when Commit was called
}

// isExpired reports whether the write may no longer be sent.
func (write *Write) isExpired(now clock.Micros) bool {
	return write.Deadline != 0 && now >= write.Deadline
}

// hasConditionOn reports whether one of the write's conditions is on one of the keys.
func (write *Write) hasConditionOn(keys []string) bool {
	return slices.ContainsFunc(write.Conditions, func(condition wire.Condition) bool {
		return slices.Contains(keys, condition.Key)
	})
}

// estimateSize sets sizeBytes to an estimate of the write's size within a transaction.
func (write *Write) estimateSize() {
	write.sizeBytes = 0
	for i := range write.Changes {
		change := &write.Changes[i]
		write.sizeBytes += len(change.PutKey) + len(change.DeleteKey) + len(change.Value) + changeOverheadBytes
	}
	for i := range write.Conditions {
		write.sizeBytes += len(write.Conditions[i].Key) + conditionOverheadBytes
	}
}

// Estimated sizes of the JSON around the key and value of a change or condition: braces, names and
// numbers.
const (
	changeOverheadBytes    = 48
	conditionOverheadBytes = 40
)

// requiredPromotionAge is how long a required write is queued before it alternates with interactive
// ones. With strict priority, a flood of submissions starved the required writes: a leader requested
// no machine for 40 s, and accepted jobs waited 100 s for their starts to be recorded. Ordering both
// kinds by age alone starved the submissions instead (docs/incidents/starved-marks.md).
const requiredPromotionAge = clock.Second / 2

// isPromoted reports whether a required write has been queued for so long that it alternates with
// interactive ones.
func (write *Write) isPromoted(now clock.Micros) bool {
	return write.Priority == Required && now-write.queuedAt >= requiredPromotionAge
}
