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

// Cache is which finished jobs are remembered: those that ended, or were asked for, last.
type Cache struct {
	capacity int
	recency  *simplelru.LRU[string, struct{}]
}

// NewCache makes a memory of so many jobs.
func NewCache(capacity int) *Cache {
	// The order has no bound of its own: some jobs may not be forgotten yet.
	recency, err := simplelru.NewLRU[string, struct{}](math.MaxInt, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &Cache{capacity: capacity, recency: recency}
}

// Touch notes that a finished job is remembered, and that it is asked for.
func (cache *Cache) Touch(jobID string) { cache.recency.Add(jobID, struct{}{}) }

// Len is how many finished jobs are remembered.
func (cache *Cache) Len() int { return cache.recency.Len() }

// Evict picks the jobs to forget beyond the bound, the ones longest not asked for first. It
// looks at so many jobs at most; one that may not be forgotten counts as asked for.
func (cache *Cache) Evict(maxChecks int, canEvict func(jobID string) bool) []string {
	var evicted []string
	for ; maxChecks > 0 && cache.recency.Len() > cache.capacity; maxChecks-- {
		jobID, _, _ := cache.recency.RemoveOldest()
		if canEvict(jobID) {
			evicted = append(evicted, jobID)
		} else {
			cache.recency.Add(jobID, struct{}{})
		}
	}
	return evicted
}
