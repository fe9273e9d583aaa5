// Package standby replicates the leader's table of placements to the other controllers, so that a
// new leader need not treat every task as one that may be running anywhere. It is pure:
// decisions, messages and instants come in, messages come out.
//
// Invariant: if the in-sync record names a member, and every leader since that record's was
// record-first (it sent no start before a record of its own was in force), then the member's
// replica of the record's leader covers every task that may be running: by a placement of the
// task, or by an unconfirmed entry of the task or of its job. docs/standby.md, "The argument",
// has the argument.
package standby

import (
	"cmp"
	"strings"

	"firwood.dev/firwood/wire"
)

// Placement is one attempt of a task on one machine. An attempt starts at most once, and never
// starts again after it has ended. A placement without a machine is an unconfirmed entry, see
// UnconfirmedPlacement.
type Placement struct {
	// Task is the task's id on the wire; in an unconfirmed entry it may be a job's.
	Task string
	// Attempt is the number of the attempt; 0 in an unconfirmed entry.
	Attempt uint64
	// Machine is the machine's name; empty in an unconfirmed entry.
	Machine string
}

// UnconfirmedPlacement says that a task, or any task of a job, may be running on an unknown
// machine: an earlier leader may have started it, and the present one has no proof yet that it
// did not, or that the task has ended.
func UnconfirmedPlacement(id string) Placement { return Placement{Task: id} }

// IsUnconfirmed reports whether the placement is an unconfirmed entry.
func (placement Placement) IsUnconfirmed() bool { return placement.Machine == "" }

// isValid reports whether a leader could have sent the placement.
func (placement Placement) isValid() bool {
	if !placement.IsUnconfirmed() {
		return placement.Task != ""
	}
	if placement.Attempt != 0 {
		return false
	}
	_, _, isTask := wire.ParseTaskID(placement.Task)
	return isTask || wire.IsValidJobID(placement.Task)
}

// jobOfTask returns the job of a task id, and the id itself if it is a job's.
func jobOfTask(task string) string {
	job, _, _ := strings.Cut(task, "/")
	return job
}

// compare orders placements by machine, task and attempt.
func (placement Placement) compare(other Placement) int {
	return cmp.Or(
		cmp.Compare(placement.Machine, other.Machine),
		cmp.Compare(placement.Task, other.Task),
		cmp.Compare(placement.Attempt, other.Attempt),
	)
}

// DecisionKind says what a decision does. Its values are sent on the wire.
type DecisionKind uint8

const (
	// Started means that the placement may run from now on, or that the unconfirmed entry was added.
	Started DecisionKind = iota + 1
	// Ended means that the placement has provably ended, or that the unconfirmed entry is resolved.
	Ended
)

// String returns the kind as logs and test failures show it.
func (kind DecisionKind) String() string {
	switch kind {
	case Started:
		return "started"
	case Ended:
		return "ended"
	}
	return "unknown"
}

// isValid reports whether this build knows the kind.
func (kind DecisionKind) isValid() bool { return kind == Started || kind == Ended }

// Decision is one change of the table.
type Decision struct {
	// Kind says what happens to the placement.
	Kind DecisionKind
	// Placement is what the decision is about.
	Placement Placement
}
