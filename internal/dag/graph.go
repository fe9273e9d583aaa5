// Package dag tracks the dependencies between jobs: which jobs may start, which are cancelled
// because a dependency was cancelled, and how priority and deadline propagate from a job to its
// dependencies. It does no I/O and reads no clock.
//
// Records may arrive in any order, since a view of the key-value store is loaded in the order of
// its keys. Everything here is derived from durable records of jobs, so each controller, and each
// new leader, reaches the same state from the same records.
package dag

import (
	"fmt"
	"slices"

	"firwood.dev/firwood/internal/clock"
)

// Urgency is the priority and the deadline of a job. A job passes them on to its dependencies.
type Urgency struct {
	// Priority is an index; 0 is the highest priority.
	Priority int
	// Deadline is a time of day; 0 means that there is none.
	Deadline clock.Micros
}

// Merge returns the higher priority and the earlier deadline of both.
func (u Urgency) Merge(other Urgency) Urgency {
	u.Priority = min(u.Priority, other.Priority)
	if other.hasEarlierDeadline(u) {
		u.Deadline = other.Deadline
	}
	return u
}

func (u Urgency) hasEarlierDeadline(other Urgency) bool {
	return u.Deadline != 0 && (other.Deadline == 0 || u.Deadline < other.Deadline)
}

// forDependencies returns the urgency that a job passes on to its dependencies: they have to be
// done earlier by its own run time. A deadline stays above 0, which means that there is none.
func (u Urgency) forDependencies(runTime clock.Micros) Urgency {
	if u.Deadline != 0 {
		u.Deadline = max(u.Deadline-runTime, 1)
	}
	return u
}

// Job is a job's record as far as the graph needs it.
type Job struct {
	ID        string
	DependsOn []string
	// SubmittedAt is the time of day of the submission.
	SubmittedAt clock.Micros
	Urgency     Urgency
	// EstimatedRunTime is the estimated time from the start of the job to its end.
	EstimatedRunTime clock.Micros
}

// Effects lists the consequences of a record.
type Effects struct {
	// Released are jobs whose dependencies are now all done.
	Released []string
	// Cancelled are jobs that are cancelled because a dependency was cancelled. AddJob lists the
	// added job too; RecordCancellation doesn't list its own job.
	Cancelled []string
	// MoreUrgent are jobs whose urgency was raised; a job may be listed more than once.
	MoreUrgent []string
}

// stage is the state of a job as its dependents see it.
type stage uint8

const (
	stageUnknown stage = iota // no record has been seen
	stageUnfinished
	stageDone
	stageCancelled
)

// String names the stage in test failures.
func (s stage) String() string {
	switch s {
	case stageUnknown:
		return "unknown"
	case stageUnfinished:
		return "unfinished"
	case stageDone:
		return "done"
	case stageCancelled:
		return "cancelled"
	}
	return fmt.Sprintf("stage %d", uint8(s))
}

// node is a job with its edges in both directions.
type node struct {
	id                     string
	stage                  stage
	submittedAt            clock.Micros
	estimatedRunTime       clock.Micros
	urgency                Urgency // its own, merged with that of its dependents
	dependencies           []string
	dependents             []string
	unfinishedDependencies int          // dependencies that are not done
	releasedAt             clock.Micros // submission, or end of the last dependency; for a done job its own end
	isQueued               bool         // waits in propagateUrgency's heap
}

// hasEnded tells whether the job is done, or cancelled by its own record or with a dependency.
func (n *node) hasEnded() bool { return n.stage == stageDone || n.stage == stageCancelled }

// Graph holds the jobs of a view of the store.
type Graph struct{ nodes map[string]*node }

// New returns an empty graph.
func New() *Graph { return &Graph{nodes: map[string]*node{}} }

// lowestUrgency is the urgency of a job whose record was not seen: its priority is lower than any
// real one (a greater index), and it has no deadline.
var lowestUrgency = Urgency{Priority: 1 << 30}

// ensureNode returns the node of a job. It creates one, of an unknown stage, if necessary.
func (graph *Graph) ensureNode(id string) *node {
	jobNode := graph.nodes[id]
	if jobNode == nil {
		jobNode = &node{id: id, urgency: lowestUrgency}
		graph.nodes[id] = jobNode
	}
	return jobNode
}

// AddJob records an unfinished job. Recording it twice, or after its end, has no effect.
func (graph *Graph) AddJob(job Job) Effects {
	jobNode := graph.ensureNode(job.ID)
	var effects Effects
	if jobNode.stage != stageUnknown {
		return effects
	}
	jobNode.stage = stageUnfinished
	jobNode.submittedAt, jobNode.estimatedRunTime = job.SubmittedAt, job.EstimatedRunTime
	jobNode.releasedAt = max(jobNode.releasedAt, job.SubmittedAt)
	jobNode.urgency = jobNode.urgency.Merge(job.Urgency)
	for _, dependency := range job.DependsOn {
		dependencyNode := graph.ensureNode(dependency)
		jobNode.dependencies = append(jobNode.dependencies, dependency)
		dependencyNode.dependents = append(dependencyNode.dependents, job.ID)
		switch dependencyNode.stage {
		case stageDone:
			jobNode.releasedAt = max(jobNode.releasedAt, dependencyNode.releasedAt)
		case stageCancelled:
			graph.cancelWithDependents(job.ID, &effects)
		default:
			jobNode.unfinishedDependencies++
		}
	}
	if jobNode.stage == stageUnfinished {
		graph.propagateUrgency(jobNode, &effects)
	}
	return effects
}

// RecordCompletion records the durable end of a job at a time of day.
func (graph *Graph) RecordCompletion(id string, completedAt clock.Micros) Effects {
	jobNode := graph.ensureNode(id)
	var effects Effects
	if jobNode.hasEnded() {
		return effects
	}
	jobNode.stage, jobNode.releasedAt = stageDone, completedAt
	for _, dependent := range jobNode.dependents {
		dependentNode := graph.nodes[dependent]
		dependentNode.releasedAt = max(dependentNode.releasedAt, completedAt)
		dependentNode.unfinishedDependencies--
		if dependentNode.unfinishedDependencies == 0 && dependentNode.stage == stageUnfinished {
			effects.Released = append(effects.Released, dependent)
		}
	}
	jobNode.dependents, jobNode.dependencies = nil, nil
	return effects
}

// RecordCancellation records the durable cancellation of a job and cancels its transitive
// dependents. The job itself is not listed among the effects.
func (graph *Graph) RecordCancellation(id string) Effects {
	var effects Effects
	graph.cancelWithDependents(id, &effects)
	if len(effects.Cancelled) > 0 && effects.Cancelled[0] == id {
		effects.Cancelled = effects.Cancelled[1:]
	}
	return effects
}

// cancelWithDependents cancels a job and its transitive dependents, and lists those that had not
// ended.
func (graph *Graph) cancelWithDependents(id string, effects *Effects) {
	work := []string{id}
	for len(work) > 0 {
		id := work[len(work)-1]
		work = work[:len(work)-1]
		jobNode := graph.ensureNode(id)
		if jobNode.hasEnded() {
			continue
		}
		jobNode.stage = stageCancelled
		effects.Cancelled = append(effects.Cancelled, id)
		work = append(work, jobNode.dependents...)
		jobNode.dependents, jobNode.dependencies = nil, nil
	}
}

// IsBlocked tells whether a job has a dependency that is not done. It says nothing useful of a
// cancelled job: see IsCancelled.
func (graph *Graph) IsBlocked(id string) bool {
	jobNode := graph.nodes[id]
	return jobNode != nil && jobNode.unfinishedDependencies > 0
}

// IsCancelled tells whether a job is cancelled, by its own record or because of a dependency.
func (graph *Graph) IsCancelled(id string) bool {
	jobNode := graph.nodes[id]
	return jobNode != nil && jobNode.stage == stageCancelled
}

// ReleasedAt is the time of day from which a job's waiting time counts: its submission, or the
// end of its last dependency.
func (graph *Graph) ReleasedAt(id string, submitted clock.Micros) clock.Micros {
	if jobNode := graph.nodes[id]; jobNode != nil {
		return max(submitted, jobNode.releasedAt)
	}
	return submitted
}

// UrgencyOf is a job's own urgency merged with that of its transitive dependents.
func (graph *Graph) UrgencyOf(id string, own Urgency) Urgency {
	if jobNode := graph.nodes[id]; jobNode != nil {
		return jobNode.urgency.Merge(own)
	}
	return own
}

// PendingDependencies lists the dependencies of a job that are not done.
func (graph *Graph) PendingDependencies(id string) []string {
	jobNode := graph.nodes[id]
	if jobNode == nil || jobNode.unfinishedDependencies == 0 {
		return nil
	}
	var pending []string
	for _, dependency := range jobNode.dependencies {
		// A dependency that was removed was done: had it been cancelled, this job would be too.
		if dependencyNode := graph.nodes[dependency]; dependencyNode != nil && dependencyNode.stage != stageDone {
			pending = append(pending, dependency)
		}
	}
	return pending
}

// Remove drops a job that has ended; it has no effect on others. If a later record names the job,
// it comes back as unknown until its end is recorded again.
func (graph *Graph) Remove(id string) {
	if jobNode := graph.nodes[id]; jobNode != nil && jobNode.hasEnded() {
		delete(graph.nodes, id)
	}
}

// UnknownDependencies lists, in order, the dependencies of which no record was seen.
func (graph *Graph) UnknownDependencies() []string {
	var ids []string
	for id, jobNode := range graph.nodes {
		if jobNode.stage == stageUnknown && len(jobNode.dependents) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
