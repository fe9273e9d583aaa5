package scheduler

import (
	"cmp"
	"math"
	"slices"

	"firwood.dev/firwood/internal/allocation"
)

// A gang starts with its last task, whole machines are rare where most tasks take a
// part of one, and room that falls free goes to the next small task before enough of
// it is free together. So a gang looks at when each place will be ready, its image
// fetched, and at what work would have to be stopped for that, and claims what costs
// least: nothing behind it in the queue is placed there. A claim lasts one plan; the
// next one makes it anew or drops it.

// seat is a place for one task of a gang. Times are seconds from now.
type seat struct {
	m     *allocation.Machine
	free  bool    // there is room now
	ends  float64 // ready, image and all, if what is there ends by itself
	stops float64 // ready if work is stopped for it
	loss  float64 // seconds of a machine's work that are lost by that
	score float64
}

// costs is what it costs to have a seat by some time.
func (s *seat) costs(by float64) float64 {
	switch {
	case s.ends <= by:
		return 0
	case s.stops <= by:
		return s.loss
	}
	return math.Inf(1)
}

const (
	// drainDoubt is what forecasts of room are stretched by: they are means.
	drainDoubt = 1.25
	// stopTakes is how long, in seconds, a task takes to be gone that saves nothing.
	stopTakes = 0.5
	// stopLoss is what a stopped task loses beside its progress: it has to be placed
	// anew, mostly with a fetch.
	stopLoss = 15
)

// seats lists where tasks of a gang could go in a zone, or anywhere.
func (r *round) seats(e *entry, zone string) []seat {
	j := e.job
	var out []seat
	for _, m := range r.machines {
		if zone != "" && m.Zone != zone || !r.usable(m) || r.claims[m.SortIndex] || !allocation.IsEligible(j, m) {
			continue
		}
		fetch, score := r.fetchTime(j, m), r.score(j, m)
		room := r.free(m) // if nothing is stopped
		var ends, vs []*allocation.Placement
		listed := false
		wait, loss, stopped := 0.0, 0.0, r.free(m)
		for range r.pl.perMachine(j.Request, m.Type) {
			s := seat{m: m, free: j.Request.IsWithin(room), ends: fetch, stops: math.Inf(1), score: score}
			if !s.free && !listed {
				listed = true
				ends, vs = r.endings(m), stoppable(m, func(p *allocation.Placement) bool { return !p.IsStopping() && r.below(e, p.Job) })
				stopped = r.room(m)
			}
			for len(ends) > 0 && !j.Request.IsWithin(room) {
				wait = drainDoubt * r.pl.remaining(ends[0], r.now)
				room = room.Add(ends[0].Job.Request)
				ends = ends[1:]
			}
			s.ends = wait + fetch
			if !j.Request.IsWithin(room) {
				s.ends = math.Inf(1)
			}
			for len(vs) > 0 && !j.Request.IsWithin(stopped) {
				loss += r.lost(vs[0])
				stopped = stopped.Add(vs[0].Job.Request)
				vs = vs[1:]
			}
			if j.Request.IsWithin(stopped) {
				s.stops, s.loss = stopTakes+fetch, loss
			}
			if math.IsInf(min(s.ends, s.stops), 1) {
				break
			}
			room, stopped = room.Sub(j.Request), stopped.Sub(j.Request)
			out = append(out, s)
		}
	}
	return out
}

// endings lists what is on a machine, what ends first first.
func (r *round) endings(m *allocation.Machine) []*allocation.Placement {
	var out []*allocation.Placement
	m.ForEachPlacement(func(p *allocation.Placement) {
		if !p.Job.IsService() || p.IsStopping() {
			out = append(out, p)
		}
	})
	slices.SortFunc(out, func(a, b *allocation.Placement) int {
		return cmp.Or(cmp.Compare(r.pl.remaining(a, r.now), r.pl.remaining(b, r.now)), cmp.Compare(a.TaskIndex, b.TaskIndex))
	})
	return out
}

// lost is what stopping a task loses, in seconds of its machine: its run since the
// last checkpoint, and a new start.
func (r *round) lost(p *allocation.Placement) float64 {
	run := r.pl.ran(p, r.now)
	if ck := p.Job.Spec.CheckpointS; ck > 0 {
		run = min(run, ck)
	}
	return (run + stopLoss) * part(p.Job.Request, p.Machine.Capacity)
}

// fetchTime is how long, in seconds, a machine takes until it has a job's image:
// fetches share its rate.
func (r *round) fetchTime(j *allocation.Job, m *allocation.Machine) float64 {
	if _, ok := m.ImageUsedAt[j.Spec.Image]; ok {
		return 0
	}
	fetch := r.pl.fetch(j, m.Type)
	if m.IsFetching(j.Spec.Image) {
		return fetch / 2 // under way, for how long is not known
	}
	return fetch * float64(1+m.FetchCount())
}

// seated picks the cheapest seats that are ready by some time for all tasks of a
// gang, and of equal ones the best; nil if there are not enough.
func seated(e *entry, seats []seat, by float64) (pick []seat, loss float64) {
	j, n := e.job, len(e.tasks)
	for _, s := range seats {
		if !math.IsInf(s.costs(by), 1) {
			pick = append(pick, s)
		}
	}
	if len(pick) < n {
		return nil, 0
	}
	slices.SortFunc(pick, func(a, b seat) int {
		return cmp.Or(cmp.Compare(a.costs(by), b.costs(by)), -cmp.Compare(a.score, b.score), cmp.Compare(a.m.SortIndex, b.m.SortIndex))
	})
	zones := map[string]int{}
	out := pick[:0]
	for _, s := range pick {
		if len(out) == n {
			break
		}
		if j.Spec.Spread && j.CountInZone(s.m.Zone)+zones[s.m.Zone] >= j.MaxTasksPerZone() {
			continue
		}
		zones[s.m.Zone]++
		loss += s.costs(by)
		out = append(out, s)
	}
	if len(out) < n {
		return nil, 0
	}
	return out, loss
}

// cheapest weighs, for a gang, every second that it waits against the work that is
// stopped to have it wait less.
func (r *round) cheapest(e *entry, seats []seat) (best []seat, by, cost float64) {
	n := float64(len(e.job.Tasks)) // all of them wait
	bound := r.claimFor(e.job, seats)
	var times []float64
	for i := range seats {
		for _, t := range []float64{seats[i].ends, seats[i].stops} {
			if t <= bound || e.aged && !math.IsInf(t, 1) {
				times = append(times, math.Ceil(t))
			}
		}
	}
	slices.Sort(times)
	cost = math.Inf(1)
	for _, t := range slices.Compact(times) {
		wait := r.pl.P.GangWeight * n * t
		if wait >= cost {
			break // later is dearer, whatever is stopped
		}
		if pick, loss := seated(e, seats, t); pick != nil && wait+loss < cost {
			best, by, cost = pick, t, wait+loss
		}
	}
	return best, by, cost
}

// claimFor bounds, in seconds, how long a gang may keep room from others: as long as
// a machine rented now would take to be ready.
func (r *round) claimFor(j *allocation.Job, seats []seat) float64 {
	typ := seats[0].m.Type
	return r.pl.BootTime(typ, 50).Seconds() + r.pl.fetch(j, typ)
}

// placeGang places all tasks of a gang, or all that it has lost before it was
// complete, or none. It may claim room instead.
func (r *round) placeGang(e *entry) int {
	j := e.job
	if len(e.tasks) != j.WaitingCount() || e.limit < len(e.tasks) {
		return 0
	}
	zones := []string{""}
	if j.Spec.OneZone {
		zones = r.pl.Zones
	}
	var best []seat
	by, cost := 0.0, math.Inf(1)
	for _, z := range zones {
		seats := r.seats(e, z)
		if len(seats) < len(e.tasks) {
			continue
		}
		if pick, t, c := r.cheapest(e, seats); c < cost {
			best, by, cost = pick, t, c
		}
	}
	switch {
	case best == nil:
		return 0
	case !slices.ContainsFunc(best, func(s seat) bool { return !s.free }):
		return r.seat(e, best)
	}
	r.claimSeats(e, best, by)
	return 0
}

// claimSeats keeps room for a gang, and stops what has to be stopped to have it by
// then. Nothing is rented for the gang as long as it has a claim.
func (r *round) claimSeats(e *entry, seats []seat, by float64) {
	e.claims = true
	need := e.job.Request
	taken := map[*allocation.Machine]int{}
	for _, s := range seats {
		taken[s.m]++
	}
	for _, s := range seats {
		m := s.m
		if r.claims[m.SortIndex] {
			continue
		}
		r.claims[m.SortIndex] = true
		want := need.Times(taken[m])
		fetch := r.fetchTime(e.job, m)
		have := r.room(m)
		for _, p := range r.endings(m) {
			if !p.IsStopping() && drainDoubt*r.pl.remaining(p, r.now)+fetch <= by {
				have = have.Add(p.Job.Request)
			}
		}
		for _, p := range stoppable(m, func(p *allocation.Placement) bool {
			return !p.IsStopping() && r.below(e, p.Job) && drainDoubt*r.pl.remaining(p, r.now)+fetch > by
		}) {
			if want.IsWithin(have) {
				break
			}
			r.stop(p)
			have = have.Add(p.Job.Request)
		}
		free := m.Free()
		r.held[m.SortIndex] = allocation.Resources{MilliCPU: min(want.MilliCPU, free.MilliCPU), MilliGPU: min(want.MilliGPU, free.MilliGPU), MemoryMB: min(want.MemoryMB, free.MemoryMB)}
	}
}

// seat places a gang on seats that are free.
func (r *round) seat(e *entry, seats []seat) int {
	j := e.job
	if !j.StartsRecorded {
		for _, s := range seats {
			r.hold(s.m, j.Request)
		}
		return len(seats)
	}
	attempt := j.GangAttempt
	if attempt == 0 {
		attempt = r.l.NextAttempt()
	}
	for k, s := range seats {
		if r.l.PlaceTask(j, e.tasks[k], s.m, attempt, r.now) != nil {
			r.l.StopJob(j, 0) // cannot start whole; what was decided is undone
			return 0
		}
	}
	return len(seats)
}
