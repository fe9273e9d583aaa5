// Package jobhistory bounds how many finished jobs a controller caches, and batches lookups of the other
// finished jobs in the key-value store. All records stay in the store permanently, since users may ask
// for them at any time; caching all of them would exhaust a process's memory within days. The package
// does no I/O and reads no clock.
//
// Invariant: an uncached job is reported as absent only after a request to the store that was sent
// after the lookup was enqueued.
package jobhistory

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Cache tracks which finished jobs are cached, in the order of their last use.
type Cache struct {
	capacity int // in jobs
	recency  *simplelru.LRU[string, struct{}]
}

// NewCache returns an empty cache for the given number of jobs.
func NewCache(capacity int) *Cache {
	// The LRU itself is unbounded: Evict enforces the capacity, and jobs that must not be evicted
	// yet may exceed it.
	recency, err := simplelru.NewLRU[string, struct{}](math.MaxInt, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size that is not positive
	}
	return &Cache{capacity: capacity, recency: recency}
}

// Touch marks a finished job as cached and most recently used.
func (cache *Cache) Touch(jobID string) { cache.recency.Add(jobID, struct{}{}) }

// Len returns the number of cached jobs.
func (cache *Cache) Len() int { return cache.recency.Len() }

// Evict removes the least recently used jobs beyond the capacity and returns them. It checks at
// most maxChecks jobs; a job that must not be evicted yet becomes the most recently used.
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
