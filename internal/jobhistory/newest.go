package jobhistory

import (
	"cmp"
	"slices"
)

// Newest keeps, of records that come in any order, those of the jobs that ended last. It
// holds twice as many as it keeps at most.
type Newest[R any] struct {
	most    int
	records []ended[R]
	dropped int
}

type ended[R any] struct {
	at     int64
	record R
}

// NewNewest keeps so many records.
func NewNewest[R any](most int) *Newest[R] { return &Newest[R]{most: most} }

// Add takes the record of a job that ended at a time of day.
func (n *Newest[R]) Add(at int64, record R) {
	n.records = append(n.records, ended[R]{at, record})
	if len(n.records) >= 2*n.most+1 {
		n.cut()
	}
}

func (n *Newest[R]) cut() {
	if len(n.records) <= n.most {
		return
	}
	slices.SortStableFunc(n.records, func(a, b ended[R]) int { return cmp.Compare(b.at, a.at) })
	n.dropped += len(n.records) - n.most
	clear(n.records[n.most:])
	n.records = n.records[:n.most]
}

// Kept are the records that are kept, and how many were not.
func (n *Newest[R]) Kept() (records []R, dropped int) {
	n.cut()
	for _, r := range n.records {
		records = append(records, r.record)
	}
	return records, n.dropped
}
