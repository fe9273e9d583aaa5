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
	// retries are lookups of a batch that found other jobs, which proves nothing of theirs.
	// They are sent before new ones.
	retries  []pendingLookup
	inFlight []pendingLookup
}

// NewLookups lets maxWaiting lookups wait, those in flight not counted, and sends lookups of up to
// batchSize jobs at a time.
func NewLookups(maxWaiting, batchSize int) *Lookups {
	return &Lookups{maxWaiting: maxWaiting, batchSize: batchSize}
}

// Enqueue adds a lookup, or returns false if too many are waiting. A lookup that still waits at its
// deadline is completed as Unavailable by the first NextBatch that finds no batch in flight; one in
// flight waits for its batch.
func (lookups *Lookups) Enqueue(jobID string, deadline clock.Micros, onResult func(LookupResult)) bool {
	if len(lookups.waiting)+len(lookups.retries) >= lookups.maxWaiting {
		return false
	}
	lookups.waiting = append(lookups.waiting, pendingLookup{jobID, deadline, onResult})
	return true
}

// NextBatch returns the jobs to look up now, none while a batch is in flight. If it returns some,
// CompleteBatch must follow.
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

// fillBatch moves lookups of the first jobs of a queue to the batch in flight, several lookups of
// one job together.
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
		// After the loop above, since the callback may call Enqueue. It must not call NextBatch
		// when the result is Unavailable: the call of NextBatch that is under way would add to that batch.
		lookup.onResult(Unavailable)
	}
}

// BatchResult is the outcome of the request for a batch.
type BatchResult struct {
	// Present lists jobs that have a record which was read.
	Present []string
	// AreOthersAbsent tells that all other jobs of the batch have no record.
	AreOthersAbsent bool
	// HasFailed tells that the request failed.
	HasFailed bool
}

// CompleteBatch completes the lookups of the batch in flight. Those that the result says nothing
// of are retried, or completed as Unavailable if the request failed.
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
