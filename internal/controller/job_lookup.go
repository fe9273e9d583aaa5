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

const (
	// maxPendingLookups bounds the questions for forgotten jobs that wait, maxJobsPerLookup the jobs
	// that one request asks for, maxReadsPerLookup those that are read after it.
	maxPendingLookups, maxJobsPerLookup, maxReadsPerLookup = 1024, 96, 8
	// keysPerJob is in how many places a job's record may lie.
	keysPerJob = 2
	// lookUpRetryInterval is after how long a job that others await is asked for again.
	lookUpRetryInterval = clock.Second
)

// lookUpJob has a job that may have been forgotten looked up. An answer from the state service
// is as new as the question.
func (controller *Controller) lookUpJob(id string, until clock.Micros, done func(jobhistory.LookupResult)) {
	if !controller.history.lookups.Enqueue(id, until, done) {
		done(jobhistory.Unavailable)
		return
	}
	controller.sendLookups(clock.Now())
}

// sendLookups asks the state service for jobs that were forgotten, if any are wanted.
func (controller *Controller) sendLookups(now clock.Micros) {
	jobs := controller.history.lookups.NextBatch(now)
	if len(jobs) == 0 {
		return
	}
	go func() {
		read, areOthersAbsent, err := controller.readJobRecords(jobs)
		if err != nil {
			controller.log.Debug("jobs not looked up", "error", err)
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

// readJobRecords reads the records of some jobs, of a few at a time. Whether the others are
// absent is known only if none was present.
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
			continue
		}
		item, err := controller.store.Get(key)
		if errors.Is(err, kvstore.ErrNotFound) {
			continue // it was moved meanwhile, and is asked for again
		}
		if err != nil {
			return read, false, err
		}
		read = append(read, *item)
	}
	return read, false, nil
}

// applyLookedUpRecord takes the record of a job that was looked up into the view, and tells the job.
func (controller *Controller) applyLookedUpRecord(item wire.KeyValue) string {
	id, isArchived := strings.CutPrefix(item.Key, records.ArchivePrefix)
	if !isArchived {
		id = strings.TrimPrefix(item.Key, records.JobPrefix)
	}
	isNew := controller.view.Jobs[id] == nil
	controller.view.ApplyPut(records.JobKey(id), item.Value, item.Version)
	record := controller.view.Jobs[id]
	if !isNew || record == nil || !record.IsFinished() {
		return id
	}
	record.IsArchived = isArchived
	controller.history.evicted.counts.Add(record.State, -1)
	controller.history.evicted.problems = slices.DeleteFunc(controller.history.evicted.problems, func(problem jobreport.Problem) bool { return problem.Job == id })
	return id
}

// lookUpUnknownDependencies looks up the jobs that others await and that are not in the view: all of
// them were accepted, so they are over and were forgotten. Until they are known, what
// awaits them does not start.
func (controller *Controller) lookUpUnknownDependencies() {
	for _, id := range controller.dependencyGraph.UnknownDependencies() {
		controller.lookUpUntilKnown(id)
	}
}

func (controller *Controller) lookUpUntilKnown(id string) {
	controller.lookUpJob(id, clock.Now()+syncTimeout, func(answer jobhistory.LookupResult) {
		if answer != jobhistory.Present {
			controller.runAfter(lookUpRetryInterval, func() {
				if controller.view.Jobs[id] == nil {
					controller.lookUpUntilKnown(id)
				}
			})
		}
	})
}
