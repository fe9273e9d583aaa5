package scheduler

import (
	"cmp"
	"math"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// spares chooses the spare target of each kind, rents what it lacks, and gives
// back what has been idle for long and is not wanted.
func (r *round) spares(q []*entry, hires []Hire, d *Decision) {
	keep := 0
	d.Spot, keep = r.spareTarget(&r.pl.spot, true, q, hires, d)
	r.giveBack(true, keep, d)
	d.Ordinary, keep = r.spareTarget(&r.pl.ordinary, false, q, hires, d)
	r.giveBack(false, keep, d)
	if len(q) == 0 && len(hires) == 0 {
		d.Drain = r.consolidate(keep)
	}
}

// pressing tells whether users expect starts of this kind of demand sooner
// than a machine boots. Only then is an idle machine worth its price; where
// they wait longer than a boot anyway, a machine rented on arrival does.
func (pl *Planner) pressing(dm *Demand, boot clock.Micros) bool {
	return dm.wait == 0 && len(pl.Waits) == 0 || dm.wait > 0 && dm.wait < boot.Seconds()
}

// part is how much of a machine a need takes, of what it takes most of.
func part(need, size allocation.Resources) float64 {
	most := 0.0
	for _, d := range [][2]int64{{need.MilliCPU, size.MilliCPU}, {need.MilliGPU, size.MilliGPU}, {need.MemoryMB, size.MemoryMB}} {
		if d[1] > 0 {
			most = max(most, float64(d[0])/float64(d[1]))
		}
	}
	return most
}

// openPart is how much of a machine is left for others: of what is shortest on it.
// Reckoned in processors alone, machines whose cards were all taken once counted as
// room for spares.
func openPart(free, size allocation.Resources) float64 { return max(1-part(size.Sub(free), size), 0) }

// settledFor is how long a replica has to run before it may be moved.
const settledFor = 45 * clock.Second

// consolidate picks an ordinary machine that is at most half used by replicas
// alone, and whose replicas all fit where there are others and their image is
// at hand: moved there they are away for a moment only, and the machine can be
// given back. The free room that the spare target keeps is not touched.
func (r *round) consolidate(keep int) *allocation.Machine {
	var best *allocation.Machine
	var spare float64
	for _, m := range r.machines {
		if m.Spot {
			continue
		}
		if m.Draining || !m.TokenConfirmed {
			return nil // one at a time
		}
		spare += openPart(m.Free(), m.Capacity)
	}
	for _, m := range r.machines {
		if m.Spot || !m.IsSchedulable() || m.IsIdle() || part(m.Used(), m.Capacity) > 0.5 || spare-1 < float64(keep) {
			continue
		}
		if best != nil && part(best.Used(), best.Capacity) <= part(m.Used(), m.Capacity) {
			continue
		}
		if r.movable(m) {
			best = m
		}
	}
	return best
}

func (r *round) movable(m *allocation.Machine) bool {
	room := map[*allocation.Machine]allocation.Resources{}
	ok := true
	m.ForEachPlacement(func(p *allocation.Placement) {
		j := p.Job
		if !ok || !j.IsService() || p.IsStopping() || p.StartedAt == 0 || r.now-p.StartedAt < settledFor || j.UnconfirmedCount() > 0 {
			ok = false
			return
		}
		placed := false
		for _, o := range r.machines {
			if o == m || o.Spot && !j.Spec.Spot || !o.IsSchedulable() || o.ReplicaCount() == 0 || part(o.Used(), o.Capacity) < part(m.Used(), m.Capacity) {
				continue
			}
			// Within a zone nothing changes for the job's wishes; else they
			// have to allow one more.
			if o.Zone != m.Zone && !allocation.IsEligible(j, o) || o.Type != m.Type && !allocation.IsEligible(j, o) {
				continue
			}
			free, seen := room[o]
			if !seen {
				free = o.Free()
			}
			if !j.Request.IsWithin(free) {
				continue
			}
			// Which of the machines it will be is settled only when it has
			// stopped: each has to have the image, or it is away for a fetch.
			if _, cached := o.ImageUsedAt[j.Spec.Image]; !cached {
				ok = false
				return
			}
			if !placed {
				room[o] = free.Sub(j.Request)
				placed = true
			}
		}
		ok = ok && placed
	})
	return ok
}

func (r *round) spareTarget(dm *Demand, spot bool, q []*entry, hires []Hire, d *Decision) (SpareReport, int) {
	p := &r.pl.P
	rep := SpareReport{Gaps: dm.Gaps.Screen(p, r.now), Runs: dm.Runs.Screen(p, r.now)}
	// The queue counts as empty when what waits will find room that is about to be
	// free: in a fleet of a thousand machines something always waits a moment.
	empty := !slices.ContainsFunc(q, func(e *entry) bool { return e.job.Spec.Spot == spot && e.left > 0 && e.short })
	services := !spot && rep.Runs.N == 0
	rep.Open = rep.Gaps.OK && (rep.Runs.OK || services) && empty && dm.Recent(r.now, p)
	if !rep.Open {
		return rep, 0
	}
	in := SpareInput{Unit: dm.unit, Lambda: dm.Rate(), Needs: dm.needs, Horizon: min(p.Horizon, p.IdleWait).Seconds()}
	var spare, beside float64 // free room in machines: in all, and on used ones
	nearest := math.Inf(1)
	active, fleet := 0, 0
	typ := ""
	for _, m := range r.machines {
		if m.Spot != spot || m.Draining || m.ReclaimAt != 0 {
			continue
		}
		typ = m.Type
		fleet++
		switch {
		case m.IsSchedulable():
			room := openPart(r.free(m), m.Capacity)
			spare += room
			if !m.IsIdle() {
				beside += room
			}
		case m.FirstHeartbeatAt == 0:
			in.Booting = append(in.Booting, max((r.pl.BootTime(m.Type, 50)-(r.now-m.CreatedAt)).Seconds(), 0))
		}
		m.ForEachPlacement(func(pc *allocation.Placement) {
			if left := r.pl.remaining(pc, r.now); left > 0 {
				nearest = min(nearest, left)
			}
			if !pc.Job.IsService() {
				active++
			}
		})
	}
	pool, ok := r.sparePool(spot, d)
	if typ == "" {
		typ = pool.Type
	}
	in.BootS = r.pl.BootTime(typ, 50).Seconds()
	for _, h := range hires {
		if h.Pool.Spot == spot {
			for i := 0; i < h.Count; i++ {
				in.Booting = append(in.Booting, in.BootS)
			}
		}
	}
	in.Ready = int(spare / dm.unit)
	switch {
	case nearest > 0 && !math.IsInf(nearest, 1):
		in.LambdaC = 1 / nearest
	case dm.run > 0:
		in.LambdaC = float64(active) / dm.run // (22), second branch
	}
	if !r.pl.pressing(dm, r.pl.BootTime(typ, 50)) {
		return rep, 0
	}
	most := p.SpareMax
	if most == 0 {
		// Spares grow with the fleet: a job may ask for tens of machines there.
		most = max(leastSpareMax, fleet/spareShare)
	}
	rep.Cost = in.Choose(p.SpareMin, max(most, p.SpareMin), p.Alpha, p.Beta)
	target := float64(rep.Cost.X) * dm.unit
	if lack := int(math.Ceil(target - spare - float64(len(in.Booting)) - 1e-9)); lack > 0 && ok {
		d.Rent = append(d.Rent, Rent{pool, lack})
	}
	// The room beside running tasks is part of the target; whole idle machines
	// are kept only for the rest of it.
	return rep, max(int(math.Ceil(target-beside-1e-9)), 0)
}

// Where no bound of the spare target is set, it is one in spareShare of the
// machines of its kind, and leastSpareMax at least.
const (
	spareShare    = 16
	leastSpareMax = 4
)

// sparePool picks where a spare machine is rented.
func (r *round) sparePool(spot bool, d *Decision) (Pool, bool) {
	var best Pool
	found := false
	for name, t := range r.pl.Types {
		for _, z := range t.Zones {
			p := Pool{name, z, spot}
			if r.now < r.pl.pool(p).blockedUntil || r.dark(z) {
				continue
			}
			// Ordinary spares are for replicas first.
			kept := !spot && r.pl.Kept[z] && !r.pl.Kept[best.Zone]
			lost := !spot && r.pl.Kept[best.Zone] && !r.pl.Kept[z]
			if !found || kept || !lost && (r.count(p) < r.count(best) || r.count(p) == r.count(best) && less(p, best)) {
				best, found = p, true
			}
		}
	}
	return best, found
}

// minimumCharge is what a deleted machine costs at least; the protocol says so.
const minimumCharge = 60 * clock.Second

// kind counts the machines of a kind.
func (r *round) kind(spot bool) int {
	n := 0
	for _, v := range r.pools {
		if v.pool.Spot == spot {
			n += v.count
		}
	}
	return n
}

// doubted tells whether tasks that may use machines of a kind are in doubt. They are
// either found on a machine or have to be started anew, all at once: once a fleet's
// idle machines were given back while two in three of its tasks were in doubt.
func (r *round) doubted(spot bool) bool {
	for _, j := range r.l.Jobs {
		if j.UnconfirmedCount() > 0 && !j.Cancelled && (j.Spec.Spot || !spot) {
			return true
		}
	}
	return false
}

// giveBack returns machines that have been idle for the wait, but for those
// that the spare target keeps.
func (r *round) giveBack(spot bool, keep int, d *Decision) {
	if r.doubted(spot) {
		return
	}
	dm := &r.pl.ordinary
	if spot {
		dm = &r.pl.spot
	}
	var idle []*allocation.Machine
	for _, m := range r.machines {
		if m.Spot == spot && m.IsSchedulable() && m.IsIdle() && r.held[m.SortIndex] == (allocation.Resources{}) {
			idle = append(idle, m)
		}
	}
	slices.SortStableFunc(idle, func(a, b *allocation.Machine) int { return -cmp.Compare(a.BecameIdleAt, b.BecameIdleAt) })
	idleWait := r.pl.P.IdleWait
	if r.kind(spot)/spareShare > leastSpareMax {
		idleWait /= 2 // the spares, which have grown with the fleet, are what is kept
	}
	for i, m := range idle {
		idle := r.now - max(m.BecameIdleAt, m.FirstHeartbeatAt)
		wait := idleWait
		if !r.pl.pressing(dm, r.pl.BootTime(m.Type, 50)) {
			wait = min(r.pl.P.LaxIdleWait, idleWait)
		}
		// The first minute is paid whether it is used or not.
		if i >= keep && idle >= wait && (r.now-m.CreatedAt >= minimumCharge || idle >= idleWait) {
			d.Return = append(d.Return, m)
		}
	}
}
