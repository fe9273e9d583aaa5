package scheduler

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// slot is a machine of the future: what will be free on it one boot time on.
type slot struct {
	free    allocation.Resources
	machine *allocation.Machine // nil if not there yet
}

// future holds the slots, pool by pool. Slots with no room left for anything
// that waits are taken out as they are met.
type future struct {
	pools []*futurePool
	least allocation.Resources
}

type futurePool struct {
	pool   Pool
	slots  []slot
	count  int // machines that are, boot, or are to be rented
	rented int // by this plan
}

func (f *future) at(p Pool) *futurePool {
	for _, v := range f.pools {
		if v.pool == p {
			return v
		}
	}
	v := &futurePool{pool: p}
	f.pools = append(f.pools, v)
	return v
}

func (f *future) put(v *futurePool, s slot) {
	v.count++
	if f.least.IsWithin(s.free) {
		v.slots = append(v.slots, s)
	}
}

// take uses up to n places of a pool; it returns how many it found.
func (f *future) take(v *futurePool, need allocation.Resources, n int) int {
	got := 0
	kept := v.slots[:0]
	for i := range v.slots {
		s := v.slots[i]
		for got < n && need.IsWithin(s.free) {
			s.free = s.free.Sub(need)
			got++
		}
		if got == n && len(kept) == i {
			v.slots[i] = s // nothing was taken out before it
			return got
		}
		if f.least.IsWithin(s.free) {
			kept = append(kept, s)
		}
	}
	v.slots = kept
	return got
}

// lookAhead works out what will be free one boot time on.
func (r *round) lookAhead(wanted []*entry, hires []Hire) *future {
	f := &future{least: wanted[0].job.Request}
	for _, e := range wanted {
		n := e.job.Request
		f.least = allocation.Resources{MilliCPU: min(f.least.MilliCPU, n.MilliCPU), MilliGPU: min(f.least.MilliGPU, n.MilliGPU), MemoryMB: min(f.least.MemoryMB, n.MemoryMB)}
	}
	boots := map[string][2]clock.Micros{}
	for _, m := range r.machines {
		if m.Draining || m.ReclaimAt != 0 || r.claims[m.SortIndex] || m.FirstHeartbeatAt != 0 && !r.pl.hears(m, r.now) {
			continue
		}
		boot, ok := boots[m.Type]
		if !ok {
			boot = [2]clock.Micros{r.pl.BootTime(m.Type, 50), r.pl.BootTime(m.Type, 95)}
			boots[m.Type] = boot
		}
		if !r.isExpected(m, boot[1]) {
			continue
		}
		s := slot{free: r.free(m), machine: m}
		m.ForEachPlacement(func(p *allocation.Placement) {
			if !p.Job.IsService() && r.pl.remaining(p, r.now) <= boot[0].Seconds() {
				s.free = s.free.Add(p.Job.Request)
			}
		})
		f.put(f.at(Pool{m.Type, m.Zone, m.Spot}), s)
	}
	for _, h := range hires {
		for i := 0; i < h.Count; i++ {
			f.put(f.at(h.Pool), slot{free: r.pl.Size(h.Pool.Type)})
		}
	}
	return f
}

// isExpected tells whether a machine that is not silent can be counted on to take tasks
// soon. One that has just come up can: it has yet to see the token, which its next report
// shows. When it was not counted on, every machine that came up was rented once more.
func (r *round) isExpected(m *allocation.Machine, longestBoot clock.Micros) bool {
	switch {
	case m.TokenConfirmed:
		return true
	case m.FirstHeartbeatAt != 0:
		return r.now-m.FirstHeartbeatAt <= r.pl.Fresh // else it is heard, but can't be told anything
	default:
		return r.now-m.CreatedAt <= longestBoot
	}
}

// rent works out the shortfall: what waits is planned in order onto what will
// be free within one boot time, and the rest is rented now.
func (r *round) rent(q []*entry, hires []Hire, d *Decision) {
	wanted := r.missed()
	for _, e := range q {
		if e.left > 0 {
			wanted = append(wanted, e)
		}
	}
	if len(wanted) == 0 {
		return
	}
	f := r.lookAhead(wanted, hires)
	var rents []*futurePool // in the order of need
	for _, e := range wanted {
		j := e.job
		zones := map[string]int{}
		n := e.left
		only := r.onlyZone(j, f)
		// most is how many more of the job's tasks a zone may have.
		most := func(zone string) int {
			if e.ahead || !j.Spec.Spread {
				return n
			}
			return min(n, j.MaxTasksPerZone()-j.CountInZone(zone)-zones[zone])
		}
		use := func(v *futurePool) {
			if n <= 0 || !poolAllowed(j, v.pool) || only != "" && v.pool.Zone != only {
				return
			}
			if k := most(v.pool.Zone); k > 0 {
				got := f.take(v, j.Request, k)
				zones[v.pool.Zone] += got
				n -= got
			}
		}
		for _, v := range f.pools {
			use(v)
		}
		if n <= 0 {
			continue
		}
		e.short = true
		if j.IsGang() && r.hopeless(e, only) {
			continue
		}
		offers := r.offers(j, e.pressed, only, f)
		for n > 0 {
			v := r.best(j, offers, func(zone string) bool { return most(zone) > 0 })
			if v == nil || v.rented >= wire.MaxHire {
				break // more than one call may ask for is for the next plan
			}
			// A new machine takes what it can of this job at once.
			s := slot{free: r.pl.Size(v.pool.Type)}
			for k := most(v.pool.Zone); k > 0 && j.Request.IsWithin(s.free); k-- {
				s.free = s.free.Sub(j.Request)
				zones[v.pool.Zone]++
				n--
			}
			f.put(v, s)
			if v.rented == 0 {
				rents = append(rents, v)
			}
			v.rented++
		}
	}
	for _, v := range rents {
		d.Rent = append(d.Rent, Rent{v.pool, v.rented})
	}
}

// hopeless tells whether a gang asks for more machines than can be had: every pool
// that it may use has refused, and all that is rented there would not do. What is
// rented for it in part would stand idle, be given back and be rented again.
func (r *round) hopeless(e *entry, only string) bool {
	places := 0
	for name, t := range r.pl.Types {
		per := r.pl.perMachine(e.job.Request, name)
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				p := Pool{name, z, spot}
				if per == 0 || !poolAllowed(e.job, p) || only != "" && z != only {
					continue
				}
				if r.pl.pool(p).refusals == 0 {
					return false
				}
				places += per * r.count(p)
			}
		}
	}
	return places < len(e.job.Tasks)
}

// onlyZone picks the zone that a job wants all its tasks in, if it wants that:
// where its tasks are, else where most of them will find room, or a pool that
// has not just refused. Machines rented in several zones would never do.
func (r *round) onlyZone(j *allocation.Job, f *future) string {
	if !j.Spec.OneZone {
		return ""
	}
	if z, ok := j.OccupiedZone(); ok {
		return z
	}
	if j.Spec.Zone != "" {
		return j.Spec.Zone
	}
	best, most := "", -1
	for _, z := range r.pl.Zones {
		n := 0
		for _, v := range f.pools {
			if v.pool.Zone != z || !poolAllowed(j, v.pool) {
				continue
			}
			for _, s := range v.slots {
				for free := s.free; n < len(j.Tasks) && j.Request.IsWithin(free); n++ {
					free = free.Sub(j.Request)
				}
			}
		}
		if len(r.offers(j, false, z, f)) > 0 {
			n = max(n, 1)
		} else if n < len(j.Tasks) {
			n = 0 // it cannot grow there now
		}
		if n > most {
			best, most = z, n
		}
	}
	return best
}

// missed lists replicas whose machine has fallen silent, or that are in doubt
// since the take-over. Nothing of them may be started yet, but where they are
// to go can boot meanwhile: when they are provably gone, a boot later is a
// boot too late.
func (r *round) missed() []*entry {
	var out []*entry
	for _, j := range r.l.Jobs {
		if !j.IsService() || j.Cancelled || j.Priority != 0 {
			continue
		}
		n := 0
		if r.now-r.pl.Since > r.pl.Fresh {
			n = j.UnconfirmedCount()
		}
		for i := range j.Tasks {
			if p := j.Tasks[i].Placement; p != nil && !p.Machine.Draining && !r.pl.hears(p.Machine, r.now) {
				n++
			}
		}
		if n > 0 {
			out = append(out, &entry{job: j, left: n, ahead: true})
		}
	}
	slices.SortFunc(out, func(a, b *entry) int { return cmp.Compare(a.job.Spec.ID, b.job.Spec.ID) })
	return out
}

func poolAllowed(j *allocation.Job, p Pool) bool {
	s := j.Spec
	if p.Spot && !s.Spot || s.Zone != "" && s.Zone != p.Zone || s.Types != nil && !slices.Contains(s.Types, p.Type) {
		return false
	}
	if s.OneZone {
		if z, ok := j.OccupiedZone(); ok && z != p.Zone {
			return false
		}
	}
	return true
}

// offer is a pool that a job may rent from, with what a task costs there.
type offer struct {
	v    *futurePool
	cost float64
}

// offers lists the pools that may be asked for a job now.
func (r *round) offers(j *allocation.Job, pressed bool, only string, f *future) []offer {
	var out []offer
	for name, t := range r.pl.Types {
		per := r.pl.perMachine(j.Request, name)
		if per == 0 {
			continue
		}
		for _, z := range t.Zones {
			if only != "" && z != only || r.dark(z) {
				continue
			}
			for _, spot := range []bool{true, false} {
				p := Pool{name, z, spot}
				if !poolAllowed(j, p) || r.now < r.pl.pool(p).blockedUntil {
					continue
				}
				if !spot && t.SpotPrice > 0 && !pressed && r.patient(j) {
					continue // worth the wait for a spot machine
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				out = append(out, offer{f.at(p), price / float64(per)})
			}
		}
	}
	return out
}

// patient tells whether a job waits for a spot machine rather than have an ordinary
// one rented. A gang does not: all its machines would have to come in that time.
func (r *round) patient(j *allocation.Job) bool {
	return j.Spec.Spot && !j.IsGang() && (j.ActiveCount() > 0 || r.now-j.AddedAt < r.pl.P.SpotPatience)
}

// best picks where to rent one more machine for a job: the cheapest by task,
// then where the job is better off, then the zone with the fewest machines, so
// that a loss hits little.
func (r *round) best(j *allocation.Job, offers []offer, open func(zone string) bool) *futurePool {
	var best *futurePool
	var cost float64
	for _, o := range offers {
		if !open(o.v.pool.Zone) {
			continue
		}
		if best == nil || o.cost < cost || o.cost == cost && r.nearer(j, o.v, best) {
			best, cost = o.v, o.cost
		}
	}
	return best
}

func (r *round) nearer(j *allocation.Job, a, b *futurePool) bool {
	switch {
	case r.rather(j, a.pool.Zone, b.pool.Zone):
		return true
	case r.rather(j, b.pool.Zone, a.pool.Zone):
		return false
	}
	return a.count < b.count || a.count == b.count && less(a.pool, b.pool)
}

func less(a, b Pool) bool {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Type, b.Type)) < 0
}
