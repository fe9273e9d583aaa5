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

// Add adds count jobs that ended in state, or subtracts them if count is negative. A sum does not go
// below 0.
func (counts *FinishedCounts) Add(state string, count int) {
	if state == wire.JobDone {
		counts.Done = max(counts.Done+count, 0)
	} else {
		counts.Cancelled = max(counts.Cancelled+count, 0)
	}
}

// LoadFilter collects, page by page, what is read from the store. It counts all finished jobs but keeps
// only those that ended last, so that memory is bounded for any number of jobs.
type LoadFilter struct {
	others   []wire.KeyValue
	finished *jobhistory.NewestRecords[wire.KeyValue]
	// FinishedCounts counts all finished jobs, including those that are kept.
	FinishedCounts FinishedCounts
}

// NewLoadFilter returns a filter that keeps up to capacity finished jobs.
func NewLoadFilter(capacity int) *LoadFilter {
	return &LoadFilter{finished: jobhistory.NewNewestRecords[wire.KeyValue](capacity)}
}

// Add adds a page. The filter may refer to the page's memory for records other than those of finished
// jobs.
func (filter *LoadFilter) Add(items []wire.KeyValue) {
	for _, item := range items {
		var record records.Job
		isJob := strings.HasPrefix(item.Key, records.JobPrefix)
		if !isJob || record.UnmarshalJSON(item.Value) != nil || !record.IsFinished() {
			filter.others = append(filter.others, item)
			continue
		}
		// The item is copied, so that one kept record does not keep the memory of its whole page.
		item.Key, item.Value = strings.Clone(item.Key), slices.Clone(item.Value)
		filter.FinishedCounts.Add(record.State, 1)
		filter.finished.Add(record.EndedAt, item)
	}
}

// keptItems returns the items that were kept and the number of finished jobs that were dropped.
func (filter *LoadFilter) keptItems() (items []wire.KeyValue, dropped int) {
	newest, dropped := filter.finished.Records()
	return append(filter.others, newest...), dropped
}

// LoadResult says which jobs of the store the view lacks after a Load.
type LoadResult struct {
	// Dropped is how many finished jobs the filter dropped.
	Dropped int
	// Removed are the jobs that the view held as unfinished and whose record the filter dropped, or that are in the
	// archive: they have finished meanwhile. They are no longer in the view.
	Removed []string
}

// Load replaces the view's contents with what filter kept of the store as of revision. Finished jobs that the view
// already holds stay. If the view is newer than revision, Load changes nothing and ok is false.
func (view *View) Load(filter *LoadFilter, revision uint64) (result LoadResult, ok bool) {
	if view.IsLoaded && revision < view.Revision {
		return LoadResult{}, false
	}
	// Keys may have been deleted while no watch was open, so their contents are cleared first. The
	// keys of jobs are never deleted, except to be moved to the archive, and neither are the records of
	// constraints and of in-sync members; these contents stay.
	view.Dependencies = map[string]map[int][]string{}
	view.Progress = map[string]map[int]ProgressPart{}
	view.ScaleOuts = map[string]*ScaleOut{}
	view.Lock = election.Lock{}
	view.Terms.Reset()
	view.HasArchive = false
	items, dropped := filter.keptItems()
	result = LoadResult{Dropped: dropped, Removed: view.removeUnlisted(items, revision)}
	for i := range items {
		view.ApplyPut(items[i].Key, items[i].Value, items[i].Version)
	}
	view.Revision = max(view.Revision, revision)
	view.IsLoaded = true
	return result, true
}

// removeUnlisted removes the unfinished jobs that have no record among the items and were known by the time of the
// revision, and returns them in order. When they stayed, a controller that had missed their ends showed them as active
// for good (docs/incidents/ends-missed-by-reload.md).
func (view *View) removeUnlisted(items []wire.KeyValue, revision uint64) []string {
	isListed := map[string]bool{}
	for i := range items {
		if id, isJob := strings.CutPrefix(items[i].Key, records.JobPrefix); isJob {
			isListed[id] = true
		}
	}
	var removed []string
	for id, job := range view.Jobs {
		if !job.IsFinished() && job.Version <= revision && !isListed[id] {
			removed = append(removed, id)
			delete(view.Jobs, id)
		}
	}
	slices.Sort(removed)
	return removed
}
