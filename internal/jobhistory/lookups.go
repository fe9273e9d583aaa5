package jobhistory

import (
	"slices"

	"firwood.dev/firwood/internal/clock"
)

// LookupResult is what the state service has said of a job.
type LookupResult uint8

const (
	// Unavailable: nothing; the user is to ask again later.
	Unavailable LookupResult = iota
	// Absent: there is no record of it.
	Absent
	// Present: there is one, and it was read.
	Present
)

// pendingLookup is one that waits for what the state service says of a job.
type pendingLookup struct {
	jobID    string
	deadline clock.Micros
	onResult func(LookupResult)
}

// Lookups are questions for jobs that are not remembered, asked many at a time. Each is
// answered from a request that was sent after it came.
type Lookups struct {
	maxWaiting, batchSize int
	waiting               []pendingLookup
	// retries are questions of a batch in which other jobs were present, which proves
	// nothing of theirs; they are asked by themselves.
	retries  []pendingLookup
	inFlight []pendingLookup
}

// NewLookups lets so many questions wait, and asks for so many jobs at a time.
func NewLookups(maxWaiting, batchSize int) *Lookups {
	return &Lookups{maxWaiting: maxWaiting, batchSize: batchSize}
}

// Enqueue takes a question, unless too many wait. It is answered by an instant or later, at
// once when that has passed.
func (lookups *Lookups) Enqueue(jobID string, deadline clock.Micros, onResult func(LookupResult)) bool {
	if len(lookups.waiting)+len(lookups.retries) >= lookups.maxWaiting {
		return false
	}
	lookups.waiting = append(lookups.waiting, pendingLookup{jobID, deadline, onResult})
	return true
}

// NextBatch are the jobs to ask for now; none while others are being asked for. Answered has to
// follow.
func (lookups *Lookups) NextBatch(now clock.Micros) []string {
	if len(lookups.inFlight) > 0 {
		return nil
	}
	lookups.expireOverdue(now)
	source := &lookups.waiting
	if len(lookups.retries) > 0 {
		source = &lookups.retries
	}
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

// expireOverdue answers questions whose time is over.
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
		lookup.onResult(Unavailable) // which may ask anew
	}
}

// CompleteBatch takes what was said of the jobs that were asked for: those that are present and
// were read, and whether all others are known to be absent. What stays open is asked again,
// or gets no answer if the request failed.
func (lookups *Lookups) CompleteBatch(present []string, areOthersAbsent, hasFailed bool) {
	batch := lookups.inFlight
	lookups.inFlight = nil
	for _, lookup := range batch {
		switch {
		case slices.Contains(present, lookup.jobID):
			lookup.onResult(Present)
		case areOthersAbsent:
			lookup.onResult(Absent)
		case hasFailed:
			lookup.onResult(Unavailable)
		default:
			lookups.retries = append(lookups.retries, lookup)
		}
	}
}
