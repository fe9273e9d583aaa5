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

// Merge is the more urgent of both, in each respect.
func (u Urgency) Merge(other Urgency) Urgency {
	u.Priority = min(u.Priority, other.Priority)
	if u.Deadline == 0 || other.Deadline != 0 && other.Deadline < u.Deadline {
		u.Deadline = other.Deadline
	}
	return u
}

// forDependencies is what a job demands of those that it needs: they have to be done its own
// run time earlier.
func (u Urgency) forDependencies(runTime clock.Micros) Urgency {
	if u.Deadline != 0 {
		u.Deadline = max(u.Deadline-runTime, 1)
	}
	return u
}

// Job is what the graph has to know of a job.
type Job struct {
	ID        string
	DependsOn []string
	// SubmittedAt is the time of day of the submission.
	SubmittedAt clock.Micros
	Urgency     Urgency
	// EstimatedRunTime is about how long the job takes once it may start.
	EstimatedRunTime clock.Micros
}

// Effects is what follows from a record, for jobs other than that of the record.
type Effects struct {
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
	stageUnknown stage = iota // no record has been seen
	stageUnfinished
	stageDone
	stageCancelled
)

// node is a job that is needed by others or needs others.
type node struct {
	stage                  stage
	dependencies           []string
	dependents             []string
	unfinishedDependencies int          // needs that are not done
	releasedAt             clock.Micros // the time of day from which its waits count
	urgency                Urgency
	estimatedRunTime       clock.Micros
	id                     string
	submittedAt            clock.Micros
	isQueued               bool // see demand
}

// Graph holds the jobs of a view.
type Graph struct{ nodes map[string]*node }

// New makes an empty graph.
func New() *Graph { return &Graph{nodes: map[string]*node{}} }

// lowestUrgency is the urgency of a job of which nobody demands anything.
var lowestUrgency = Urgency{Priority: 1 << 30}

func (graph *Graph) ensureNode(id string) *node {
	jobNode := graph.nodes[id]
	if jobNode == nil {
		jobNode = &node{id: id, urgency: lowestUrgency}
		graph.nodes[id] = jobNode
	}
	return jobNode
}

// AddJob takes the record of a job that is not over; adding it again does nothing.
func (graph *Graph) AddJob(job Job) Effects {
	jobNode := graph.ensureNode(job.ID)
	var effects Effects
	if jobNode.stage != stageUnknown {
		return effects
	}
	jobNode.stage = stageUnfinished
	jobNode.releasedAt, jobNode.estimatedRunTime, jobNode.submittedAt = max(jobNode.releasedAt, job.SubmittedAt), job.EstimatedRunTime, job.SubmittedAt
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

// RecordCompletion takes the durable end of a job at a time of day.
func (graph *Graph) RecordCompletion(id string, completedAt clock.Micros) Effects {
	jobNode := graph.ensureNode(id)
	var effects Effects
	if jobNode.stage == stageDone || jobNode.stage == stageCancelled {
		return effects
	}
	jobNode.stage, jobNode.releasedAt = stageDone, completedAt
	for _, dependent := range jobNode.dependents {
		dependentNode := graph.nodes[dependent]
		dependentNode.releasedAt = max(dependentNode.releasedAt, completedAt)
		if dependentNode.unfinishedDependencies--; dependentNode.unfinishedDependencies == 0 && dependentNode.stage == stageUnfinished {
			effects.Released = append(effects.Released, dependent)
		}
	}
	jobNode.dependents, jobNode.dependencies = nil, nil
	return effects
}

// RecordCancellation takes the durable cancellation of a job.
func (graph *Graph) RecordCancellation(id string) Effects {
	var effects Effects
	graph.cancelWithDependents(id, &effects)
	if len(effects.Cancelled) > 0 && effects.Cancelled[0] == id {
		effects.Cancelled = effects.Cancelled[1:]
	}
	return effects
}

// cancelWithDependents cancels a job and everything that needs it; those that are not over are
// listed in the change.
func (graph *Graph) cancelWithDependents(id string, effects *Effects) {
	work := []string{id}
	for len(work) > 0 {
		id := work[len(work)-1]
		work = work[:len(work)-1]
		jobNode := graph.ensureNode(id)
		if jobNode.stage == stageDone || jobNode.stage == stageCancelled {
			continue
		}
		jobNode.stage = stageCancelled
		effects.Cancelled = append(effects.Cancelled, id)
		work = append(work, jobNode.dependents...)
		jobNode.dependents, jobNode.dependencies = nil, nil
	}
}

// IsBlocked tells whether a job needs one that is not done.
func (graph *Graph) IsBlocked(id string) bool {
	jobNode := graph.nodes[id]
	return jobNode != nil && jobNode.unfinishedDependencies > 0
}

// IsCancelled tells whether a job is cancelled, be it with one that it needs.
func (graph *Graph) IsCancelled(id string) bool {
	jobNode := graph.nodes[id]
	return jobNode != nil && jobNode.stage == stageCancelled
}

// ReleasedAt is the time of day from which a job's waits count: its submission, or
// the end of the last job that it needs.
func (graph *Graph) ReleasedAt(id string, submitted clock.Micros) clock.Micros {
	if jobNode := graph.nodes[id]; jobNode != nil {
		return max(submitted, jobNode.releasedAt)
	}
	return submitted
}

// UrgencyOf is the urgency of a job, with what others demand of it.
func (graph *Graph) UrgencyOf(id string, own Urgency) Urgency {
	if jobNode := graph.nodes[id]; jobNode != nil {
		return jobNode.urgency.Merge(own)
	}
	return own
}

// PendingDependencies lists the jobs that a job needs and that are not done.
func (graph *Graph) PendingDependencies(id string) []string {
	jobNode := graph.nodes[id]
	if jobNode == nil || jobNode.unfinishedDependencies == 0 {
		return nil
	}
	var pending []string
	for _, dependency := range jobNode.dependencies {
		// One that was forgotten is done: of a cancelled one this job would know.
		if jobNode := graph.nodes[dependency]; jobNode != nil && jobNode.stage != stageDone {
			pending = append(pending, dependency)
		}
	}
	return pending
}

// Remove forgets a job that is over, as long as nobody names it anew. Told of its end
// again, the graph is as before.
func (graph *Graph) Remove(id string) {
	if jobNode := graph.nodes[id]; jobNode != nil && (jobNode.stage == stageDone || jobNode.stage == stageCancelled) {
		delete(graph.nodes, id)
	}
}

// UnknownDependencies lists the jobs that others need and of which no record was seen.
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
