package dag

import (
	"cmp"
	"container/heap"
)

// propagateUrgency passes a job's urgency back to the jobs that it needs, as far as it adds
// anything there.
//
// Jobs are looked at from the one submitted last to the one submitted first. Since a job
// is submitted after those that it needs, each is then looked at once, with all that is
// demanded of it; in another order, ways of different lengths that meet again and again
// have the jobs before them looked at once for every way. Where clocks of controllers
// differ so much that the order is another one, the result is the same, and takes longer.
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
		demanded := jobNode.urgency.forDependencies(jobNode.estimatedRunTime)
		for _, dependency := range jobNode.dependencies {
			dependencyNode := graph.nodes[dependency]
			if dependencyNode == nil {
				continue // done, and forgotten
			}
			merged := dependencyNode.urgency.Merge(demanded)
			if dependencyNode.stage == stageDone || dependencyNode.stage == stageCancelled || merged == dependencyNode.urgency {
				continue
			}
			dependencyNode.urgency = merged
			effects.MoreUrgent = append(effects.MoreUrgent, dependency)
			push(dependencyNode)
		}
	}
}

// submissionHeap is a heap of jobs, the one that was submitted last on top.
type submissionHeap []*node

func (h submissionHeap) Len() int { return len(h) }

func (h submissionHeap) Less(i, j int) bool {
	return cmp.Or(-cmp.Compare(h[i].submittedAt, h[j].submittedAt), -cmp.Compare(h[i].id, h[j].id)) < 0
}

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
