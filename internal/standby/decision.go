// Package standby replicates the leader's table of placements to the other controllers, so that a
// new leader does not have to treat every task as one that may be running on any machine. The
// package does no input or output: the caller passes in decisions, received messages and the
// current time, and sends the messages that the package returns.
//
// A leader is record-first if it sends no start before an in-sync record of its own is in force.
//
// Invariant: if the in-sync record names a member, and every leader since the one that wrote the
// record was record-first, then the member's replica of that leader's table covers every task that
// may be running: by a placement of the task, or by an unconfirmed entry for the task or its job.
// docs/standby.md, "The argument", proves this.
package standby

import (
	"cmp"
	"strings"

	"firwood.dev/firwood/wire"
)

// Placement is one attempt of a task on one machine. An attempt starts at most once, and never
// starts again after it has ended. A placement without a machine is an unconfirmed entry; see
// UnconfirmedPlacement.
type Placement struct {
	// Task is the task's id on the wire. In an unconfirmed entry it may be a job's id instead.
	Task string
	// Attempt is the number of the attempt, or 0 in an unconfirmed entry.
	Attempt uint64
	// Machine is the machine's name, or empty in an unconfirmed entry.
	Machine string
}

// UnconfirmedPlacement returns an unconfirmed entry for a task or a job. The entry means that the
// task, or any task of the job, may be running on an unknown machine: an earlier leader may have
// started it, and the present leader has no proof yet that it did not, or that the task has ended.
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

// jobOfTask returns the job id in a task id. If it is given a job id, it returns that.
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

// DecisionKind is the kind of change that a decision makes. Its values are sent on the wire.
type DecisionKind uint8

const (
	// Started means that the placement may run from now on, or that an unconfirmed entry was added.
	Started DecisionKind = iota + 1
	// Ended means that the placement is proven to have ended, or that an unconfirmed entry was resolved.
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

// Decision is one change to the table.
type Decision struct {
	// Kind is the kind of change.
	Kind DecisionKind
	// Placement is the placement or unconfirmed entry that changes.
	Placement Placement
}
