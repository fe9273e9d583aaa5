// Package standby replicates a leader's account of which task may be on which machine to
// the other controllers, so that the next leader need not take every task for one that
// may be anywhere. It is pure: decisions, messages and instants come in, messages come
// out. docs/standby.md has the design and the argument.
//
// What must hold: when a member is named by the durable record of those in step, and no
// leader since may have sent a start without a record of its own, the member's replica of
// that record's leader covers each task that may be running. It covers a task by a
// placement of it, or by a doubt of it or of its whole job.
package standby

import (
	"cmp"
	"strings"

	"firwood.dev/firwood/wire"
)

// Placement is a task in one attempt on one machine. It begins at most once, and once it
// is over it never begins again.
//
// A placement without a machine is a doubt, see Doubt.
type Placement struct {
	// Task is the task's id on the wire; of a doubt it may be a job's.
	Task    string
	Attempt uint64
	Machine string
}

// UnconfirmedPlacement says that a task, or any task of a job, may run somewhere: an earlier leader may
// have started it, and the present one has no proof yet that it did not, or that the task
// is over.
func UnconfirmedPlacement(id string) Placement { return Placement{Task: id} }

// IsUnconfirmed tells whether the placement is a doubt.
func (placement Placement) IsUnconfirmed() bool { return placement.Machine == "" }

// isValid tells whether a leader can have told of the placement.
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

// jobOfTask is the job that a task belongs to.
func jobOfTask(task string) string {
	job, _, _ := strings.Cut(task, "/")
	return job
}

// compare orders placements by machine, task and attempt.
func (placement Placement) compare(other Placement) int {
	return cmp.Or(cmp.Compare(placement.Machine, other.Machine), cmp.Compare(placement.Task, other.Task), cmp.Compare(placement.Attempt, other.Attempt))
}

// DecisionKind says what a decision is about.
type DecisionKind uint8

const (
	// Started: the placement may begin at any time from now on; a doubt counts from now on.
	Started DecisionKind = iota + 1
	// Ended: the placement is provably over, or the doubt is resolved.
	Ended
)

// Decision changes the account.
type Decision struct {
	Kind      DecisionKind
	Placement Placement
}
