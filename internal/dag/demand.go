package dag

import (
	"cmp"
	"container/heap"
)

// demand passes a job's urgency back to the jobs that it needs, as far as it adds
// anything there.
//
// Jobs are looked at from the one submitted last to the one submitted first. Since a job
// is submitted after those that it needs, each is then looked at once, with all that is
// demanded of it; in another order, ways of different lengths that meet again and again
// have the jobs before them looked at once for every way. Where clocks of controllers
// differ so much that the order is another one, the result is the same, and takes longer.
func (g *Graph) demand(n *node, change *Change) {
	work := laterFirst{}
	push := func(n *node) {
		if !n.isQueued {
			n.isQueued = true
			heap.Push(&work, n)
		}
	}
	push(n)
	for len(work) > 0 {
		n, _ := heap.Pop(&work).(*node)
		n.isQueued = false
		demanded := n.urgency.before(n.run)
		for _, need := range n.needs {
			needed := g.nodes[need]
			if needed == nil {
				continue // done, and forgotten
			}
			joined := needed.urgency.Join(demanded)
			if needed.stage == done || needed.stage == cancelled || joined == needed.urgency {
				continue
			}
			needed.urgency = joined
			change.MoreUrgent = append(change.MoreUrgent, need)
			push(needed)
		}
	}
}

// laterFirst is a heap of jobs, the one that was submitted last on top.
type laterFirst []*node

func (l laterFirst) Len() int { return len(l) }

func (l laterFirst) Less(a, b int) bool {
	return cmp.Or(-cmp.Compare(l[a].submitted, l[b].submitted), -cmp.Compare(l[a].id, l[b].id)) < 0
}

func (l laterFirst) Swap(a, b int) { l[a], l[b] = l[b], l[a] }

// Push implements heap.Interface.
func (l *laterFirst) Push(x any) {
	n, _ := x.(*node)
	*l = append(*l, n)
}

// Pop implements heap.Interface.
func (l *laterFirst) Pop() any {
	last := len(*l) - 1
	n := (*l)[last]
	*l = (*l)[:last]
	return n
}
