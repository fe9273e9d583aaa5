package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/jobreport"
	"firwood.dev/firwood/internal/storeview"
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
	counts     storeview.FinishedCounts
	// problems are the worst of them, for the morning report.
	problems []jobreport.Problem
}

// evictFinishedJobs forgets finished jobs beyond the bound.
func (controller *Controller) evictFinishedJobs() {
	for _, id := range controller.history.finished.Evict(maxEvictionsPerTick, controller.canEvict) {
		record := controller.view.Jobs[id]
		controller.recordEviction()
		controller.history.evicted.counts.Add(record.State, 1)
		if problem, ok := controller.problemOf(id, record, int64(clock.WallTime())); ok {
			controller.history.evicted.problems = jobreport.Worst(append(controller.history.evicted.problems, problem))
		}
		controller.view.EvictJob(id)
		controller.dependencyGraph.Remove(id)
	}
}

// canEvict tells whether nothing but a user's question needs a finished job any more.
func (controller *Controller) canEvict(id string) bool {
	record := controller.view.Jobs[id]
	if record == nil || !record.IsFinished() || controller.view.Progress[id] != nil || controller.view.Dependencies[id] != nil || controller.users.pendingSubmissions[id] != nil {
		return false
	}
	return controller.term == nil || controller.term.tracker.Jobs[id] == nil && controller.term.jobs[id] == nil
}

// recordEviction notes that from now on a job that is not in the view may be known to the
// state service.
func (controller *Controller) recordEviction() {
	controller.history.evicted.hasEvicted = true
	controller.history.evicted.evictions++
}

// mayBeEvicted tells whether a job is not in the view, and may have been forgotten.
func (controller *Controller) mayBeEvicted(id string) bool {
	return controller.view.Jobs[id] == nil && controller.history.evicted.hasEvicted
}

// recountEvicted counts what is forgotten after all records were read, of which so many
// were finished.
func (controller *Controller) recountEvicted(read storeview.FinishedCounts, dropped int) {
	if dropped > 0 {
		controller.recordEviction()
	}
	for _, record := range controller.view.Jobs {
		if record.IsFinished() {
			read.Add(record.State, -1)
		}
	}
	controller.history.evicted.counts = read
}
