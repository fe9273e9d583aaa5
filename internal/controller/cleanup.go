package controller

import (
	"maps"
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// Some of what lies in the state service is of no use any more, and nobody waits for
// its removal: what an ended job awaited, progress of an ended job that its end left
// because it came in parts, or because a write was carried out late, and ends that so
// far only follow from those of other jobs. The leader cleans it up, a little at a
// time, with what the rate of writes has to spare. Every write is conditional on the
// lock and on the ended job's record, so neither a former leader nor a late write can
// remove anything of a job that is not over.

const (
	// sweepInterval is how often the leader looks for keys that are left over.
	sweepInterval = 5 * clock.Second
	// maxCleanupsInFlight bounds the writes of a clean-up that are under way, so that they
	// never fill the queue in which users' writes wait.
	maxCleanupsInFlight = 4
	// cleanupRetryDelay is how long a write that failed is left alone.
	cleanupRetryDelay = 2 * clock.Second
)

// cleanupState is the leader's account of what is left to be cleaned up.
type cleanupState struct {
	nextSweepAt clock.Micros
	// impliedCancellations are jobs that are cancelled with others, whose own records don't say so.
	impliedCancellations []string
	// jobsWithObsoleteKeys are jobs that are over and have keys that are of no use.
	jobsWithObsoleteKeys []string
	inFlight             int
}

// tickCleanup writes what is left, as far as not too much is under way.
func (term *leaderTerm) tickCleanup(now clock.Micros) {
	if now >= term.cleanup.nextSweepAt {
		term.cleanup.nextSweepAt = now + sweepInterval
		term.cleanup.jobsWithObsoleteKeys = term.findJobsWithObsoleteKeys()
	}
	for term.cleanup.inFlight < maxCleanupsInFlight && term.startNextCleanup() {
	}
}

// startNextCleanup begins the next clean-up; false means that there is none.
func (term *leaderTerm) startNextCleanup() bool {
	cleanup := &term.cleanup
	switch {
	case len(cleanup.impliedCancellations) > 0:
		id := cleanup.impliedCancellations[0]
		cleanup.impliedCancellations = cleanup.impliedCancellations[1:]
		term.writeImpliedCancellation(id)
	case len(cleanup.jobsWithObsoleteKeys) > 0:
		id := cleanup.jobsWithObsoleteKeys[0]
		cleanup.jobsWithObsoleteKeys = cleanup.jobsWithObsoleteKeys[1:]
		term.deleteObsoleteKeys(id)
	default:
		return false
	}
	return true
}

// findJobsWithObsoleteKeys lists jobs that are over and still have keys. It looks at jobs that
// have keys of their own, which are few, and not at all jobs.
func (term *leaderTerm) findJobsWithObsoleteKeys() []string {
	found := map[string]bool{}
	for id := range term.controller.view.Dependencies {
		found[id] = len(term.obsoleteKeys(id)) > 0
	}
	for id := range term.controller.view.Progress {
		if term.controller.mayBeEvicted(id) {
			term.controller.lookUpUntilKnown(id) // a late write came after the job was forgotten
		}
		found[id] = len(term.obsoleteKeys(id)) > 0
	}
	maps.DeleteFunc(found, func(_ string, left bool) bool { return !left })
	return slices.Sorted(maps.Keys(found))
}

// obsoleteKeys are the keys of a job that are of no use any more. As long as tasks of a
// cancelled job may be on machines, its progress tells the next leader to look for them.
func (term *leaderTerm) obsoleteKeys(id string) []string {
	record := term.controller.view.Jobs[id]
	if record == nil || record.State == "" {
		return nil
	}
	var keys []string
	for _, part := range slices.Sorted(maps.Keys(term.controller.view.Dependencies[id])) {
		keys = append(keys, records.DependenciesKey(id, part))
	}
	if record.Spec != nil {
		return keys
	}
	for _, number := range term.controller.view.ProgressKeys(id) {
		keys = append(keys, records.ProgressKey(id, number))
	}
	return keys
}

func (term *leaderTerm) deleteObsoleteKeys(id string) {
	record, keys := term.controller.view.Jobs[id], term.obsoleteKeys(id)
	if len(keys) == 0 {
		return
	}
	write := &kvstore.Write{Priority: kvstore.Background, Conditions: []wire.Condition{{Key: record.Key(id), Version: record.Version}}}
	for _, key := range keys[:min(len(keys), term.controller.cfg.Deployment.Store.Effective().MaxTransactionOps)] {
		write.Changes = append(write.Changes, wire.Change{DeleteKey: key})
	}
	// What is left after this one, or after a failure, is found by the next sweep.
	term.writeCleanup(write, func(kvstore.Outcome) {})
}

// writeImpliedCancellation makes the end of a job durable that is cancelled with one that it
// needs. Users are told without that; it spares later readers the derivation.
func (term *leaderTerm) writeImpliedCancellation(id string) {
	record := term.controller.view.Jobs[id]
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
	term.writeCleanup(write, func(outcome kvstore.Outcome) {
		if outcome != kvstore.Committed {
			term.runAfter(cleanupRetryDelay, func() { term.cleanup.impliedCancellations = append(term.cleanup.impliedCancellations, id) })
		}
	})
}

func (term *leaderTerm) writeCleanup(write *kvstore.Write, done func(kvstore.Outcome)) {
	term.cleanup.inFlight++
	term.commit(write, func(outcome kvstore.Outcome) {
		term.cleanup.inFlight--
		done(outcome)
	})
}
