package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/jobreport"
	"firwood.dev/firwood/internal/storeview"
)

// Finished jobs' records stay in the store. Each controller keeps those in memory that ended
// or were requested last, and fetches others on demand; see package jobhistory.

const (
	// finishedMemoryDivisor: finished jobs may take one part in so many of the process's memory.
	// finishedJobBytes is about what one of them takes.
	finishedMemoryDivisor, finishedJobBytes = 16, 512
	// minFinishedJobs is how many are kept however little memory there is.
	minFinishedJobs = 1000
	// maxEvictionsPerTick bounds how many are considered in one tick.
	maxEvictionsPerTick = 200
)

// finishedJobCapacity is how many finished jobs are kept: as many as are configured, else as
// many as the process's memory allows.
func finishedJobCapacity(configured int, memoryMB float64) int {
	if configured > 0 {
		return configured
	}
	return max(int(memoryMB*(1<<20)/finishedMemoryDivisor/finishedJobBytes), minFinishedJobs)
}

// evictedJobs summarizes finished jobs that are not in the view any more.
type evictedJobs struct {
	// mayExist: a job that is not in the view may have a record in the store. It is never reset:
	// counts that are 0 don't prove that no job is evicted, as they are for display and may lag.
	// evictions counts how often a job may have left the view, so that a request that waited can
	// tell whether one did meanwhile.
	mayExist  bool
	evictions int
	counts    storeview.FinishedCounts
	// problems are their worst ones, for the job report.
	worstProblems []jobreport.Problem
}

// evictFinishedJobs evicts finished jobs beyond the capacity from the view.
func (controller *Controller) evictFinishedJobs() {
	for _, id := range controller.history.finished.Evict(maxEvictionsPerTick, controller.canEvict) {
		record := controller.view.Jobs[id]
		controller.recordEviction()
		controller.history.evicted.counts.Add(record.State, 1)
		if problem, ok := controller.problemOf(id, record, int64(clock.WallTime())); ok {
			controller.history.evicted.worstProblems = jobreport.Worst(append(controller.history.evicted.worstProblems, problem))
		}
		controller.view.EvictJob(id)
		controller.dependencyGraph.Remove(id)
	}
}

// canEvict tells whether nothing but a user's request needs a finished job any more.
func (controller *Controller) canEvict(id string) bool {
	record := controller.view.Jobs[id]
	hasOtherKeys := controller.view.Progress[id] != nil || controller.view.Dependencies[id] != nil
	if record == nil || !record.IsFinished() || hasOtherKeys || controller.users.pendingSubmissions[id] != nil {
		return false
	}
	isTracked := controller.term != nil && controller.term.IsTracking(id)
	return !isTracked
}

// recordEviction notes that from now on a job that is not in the view may have a record in the
// store.
func (controller *Controller) recordEviction() {
	controller.history.evicted.mayExist = true
	controller.history.evicted.evictions++
}

// mayBeEvicted tells whether a job is not in the view, and may have been evicted.
func (controller *Controller) mayBeEvicted(id string) bool {
	return controller.view.Jobs[id] == nil && controller.history.evicted.mayExist
}

// recountEvicted counts evicted jobs after all records were read: read counts the finished jobs
// among the records, dropped those of them that were not taken into the view.
func (controller *Controller) recountEvicted(readCounts storeview.FinishedCounts, droppedCount int) {
	if droppedCount > 0 {
		controller.recordEviction()
	}
	for _, record := range controller.view.Jobs {
		if record.IsFinished() {
			readCounts.Add(record.State, -1)
		}
	}
	controller.history.evicted.counts = readCounts
}
