package scheduler

import (
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// Hire is a rental under way: asked for, no names yet.
type Hire struct {
	Pool  Pool
	Count int
}

// Rent is a decision to rent.
type Rent struct {
	Pool  Pool
	Count int
}

// Decision is what a plan wants done; placements are already in the ledger.
type Decision struct {
	Mark   []*allocation.Job
	Rent   []Rent
	Return []*allocation.Machine
	// Drain is a machine whose replicas go to others, nil if none.
	Drain *allocation.Machine
	// Spot and Ordinary tell how the spare targets came about.
	Spot, Ordinary SpareReport
}

// SpareReport is the record of one choice of a spare target.
type SpareReport struct {
	Gaps, Runs Verdict
	Open       bool // the screen passed, the queue is empty, an arrival is recent
	Cost       SpareCost
}

// round is the working state of one plan. What it looks at is bounded by what
// waits and by the machines that have room for some of it: most of a large
// fleet is full most of the time.
type round struct {
	pl       *Planner
	l        *allocation.Tracker
	now      clock.Micros
	machines []*allocation.Machine
	pools    []*poolView
	least    allocation.Resources   // the least of what waits, in each dimension
	held     []allocation.Resources // promised to jobs not yet marked, by rank
	claims   []bool                 // kept for a gang until more of it is free, by rank
	busy     []float64              // seconds until the last task ends, by rank; -1: not worked out
	freeing  []allocation.Resources // taken by tasks that are stopping, by rank; nil: not worked out
	zones    map[string]*zoneView
	owed     map[*allocation.Job]bool // what guarantees cover
}

// zoneView counts a zone's machines that were up, and those of them heard.
type zoneView struct{ up, heard int }

// dark tells that hardly any machine of a zone is heard: a new one there would
// not be either. Once all that was rented for the replicas of a zone that was
// cut off came up in that zone, which had the fewest machines left.
func (r *round) dark(zone string) bool {
	z := r.zones[zone]
	return z != nil && z.up >= 3 && 3*z.heard < z.up
}

// poolView is what a round knows of a pool.
type poolView struct {
	pool  Pool
	count int                   // machines that are, or boot
	open  []*allocation.Machine // usable ones with room

	soft     []*allocation.Machine // see there
	softDone bool
}

func (r *round) free(m *allocation.Machine) allocation.Resources {
	return m.Free().Sub(r.held[m.SortIndex])
}

// view finds a pool; there are few.
func (r *round) view(p Pool) *poolView {
	for _, v := range r.pools {
		if v.pool == p {
			return v
		}
	}
	v := &poolView{pool: p}
	r.pools = append(r.pools, v)
	return v
}

func (r *round) count(p Pool) int {
	for _, v := range r.pools {
		if v.pool == p {
			return v.count
		}
	}
	return 0
}

func (pl *Planner) round(l *allocation.Tracker, q []*entry, now clock.Micros) *round {
	r := &round{pl: pl, l: l, now: now, machines: l.SortedMachines(), zones: map[string]*zoneView{}}
	pl.held = sized(pl.held, len(r.machines))
	pl.busy = sized(pl.busy, len(r.machines))
	pl.claims = sized(pl.claims, len(r.machines))
	r.held, r.busy, r.claims = pl.held, pl.busy, pl.claims
	for i := range r.busy {
		r.busy[i] = -1
	}
	for i, e := range q {
		n := e.job.Request
		if i == 0 {
			r.least = n
		}
		r.least = allocation.Resources{MilliCPU: min(r.least.MilliCPU, n.MilliCPU), MilliGPU: min(r.least.MilliGPU, n.MilliGPU), MemoryMB: min(r.least.MemoryMB, n.MemoryMB)}
	}
	for _, m := range r.machines {
		v := r.view(Pool{m.Type, m.Zone, m.Spot})
		v.count++
		// What an earlier leader rented is up for all that is known.
		if m.FirstHeartbeatAt != 0 || m.CreatedAt < pl.Since {
			z := r.zones[m.Zone]
			if z == nil {
				z = &zoneView{}
				r.zones[m.Zone] = z
			}
			z.up++
			if pl.hears(m, now) {
				z.heard++
			}
		}
		if len(q) > 0 && r.usable(m) && r.least.IsWithin(m.Free()) {
			v.open = append(v.open, m)
		}
	}
	return r
}

// usable tells whether a machine may get tasks now: it is heard, and nothing
// speaks against its being told.
func (r *round) usable(m *allocation.Machine) bool {
	return m.IsSchedulable() && r.now >= max(m.UnreachableUntil, m.BackoffUntil) && r.pl.hears(m, r.now)
}

// sized returns n zeroed elements, in the given memory if that is enough.
func sized[T any](s []T, n int) []T {
	if cap(s) < n {
		return make([]T, n, n+n/4)
	}
	s = s[:n]
	clear(s)
	return s
}

// Plan places what fits, and works out what to rent and to give back; wall is
// the time of day, which deadlines are reckoned in.
func (pl *Planner) Plan(l *allocation.Tracker, now, wall clock.Micros, hires []Hire) Decision {
	var d Decision
	owed := pl.owed(l)
	q := pl.queue(l, owed, now, wall)
	r := pl.round(l, q, now)
	r.owed = owed
	for _, e := range q {
		e.limit = r.allowance(e.job)
		var placed int
		if e.job.IsGang() {
			placed = r.placeGang(e)
		} else {
			placed = r.placeTasks(e)
		}
		e.job.StartedByAging = e.job.StartedByAging || placed > 0 && e.aged && !e.owed
		if placed > 0 && !e.job.StartsRecorded {
			d.Mark = append(d.Mark, e.job)
		}
		e.left = min(e.left, e.limit) - placed
	}
	q = slices.DeleteFunc(q, func(e *entry) bool { return e.claims })
	r.preempt(q)
	r.rent(q, hires, &d)
	r.spares(q, hires, &d)
	return d
}

// allowance is how many more tasks of a job its team's limit allows.
func (r *round) allowance(j *allocation.Job) int {
	g := r.pl.Teams[j.Spec.Team]
	u := r.l.TeamUsage(j.Spec.Team)
	n := len(j.Tasks)
	if g.MaxMilliCPU > 0 && j.Request.MilliCPU > 0 {
		n = min(n, int((g.MaxMilliCPU-u.MilliCPU)/j.Request.MilliCPU))
	}
	if g.MaxMilliGPU > 0 && j.Request.MilliGPU > 0 {
		n = min(n, int((g.MaxMilliGPU-u.MilliGPU)/j.Request.MilliGPU))
	}
	n = max(n, 0)
	if j.IsGang() && n < j.WaitingCount() {
		return 0
	}
	return n
}
