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
	// sweepInterval is how often the leader looks for obsolete keys.
	sweepInterval = 5 * clock.Second
	// maxCleanupsInFlight bounds the writes of the cleaner under way, so that they never fill the
	// queue in which users' writes wait. Added after submissions were refused while thousands of
	// implied cancellations were written.
	maxCleanupsInFlight = 4
	// cleanupRetryDelay is the time until a failed write is tried again.
	cleanupRetryDelay = 2 * clock.Second
)

// cleaner removes from the key-value store what is of no use any more and that nobody waits for:
//   - the dependencies of jobs that have ended;
//   - progress of jobs that have ended, which the write of their end left because it didn't fit
//     into its transaction, or which a write that was executed late has put back;
//
// and it writes the ends of jobs that were cancelled with one that they depend on, which follow
// so far from that job's record. It does a little at a time, with what the rate of writes has to
// spare. Every write is conditional on the lock and on the record of the ended job, so neither a
// former leader nor a write that is executed late removes anything of a job that has not ended.
type cleaner struct {
	term        *Term
	nextSweepAt clock.Micros
	// impliedCancellations are jobs that were cancelled with another one, and whose own records
	// don't say so yet.
	impliedCancellations []string
	// jobsWithObsoleteKeys are jobs that have ended and still have keys, as of the last sweep.
	jobsWithObsoleteKeys []string
	inFlight             int
}

// addImpliedCancellations has the end of jobs written that were cancelled with another one.
func (cleaner *cleaner) addImpliedCancellations(ids ...string) {
	cleaner.impliedCancellations = append(cleaner.impliedCancellations, ids...)
}

// tick looks for obsolete keys when that is due, and starts writes up to the bound on those under
// way.
func (cleaner *cleaner) tick(now clock.Micros) {
	if now >= cleaner.nextSweepAt {
		cleaner.nextSweepAt = now + sweepInterval
		cleaner.lookUpEvictedJobs()
		cleaner.jobsWithObsoleteKeys = cleaner.findJobsWithObsoleteKeys()
	}
	for cleaner.inFlight < maxCleanupsInFlight && cleaner.startNext() {
	}
}

// startNext takes the next job to clean up after; false means that there is none.
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

// lookUpEvictedJobs fetches the records of jobs that have progress and that were evicted from the
// view: a write that was executed late has put their progress back.
func (cleaner *cleaner) lookUpEvictedJobs() {
	for id := range cleaner.term.environment.View.Progress {
		cleaner.term.host.LookUpIfEvicted(id)
	}
}

// findJobsWithObsoleteKeys lists jobs that have ended and still have keys. It looks at the jobs
// that have keys of their own, which are few, and not at all jobs.
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

// obsoleteKeys are the keys of a job that are of no use any more. While tasks of a cancelled job
// may be on machines, its progress stays: it tells the next leader to look for them.
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
	// The next sweep finds what is left after this write, or after its failure.
	cleaner.commit(write, func(kvstore.Outcome) {})
}

// writeImpliedCancellation makes the end of a job durable that was cancelled with one that it
// depends on. Users get that state without it; it spares later readers the derivation.
func (cleaner *cleaner) writeImpliedCancellation(id string) {
	term := cleaner.term
	record := term.environment.View.Jobs[id]
	if record == nil || record.State != "" {
		return
	}
	end := storeview.NewEndedJob(record, wire.JobCancelled, clock.WallTime())
	end.Spec = nil // it never started
	value, err := end.MarshalJSON()
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
