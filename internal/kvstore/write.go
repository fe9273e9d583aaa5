package kvstore

import (
	"slices"
	"strconv"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Outcome says what became of a write.
type Outcome uint8

const (
	// Committed: the write is durable.
	Committed Outcome = iota
	// Conflict: one of the write's own conditions failed.
	Conflict
	// Fenced: the leader lock is no longer what the write was bound to.
	Fenced
	// NotExecuted: the write was certainly not executed.
	NotExecuted
	// Unknown: the write may have been executed, or may still be.
	Unknown
)

// Priority orders the writes that wait: the service takes few a second.
type Priority int8

const (
	// Critical: the lock depends on it.
	Critical Priority = iota - 1
	// Interactive: somebody waits for the answer.
	Interactive
	// Required: work waits for it.
	Required
	// Background: it is sent when nothing else needs the rate.
	Background
)

// String names the outcome as log lines do.
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

// String names the priority as log lines do.
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

// Write is an atomic set of changes.
type Write struct {
	Priority Priority
	// FencingToken, if not 0, is the version that the lock key must have.
	FencingToken uint64
	Conditions   []wire.Condition
	Changes      []wire.Change
	// Deadline is when to give up a write that was not sent.
	Deadline clock.Micros
	Done     func(Outcome, uint64)

	sizeBytes int
	queuedAt  clock.Micros
}

// isExpired reports that the write may no longer be sent.
func (write *Write) isExpired(now clock.Micros) bool {
	return write.Deadline != 0 && now >= write.Deadline
}

// hasConditionOn reports that one of the write's conditions is on one of the keys.
func (write *Write) hasConditionOn(keys []string) bool {
	return slices.ContainsFunc(write.Conditions, func(condition wire.Condition) bool {
		return slices.Contains(keys, condition.Key)
	})
}

// measure sets sizeBytes to a bound of the write's part of a transaction.
func (write *Write) measure() {
	write.sizeBytes = 0
	for i := range write.Changes {
		change := &write.Changes[i]
		write.sizeBytes += len(change.PutKey) + len(change.DeleteKey) + len(change.Value) + changeOverheadBytes
	}
	for i := range write.Conditions {
		write.sizeBytes += len(write.Conditions[i].Key) + conditionOverheadBytes
	}
}

// The JSON around a change's or a condition's key and value, braces, names and numbers.
const (
	changeOverheadBytes    = 48
	conditionOverheadBytes = 40
)

// requiredPromotionAge is after how long a write that work waits for takes turns with those that
// somebody waits for. Under a flood of submissions a leader once rented no machine for
// 40 s, and what had been accepted waited for its mark for 100; where both went by age
// alone, the leader refused all submissions meanwhile.
const requiredPromotionAge = clock.Second / 2

// isPromoted tells whether a write takes turns with those that somebody waits for.
func (write *Write) isPromoted(now clock.Micros) bool {
	return write.Priority == Required && now-write.queuedAt >= requiredPromotionAge
}
