// Package standby replicates a leader's account of which task may be on which machine to
// the other controllers, so that the next leader need not take every task for one that
// may be anywhere. It is pure: decisions, messages and instants come in, messages come
// out. docs/standby.md has the design and the argument.
//
// What must hold: when a member is named by the durable record of those in step, under
// the token of the leader that it follows, its replica has every start that this leader
// has sent, unless the start is provably over.
package standby

import "cmp"

// Placement is a task in one attempt on one machine. It begins at most once, and once it
// is over it never begins again.
type Placement struct {
	// Task is the task's id on the wire.
	Task    string
	Attempt uint64
	Machine string
}

// compare orders placements by machine, task and attempt.
func (p Placement) compare(other Placement) int {
	return cmp.Or(cmp.Compare(p.Machine, other.Machine), cmp.Compare(p.Task, other.Task), cmp.Compare(p.Attempt, other.Attempt))
}

// Kind says what a decision is about.
type Kind uint8

const (
	// Started: the placement may begin at any time from now on.
	Started Kind = iota + 1
	// Over: the placement is provably over.
	Over
)

// Decision changes the account.
type Decision struct {
	Kind      Kind
	Placement Placement
}
