package dag

import (
	"cmp"
	"container/heap"
)

// propagateUrgency raises the urgency of all transitive dependencies of a job.
//
// Jobs are processed in the order of their submission, the latest first. Since a dependency is submitted
// before its dependents, each job is normally processed once, with the urgency of all its dependents. In
// another order, a job could be processed once per path where paths of different lengths meet repeatedly.
// If the controllers' clocks disagree on the order of submissions, the result is the same but some jobs are
// processed more than once.
func (graph *Graph) propagateUrgency(jobNode *node, effects *Effects) {
	work := submissionHeap{}
	push := func(jobNode *node) {
		if !jobNode.isQueued {
			jobNode.isQueued = true
			heap.Push(&work, jobNode)
		}
	}
	push(jobNode)
	for len(work) > 0 {
		jobNode, _ := heap.Pop(&work).(*node)
		jobNode.isQueued = false
		inherited := jobNode.urgency.forDependencies(jobNode.estimatedRunTime)
		for _, dependency := range jobNode.dependencies.sorted() {
			dependencyNode := graph.nodes[dependency]
			merged := dependencyNode.urgency.Merge(inherited)
			if merged == dependencyNode.urgency {
				continue
			}
			dependencyNode.urgency = merged
			effects.MoreUrgent = append(effects.MoreUrgent, dependency)
			push(dependencyNode)
		}
	}
}

// submissionHeap is a heap.Interface of jobs with the most recently submitted job on top.
type submissionHeap []*node

// Len implements sort.Interface.
func (h submissionHeap) Len() int { return len(h) }

// Less implements sort.Interface: the latest submission comes first, and among equals the greatest id.
func (h submissionHeap) Less(i, j int) bool {
	return cmp.Or(-cmp.Compare(h[i].submittedAt, h[j].submittedAt), -cmp.Compare(h[i].id, h[j].id)) < 0
}

// Swap implements sort.Interface.
func (h submissionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *submissionHeap) Push(item any) {
	jobNode, _ := item.(*node)
	*h = append(*h, jobNode)
}

// Pop implements heap.Interface.
func (h *submissionHeap) Pop() any {
	last := len(*h) - 1
	jobNode := (*h)[last]
	*h = (*h)[:last]
	return jobNode
}
