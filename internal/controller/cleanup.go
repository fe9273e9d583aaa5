package controller

import (
	"maps"
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
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
	// sweepEvery is how often the leader looks for keys that are left over.
	sweepEvery = 5 * clock.Second
	// cleanupsAtOnce bounds the writes of a clean-up that are under way, so that they
	// never fill the queue in which users' writes wait.
	cleanupsAtOnce = 4
	// cleanupRetry is how long a write that failed is left alone.
	cleanupRetry = 2 * clock.Second
)

// cleanup is the leader's account of what is left to be cleaned up.
type cleanup struct {
	sweepAt clock.Micros
	// ends are jobs that are cancelled with others, whose own records don't say so.
	ends []string
	// leftovers are jobs that are over and have keys that are of no use.
	leftovers []string
	underWay  int
}

// cleanUp writes what is left, as far as not too much is under way.
func (l *lead) cleanUp(now clock.Micros) {
	if now >= l.cleanup.sweepAt {
		l.cleanup.sweepAt = now + sweepEvery
		l.cleanup.leftovers = l.findLeftovers()
	}
	for l.cleanup.underWay < cleanupsAtOnce && l.cleanNext() {
	}
}

// cleanNext begins the next clean-up; false means that there is none.
func (l *lead) cleanNext() bool {
	k := &l.cleanup
	switch {
	case len(k.ends) > 0:
		id := k.ends[0]
		k.ends = k.ends[1:]
		l.writeDerivedEnd(id)
	case len(k.leftovers) > 0:
		id := k.leftovers[0]
		k.leftovers = k.leftovers[1:]
		l.dropLeftovers(id)
	default:
		return false
	}
	return true
}

// findLeftovers lists jobs that are over and still have keys. It looks at jobs that
// have keys of their own, which are few, and not at all jobs.
func (l *lead) findLeftovers() []string {
	found := map[string]bool{}
	for id := range l.c.view.awaits {
		found[id] = len(l.leftoverKeys(id)) > 0
	}
	for id := range l.c.view.done {
		if l.c.mayBeForgotten(id) {
			l.c.recallForOthers(id) // a late write came after the job was forgotten
		}
		found[id] = len(l.leftoverKeys(id)) > 0
	}
	maps.DeleteFunc(found, func(_ string, left bool) bool { return !left })
	return slices.Sorted(maps.Keys(found))
}

// leftoverKeys are the keys of a job that are of no use any more. As long as tasks of a
// cancelled job may be on machines, its progress tells the next leader to look for them.
func (l *lead) leftoverKeys(id string) []string {
	r := l.c.view.jobs[id]
	if r == nil || r.State == "" {
		return nil
	}
	var keys []string
	for _, part := range slices.Sorted(maps.Keys(l.c.view.awaits[id])) {
		keys = append(keys, awaitsKey(id, part))
	}
	if r.Job != nil {
		return keys
	}
	for _, number := range l.c.progressKeys(id) {
		keys = append(keys, doneKey(id, number))
	}
	return keys
}

func (l *lead) dropLeftovers(id string) {
	r, keys := l.c.view.jobs[id], l.leftoverKeys(id)
	if len(keys) == 0 {
		return
	}
	w := &kvstore.Write{Priority: kvstore.Background, Conditions: []wire.Condition{{Key: r.key(id), Version: r.version}}}
	for _, key := range keys[:min(len(keys), l.c.cfg.Deployment.Store.Effective().MaxTransactionOps)] {
		w.Changes = append(w.Changes, wire.Change{DeleteKey: key})
	}
	// What is left after this one, or after a failure, is found by the next sweep.
	l.writeCleanup(w, func(kvstore.Outcome) {})
}

// writeDerivedEnd makes the end of a job durable that is cancelled with one that it
// needs. Users are told without that; it spares later readers the derivation.
func (l *lead) writeDerivedEnd(id string) {
	r := l.c.view.jobs[id]
	if r == nil || r.State != "" {
		return
	}
	over := overRecord(r, wire.JobCancelled, clock.WallTime())
	over.Job = nil // it never started
	value, err := over.MarshalJSON()
	if err != nil {
		return
	}
	w := &kvstore.Write{
		Priority:   kvstore.Background,
		Conditions: []wire.Condition{{Key: prefixJob + id, Version: r.version}},
		Changes:    []wire.Change{{PutKey: prefixJob + id, Value: value}},
	}
	l.writeCleanup(w, func(o kvstore.Outcome) {
		if o != kvstore.Committed {
			l.after(cleanupRetry, func() { l.cleanup.ends = append(l.cleanup.ends, id) })
		}
	})
}

func (l *lead) writeCleanup(w *kvstore.Write, then func(kvstore.Outcome)) {
	l.cleanup.underWay++
	l.write(w, func(o kvstore.Outcome) {
		l.cleanup.underWay--
		then(o)
	})
}
