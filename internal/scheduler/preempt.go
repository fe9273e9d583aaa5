package scheduler

import (
	"cmp"
	"container/heap"
	"slices"

	"firwood.dev/firwood/internal/allocation"
)

// room is what a machine will have once the tasks that are stopping are gone.
func (r *round) room(m *allocation.Machine) allocation.Resources {
	if r.freeing == nil {
		r.freeing = make([]allocation.Resources, len(r.machines))
		for _, m := range r.machines {
			m.ForEachPlacement(func(p *allocation.Placement) {
				if p.IsStopping() {
					r.freeing[m.SortIndex] = r.freeing[m.SortIndex].Add(p.Job.Request)
				}
			})
		}
	}
	return r.free(m).Add(r.freeing[m.SortIndex])
}

// preempt stops work to make room for tasks of higher rank, and for those that
// their team's guarantee covers. What loses least goes first. Gangs weigh that
// themselves, see placeGang.
func (r *round) preempt(q []*entry) {
	var active []*allocation.Job // what may be stopped at all, for somebody
	for _, e := range q {
		j := e.job
		if e.left <= 0 || j.IsGang() || j.Priority != 0 && !e.owed {
			continue
		}
		if active == nil {
			active = []*allocation.Job{}
			for _, v := range r.l.Jobs {
				if v.ActiveCount() > 0 && !v.IsGang() {
					active = append(active, v)
				}
			}
		}
		if !slices.ContainsFunc(active, func(v *allocation.Job) bool { return r.below(e, v) }) {
			continue // nobody's work is below this job's
		}
		r.preemptForTasks(e, func(p *allocation.Placement) bool { return !p.IsStopping() && r.below(e, p.Job) })
	}
}

// below tells whether work of a job may be stopped for another: it is of lower rank,
// or the other is owed the room and it is not. What a guarantee covers gives way to
// the same team's, to what is owed too, and to the first rank.
func (r *round) below(e *entry, v *allocation.Job) bool {
	j := e.job
	if v.IsGang() || v == j {
		return false
	}
	if v.Priority > j.Priority {
		return j.Priority == 0 || e.owed || !r.owed[v] || v.Spec.Team == j.Spec.Team
	}
	if v.StartedByAging {
		// It had waited too long. What guarantees cover once stopped such work as soon
		// as it was placed, and the next plan placed it again, thousands of times.
		return false
	}
	return e.owed && !r.owed[v] && v.Spec.Team != j.Spec.Team && v.Priority == j.Priority && !v.IsService()
}

// claim books room that is being freed for a job; its tasks are placed there
// when it is.
func (r *round) claim(m *allocation.Machine, need allocation.Resources) {
	r.freeing[m.SortIndex] = r.freeing[m.SortIndex].Sub(need)
}

// stop stops a task and counts what it frees.
func (r *round) stop(p *allocation.Placement) {
	r.freeing[p.Machine.SortIndex] = r.freeing[p.Machine.SortIndex].Add(p.Job.Request)
	r.l.StopPlacement(p, 0)
}

// soft lists a pool's machines where something may be stopped or is stopping:
// most others are full of replicas, which nothing outranks.
func (r *round) soft(v *poolView) []*allocation.Machine {
	if !v.softDone {
		v.softDone = true
		lesser := false
		for _, j := range r.l.Jobs {
			lesser = lesser || j.IsService() && j.Priority > 0
		}
		for _, m := range r.machines {
			if m.Type == v.pool.Type && m.Zone == v.pool.Zone && m.Spot == v.pool.Spot && r.usable(m) &&
				(lesser || m.PlacementCount() > m.ReplicaCount() || r.least.IsWithin(r.room(m))) {
				v.soft = append(v.soft, m)
			}
		}
	}
	return v.soft
}

// fetchLoss weighs, in lost work, the fetch that a replica would wait for on a
// machine: on a busy day three in four of them got the places of batch work, and
// waited for their image there.
func (r *round) fetchLoss(j *allocation.Job, m *allocation.Machine) float64 {
	if _, cached := m.ImageUsedAt[j.Spec.Image]; cached || !j.IsService() {
		return 0
	}
	fetch := 1.0
	if t := r.pl.Types[m.Type]; t.FetchGBPerS > 0 {
		fetch = j.Spec.ImageGB / t.FetchGBPerS
	}
	return fetchWeight * fetch * float64(j.Request.MilliCPU)
}

// fetchWeight is how many seconds of batch work a second of a replica's wait is
// worth.
const fetchWeight = 20

// preemptForTasks stops work for independent tasks, each time where it loses
// least.
func (r *round) preemptForTasks(e *entry, mayStop func(*allocation.Placement) bool) {
	j := e.job
	// What a start on the machine costs in lost work; more is better, as a
	// heap of options has the highest on top.
	weigh := func(m *allocation.Machine) (option, []*allocation.Placement, bool) {
		have := r.room(m)
		fetch := r.fetchLoss(j, m)
		if j.Request.IsWithin(have) {
			return option{m, -fetch}, nil, true
		}
		if m.PlacementCount() == 0 {
			return option{}, nil, false
		}
		vs := stoppable(m, mayStop)
		cost := 0.0
		k := 0
		for ; k < len(vs) && !j.Request.IsWithin(have); k++ {
			have = have.Add(vs[k].Job.Request)
			cost += r.pl.ran(vs[k], r.now) * float64(vs[k].Job.Request.MilliCPU)
		}
		return option{m, -cost - fetch}, vs[:k], j.Request.IsWithin(have)
	}
	var c options
	for _, v := range r.pools {
		if soft := r.soft(v); len(soft) > 0 && allocation.IsEligible(j, soft[0]) {
			for _, m := range soft {
				if o, _, ok := weigh(m); ok {
					c = append(c, o)
				}
			}
		}
	}
	heap.Init(&c)
	zones := map[string]int{}
	for e.left > 0 && len(c) > 0 {
		m := c[0].m
		if j.Spec.Spread && j.CountInZone(m.Zone)+zones[m.Zone] >= j.MaxTasksPerZone() {
			c.drop()
			continue
		}
		o, victims, ok := weigh(m)
		if !ok {
			c.drop()
			continue
		}
		if o.s != c[0].s {
			c[0] = o // it has given some before
			heap.Fix(&c, 0)
			continue
		}
		for _, p := range victims {
			r.stop(p)
		}
		r.claim(m, j.Request)
		zones[m.Zone]++
		e.left--
	}
}

// stoppable lists what may be stopped on a machine, what started last first.
func stoppable(m *allocation.Machine, mayStop func(*allocation.Placement) bool) []*allocation.Placement {
	var vs []*allocation.Placement
	m.ForEachPlacement(func(p *allocation.Placement) {
		if mayStop(p) {
			vs = append(vs, p)
		}
	})
	slices.SortFunc(vs, func(a, b *allocation.Placement) int {
		return cmp.Or(-cmp.Compare(a.CreatedAt, b.CreatedAt), cmp.Compare(a.TaskIndex, b.TaskIndex))
	})
	return vs
}
