// Package jobhistory bounds what a controller remembers of jobs that are over, and asks the
// state service for those that it has forgotten. Their records stay there for good, since
// users may ask at any time; a memory of all of them would end a process within days. It is
// pure: jobs, instants and answers come in, questions go out.
//
// What must hold: a job that is not remembered is called unknown only on an answer of the
// state service to a request that was sent after the question.
package jobhistory

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Memory is which finished jobs are remembered: those that ended, or were asked for, last.
type Memory struct {
	most  int
	order *simplelru.LRU[string, struct{}]
}

// NewMemory makes a memory of so many jobs.
func NewMemory(most int) *Memory {
	// The order has no bound of its own: some jobs may not be forgotten yet.
	order, err := simplelru.NewLRU[string, struct{}](math.MaxInt, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &Memory{most: most, order: order}
}

// Use notes that a finished job is remembered, and that it is asked for.
func (m *Memory) Use(job string) { m.order.Add(job, struct{}{}) }

// Len is how many finished jobs are remembered.
func (m *Memory) Len() int { return m.order.Len() }

// Forget picks the jobs to forget beyond the bound, the ones longest not asked for first. It
// looks at so many jobs at most; one that may not be forgotten counts as asked for.
func (m *Memory) Forget(looks int, mayForget func(job string) bool) []string {
	var forgotten []string
	for ; looks > 0 && m.order.Len() > m.most; looks-- {
		job, _, _ := m.order.RemoveOldest()
		if mayForget(job) {
			forgotten = append(forgotten, job)
		} else {
			m.order.Add(job, struct{}{})
		}
	}
	return forgotten
}
