package controller

import (
	"slices"
	"strings"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/jobhistory"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// Finished jobs' records stay in the state service for good. A controller remembers those
// that ended or were asked for last, and looks the others up; see package jobhistory.

const (
	// finishedMemoryDivisor is which part of the memory finished jobs may take, finishedJobBytes what
	// one takes.
	finishedMemoryDivisor, finishedJobBytes = 16, 512
	// minFinishedJobs is how many are remembered however little memory there is.
	minFinishedJobs = 1000
	// maxEvictionsPerTick is how many are looked at in one tick.
	maxEvictionsPerTick = 200
)

// finishedCapacity is how many finished jobs are remembered.
func finishedJobCapacity(wanted int, ramMB float64) int {
	if wanted > 0 {
		return wanted
	}
	return max(int(ramMB*(1<<20)/finishedMemoryDivisor/finishedJobBytes), minFinishedJobs)
}

// evictedJobs is what is left of finished jobs that are not remembered.
type evictedJobs struct {
	// hasEvicted: some job was forgotten in this life. It is never taken back, since the counts
	// are for display and may lag. times counts how often.
	hasEvicted bool
	evictions  int
	counts     FinishedCounts
	// problems are the worst of them, for the morning report.
	problems []JobProblem
}

type FinishedCounts struct{ Done, Cancelled int }

// Add counts so many more; what was in the archive at the start is not counted at all.
func (counts *FinishedCounts) Add(state string, count int) {
	if state == wire.JobDone {
		counts.Done = max(counts.Done+count, 0)
	} else {
		counts.Cancelled = max(counts.Cancelled+count, 0)
	}
}

// evictFinishedJobs forgets finished jobs beyond the bound.
func (controller *Controller) evictFinishedJobs() {
	for _, id := range controller.finishedJobs.Evict(maxEvictionsPerTick, controller.canEvict) {
		record := controller.view.Jobs[id]
		controller.recordEviction()
		controller.evicted.counts.Add(record.State, 1)
		if problem, ok := controller.problemOf(id, record, int64(clock.WallTime())); ok {
			controller.evicted.problems = worstProblems(append(controller.evicted.problems, problem))
		}
		delete(controller.view.Jobs, id)
		controller.dependencyGraph.Remove(id)
	}
}

// canEvict tells whether nothing but a user's question needs a finished job any more.
func (controller *Controller) canEvict(id string) bool {
	record := controller.view.Jobs[id]
	if record == nil || !record.IsFinished() || controller.view.Progress[id] != nil || controller.view.Dependencies[id] != nil || controller.pendingSubmissions[id] != nil {
		return false
	}
	return controller.term == nil || controller.term.tracker.Jobs[id] == nil && controller.term.jobs[id] == nil
}

// recordEviction notes that from now on a job that is not in the view may be known to the
// state service.
func (controller *Controller) recordEviction() {
	controller.evicted.hasEvicted = true
	controller.evicted.evictions++
}

// mayBeEvicted tells whether a job is not in the view, and may have been forgotten.
func (controller *Controller) mayBeEvicted(id string) bool {
	return controller.view.Jobs[id] == nil && controller.evicted.hasEvicted
}

// recountEvicted counts what is forgotten after all records were read, of which so many
// were finished.
func (controller *Controller) recountEvicted(read FinishedCounts, dropped int) {
	if dropped > 0 {
		controller.recordEviction()
	}
	for _, record := range controller.view.Jobs {
		if record.IsFinished() {
			read.Add(record.State, -1)
		}
	}
	controller.evicted.counts = read
}

// LoadFilter takes what is read from the state service page by page. Of finished jobs it
// keeps the newest ones, and counts the others.
type LoadFilter struct {
	others   []wire.KeyValue
	finished *jobhistory.Newest[wire.KeyValue]
	// FinishedCounts counts all finished jobs.
	FinishedCounts FinishedCounts
}

func NewLoadFilter(capacity int) *LoadFilter {
	return &LoadFilter{finished: jobhistory.NewNewest[wire.KeyValue](capacity)}
}

func (filter *LoadFilter) Add(items []wire.KeyValue) {
	for _, item := range items {
		var record Job
		isJob := strings.HasPrefix(item.Key, records.JobPrefix)
		if !isJob || record.UnmarshalJSON(item.Value) != nil || !record.IsFinished() {
			filter.others = append(filter.others, item)
			continue
		}
		// The page's memory is not kept for a record of it.
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
