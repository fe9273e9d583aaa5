package scheduler

import (
	"container/heap"

	"firwood.dev/firwood/internal/allocation"
)

// score orders machines for a job: the kind that it should use, the image at
// hand, then the fullest, so that others run empty and can be given back.
func (r *round) score(j *allocation.Job, m *allocation.Machine) float64 {
	s := 0.0
	if j.Spec.Spot == m.Spot {
		s += 100
	}
	if j.IsService() && m.ReplicaCount() > 0 {
		// Replicas stay for long, and a machine that has one cannot be given
		// back: they go together.
		s += 50
	}
	switch _, ok := m.ImageUsedAt[j.Spec.Image]; {
	case ok && j.IsService():
		s += 60 // a replica is awaited: rather apart than after a fetch
	case ok:
		s += 20
	case m.IsFetching(j.Spec.Image):
		s += 10
	default:
		// Fetches share a machine's rate: when many replicas have lost their
		// place, one machine after the other fetched every image there is.
		per := 10.0
		if j.IsService() {
			per = 25 // rather a machine of its own for a while than a queue of fetches
		}
		s -= per * float64(m.FetchCount())
	}
	if n := j.FailuresByMachine[m.Name]; n > 0 {
		s -= 1000
	}
	if !j.IsService() {
		// A machine is paid for until its last task ends: a task goes where it
		// prolongs that least.
		run := r.pl.expect(j)
		longer := max(run-r.busyFor(m), 0)
		s -= 8 * longer / (longer + 30)
	}
	s += 5 * part(m.Used().Add(r.held[m.SortIndex]), m.Capacity)
	return s
}

// busyFor is how long, in seconds, a machine will be busy with what it has.
func (r *round) busyFor(m *allocation.Machine) float64 {
	b := &r.busy[m.SortIndex]
	if *b < 0 {
		*b = 0
		m.ForEachPlacement(func(p *allocation.Placement) { *b = max(*b, r.pl.remaining(p, r.now)) })
	}
	return *b
}

// option is a machine that a job may use now.
type option struct {
	m *allocation.Machine
	s float64
}

// options is a heap with the best on top, by score, then by name: a job of ten
// tasks need not sort a thousand machines.
type options []option

func (o options) Len() int { return len(o) }
func (o options) Less(a, b int) bool {
	return o[a].s > o[b].s || o[a].s == o[b].s && o[a].m.SortIndex < o[b].m.SortIndex
}
func (o options) Swap(a, b int) { o[a], o[b] = o[b], o[a] }
func (o *options) Push(x any)   { *o = append(*o, x.(option)) }
func (o *options) Pop() any {
	x := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]
	return x
}

// drop takes the best off.
func (o *options) drop() {
	n := len(*o) - 1
	(*o)[0] = (*o)[n]
	*o = (*o)[:n]
	if n > 1 {
		heap.Fix(o, 0)
	}
}

// candidates lists the machines with room for a task of the job, pool by pool.
// What has no room left for anything that waits is passed over from now on.
func (r *round) candidates(j *allocation.Job, f func(*allocation.Machine)) {
	for _, v := range r.pools {
		if len(v.open) == 0 || !allocation.IsEligible(j, v.open[0]) {
			continue // a job's wishes are for pools, not for single machines
		}
		kept := v.open[:0]
		for _, m := range v.open {
			free := r.free(m)
			if !r.least.IsWithin(free) {
				continue
			}
			kept = append(kept, m)
			if j.Request.IsWithin(free) {
				f(m)
			}
		}
		v.open = kept
	}
}

func (r *round) hold(m *allocation.Machine, need allocation.Resources) {
	r.held[m.SortIndex] = r.held[m.SortIndex].Add(need)
}

// placeTasks places independent tasks.
func (r *round) placeTasks(e *entry) int {
	j := e.job
	most := min(len(e.tasks), e.limit)
	if most <= 0 {
		return 0
	}
	placed := 0
	put := func(m *allocation.Machine) bool {
		if !j.Request.IsWithin(r.free(m)) {
			return false
		}
		if !j.StartsRecorded {
			// Its mark has to be durable first; the room is kept until then.
			r.hold(m, j.Request)
		} else if r.l.PlaceTask(j, e.tasks[placed], m, r.l.NextAttempt(), r.now) != nil {
			return false
		}
		placed++
		return true
	}
	if j.Spec.Spread {
		r.placeSpread(j, most, put)
		return placed
	}
	var c options
	r.candidates(j, func(m *allocation.Machine) { c = append(c, option{m, r.score(j, m)}) })
	heap.Init(&c)
	for ; len(c) > 0 && placed < most; c.drop() {
		for placed < most && put(c[0].m) {
		}
	}
	return placed
}

// placeSpread places tasks one by one, each in the zone that has the fewest.
func (r *round) placeSpread(j *allocation.Job, most int, put func(*allocation.Machine) bool) {
	type zone struct {
		name  string
		c     options
		count int
	}
	var zones []*zone
	byName := map[string]*zone{}
	r.candidates(j, func(m *allocation.Machine) {
		z := byName[m.Zone]
		if z == nil {
			z = &zone{name: m.Zone, count: j.CountInZone(m.Zone)}
			byName[m.Zone] = z
			zones = append(zones, z)
		}
		z.c = append(z.c, option{m, r.score(j, m)})
	})
	for _, z := range zones {
		heap.Init(&z.c)
	}
	for placed := 0; placed < most; {
		var best *zone
		for _, z := range zones {
			if len(z.c) == 0 || z.count >= j.MaxTasksPerZone() {
				continue
			}
			if best == nil || r.rather(j, z.name, best.name) ||
				!r.rather(j, best.name, z.name) && (z.count < best.count || z.count == best.count && better(z.c[0], best.c[0])) {
				best = z
			}
		}
		if best == nil {
			return
		}
		if put(best.c[0].m) {
			best.count++
			placed++
		} else {
			best.c.drop()
		}
	}
}

// rather tells whether a job is better off in zone a than in b: replicas outlive
// a cut only where a controller inside can keep their leases alive.
func (r *round) rather(j *allocation.Job, a, b string) bool {
	return j.IsService() && r.pl.Kept[a] && !r.pl.Kept[b]
}

func better(a, b option) bool { return options{a, b}.Less(0, 1) }
