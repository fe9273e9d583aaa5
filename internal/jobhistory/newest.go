package jobhistory

import (
	"cmp"
	"slices"
)

// NewestRecords keeps the records with the latest end, up to its capacity. Records may be added in any
// order. It holds at most twice its capacity.
type NewestRecords[R any] struct {
	capacity int
	entries  []entry[R]
	dropped  int
}

type entry[R any] struct {
	endedAt int64 // wall-clock time in microseconds
	record  R
}

// NewNewestRecords returns an empty NewestRecords for the given number of records.
func NewNewestRecords[R any](capacity int) *NewestRecords[R] {
	return &NewestRecords[R]{capacity: capacity}
}

// Add adds the record of a job. endedAt is the wall-clock time of its end in microseconds.
func (newest *NewestRecords[R]) Add(endedAt int64, record R) {
	newest.entries = append(newest.entries, entry[R]{endedAt, record})
	if len(newest.entries) >= 2*newest.capacity+1 {
		newest.trim()
	}
}

// trim drops the records with the earliest end beyond the capacity.
func (newest *NewestRecords[R]) trim() {
	if len(newest.entries) <= newest.capacity {
		return
	}
	slices.SortStableFunc(newest.entries, func(a, b entry[R]) int { return cmp.Compare(b.endedAt, a.endedAt) })
	newest.dropped += len(newest.entries) - newest.capacity
	clear(newest.entries[newest.capacity:])
	newest.entries = newest.entries[:newest.capacity]
}

// Records returns the kept records and the number of dropped ones.
func (newest *NewestRecords[R]) Records() (records []R, dropped int) {
	newest.trim()
	for _, entry := range newest.entries {
		records = append(records, entry.record)
	}
	return records, newest.dropped
}
