package jobhistory

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"firwood.dev/firwood/internal/clock"
)

// Beyond the capacity the least recently used jobs are evicted, except those that must not be.
func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	cache := NewCache(3)
	for i := range 6 {
		cache.Touch(fmt.Sprint(i))
	}
	cache.Touch("0") // makes it the most recently used
	evicted := cache.Evict(100, func(jobID string) bool { return jobID != "2" })
	if !slices.Equal(evicted, []string{"1", "3", "4"}) || cache.Len() != 3 {
		t.Errorf("Evict() = %v, %d jobs are left; want [1 3 4], 3 left", evicted, cache.Len())
	}
	if again := cache.Evict(100, func(string) bool { return true }); again != nil {
		t.Errorf("Evict() within the capacity = %v, want none", again)
	}
	cache.Touch("5")
	cache.Touch("6")
	if none := cache.Evict(100, func(string) bool { return false }); none != nil || cache.Len() != 4 {
		t.Errorf("Evict() of jobs that must stay = %v, %d jobs are left; want none, 4 left", none, cache.Len())
	}
}

// NewestRecords keeps the records with the latest end, whatever their number and order, and never holds
// more than twice its capacity.
func TestNewestKeepsLatestRecords(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		count, capacity := rng.IntN(60), 1+rng.IntN(10)
		newest := NewNewestRecords[int](capacity)
		for _, i := range rng.Perm(count) {
			newest.Add(int64(i), i)
			if len(newest.entries) > 2*capacity {
				t.Fatalf("NewestRecords holds %d records with a capacity of %d, want at most twice that", len(newest.entries), capacity)
			}
		}
		kept, dropped := newest.Records()
		slices.Sort(kept)
		if len(kept) != min(count, capacity) || len(kept) > 0 && kept[0] != count-len(kept) || dropped != count-len(kept) {
			t.Fatalf("%d records, capacity %d: Records() = %v, %d dropped; want the newest ones", count, capacity, kept, dropped)
		}
	}
}

// In generated histories of lookups, new jobs, failed requests and requests that read only some of
// the records, no job is reported as absent that existed when its lookup was enqueued, and each
// lookup is completed exactly once.
func TestNoExistingJobIsReportedAbsent(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 3))
		lookups := NewLookups(20, 4)
		exists := map[string]bool{}
		now, enqueuedCount, completedCount := clock.Micros(0), 0, 0
		enqueue := func() {
			jobID := fmt.Sprint(rng.IntN(12))
			existed := exists[jobID]
			isEnqueued := lookups.Enqueue(jobID, now+clock.Second, func(result LookupResult) {
				completedCount++
				if result == Absent && existed || result == Present && !exists[jobID] {
					t.Fatalf("seed %d: lookup of job %s = %v; existed when enqueued: %t, exists now: %t", seed, jobID, result, existed, exists[jobID])
				}
			})
			if isEnqueued {
				enqueuedCount++
			}
		}
		for range 300 {
			now += clock.Micros(rng.IntN(100)) * clock.Millisecond
			switch rng.IntN(4) {
			case 0:
				enqueue()
			case 1:
				exists[fmt.Sprint(rng.IntN(12))] = true
			default:
				serveBatch(lookups, rng, exists, now, enqueue)
			}
		}
		for range 100 {
			now += 50 * clock.Millisecond
			serveBatch(lookups, rng, exists, now, func() {})
		}
		if enqueuedCount != completedCount || enqueuedCount == 0 {
			t.Fatalf("seed %d: %d lookups enqueued and %d completed, want the same number above 0", seed, enqueuedCount, completedCount)
		}
	}
}

// serveBatch processes one request. Jobs may be created, and lookups enqueued, while it is in flight.
func serveBatch(lookups *Lookups, rng *rand.Rand, exists map[string]bool, now clock.Micros, enqueue func()) {
	jobIDs := lookups.NextBatch(now)
	if len(jobIDs) == 0 {
		return
	}
	if len(jobIDs) > 4 {
		panic("NextBatch returned more than 4 jobs")
	}
	var present []string
	for _, jobID := range jobIDs {
		if exists[jobID] {
			present = append(present, jobID)
		}
	}
	for range rng.IntN(3) {
		exists[fmt.Sprint(rng.IntN(12))] = true // created after the store processed the request
	}
	enqueue() // while the response is in flight, so this lookup needs the next batch
	hasFailed := rng.IntN(5) == 0
	if hasFailed {
		present = nil
	}
	areOthersAbsent := len(present) == 0 && !hasFailed
	lookups.CompleteBatch(BatchResult{Present: present[:min(len(present), 2)], AreOthersAbsent: areOthersAbsent, HasFailed: hasFailed})
}
