package jobhistory

import (
	"cmp"
	"slices"
)

// Newest keeps, of records that come in any order, those of the jobs that ended last. It
// holds twice as many as it keeps at most.
type Newest[R any] struct {
	capacity int
	entries  []entry[R]
	dropped  int
}

type entry[R any] struct {
	endedAt int64
	record  R
}

// NewNewest keeps so many records.
func NewNewest[R any](capacity int) *Newest[R] { return &Newest[R]{capacity: capacity} }

// Add takes the record of a job that ended at a time of day.
func (newest *Newest[R]) Add(endedAt int64, record R) {
	newest.entries = append(newest.entries, entry[R]{endedAt, record})
	if len(newest.entries) >= 2*newest.capacity+1 {
		newest.trim()
	}
}

func (newest *Newest[R]) trim() {
	if len(newest.entries) <= newest.capacity {
		return
	}
	slices.SortStableFunc(newest.entries, func(a, b entry[R]) int { return cmp.Compare(b.endedAt, a.endedAt) })
	newest.dropped += len(newest.entries) - newest.capacity
	clear(newest.entries[newest.capacity:])
	newest.entries = newest.entries[:newest.capacity]
}

// Records are the records that are kept, and how many were not.
func (newest *Newest[R]) Records() (records []R, dropped int) {
	newest.trim()
	for _, entry := range newest.entries {
		records = append(records, entry.record)
	}
	return records, newest.dropped
}
