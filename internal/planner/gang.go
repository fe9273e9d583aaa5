package planner

import (
	"cmp"
	"math"
	"slices"

	"firwood.dev/firwood/internal/ledger"
)

// A gang starts with its last task, whole machines are rare where most tasks take a
// part of one, and room that falls free goes to the next small task before enough of
// it is free together. So a gang looks at when each place will be ready, its image
// fetched, and claims the soonest: nothing behind it in the queue is placed there. A
// claim lasts one plan; the next one makes it anew or drops it.

// seat is a place for one task of a gang.
type seat struct {
	m     *ledger.Machine
	wait  float64 // seconds until there is room; 0: now
	ready float64 // seconds until the image is there too
	score float64
}

const (
	// claimMargin is by how many seconds a claim has to beat what is free now.
	claimMargin = 3
	// drainDoubt is what forecasts of room are stretched by: they are means.
	drainDoubt = 1.25
)

// seats lists where tasks of a gang could go in a zone, or anywhere, the soonest
// ready first.
func (r *round) seats(j *ledger.Job, zone string) []seat {
	var out []seat
	for _, m := range r.machines {
		if zone != "" && m.Zone != zone || !r.usable(m) || r.claimed(m) || !ledger.Allowed(j, m) {
			continue
		}
		room := r.free(m)
		fetch := r.fetchTime(j, m)
		score := r.score(j, m)
		var ends []*ledger.Placement
		next, wait := 0, 0.0
		for range r.pl.perMachine(j.Need, m.Type) {
			for !j.Need.Fits(room) {
				if next == 0 {
					m.Places(func(p *ledger.Placement) { ends = append(ends, p) })
					slices.SortFunc(ends, func(a, b *ledger.Placement) int {
						return cmp.Or(cmp.Compare(r.pl.remaining(a, r.now), r.pl.remaining(b, r.now)), cmp.Compare(a.Index, b.Index))
					})
				}
				if next >= len(ends) {
					break
				}
				wait = drainDoubt * r.pl.remaining(ends[next], r.now)
				room = room.Add(ends[next].Job.Need)
				next++
			}
			if !j.Need.Fits(room) || math.IsInf(wait, 1) {
				break
			}
			room = room.Sub(j.Need)
			out = append(out, seat{m, wait, wait + fetch, score})
		}
	}
	slices.SortFunc(out, func(a, b seat) int {
		return cmp.Or(cmp.Compare(a.ready, b.ready), -cmp.Compare(a.score, b.score), cmp.Compare(a.m.Rank, b.m.Rank))
	})
	return out
}

// fetchTime is how long, in seconds, a machine takes until it has a job's image:
// fetches share its rate.
func (r *round) fetchTime(j *ledger.Job, m *ledger.Machine) float64 {
	if _, ok := m.Images[j.Spec.Image]; ok {
		return 0
	}
	fetch := r.pl.fetch(j, m.Type)
	if m.Fetching(j.Spec.Image) {
		return fetch / 2 // under way, for how long is not known
	}
	return fetch * float64(1+m.Fetches())
}

// seated picks seats for all tasks of a gang, nil if there are not enough: as soon
// as they can all be ready, and of those that are ready by then the best.
func seated(j *ledger.Job, seats []seat) []seat {
	n := len(j.Tasks)
	if len(seats) < n {
		return nil
	}
	by := seats[n-1].ready
	for zones := map[string]int{}; j.Spec.Spread; {
		// The n soonest may be too many in one zone.
		clear(zones)
		got := 0
		for _, s := range seats {
			if zones[s.m.Zone] < j.SpreadLimit() && got < n {
				zones[s.m.Zone]++
				got++
				by = s.ready
			}
		}
		if got < n {
			return nil
		}
		break
	}
	k := len(seats)
	for k > 0 && seats[k-1].ready > by {
		k--
	}
	pick := slices.Clone(seats[:k])
	slices.SortStableFunc(pick, func(a, b seat) int { return -cmp.Compare(a.score, b.score) })
	out := pick[:0]
	zones := map[string]int{}
	for _, s := range pick {
		if len(out) < n && (!j.Spec.Spread || zones[s.m.Zone] < j.SpreadLimit()) {
			zones[s.m.Zone]++
			out = append(out, s)
		}
	}
	return out
}

// last is when the last of the seats is ready.
func last(seats []seat) float64 {
	by := 0.0
	for _, s := range seats {
		by = max(by, s.ready)
	}
	return by
}

// placeGang places all tasks of a gang, or none. It may claim room instead.
func (r *round) placeGang(e *entry) int {
	j := e.job
	if len(e.tasks) != len(j.Tasks) || e.limit < len(j.Tasks) {
		return 0
	}
	zones := []string{""}
	if j.Spec.OneZone {
		zones = r.pl.Zones
	}
	var now, later []seat // the soonest of what is free, and of all
	for _, z := range zones {
		all := r.seats(j, z)
		free := slices.DeleteFunc(slices.Clone(all), func(s seat) bool { return s.wait > 0 })
		if s := seated(j, free); s != nil && (now == nil || last(s) < last(now)) {
			now = s
		}
		if s := seated(j, all); s != nil && (later == nil || last(s) < last(later)) {
			later = s
		}
	}
	switch {
	case now != nil && last(now) <= last(later)+claimMargin:
		return r.seat(e, now)
	case later != nil && (e.aged || last(later) <= r.claimFor(j, later)):
		r.claimSeats(e, later)
	}
	return 0
}

// claimFor bounds, in seconds, how long a gang may keep room from others: as long as
// a machine rented now would take to be ready.
func (r *round) claimFor(j *ledger.Job, seats []seat) float64 {
	typ := seats[0].m.Type
	return r.pl.BootTime(typ, 50).Seconds() + r.pl.fetch(j, typ)
}

// claimSeats keeps room for a gang: nothing else is placed there by this plan, and
// nothing is rented or stopped for the gang.
func (r *round) claimSeats(e *entry, seats []seat) {
	e.claims = true
	for _, s := range seats {
		r.held[s.m.Rank] = s.m.Free()
		r.claims[s.m.Rank] = true
	}
}

func (r *round) claimed(m *ledger.Machine) bool { return r.claims[m.Rank] }

// seat places a gang on seats that are free.
func (r *round) seat(e *entry, seats []seat) int {
	j := e.job
	if !j.Marked {
		for _, s := range seats {
			r.hold(s.m, j.Need)
		}
		return len(seats)
	}
	attempt := r.l.Attempt()
	for k, s := range seats {
		if r.l.Place(j, e.tasks[k], s.m, attempt, r.now) != nil {
			r.l.StopJob(j, 0) // cannot start whole; what was decided is undone
			return 0
		}
	}
	return len(seats)
}
