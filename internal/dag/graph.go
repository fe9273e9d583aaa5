// Package dag owns the graph of jobs that await others: which jobs may start,
// which are cancelled with a job that they need, and what priority and deadline
// reach back from a job to those that it needs. It is pure. What it is told may come
// in any order, since a view of the state service is loaded in the order of keys.
//
// Everything here is derived from durable records of jobs, so each controller, and
// each new leader, comes to the same conclusions from the same records.
package dag

import (
	"slices"

	"firwood.dev/firwood/internal/clock"
)

// Urgency is what a job demands of the jobs that it needs, or what is demanded of it.
type Urgency struct {
	// Priority is an index: 0 is served first.
	Priority int
	// Deadline is a time of day, 0 if there is none.
	Deadline clock.Micros
}

// Join is the more urgent of both, in each respect.
func (u Urgency) Join(other Urgency) Urgency {
	u.Priority = min(u.Priority, other.Priority)
	if u.Deadline == 0 || other.Deadline != 0 && other.Deadline < u.Deadline {
		u.Deadline = other.Deadline
	}
	return u
}

// before is what a job demands of those that it needs: they have to be done its own
// run time earlier.
func (u Urgency) before(run clock.Micros) Urgency {
	if u.Deadline != 0 {
		u.Deadline = max(u.Deadline-run, 1)
	}
	return u
}

// Job is what the graph has to know of a job.
type Job struct {
	ID    string
	Needs []string
	// Submitted is the time of day of the submission.
	Submitted clock.Micros
	Urgency   Urgency
	// Run is about how long the job takes once it may start.
	Run clock.Micros
}

// Change is what follows from a record, for jobs other than that of the record.
type Change struct {
	// Released are jobs that nothing keeps from starting any more.
	Released []string
	// Cancelled are jobs that are cancelled with one that they need.
	Cancelled []string
	// MoreUrgent are jobs of which more is demanded than before.
	MoreUrgent []string
}

// stage is how a job stands, as far as its dependents are concerned.
type stage uint8

const (
	unknown stage = iota // no record has been seen
	unfinished
	done
	cancelled
)

// node is a job that is needed by others or needs others.
type node struct {
	stage      stage
	needs      []string
	dependents []string
	blockedBy  int          // needs that are not done
	released   clock.Micros // the time of day from which its waits count
	urgency    Urgency
	run        clock.Micros
	id         string
	submitted  clock.Micros
	isQueued   bool // see demand
}

// Graph holds the jobs of a view.
type Graph struct{ nodes map[string]*node }

// New makes an empty graph.
func New() *Graph { return &Graph{nodes: map[string]*node{}} }

// leastUrgent is the urgency of a job of which nobody demands anything.
var leastUrgent = Urgency{Priority: 1 << 30}

func (g *Graph) node(id string) *node {
	n := g.nodes[id]
	if n == nil {
		n = &node{id: id, urgency: leastUrgent}
		g.nodes[id] = n
	}
	return n
}

// Add takes the record of a job that is not over; adding it again does nothing.
func (g *Graph) Add(j Job) Change {
	n := g.node(j.ID)
	var change Change
	if n.stage != unknown {
		return change
	}
	n.stage = unfinished
	n.released, n.run, n.submitted = max(n.released, j.Submitted), j.Run, j.Submitted
	n.urgency = n.urgency.Join(j.Urgency)
	for _, need := range j.Needs {
		needed := g.node(need)
		n.needs = append(n.needs, need)
		needed.dependents = append(needed.dependents, j.ID)
		switch needed.stage {
		case done:
			n.released = max(n.released, needed.released)
		case cancelled:
			g.cancel(j.ID, &change)
		default:
			n.blockedBy++
		}
	}
	if n.stage == unfinished {
		g.demand(n, &change)
	}
	return change
}

// Done takes the durable end of a job at a time of day.
func (g *Graph) Done(id string, at clock.Micros) Change {
	n := g.node(id)
	var change Change
	if n.stage == done || n.stage == cancelled {
		return change
	}
	n.stage, n.released = done, at
	for _, dependent := range n.dependents {
		d := g.nodes[dependent]
		d.released = max(d.released, at)
		if d.blockedBy--; d.blockedBy == 0 && d.stage == unfinished {
			change.Released = append(change.Released, dependent)
		}
	}
	n.dependents, n.needs = nil, nil
	return change
}

// Cancel takes the durable cancellation of a job.
func (g *Graph) Cancel(id string) Change {
	var change Change
	g.cancel(id, &change)
	if len(change.Cancelled) > 0 && change.Cancelled[0] == id {
		change.Cancelled = change.Cancelled[1:]
	}
	return change
}

// cancel cancels a job and everything that needs it; those that are not over are
// listed in the change.
func (g *Graph) cancel(id string, change *Change) {
	work := []string{id}
	for len(work) > 0 {
		id := work[len(work)-1]
		work = work[:len(work)-1]
		n := g.node(id)
		if n.stage == done || n.stage == cancelled {
			continue
		}
		n.stage = cancelled
		change.Cancelled = append(change.Cancelled, id)
		work = append(work, n.dependents...)
		n.dependents, n.needs = nil, nil
	}
}

// Blocked tells whether a job needs one that is not done.
func (g *Graph) Blocked(id string) bool {
	n := g.nodes[id]
	return n != nil && n.blockedBy > 0
}

// Cancelled tells whether a job is cancelled, be it with one that it needs.
func (g *Graph) Cancelled(id string) bool {
	n := g.nodes[id]
	return n != nil && n.stage == cancelled
}

// ReleasedAt is the time of day from which a job's waits count: its submission, or
// the end of the last job that it needs.
func (g *Graph) ReleasedAt(id string, submitted clock.Micros) clock.Micros {
	if n := g.nodes[id]; n != nil {
		return max(submitted, n.released)
	}
	return submitted
}

// UrgencyOf is the urgency of a job, with what others demand of it.
func (g *Graph) UrgencyOf(id string, own Urgency) Urgency {
	if n := g.nodes[id]; n != nil {
		return n.urgency.Join(own)
	}
	return own
}

// Awaited lists the jobs that a job needs and that are not done.
func (g *Graph) Awaited(id string) []string {
	n := g.nodes[id]
	if n == nil || n.blockedBy == 0 {
		return nil
	}
	var awaited []string
	for _, need := range n.needs {
		// One that was forgotten is done: of a cancelled one this job would know.
		if n := g.nodes[need]; n != nil && n.stage != done {
			awaited = append(awaited, need)
		}
	}
	return awaited
}

// Forget forgets a job that is over, as long as nobody names it anew. Told of its end
// again, the graph is as before.
func (g *Graph) Forget(id string) {
	if n := g.nodes[id]; n != nil && (n.stage == done || n.stage == cancelled) {
		delete(g.nodes, id)
	}
}

// Unknown lists the jobs that others need and of which no record was seen.
func (g *Graph) Unknown() []string {
	var ids []string
	for id, n := range g.nodes {
		if n.stage == unknown && len(n.dependents) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
