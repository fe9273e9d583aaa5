package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/jobreport"
	"firwood.dev/firwood/internal/storeview"
)

// The store keeps the records of finished jobs. Each controller keeps in memory those that ended or were
// requested most recently, and fetches others on demand; see package jobhistory.

const (
	// Finished jobs may take the process's memory divided by finishedMemoryDivisor.
	// finishedJobBytes is about how much memory one of them takes.
	finishedMemoryDivisor, finishedJobBytes = 16, 512
	// minFinishedJobs is how many finished jobs are kept however little memory there is.
	minFinishedJobs = 1000
	// maxEvictionsPerTick bounds how many jobs are considered for eviction in one tick.
	maxEvictionsPerTick = 200
)

// finishedJobCapacity returns how many finished jobs are kept: the configured number if there is one, otherwise
// as many as the process's memory allows.
func finishedJobCapacity(configured int, memoryMB float64) int {
	if configured > 0 {
		return configured
	}
	return max(int(memoryMB*(1<<20)/finishedMemoryDivisor/finishedJobBytes), minFinishedJobs)
}

// evictedJobs summarizes finished jobs that are no longer in the view.
type evictedJobs struct {
	// mayExist is true if a job that is not in the view may have a record in the store. It is never
	// reset: counts that are 0 don't prove that no job is evicted, since they are for display and may lag.
	mayExist bool
	// evictions counts how often a job may have left the view, so that a request that has waited can tell
	// whether one did meanwhile.
	evictions int
	counts    storeview.FinishedCounts
	// worstProblems are the worst problems among evicted jobs, for the job report.
	worstProblems []jobreport.Problem
}

// evictFinishedJobs evicts finished jobs beyond the capacity from the view.
func (controller *Controller) evictFinishedJobs() {
	for _, id := range controller.history.finished.Evict(maxEvictionsPerTick, controller.canEvict) {
		record := controller.view.Jobs[id]
		controller.recordEviction()
		controller.history.evicted.counts.Add(record.State, 1)
		if problem, ok := controller.problemOf(id, record, int64(clock.WallTime())); ok {
			controller.history.evicted.worstProblems = jobreport.SelectWorst(append(controller.history.evicted.worstProblems, problem))
		}
		controller.view.EvictJob(id)
		controller.dependencyGraph.Remove(id)
	}
}

// canEvict reports whether only users' requests may still need a finished job.
func (controller *Controller) canEvict(id string) bool {
	record := controller.view.Jobs[id]
	hasOtherKeys := controller.view.Progress[id] != nil || controller.view.Dependencies[id] != nil
	if record == nil || !record.IsFinished() || hasOtherKeys || controller.users.pendingSubmissions[id] != nil {
		return false
	}
	isTracked := controller.term != nil && controller.term.IsTracking(id)
	return !isTracked
}

// recordEviction records that from now on a job that is not in the view may have a record in the store.
func (controller *Controller) recordEviction() {
	controller.history.evicted.mayExist = true
	controller.history.evicted.evictions++
}

// mayBeEvicted reports whether a job is not in the view but may have been evicted from it.
func (controller *Controller) mayBeEvicted(id string) bool {
	return controller.view.Jobs[id] == nil && controller.history.evicted.mayExist
}

// recountEvicted counts evicted jobs after all records were read. readCounts counts the finished jobs among
// the records, and droppedCount those of them that were not taken into the view.
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

// maxFoundJobs bounds a foundJobs. It is more than the dependencies that a submission has room for.
const maxFoundJobs = 8192

// foundJobs remembers jobs that a look-up has found. One that is not in the view any longer has finished: only finished
// jobs are evicted. A submission may name more finished jobs than the view keeps, or than can be looked up while its user
// waits; the user's next attempt goes on where the last one ended.
type foundJobs map[string]struct{}

// add remembers a job, and forgets all others if there are too many.
func (found foundJobs) add(id string) {
	if len(found) >= maxFoundJobs {
		clear(found)
	}
	found[id] = struct{}{}
}

func (found foundJobs) has(id string) bool {
	_, ok := found[id]
	return ok
}
