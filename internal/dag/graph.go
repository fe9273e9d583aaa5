// Package dag tracks the dependencies between jobs: which jobs may start, which are cancelled because a
// dependency was cancelled, and how priority and deadline propagate from a job to its dependencies. It
// does no I/O and reads no clock.
//
// Records may arrive in any order, since a view of the key-value store is loaded in the order of its keys.
// The graph is derived only from durable records of jobs, so each controller, and each new leader, reaches
// the same state from the same records.
package dag

import (
	"fmt"
	"maps"
	"slices"

	"firwood.dev/firwood/internal/clock"
)

// Urgency is a job's priority and deadline, both of which propagate to the job's dependencies.
type Urgency struct {
	// Priority is an index; 0 is the highest priority.
	Priority int
	// Deadline is a wall-clock time, or 0 if there is no deadline.
	Deadline clock.Micros
}

// Merge returns the higher of the two priorities with the earlier of the two deadlines.
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

// forDependencies returns the urgency that a job passes on to its dependencies. They have to be done
// earlier than the job by its run time. The resulting deadline is at least 1, since 0 would mean that
// there is none.
func (u Urgency) forDependencies(runTime clock.Micros) Urgency {
	if u.Deadline != 0 {
		u.Deadline = max(u.Deadline-runTime, 1)
	}
	return u
}

// Job is the part of a job's record that the graph needs.
type Job struct {
	ID        string
	DependsOn []string
	// SubmittedAt is the wall-clock time of the submission.
	SubmittedAt clock.Micros
	Urgency     Urgency
	// EstimatedRunTime is the estimated time from the job's start to its end.
	EstimatedRunTime clock.Micros
}

// Effects lists how a record affects jobs.
type Effects struct {
	// Released are jobs whose dependencies are now all done.
	Released []string
	// Cancelled are jobs that are cancelled because a dependency was cancelled. The effects of AddJob
	// include the added job if it is cancelled; those of RecordCancellation exclude the cancelled job.
	Cancelled []string
	// MoreUrgent are jobs whose urgency was raised. A job may be listed more than once.
	MoreUrgent []string
}

// stage is the state of a job as its dependents see it.
type stage uint8

const (
	stageUnknown stage = iota // no record of the job has been seen
	stageUnfinished
	stageDone
	stageCancelled
)

// String returns the stage's name in test failures.
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

// jobSet is a set of jobs by id. The zero value is an empty set from which may be read and deleted.
type jobSet map[string]struct{}

// add adds a job and creates the set if necessary.
func (set *jobSet) add(id string) {
	if *set == nil {
		*set = jobSet{}
	}
	(*set)[id] = struct{}{}
}

// sorted returns the ids in order.
func (set jobSet) sorted() []string { return slices.Sorted(maps.Keys(set)) }

// node is a job with its edges in both directions. An edge lasts while neither of its jobs has ended, and both
// nodes have it: a job that has ended has no edges, so it can be removed.
type node struct {
	id               string
	stage            stage
	submittedAt      clock.Micros
	estimatedRunTime clock.Micros
	urgency          Urgency      // the job's own, merged with what its dependents pass on
	dependencies     jobSet       // the dependencies that have not ended
	dependents       jobSet       // the dependents that have not ended
	releasedAt       clock.Micros // submission, or end of the last dependency if later; for a done job, its own end
	isQueued         bool         // whether the node is in propagateUrgency's heap
}

// hasEnded reports whether the job is done or cancelled, by its own record or because of a dependency.
func (n *node) hasEnded() bool { return n.stage == stageDone || n.stage == stageCancelled }

// Graph holds the jobs of one view of the key-value store.
type Graph struct {
	nodes        map[string]*node
	unknownCount int // nodes in stageUnknown
}

// New returns an empty graph.
func New() *Graph { return &Graph{nodes: map[string]*node{}} }

// lowestUrgency is the urgency of a job whose record has not been seen. Its priority is lower than any
// valid one (its index is greater), and it has no deadline.
var lowestUrgency = Urgency{Priority: 1 << 30}

// ensureNode returns the node of a job, and creates it with stageUnknown if necessary.
func (graph *Graph) ensureNode(id string) *node {
	jobNode := graph.nodes[id]
	if jobNode == nil {
		jobNode = &node{id: id, urgency: lowestUrgency}
		graph.nodes[id] = jobNode
		graph.unknownCount++
	}
	return jobNode
}

// setStage changes the stage of a job.
func (graph *Graph) setStage(jobNode *node, stage stage) {
	if jobNode.stage == stageUnknown {
		graph.unknownCount--
	}
	jobNode.stage = stage
}

// AddJob adds an unfinished job. Adding a job twice, or after its end, has no effect.
func (graph *Graph) AddJob(job Job) Effects {
	jobNode := graph.ensureNode(job.ID)
	var effects Effects
	if jobNode.stage != stageUnknown {
		return effects
	}
	graph.setStage(jobNode, stageUnfinished)
	jobNode.submittedAt, jobNode.estimatedRunTime = job.SubmittedAt, job.EstimatedRunTime
	jobNode.releasedAt = max(jobNode.releasedAt, job.SubmittedAt)
	jobNode.urgency = jobNode.urgency.Merge(job.Urgency)
	for _, dependency := range job.DependsOn {
		graph.addDependency(jobNode, dependency, &effects)
	}
	if jobNode.stage == stageUnfinished {
		graph.propagateUrgency(jobNode, &effects)
	}
	return effects
}

// addDependency adds the edge to a dependency that has not ended. The job is cancelled if the dependency is.
func (graph *Graph) addDependency(jobNode *node, dependency string, effects *Effects) {
	dependencyNode := graph.ensureNode(dependency)
	switch {
	case dependencyNode.stage == stageDone:
		jobNode.releasedAt = max(jobNode.releasedAt, dependencyNode.releasedAt)
	case dependencyNode.stage == stageCancelled:
		graph.cancelWithDependents(jobNode.id, effects)
	case jobNode.hasEnded():
		graph.removeIfUnreferenced(dependencyNode)
	default:
		jobNode.dependencies.add(dependency)
		dependencyNode.dependents.add(jobNode.id)
	}
}

// dropDependencies removes a job's edges to its dependencies.
func (graph *Graph) dropDependencies(jobNode *node) {
	for dependency := range jobNode.dependencies {
		dependencyNode := graph.nodes[dependency]
		delete(dependencyNode.dependents, jobNode.id)
		graph.removeIfUnreferenced(dependencyNode)
	}
	jobNode.dependencies = nil
}

// removeIfUnreferenced removes the node of a job that is known only by the edges to it once there are none.
func (graph *Graph) removeIfUnreferenced(jobNode *node) {
	if jobNode.stage == stageUnknown && len(jobNode.dependents) == 0 {
		delete(graph.nodes, jobNode.id)
		graph.unknownCount--
	}
}

// takeDependents removes the edges from a job's dependents to the job, and returns the dependents in the order of
// their ids.
func (graph *Graph) takeDependents(jobNode *node) []*node {
	var dependents []*node
	for _, id := range jobNode.dependents.sorted() {
		dependentNode := graph.nodes[id]
		delete(dependentNode.dependencies, jobNode.id)
		dependents = append(dependents, dependentNode)
	}
	jobNode.dependents = nil
	return dependents
}

// RecordCompletion records that a job's completion is durable. completedAt is a wall-clock time.
func (graph *Graph) RecordCompletion(id string, completedAt clock.Micros) Effects {
	jobNode := graph.ensureNode(id)
	var effects Effects
	if jobNode.hasEnded() {
		return effects
	}
	graph.setStage(jobNode, stageDone)
	jobNode.releasedAt = completedAt
	graph.dropDependencies(jobNode) // there are some if a dependency has not been looked up yet
	for _, dependentNode := range graph.takeDependents(jobNode) {
		dependentNode.releasedAt = max(dependentNode.releasedAt, completedAt)
		if len(dependentNode.dependencies) == 0 {
			effects.Released = append(effects.Released, dependentNode.id)
		}
	}
	return effects
}

// RecordCancellation records that a job's cancellation is durable, and cancels the job's transitive
// dependents. The effects don't list the job itself.
func (graph *Graph) RecordCancellation(id string) Effects {
	var effects Effects
	graph.cancelWithDependents(id, &effects)
	if len(effects.Cancelled) > 0 && effects.Cancelled[0] == id {
		effects.Cancelled = effects.Cancelled[1:]
	}
	return effects
}

// cancelWithDependents cancels a job and its transitive dependents, and adds those that had not ended to
// effects.
func (graph *Graph) cancelWithDependents(id string, effects *Effects) {
	work := []string{id}
	for len(work) > 0 {
		id := work[len(work)-1]
		work = work[:len(work)-1]
		jobNode := graph.ensureNode(id)
		if jobNode.hasEnded() {
			continue
		}
		graph.setStage(jobNode, stageCancelled)
		effects.Cancelled = append(effects.Cancelled, id)
		graph.dropDependencies(jobNode)
		for _, dependentNode := range graph.takeDependents(jobNode) {
			work = append(work, dependentNode.id)
		}
	}
}

// IsBlocked reports whether a job that has not ended has a dependency that is not done.
func (graph *Graph) IsBlocked(id string) bool {
	jobNode := graph.nodes[id]
	return jobNode != nil && len(jobNode.dependencies) > 0
}

// HasUnmetDependency reports whether a job has a dependency that is known not to be done: its record has been
// seen, and it has not ended. A job with a cancelled dependency is cancelled itself.
func (graph *Graph) HasUnmetDependency(id string) bool {
	jobNode := graph.nodes[id]
	if jobNode == nil {
		return false
	}
	for dependency := range jobNode.dependencies {
		if graph.nodes[dependency].stage == stageUnfinished {
			return true
		}
	}
	return false
}

// IsCancelled reports whether a job is cancelled, by its own record or because of a dependency.
func (graph *Graph) IsCancelled(id string) bool {
	jobNode := graph.nodes[id]
	return jobNode != nil && jobNode.stage == stageCancelled
}

// ReleasedAt returns the wall-clock time from which a job's waiting time counts: its submission, or the
// end of its last dependency if that is later.
func (graph *Graph) ReleasedAt(id string, submitted clock.Micros) clock.Micros {
	if jobNode := graph.nodes[id]; jobNode != nil {
		return max(submitted, jobNode.releasedAt)
	}
	return submitted
}

// UrgencyOf returns a job's own urgency merged with the urgency that its transitive dependents pass on.
func (graph *Graph) UrgencyOf(id string, own Urgency) Urgency {
	if jobNode := graph.nodes[id]; jobNode != nil {
		return jobNode.urgency.Merge(own)
	}
	return own
}

// PendingDependencies returns the dependencies of a job that are not done, in the order of their ids.
func (graph *Graph) PendingDependencies(id string) []string {
	jobNode := graph.nodes[id]
	if jobNode == nil {
		return nil
	}
	return jobNode.dependencies.sorted()
}

// Remove removes a job that has ended. The removal has no effect on other jobs, since an ended job has no edges. If a later record names
// the job as a dependency, the job is unknown until its end is recorded again.
func (graph *Graph) Remove(id string) {
	if jobNode := graph.nodes[id]; jobNode != nil && jobNode.hasEnded() {
		delete(graph.nodes, id)
	}
}

// Forget makes a job unknown that has ended, as its record tells that is not at hand. The jobs that depend on it are
// blocked until its end is recorded. It has no effect on a job whose end is recorded.
func (graph *Graph) Forget(id string) {
	jobNode := graph.nodes[id]
	if jobNode == nil || jobNode.stage != stageUnfinished {
		return
	}
	graph.dropDependencies(jobNode)
	jobNode.stage = stageUnknown
	graph.unknownCount++
	graph.removeIfUnreferenced(jobNode)
}

// UnknownDependenciesOf returns, in sorted order, the direct and indirect dependencies of a job of which no record has
// been seen. Until they are known, the job may be cancelled with one of them. The cost is that of a map look-up if the
// graph has no unknown job, and otherwise grows with the job's unfinished dependencies.
func (graph *Graph) UnknownDependenciesOf(id string) []string {
	jobNode := graph.nodes[id]
	if jobNode == nil || graph.unknownCount == 0 {
		return nil
	}
	var unknown []string
	seen := map[string]bool{id: true}
	for work := []*node{jobNode}; len(work) > 0; {
		last := work[len(work)-1]
		work = work[:len(work)-1]
		for dependency := range last.dependencies {
			if seen[dependency] {
				continue
			}
			seen[dependency] = true
			if dependencyNode := graph.nodes[dependency]; dependencyNode.stage == stageUnknown {
				unknown = append(unknown, dependency)
			} else {
				work = append(work, dependencyNode)
			}
		}
	}
	slices.Sort(unknown)
	return unknown
}

// UnknownDependencies returns, in sorted order, the dependencies of which no record has been seen.
func (graph *Graph) UnknownDependencies() []string {
	var ids []string
	for id, jobNode := range graph.nodes {
		if jobNode.stage == stageUnknown {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
