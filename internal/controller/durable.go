package controller

import (
	"cmp"
	"maps"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/wire"
)

// mark makes it durable that tasks of the job may be started from now on: a
// later leader then knows for which jobs it has to look, and that no other
// job's tasks can be anywhere.
func (l *lead) mark(j *allocation.Job) {
	id := j.Spec.ID
	a := l.jobs[id]
	if a == nil || a.marking || j.StartsRecorded {
		return
	}
	a.marking = true
	// Conditional on the key's absence: one that is carried out late, or again,
	// must not take back progress that was written meanwhile.
	w := &kvstore.Write{Priority: kvstore.Required, Conditions: []wire.Condition{{Key: doneKey(id, 0)}}, Changes: []wire.Change{progressChange(id, 0, nil, nil)}}
	l.writeRev(w, func(o kvstore.Outcome, rev uint64) {
		l.dirty = true
		switch o {
		case kvstore.Committed:
			a.marking = false
			j.StartsRecorded = true
			a.wrote(0, rev)
		case kvstore.NotExecuted:
			a.marking = false
		default: // it may be there already
			l.c.view.wantSync(func(error) {
				a.marking = false
				j.StartsRecorded = l.c.view.done[id] != nil
				a.learnKeys(l.c.view.done[id])
				l.dirty = true
			}, clock.Now()+2*clock.Second)
		}
	})
}

// write commits a change that is bound to the lock.
func (l *lead) write(w *kvstore.Write, then func(kvstore.Outcome)) {
	l.writeRev(w, func(o kvstore.Outcome, _ uint64) { then(o) })
}

// writeRev is the same where the revision matters.
func (l *lead) writeRev(w *kvstore.Write, then func(kvstore.Outcome, uint64)) {
	w.FencingToken = l.token
	w.Deadline = clock.Now() + 3*clock.Second
	w.Done = func(o kvstore.Outcome, rev uint64) {
		l.c.post(func() {
			if l.closed {
				return
			}
			if o == kvstore.Fenced {
				l.c.fenced(l.token)
				return
			}
			then(o, rev)
		})
	}
	if !l.c.store.Commit(w) {
		then(kvstore.NotExecuted, 0)
	}
}

// saveTypes keeps the machine types where nodes find them that start while the
// cloud's interface is down.
func (l *lead) saveTypes() {
	v, err := wire.MachineTypeList{Types: l.c.types}.MarshalJSON()
	if err != nil || len(v) > int(l.c.cfg.Deployment.Store.Effective().MaxValueKB*1024) {
		l.c.log.Info("machine types are too large for the state service; controllers learn them from the cloud alone", "bytes", len(v))
		return
	}
	l.write(&kvstore.Write{Priority: kvstore.Required, Changes: []wire.Change{{PutKey: keyTypes, Value: v}}}, func(kvstore.Outcome) {})
}

// progressEvery bounds how often a job's progress is written.
const progressEvery = 700 * clock.Millisecond

// durable writes what was completed, and the end of jobs that are complete.
func (l *lead) durable(now clock.Micros) {
	var late []string
	for id, j := range l.lg.Jobs {
		if !j.Cancelled && !j.NeedsPersisting() {
			continue
		}
		a := l.jobs[id]
		if a == nil || a.writing {
			continue
		}
		switch {
		case j.Cancelled:
			if l.lg.IsVacated(j) {
				l.shrinkWithdrawn(id, j, a)
			}
		case j.IsComplete() && !a.over:
			l.finish(id, j, a)
		case a.over:
			if l.lg.IsVacated(j) {
				l.lg.RemoveJob(j)
				delete(l.jobs, id)
			}
		default:
			if now-a.wroteAt >= progressEvery {
				late = append(late, id)
			}
		}
	}
	// Progress takes what the rate of writes has to spare, what was written
	// longest ago first.
	if l.saving >= savesAtOnce || len(late) == 0 {
		return
	}
	slices.SortFunc(late, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.jobs[a].wroteAt, l.jobs[b].wroteAt), cmp.Compare(a, b))
	})
	for _, id := range late[:min(len(late), savesAtOnce-l.saving)] {
		j := l.lg.Jobs[id]
		l.saveProgress(id, j, l.jobs[id], j.UnpersistedCompletions(), now)
	}
}

// savesAtOnce bounds the writes of progress that wait.
const savesAtOnce = 8

func (l *lead) saveProgress(id string, j *allocation.Job, a *jobAux, todo []int, now clock.Micros) {
	a.writing, a.wroteAt = true, now
	// What is more than a transaction takes is for the next one.
	most := l.c.cfg.Deployment.Store.Effective().MaxTransactionOps
	keys := map[int]bool{}
	todo = slices.DeleteFunc(todo, func(task int) bool {
		key := a.layout.key(task)
		if !keys[key] && len(keys) >= most {
			return true
		}
		keys[key] = true
		return false
	})
	l.saving++
	// Conditional on the keys' versions: one that is carried out late must not take back
	// what was written after it.
	w := &kvstore.Write{Priority: kvstore.Background}
	for key := range keys {
		w.Conditions = append(w.Conditions, wire.Condition{Key: doneKey(id, key), Version: a.keys[key]})
		w.Changes = append(w.Changes, a.layout.change(j, key))
		a.wrote(key, 0)
	}
	l.writeRev(w, func(o kvstore.Outcome, rev uint64) {
		l.saving--
		l.dirty = true
		switch o {
		case kvstore.Committed:
			for key := range keys {
				a.wrote(key, rev)
			}
			l.lg.MarkDurable(j, todo)
		case kvstore.Conflict, kvstore.Unknown:
			l.c.view.wantSync(func(error) {
				a.writing = false
				a.learnKeys(l.c.view.done[id])
				l.dirty = true
			}, clock.Now()+2*clock.Second)
			return
		}
		a.writing = false
	})
}

// finish makes the end of a job durable; only then anybody is told.
func (l *lead) finish(id string, j *allocation.Job, a *jobAux) {
	rec := l.c.view.jobs[id]
	if rec == nil || rec.over() {
		return
	}
	over := overRecord(rec, wire.JobDone, clock.WallTime())
	over.First, over.Errors, over.Restarts = a.first, j.FailureCount, j.RestartCount
	if released := l.c.graph.ReleasedAt(id, clock.Micros(rec.At)); int64(released) != rec.At {
		over.Released = int64(released)
	}
	v, err := over.MarshalJSON()
	if err != nil {
		return
	}
	a.writing = true
	w := &kvstore.Write{
		Priority:   kvstore.Required,
		Conditions: []wire.Condition{{Key: prefixJob + id, Version: rec.version}},
		Changes:    []wire.Change{{PutKey: prefixJob + id, Value: v}},
	}
	if l.c.store.BacklogDuration() < backlogged {
		l.addProgressDrops(w, id, a)
	}
	l.writeRev(w, func(o kvstore.Outcome, rev uint64) {
		a.writing = false
		l.dirty = true
		switch o {
		case kvstore.Committed:
			a.over = true
			todo := j.UnpersistedCompletions()
			l.lg.MarkDurable(j, todo)
			if cur := l.c.view.jobs[id]; cur == nil || cur.version < rev {
				// Jobs that need this one need not wait for the watch.
				over.version = rev
				l.c.setJob(id, over)
			}
			l.logEnd(id, over)
		case kvstore.Conflict, kvstore.Unknown:
			// Withdrawn meanwhile, or done without our knowing: the view tells.
			a.writing = true
			l.c.view.wantSync(func(error) {
				a.writing = false
				if cur := l.c.view.jobs[id]; cur != nil && cur.State == wire.JobDone {
					a.over = true
					l.lg.MarkDurable(j, j.UnpersistedCompletions())
				}
				l.dirty = true
			}, clock.Now()+2*clock.Second)
		}
	})
}

// addProgressDrops adds the removal of a job's progress to the write of its end, as far
// as one transaction takes it; the rest is cleaned up later, see cleanup.
func (l *lead) addProgressDrops(w *kvstore.Write, id string, a *jobAux) {
	most := l.c.cfg.Deployment.Store.Effective().MaxTransactionOps
	for _, number := range slices.Sorted(maps.Keys(a.keys)) {
		if len(w.Changes) >= most {
			return
		}
		w.Changes = append(w.Changes, wire.Change{DeleteKey: doneKey(id, number)})
	}
}

// logEnd says loudly when batch work has missed what its owners expect.
func (l *lead) logEnd(id string, rec *jobRecord) {
	if t, ok := l.c.trouble(id, rec, int64(clock.WallTime())); ok && t.Late {
		l.c.log.Error("job finished late", "job", id, "class", t.Class, "late_by_s", t.LateByS, "took_s", t.TookS, "why", t.Why)
		return
	}
	l.c.log.Debug("job done", "job", id)
}

// shrinkWithdrawn shrinks the record of a withdrawn job, once no task of it can be
// anywhere.
func (l *lead) shrinkWithdrawn(id string, j *allocation.Job, a *jobAux) {
	rec := *l.c.view.jobs[id]
	rec.Job = nil
	v, err := rec.MarshalJSON()
	if err != nil {
		return
	}
	a.writing = true
	// As long as the record is whole, a new leader has to reckon with its tasks.
	w := &kvstore.Write{Priority: kvstore.Required, Changes: []wire.Change{{PutKey: prefixJob + id, Value: v}}}
	l.addProgressDrops(w, id, a)
	l.write(w, func(o kvstore.Outcome) {
		a.writing = false
		if o == kvstore.Committed {
			l.lg.RemoveJob(j)
			delete(l.jobs, id)
		}
		l.dirty = true
	})
}

// watchJobs warns, once a job, of batch work that slips while it runs.
func (l *lead) watchJobs(now clock.Micros) {
	wall := int64(clock.WallTime())
	for id, a := range l.jobs {
		rec := l.c.view.jobs[id]
		if a.warned || a.over || rec == nil || rec.over() {
			continue
		}
		if t, ok := l.c.trouble(id, rec, wall); ok && t.Late {
			a.warned = true
			l.c.log.Error("job is late", "job", id, "class", t.Class, "why", t.Why)
		}
	}
}
