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

// Doubt says that a task, or any task of a job, may run somewhere: an earlier leader may
// have started it, and the present one has no proof yet that it did not, or that the task
// is over.
func Doubt(id string) Placement { return Placement{Task: id} }

// IsDoubt tells whether the placement is a doubt.
func (p Placement) IsDoubt() bool { return p.Machine == "" }

// isValid tells whether a leader can have told of the placement.
func (p Placement) isValid() bool {
	if !p.IsDoubt() {
		return p.Task != ""
	}
	if p.Attempt != 0 {
		return false
	}
	_, _, isTask := wire.ParseTaskID(p.Task)
	return isTask || wire.ValidJobID(p.Task)
}

// jobOf is the job that a task belongs to.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, "/")
	return job
}

// compare orders placements by machine, task and attempt.
func (p Placement) compare(other Placement) int {
	return cmp.Or(cmp.Compare(p.Machine, other.Machine), cmp.Compare(p.Task, other.Task), cmp.Compare(p.Attempt, other.Attempt))
}

// Kind says what a decision is about.
type Kind uint8

const (
	// Started: the placement may begin at any time from now on; a doubt counts from now on.
	Started Kind = iota + 1
	// Over: the placement is provably over, or the doubt is resolved.
	Over
)

// Decision changes the account.
type Decision struct {
	Kind      Kind
	Placement Placement
}
