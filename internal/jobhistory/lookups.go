package jobhistory

import (
	"fmt"
	"slices"

	"firwood.dev/firwood/internal/clock"
)

// LookupResult is the result of the lookup of a job in the key-value store.
type LookupResult uint8

const (
	// Unavailable means that the store gave no result; the user should retry.
	Unavailable LookupResult = iota
	// Absent means that the store has no record of the job.
	Absent
	// Present means that the store has a record, and that it was read.
	Present
)

// String returns the result in lower case, for messages.
func (result LookupResult) String() string {
	switch result {
	case Unavailable:
		return "unavailable"
	case Absent:
		return "absent"
	case Present:
		return "present"
	}
	return fmt.Sprintf("lookup result %d", uint8(result))
}

// pendingLookup is a lookup without a result yet.
type pendingLookup struct {
	jobID    string
	deadline clock.Micros
	onResult func(LookupResult)
}

// Lookups batches lookups of uncached jobs. At most one batch is in flight, and a lookup is
// completed only by a request that was sent after it was enqueued.
type Lookups struct {
	maxWaiting, batchSize int
	waiting               []pendingLookup
	// retries are the lookups of an earlier batch whose response had records of other jobs only, which
	// proves nothing about theirs. They are sent before new ones.
	retries  []pendingLookup
	inFlight []pendingLookup
}

// NewLookups returns an empty Lookups. Up to maxWaiting lookups may wait, not counting those in flight,
// and a batch has up to batchSize jobs.
func NewLookups(maxWaiting, batchSize int) *Lookups {
	return &Lookups{maxWaiting: maxWaiting, batchSize: batchSize}
}

// Enqueue adds a lookup, or returns false if too many lookups are waiting. A lookup that still waits at
// its deadline is completed as Unavailable by the first NextBatch that finds no batch in flight. A lookup
// in flight is completed or retried with its batch, whatever its deadline.
func (lookups *Lookups) Enqueue(jobID string, deadline clock.Micros, onResult func(LookupResult)) bool {
	if len(lookups.waiting)+len(lookups.retries) >= lookups.maxWaiting {
		return false
	}
	lookups.waiting = append(lookups.waiting, pendingLookup{jobID, deadline, onResult})
	return true
}

// NextBatch returns the jobs to look up now, or none while a batch is in flight. If it returns any jobs,
// the caller must call CompleteBatch.
func (lookups *Lookups) NextBatch(now clock.Micros) []string {
	if len(lookups.inFlight) > 0 {
		return nil
	}
	lookups.expireOverdue(now)
	source := &lookups.waiting
	if len(lookups.retries) > 0 {
		source = &lookups.retries
	}
	return lookups.fillBatch(source)
}

// fillBatch moves the lookups of the first jobs of a queue to the batch in flight. All lookups of one job
// go into the same batch.
func (lookups *Lookups) fillBatch(source *[]pendingLookup) []string {
	var jobIDs []string
	rest := (*source)[:0]
	for _, lookup := range *source {
		isListed := slices.Contains(jobIDs, lookup.jobID)
		if !isListed && len(jobIDs) == lookups.batchSize {
			rest = append(rest, lookup)
			continue
		}
		if !isListed {
			jobIDs = append(jobIDs, lookup.jobID)
		}
		lookups.inFlight = append(lookups.inFlight, lookup)
	}
	clear((*source)[len(rest):])
	*source = rest
	return jobIDs
}

// expireOverdue completes the waiting lookups whose deadline has passed.
func (lookups *Lookups) expireOverdue(now clock.Micros) {
	var overdue []pendingLookup
	for _, queue := range []*[]pendingLookup{&lookups.waiting, &lookups.retries} {
		*queue = slices.DeleteFunc(*queue, func(lookup pendingLookup) bool {
			isOverdue := now >= lookup.deadline
			if isOverdue {
				overdue = append(overdue, lookup)
			}
			return isOverdue
		})
	}
	for _, lookup := range overdue {
		// The callbacks run after the loop above, since they may call Enqueue. On Unavailable they must
		// not call NextBatch: the NextBatch call in progress would add to that batch.
		lookup.onResult(Unavailable)
	}
}

// BatchResult is the outcome of the request for a batch.
type BatchResult struct {
	// Present lists the jobs whose record was read.
	Present []string
	// AreOthersAbsent means that all other jobs of the batch have no record.
	AreOthersAbsent bool
	// HasFailed means that the request failed.
	HasFailed bool
}

// CompleteBatch completes the lookups of the batch in flight. Lookups about which the result says nothing
// are completed as Unavailable if the request failed, and otherwise retried.
func (lookups *Lookups) CompleteBatch(result BatchResult) {
	batch := lookups.inFlight
	lookups.inFlight = nil // before the callbacks, which may call Enqueue and NextBatch
	for _, lookup := range batch {
		switch {
		case slices.Contains(result.Present, lookup.jobID):
			lookup.onResult(Present)
		case result.AreOthersAbsent:
			lookup.onResult(Absent)
		case result.HasFailed:
			lookup.onResult(Unavailable)
		default:
			lookups.retries = append(lookups.retries, lookup)
		}
	}
}
