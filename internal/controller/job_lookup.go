package controller

import (
	"errors"
	"slices"
	"strings"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/jobhistory"
	"firwood.dev/firwood/internal/jobreport"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// Jobs that may have been evicted are looked up in the store in batches. One request asks which of the keys of
// many jobs exist, and then a few of the existing records are read. Jobs whose records were not read yet are
// in a later batch.

const (
	// maxPendingLookups bounds the lookups that wait.
	maxPendingLookups = 1024
	// maxJobsPerLookup bounds the jobs whose keys one request asks for.
	maxJobsPerLookup = 96
	// maxReadsPerLookup bounds the records that are read after that request.
	maxReadsPerLookup = 8
	// keysPerJob counts the keys that a job's record may be under: its job key and its archive key.
	keysPerJob = 2
	// lookUpRetryInterval is how long after an unsuccessful lookup a dependency is looked up again.
	lookUpRetryInterval = clock.Second
)

// lookUpJob fetches a job that may have been evicted from the view. The result is at least as new as the call.
func (controller *Controller) lookUpJob(id string, deadline clock.Micros, onResult func(jobhistory.LookupResult)) {
	if !controller.history.lookups.Enqueue(id, deadline, onResult) {
		onResult(jobhistory.Unavailable)
		return
	}
	controller.sendLookups(clock.Now())
}

// lookUpJobs fetches jobs that may have been evicted from the view, and calls onResults with the result of each once all
// have one; at once if there are no jobs.
func (controller *Controller) lookUpJobs(ids []string, onResults func(map[string]jobhistory.LookupResult)) {
	ids = slices.Compact(slices.Sorted(slices.Values(ids)))
	results := map[string]jobhistory.LookupResult{}
	if len(ids) == 0 {
		onResults(results)
		return
	}
	deadline := clock.Now() + syncTimeout
	for _, id := range ids {
		controller.lookUpJob(id, deadline, func(result jobhistory.LookupResult) {
			results[id] = result
			if len(results) == len(ids) {
				onResults(results)
			}
		})
	}
}

// sendLookups sends the next request for jobs that wait to be looked up, if there are any and no request is in
// flight. The goroutine that it starts ends with the result of that request.
func (controller *Controller) sendLookups(now clock.Micros) {
	jobs := controller.history.lookups.NextBatch(now)
	if len(jobs) == 0 {
		return
	}
	go func() {
		read, areOthersAbsent, err := controller.readJobRecords(jobs)
		if err != nil {
			controller.log.Debug("job look-up failed", "jobs", len(jobs), "error", err)
		}
		controller.postResult(func() {
			var present []string
			for _, item := range read {
				present = append(present, controller.applyLookedUpRecord(item))
			}
			controller.history.lookups.CompleteBatch(jobhistory.BatchResult{Present: present, AreOthersAbsent: areOthersAbsent, HasFailed: err != nil})
			controller.sendLookups(clock.Now())
		})
	}()
}

// readJobRecords reads the records of a few of the given jobs. areOthersAbsent is true if no other job has a
// record, which is known only if none of the jobs has one.
func (controller *Controller) readJobRecords(jobs []string) (read []wire.KeyValue, areOthersAbsent bool, err error) {
	var keys []string
	for _, id := range jobs {
		keys = append(keys, records.JobKey(id), records.ArchiveKey(id))
	}
	existing, err := controller.store.FindExisting(keys)
	if err != nil || len(existing) == 0 {
		return nil, err == nil, err
	}
	for _, key := range existing[:min(len(existing), maxReadsPerLookup)] {
		if !slices.Contains(keys, key) {
			continue // the response names a key that was not asked for
		}
		item, err := controller.store.Get(key)
		if errors.Is(err, kvstore.ErrNotFound) {
			continue // the job was archived meanwhile, and is looked up again
		}
		if err != nil {
			return read, false, err
		}
		read = append(read, *item)
	}
	return read, false, nil
}

// applyLookedUpRecord adds a record that was looked up to the view, and returns the job's id.
func (controller *Controller) applyLookedUpRecord(item wire.KeyValue) string {
	id, isArchived := strings.CutPrefix(item.Key, records.ArchivePrefix)
	if !isArchived {
		id = strings.TrimPrefix(item.Key, records.JobPrefix)
	}
	controller.history.found.add(id)
	isNewToView := controller.view.Jobs[id] == nil
	controller.view.ApplyPut(records.JobKey(id), item.Value, item.Version)
	record := controller.view.Jobs[id]
	if !isNewToView || record == nil || !record.IsFinished() {
		return id
	}
	record.IsArchived = isArchived
	controller.history.evicted.counts.Add(record.State, -1)
	controller.history.evicted.worstProblems = slices.DeleteFunc(controller.history.evicted.worstProblems, func(problem jobreport.Problem) bool { return problem.Job == id })
	return id
}

// lookUpUnknownDependencies looks up the dependencies that are not in the view. All of them were accepted, so
// they have finished and were evicted. Until they are known, the jobs that depend on them don't start.
func (controller *Controller) lookUpUnknownDependencies() {
	for _, id := range controller.dependencyGraph.UnknownDependencies() {
		controller.lookUpUntilKnown(id)
	}
}

// lookUpUntilKnown looks up a job, and retries until the job is in the view.
func (controller *Controller) lookUpUntilKnown(id string) {
	controller.lookUpJob(id, clock.Now()+syncTimeout, func(result jobhistory.LookupResult) {
		if result != jobhistory.Present {
			controller.runAfter(lookUpRetryInterval, func() {
				if controller.view.Jobs[id] == nil {
					controller.lookUpUntilKnown(id)
				}
			})
		}
	})
}
