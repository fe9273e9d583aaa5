package storeview

import (
	"slices"
	"strings"

	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/jobhistory"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// FinishedCounts counts finished jobs.
type FinishedCounts struct{ Done, Cancelled int }

// Add adds so many jobs of a state, or subtracts them; a count does not go below 0.
func (counts *FinishedCounts) Add(state string, count int) {
	if state == wire.JobDone {
		counts.Done = max(counts.Done+count, 0)
	} else {
		counts.Cancelled = max(counts.Cancelled+count, 0)
	}
}

// LoadFilter takes what is read from the store page by page. Of finished jobs it keeps the newest
// ones and counts the others, so that memory is bounded however many there are.
type LoadFilter struct {
	others   []wire.KeyValue
	finished *jobhistory.Newest[wire.KeyValue]
	// FinishedCounts counts all finished jobs.
	FinishedCounts FinishedCounts
}

// NewLoadFilter makes a filter that keeps so many finished jobs.
func NewLoadFilter(capacity int) *LoadFilter {
	return &LoadFilter{finished: jobhistory.NewNewest[wire.KeyValue](capacity)}
}

// Add takes a page. It may keep the page's memory for records other than those of finished jobs.
func (filter *LoadFilter) Add(items []wire.KeyValue) {
	for _, item := range items {
		var record records.Job
		isJob := strings.HasPrefix(item.Key, records.JobPrefix)
		if !isJob || record.UnmarshalJSON(item.Value) != nil || !record.IsFinished() {
			filter.others = append(filter.others, item)
			continue
		}
		// Copied, so that one kept record does not keep the memory of its whole page.
		item.Key, item.Value = strings.Clone(item.Key), slices.Clone(item.Value)
		filter.FinishedCounts.Add(record.State, 1)
		filter.finished.Add(record.EndedAt, item)
	}
}

// keptItems are what was kept, and how many finished jobs were not.
func (filter *LoadFilter) keptItems() (items []wire.KeyValue, dropped int) {
	newest, dropped := filter.finished.Records()
	return append(filter.others, newest...), dropped
}

// Load replaces the view by everything that was read of the store as of a revision, and returns how
// many finished jobs the filter has dropped. ok is false, and nothing is changed, if the view is
// newer.
func (view *View) Load(filter *LoadFilter, revision uint64) (dropped int, ok bool) {
	if view.IsLoaded && revision < view.Revision {
		return 0, false
	}
	// Keys may have been deleted while nobody watched. Those of jobs never are, except to be moved
	// to the archive, nor are the records of constraints and of in-sync members.
	view.Dependencies = map[string]map[int][]string{}
	view.Progress = map[string]map[int]ProgressPart{}
	view.ScaleOuts = map[string]*ScaleOut{}
	view.Lock = election.Lock{}
	view.Terms.Reset()
	view.HasArchive = false
	items, dropped := filter.keptItems()
	for i := range items {
		view.ApplyPut(items[i].Key, items[i].Value, items[i].Version)
	}
	view.Revision = max(view.Revision, revision)
	view.IsLoaded = true
	return dropped, true
}
