package leader

import (
	"maps"
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

const (
	// sweepInterval is the time between two searches for obsolete keys.
	sweepInterval = 5 * clock.Second
	// maxCleanupsInFlight bounds the cleaner's writes in flight, so that they never fill the queue in
	// which users' writes wait. Without this bound, submissions were refused while thousands of
	// implied cancellations were being written.
	maxCleanupsInFlight = 4
	// orphanedPartsAge is the time from when a leader first sees dependencies of a job without a record until it deletes
	// them. A submission that is under way has written the record long before.
	orphanedPartsAge = 120 * clock.Second
	// cleanupRetryDelay is the delay before the retry of an implied cancellation whose write failed.
	cleanupRetryDelay = 2 * clock.Second
)

// cleaner deletes obsolete keys from the key-value store. No request waits for these deletions. The keys are:
//   - the dependencies of jobs that have ended;
//   - the progress of jobs that have ended. Such a key remains if the write of the job's end had no
//     room for its deletion in its transaction, and returns if an earlier write is executed late;
//   - the dependencies of jobs that were never accepted, because the write of their record failed.
//
// It also writes the ends of jobs that were cancelled because a job that they depend on was cancelled.
// Until then, such an end is derived from the record of that other job. The cleaner has few writes in
// flight and sends them from spare write rate only. Every write is conditional on the leader lock and on
// the job's record, so neither a former leader nor a write that is executed late removes anything of a
// job that has not ended.
type cleaner struct {
	term        *Term
	nextSweepAt clock.Micros
	// impliedCancellations are the IDs of jobs that were cancelled because a job that they depend on
	// was cancelled, and whose own records don't say so yet.
	impliedCancellations []string
	// jobsWithObsoleteKeys are the IDs of jobs that had ended and still had keys at the last sweep.
	jobsWithObsoleteKeys []string
	// orphanedSince is when the leader first saw dependencies of a job that has no record in the view, or last tried to
	// delete them, by the job's ID.
	orphanedSince map[string]clock.Micros
	inFlight      int
}

// addImpliedCancellations queues jobs that were cancelled because of another job's cancellation, so that
// their ends are written.
func (cleaner *cleaner) addImpliedCancellations(ids ...string) {
	cleaner.impliedCancellations = append(cleaner.impliedCancellations, ids...)
}

// tick looks for obsolete keys if a sweep is due, and starts writes until maxCleanupsInFlight are in
// flight.
func (cleaner *cleaner) tick(now clock.Micros) {
	if now >= cleaner.nextSweepAt {
		cleaner.nextSweepAt = now + sweepInterval
		cleaner.lookUpEvictedJobs()
		cleaner.jobsWithObsoleteKeys = cleaner.findJobsWithObsoleteKeys()
		cleaner.deleteOrphanedParts(now)
	}
	for cleaner.inFlight < maxCleanupsInFlight && cleaner.startNext() {
	}
}

// startNext cleans up after the next job. It returns false if there is none to clean up after.
func (cleaner *cleaner) startNext() bool {
	switch {
	case len(cleaner.impliedCancellations) > 0:
		id := cleaner.impliedCancellations[0]
		cleaner.impliedCancellations = cleaner.impliedCancellations[1:]
		cleaner.writeImpliedCancellation(id)
	case len(cleaner.jobsWithObsoleteKeys) > 0:
		id := cleaner.jobsWithObsoleteKeys[0]
		cleaner.jobsWithObsoleteKeys = cleaner.jobsWithObsoleteKeys[1:]
		cleaner.deleteObsoleteKeys(id)
	default:
		return false
	}
	return true
}

// lookUpEvictedJobs fetches the records of jobs that have progress or dependencies and may have been evicted from the
// view. Such a job has progress because a write that was executed late put it back.
func (cleaner *cleaner) lookUpEvictedJobs() {
	view := cleaner.term.environment.View
	for id := range view.Progress {
		cleaner.term.host.LookUpIfEvicted(id)
	}
	for id := range view.Dependencies {
		cleaner.term.host.LookUpIfEvicted(id)
	}
}

// deleteOrphanedParts deletes the dependencies of jobs that have had no record for orphanedPartsAge. The deletion is
// conditional on the absence of the record from both places. If it deletes the parts of a submission that is still under way,
// the write of its record fails.
func (cleaner *cleaner) deleteOrphanedParts(now clock.Micros) {
	view := cleaner.term.environment.View
	if cleaner.orphanedSince == nil {
		cleaner.orphanedSince = map[string]clock.Micros{}
	}
	maps.DeleteFunc(cleaner.orphanedSince, func(id string, _ clock.Micros) bool { return view.Dependencies[id] == nil || view.Jobs[id] != nil })
	for id, parts := range view.Dependencies {
		if view.Jobs[id] != nil {
			continue
		}
		since, isKnown := cleaner.orphanedSince[id]
		if !isKnown {
			cleaner.orphanedSince[id] = now
			continue
		}
		if now-since < orphanedPartsAge || cleaner.inFlight >= maxCleanupsInFlight {
			continue
		}
		write := &kvstore.Write{Priority: kvstore.Background, Conditions: []wire.Condition{{Key: records.JobKey(id)}, {Key: records.ArchiveKey(id)}}}
		for _, part := range slices.Sorted(maps.Keys(parts))[:min(len(parts), cleaner.term.maxTransactionOps())] {
			write.Changes = append(write.Changes, wire.Change{DeleteKey: records.DependenciesKey(id, part)})
		}
		cleaner.orphanedSince[id] = now // parts that are left are deleted once orphanedPartsAge has passed again
		cleaner.commit(write, func(kvstore.Outcome) {})
	}
}

// findJobsWithObsoleteKeys returns the IDs of jobs that have ended and still have keys. It examines only
// the jobs that have dependencies or progress in the view, which are few, rather than all jobs.
func (cleaner *cleaner) findJobsWithObsoleteKeys() []string {
	view := cleaner.term.environment.View
	found := map[string]bool{}
	for id := range view.Dependencies {
		found[id] = len(cleaner.obsoleteKeys(id)) > 0
	}
	for id := range view.Progress {
		found[id] = len(cleaner.obsoleteKeys(id)) > 0
	}
	maps.DeleteFunc(found, func(_ string, hasObsoleteKeys bool) bool { return !hasObsoleteKeys })
	return slices.Sorted(maps.Keys(found))
}

// obsoleteKeys returns the keys of a job that are no longer needed. While tasks of a cancelled job may
// be on machines, its progress is kept: it tells the next leader to look for these tasks.
func (cleaner *cleaner) obsoleteKeys(id string) []string {
	view := cleaner.term.environment.View
	record := view.Jobs[id]
	if record == nil || record.State == "" {
		return nil
	}
	var keys []string
	for _, part := range slices.Sorted(maps.Keys(view.Dependencies[id])) {
		keys = append(keys, records.DependenciesKey(id, part))
	}
	if record.Spec != nil {
		return keys
	}
	for _, number := range view.ProgressKeys(id) {
		keys = append(keys, records.ProgressKey(id, number))
	}
	return keys
}

func (cleaner *cleaner) deleteObsoleteKeys(id string) {
	record, keys := cleaner.term.environment.View.Jobs[id], cleaner.obsoleteKeys(id)
	if len(keys) == 0 {
		return
	}
	write := &kvstore.Write{Priority: kvstore.Background, Conditions: []wire.Condition{{Key: record.Key(id), Version: record.Version}}}
	for _, key := range keys[:min(len(keys), cleaner.term.maxTransactionOps())] {
		write.Changes = append(write.Changes, wire.Change{DeleteKey: key})
	}
	// The next sweep finds the keys that this write leaves, and all of them again if the write fails.
	cleaner.commit(write, func(kvstore.Outcome) {})
}

// writeImpliedCancellation writes the end of a job that was cancelled because a job that it depends on
// was cancelled. Users are shown that end even before the write; the write only spares later readers of
// the record from deriving the end.
func (cleaner *cleaner) writeImpliedCancellation(id string) {
	term := cleaner.term
	record := term.environment.View.Jobs[id]
	if record == nil || record.State != "" {
		return
	}
	end := storeview.NewEndedJob(record, wire.JobCancelled, clock.WallTime())
	if !term.IsTracking(id) {
		end.Spec = nil // the job never started, so a new leader need not look for its tasks
	}
	value, err := records.EncodeEnded(&end.Job, StoreLimits(term.environment.Config))
	if err != nil {
		return
	}
	write := &kvstore.Write{
		Priority:   kvstore.Background,
		Conditions: []wire.Condition{{Key: records.JobKey(id), Version: record.Version}},
		Changes:    []wire.Change{{PutKey: records.JobKey(id), Value: value}},
	}
	cleaner.commit(write, func(outcome kvstore.Outcome) {
		if outcome != kvstore.Committed {
			term.runAfter(cleanupRetryDelay, func() { cleaner.addImpliedCancellations(id) })
		}
	})
}

func (cleaner *cleaner) commit(write *kvstore.Write, done func(kvstore.Outcome)) {
	cleaner.inFlight++
	cleaner.term.commit(write, func(outcome kvstore.Outcome) {
		cleaner.inFlight--
		done(outcome)
	})
}
