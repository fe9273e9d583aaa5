package controller

import (
	"cmp"
	"maps"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// relearn takes the arrivals that the records still tell of. A leader that knew of
// none held that no start was pressing, and gave back, within seconds of its
// take-over, every machine that the jobs of the one before were about to need again.
func (l *lead) relearn(now, wall clock.Micros) {
	jobs := slices.Collect(maps.Values(l.lg.Jobs))
	slices.SortFunc(jobs, func(a, b *allocation.Job) int {
		return cmp.Or(cmp.Compare(a.ReleasedAt, b.ReleasedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	for _, j := range jobs {
		l.pl.ObserveArrival(j, now-max(wall-j.ReleasedAt, 0))
	}
}

func (l *lead) addJob(id string, rec *jobRecord, marked bool) *allocation.Job {
	done := l.c.doneTasks(id, rec)
	released := l.c.graph.ReleasedAt(id, clock.Micros(rec.At))
	j := l.lg.AddJob(rec.Job, released, clock.Now(), marked, done.has)
	u := l.c.graph.UrgencyOf(id, urgency(rec))
	j.Priority, j.Deadline = u.Priority, u.Deadline
	a := &jobAux{layout: l.c.layoutOf(rec), first: rec.First}
	a.learnKeys(l.c.view.done[id])
	l.jobs[id] = a
	return j
}

func (l *lead) addMachine(h *rental, name string) *allocation.Machine {
	now := clock.Now()
	m := l.lg.AddMachine(name, h.rec.Type, h.rec.Zone, h.rec.Spot, l.pl.MachineCapacity(h.rec.Type), now)
	m.CreatedAt = h.at
	if l.machines[name] == nil {
		l.machines[name] = &machineAux{rental: h}
	}
	return m
}

// jobChanged takes a job's record as the state service has it.
func (l *lead) jobChanged(id string, rec *jobRecord) {
	now := clock.Now()
	j := l.lg.Jobs[id]
	l.dirty = true
	switch {
	case rec.cancelledWith:
	case !rec.over() && j == nil && l.jobs[id] == nil:
		if l.c.blocked(id, rec) {
			return
		}
		l.pl.ObserveArrival(l.addJob(id, rec, false), now)
	case rec.State == wire.JobCancelled && j != nil:
		l.withdraw(j, rec, now)
	case rec.over() && l.jobs[id] != nil:
		l.jobs[id].over = true
	}
}

// withdraw takes a durable withdrawal. The time that its tasks have runs from the
// confirmation, of which a leader that was refused by the state service may have
// learnt late.
func (l *lead) withdraw(j *allocation.Job, rec *jobRecord, now clock.Micros) {
	l.lg.Cancel(j, now)
	j.CancelledAt = now - max(clock.WallTime()-clock.Micros(rec.End), 0)
	l.jobs[j.Spec.ID].over = true
}
