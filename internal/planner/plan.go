package planner

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/ledger"
	"firwood.dev/firwood/wire"
)

// Pool is what the cloud rents from: a type, a zone, a kind.
type Pool struct {
	Type, Zone string
	Spot       bool
}

// poolState is what refusals have taught of a pool.
type poolState struct {
	blockedUntil clock.Micros
	refusals     int
}

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
	Mark   []*ledger.Job
	Rent   []Rent
	Return []*ledger.Machine
	// Drain is a machine whose replicas go to others, nil if none.
	Drain *ledger.Machine
	// Spot and Ordinary tell how the spare targets came about.
	Spot, Ordinary SpareReport
}

// SpareReport is the record of one choice of a spare target.
type SpareReport struct {
	Gaps, Runs Verdict
	Open       bool // the screen passed, the queue is empty, an arrival is recent
	Cost       SpareCost
}

// Planner holds what is learnt.
type Planner struct {
	P     Params
	Types map[string]wire.MachineType
	Teams map[string]ledger.Team
	Zones []string

	// Due are the times within which users expect jobs to be done, in seconds
	// by class, where a job has no deadline of its own.
	Due map[string]float64
	// Fresh is how long ago a machine that can be heard may have reported last;
	// Since is when this leader took over.
	Fresh, Since clock.Micros
	// Waits are the shortest waits that users expect, in seconds by class.
	Waits map[string]float64

	runs     map[string]*RunTimes
	spot     Demand
	ordinary Demand
	boots    map[string]*hdrhistogram.Histogram
	pools    map[Pool]*poolState
}

// New makes a planner that has learnt nothing.
func New(p Params, types []wire.MachineType, teams map[string]ledger.Team, zones []string) *Planner {
	pl := &Planner{
		P: p, Types: map[string]wire.MachineType{}, Teams: teams, Zones: zones,
		runs: map[string]*RunTimes{}, boots: map[string]*hdrhistogram.Histogram{}, pools: map[Pool]*poolState{},
	}
	for _, t := range types {
		pl.Types[t.Name] = t
	}
	return pl
}

// Class returns the run times of a class.
func (pl *Planner) Class(name string) *RunTimes {
	r := pl.runs[name]
	if r == nil {
		r = &RunTimes{}
		pl.runs[name] = r
	}
	return r
}

func (pl *Planner) demand(j *ledger.Job) *Demand {
	if j.Spec.Spot {
		return &pl.spot
	}
	return &pl.ordinary
}

// Size is what a machine of a type holds.
func (pl *Planner) Size(typ string) ledger.Resources {
	t := pl.Types[typ]
	return ledger.FromAmounts(t.CPUs, t.GPUs, t.MemoryGB)
}

// perMachine is how many tasks of a job a machine of a type holds.
func (pl *Planner) perMachine(need ledger.Resources, typ string) int {
	size := pl.Size(typ)
	n := math.MaxInt32
	for _, d := range [][2]int64{{need.CPU, size.CPU}, {need.GPU, size.GPU}, {need.Mem, size.Mem}} {
		if d[0] > 0 {
			n = min(n, int(d[1]/d[0]))
		}
	}
	return n
}

// share is how much of machines a job takes in all, of the type that holds most
// of its tasks.
func (pl *Planner) share(j *ledger.Job) float64 {
	best := 0
	for name := range pl.Types {
		if j.Spec.Types == nil || slices.Contains(j.Spec.Types, name) {
			best = max(best, pl.perMachine(j.Need, name))
		}
	}
	return float64(len(j.Tasks)) / float64(max(best, 1))
}

// Machines is a job's need in machines of the type that holds most of it.
func (pl *Planner) Machines(j *ledger.Job) int {
	return max(int(math.Ceil(pl.share(j)-1e-9)), 1)
}

// Arrived takes a new job.
func (pl *Planner) Arrived(j *ledger.Job, now clock.Micros) {
	if w, ok := pl.Waits[j.Spec.Class]; ok {
		d := pl.demand(j)
		if d.wait == 0 || w < d.wait {
			d.wait = w
		}
	}
	pl.demand(j).Arrived(now, pl.Machines(j), pl.share(j), &pl.P)
}

// Finished takes a task's run time.
func (pl *Planner) Finished(j *ledger.Job, seconds float64, now clock.Micros) {
	pl.Class(j.Spec.Class).Observe(j.Spec.EstimateS, seconds, pl.P.SmoothService)
	pl.demand(j).Finished(now, seconds, &pl.P)
}

// Booted takes the time that a machine took to report.
func (pl *Planner) Booted(typ string, d clock.Micros) {
	h := pl.boots[typ]
	if h == nil {
		h = hdrhistogram.New(1, int64(3600*clock.Second/clock.Millisecond), 2)
		pl.boots[typ] = h
	}
	// A value past the histogram's bound says no more than the bound does.
	_ = h.RecordValue(min(max(int64(d/clock.Millisecond), 1), h.HighestTrackableValue()))
}

// BootTime is a learnt quantile of a type's boot time; before there are
// samples it rests on the nominal figure.
func (pl *Planner) BootTime(typ string, quantile float64) clock.Micros {
	nominal := clock.FromSeconds(pl.Types[typ].BootS)
	if h := pl.boots[typ]; h != nil && h.TotalCount() >= 8 {
		return clock.Micros(h.ValueAtQuantile(quantile)) * clock.Millisecond
	}
	if quantile > 90 {
		return nominal + nominal/2 // usually 0.6 to 1.5 times the figure
	}
	return nominal
}

// StuckAfter is how long a machine may boot before it is given up.
func (pl *Planner) StuckAfter(typ string) clock.Micros {
	return 2*pl.BootTime(typ, 95) + 2*clock.Second
}

// Refused takes an empty pool; it is left alone for a growing while.
func (pl *Planner) Refused(p Pool, now clock.Micros) {
	s := pl.pool(p)
	s.refusals++
	wait := min(clock.Second<<min(s.refusals, 5), 20*clock.Second)
	s.blockedUntil = now + wait
}

// Granted takes how much of a rental was filled.
func (pl *Planner) Granted(p Pool, asked, got int, now clock.Micros) {
	s := pl.pool(p)
	if got >= asked {
		s.refusals, s.blockedUntil = 0, 0
		return
	}
	pl.Refused(p, now)
}

func (pl *Planner) pool(p Pool) *poolState {
	s := pl.pools[p]
	if s == nil {
		s = &poolState{}
		pl.pools[p] = s
	}
	return s
}

// remaining predicts the rest of a placement's run, in seconds.
func (pl *Planner) remaining(p *ledger.Placement, now clock.Micros) float64 {
	if p.Job.Service() {
		return math.Inf(1)
	}
	if p.Stopping() {
		return 0.5
	}
	r := pl.Class(p.Job.Spec.Class)
	if p.Started == 0 {
		fetch := 0.0
		if t, ok := pl.Types[p.Machine.Type]; ok && t.FetchGBPerS > 0 {
			fetch = p.Job.Spec.ImageGB / t.FetchGBPerS
		}
		return fetch + r.Predict(p.Job.Spec.EstimateS)
	}
	return r.Remaining(p.Job.Spec.EstimateS, (now - p.Started).Seconds())
}

// entry is a waiting job in the order of the plan.
type entry struct {
	job   *ledger.Job
	owed  bool
	tight bool // can still be in time, if it starts soon
	ahead bool // its tasks are not known to be gone yet
	need  int
	run   float64
	tasks []int // waiting tasks that may be placed now
	left  int   // of those, not placed by this plan
	limit int   // of those, allowed by the team's limit
}

// owed tells which jobs fit into their team's guarantee together with the
// team's earlier unfinished jobs.
func (pl *Planner) owed(l *ledger.Ledger) map[*ledger.Job]bool {
	byTeam := map[string][]*ledger.Job{}
	for _, j := range l.Jobs {
		if g := pl.Teams[j.Spec.Team]; !j.Withdrawn && !j.Complete() && (g.CPU > 0 || g.GPU > 0) {
			byTeam[j.Spec.Team] = append(byTeam[j.Spec.Team], j)
		}
	}
	out := map[*ledger.Job]bool{}
	for team, jobs := range byTeam {
		slices.SortFunc(jobs, func(a, b *ledger.Job) int {
			return cmp.Or(cmp.Compare(a.Submitted, b.Submitted), cmp.Compare(a.Spec.ID, b.Spec.ID))
		})
		g := pl.Teams[team]
		var sum ledger.Resources
		for _, j := range jobs {
			sum = sum.Add(j.Need.Times(len(j.Tasks)))
			if (g.CPU == 0 && sum.CPU > 0) || sum.CPU > g.CPU || sum.GPU > g.GPU {
				break
			}
			out[j] = true
		}
	}
	return out
}

// queue lists the waiting jobs in SNF order, inside rank and guarantee.
func (pl *Planner) queue(l *ledger.Ledger, owed map[*ledger.Job]bool, now, wall clock.Micros) []*entry {
	var q []*entry
	for _, j := range l.Jobs {
		if j.Withdrawn || j.WaitingCount() == 0 || j.WaitingCount() == j.Doubts() {
			continue
		}
		e := &entry{job: j, owed: owed[j], need: 1, run: pl.Class(j.Spec.Class).Predict(j.Spec.EstimateS)}
		e.tight = pl.tight(j, e.run, wall)
		if j.Gang() {
			e.need = pl.Machines(j)
			// A gang starts whole, or waits.
			if j.Doubts() > 0 || j.Active() > 0 {
				continue
			}
		}
		held := false
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if t.State != ledger.Waiting || t.Doubt || t.Place != nil {
				continue
			}
			if t.NotBefore > now {
				held = true
				continue
			}
			e.tasks = append(e.tasks, i)
		}
		if len(e.tasks) == 0 || held && j.Gang() {
			continue
		}
		e.left = len(e.tasks)
		q = append(q, e)
	}
	slices.SortFunc(q, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(a.job.Priority, b.job.Priority),
			-cmp.Compare(btoi(a.owed), btoi(b.owed)),
			-cmp.Compare(btoi(a.tight), btoi(b.tight)),
			cmp.Compare(a.need, b.need),
			cmp.Compare(a.run, b.run),
			cmp.Compare(a.job.Submitted, b.job.Submitted),
			cmp.Compare(a.job.Spec.ID, b.job.Spec.ID))
	})
	return q
}

// tight tells whether a job's time has come: its run still fits before its due
// time, with little to spare. By need and run time alone, the last tasks of a
// long job wait for every shorter one that comes. A job that is late anyway has
// no such claim.
func (pl *Planner) tight(j *ledger.Job, run float64, wall clock.Micros) bool {
	due := j.Spec.DeadlineS
	if due == 0 {
		due = pl.Due[j.Spec.Class]
	}
	if due == 0 || j.Service() {
		return false
	}
	slack := due - (wall - j.Submitted).Seconds() - run
	return slack >= 0 && slack < max(run/4, tightSlack)
}

// tightSlack is the least slack, in seconds, that makes a job go first.
const tightSlack = 20

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// round is the working state of one plan.
type round struct {
	pl       *Planner
	l        *ledger.Ledger
	now      clock.Micros
	machines []*ledger.Machine
	held     map[*ledger.Machine]ledger.Resources // promised to jobs not yet marked
	fetching map[*ledger.Machine]map[string]bool
	services map[*ledger.Machine]int     // replicas on it
	busy     map[*ledger.Machine]float64 // seconds until its last task ends
}

func (r *round) free(m *ledger.Machine) ledger.Resources { return m.Free().Sub(r.held[m]) }

// Plan places what fits, and works out what to rent and to give back; wall is
// the time of day, which deadlines are reckoned in.
func (pl *Planner) Plan(l *ledger.Ledger, now, wall clock.Micros, hires []Hire) Decision {
	r := &round{pl: pl, l: l, now: now, held: map[*ledger.Machine]ledger.Resources{}, fetching: map[*ledger.Machine]map[string]bool{},
		services: map[*ledger.Machine]int{}, busy: map[*ledger.Machine]float64{}}
	for _, m := range l.Machines {
		r.machines = append(r.machines, m)
	}
	slices.SortFunc(r.machines, func(a, b *ledger.Machine) int { return cmp.Compare(a.Name, b.Name) })
	for _, m := range r.machines {
		f := map[string]bool{}
		m.Places(func(p *ledger.Placement) {
			if p.Job.Service() {
				r.services[m]++
			}
			r.busy[m] = max(r.busy[m], r.pl.remaining(p, now))
			if p.Started == 0 && !p.Stopping() {
				f[p.Job.Spec.Image] = true
			}
		})
		r.fetching[m] = f
	}
	var d Decision
	owed := pl.owed(l)
	q := pl.queue(l, owed, now, wall)
	for _, e := range q {
		e.limit = r.allowance(e.job)
		var placed int
		if e.job.Gang() {
			placed = r.placeGang(e)
		} else {
			placed = r.placeTasks(e)
		}
		if placed > 0 && !e.job.Marked {
			d.Mark = append(d.Mark, e.job)
		}
		e.left = min(e.left, e.limit) - placed
	}
	r.preempt(q, owed)
	r.rent(q, hires, &d)
	r.spares(q, hires, &d)
	return d
}

// allowance is how many more tasks of a job its team's limit allows.
func (r *round) allowance(j *ledger.Job) int {
	g := r.pl.Teams[j.Spec.Team]
	u := r.l.TeamUse(j.Spec.Team)
	n := len(j.Tasks)
	if g.CPUMax > 0 && j.Need.CPU > 0 {
		n = min(n, int((g.CPUMax-u.CPU)/j.Need.CPU))
	}
	if g.GPUMax > 0 && j.Need.GPU > 0 {
		n = min(n, int((g.GPUMax-u.GPU)/j.Need.GPU))
	}
	n = max(n, 0)
	if j.Gang() && n < len(j.Tasks) {
		return 0
	}
	return n
}

// score orders machines for a job: the kind that it should use, the image at
// hand, then the fullest, so that others run empty and can be given back.
func (r *round) score(j *ledger.Job, m *ledger.Machine) float64 {
	s := 0.0
	if j.Spec.Spot == m.Spot {
		s += 100
	}
	if j.Service() && r.services[m] > 0 {
		// Replicas stay for long, and a machine that has one cannot be given
		// back: they go together.
		s += 50
	}
	if _, ok := m.Images[j.Spec.Image]; ok {
		s += 20
	} else if r.fetching[m][j.Spec.Image] {
		s += 10
	}
	if n := j.ErrorsOn[m.Name]; n > 0 {
		s -= 1000
	}
	if !j.Service() {
		// A machine is paid for until its last task ends: a task goes where it
		// prolongs that least.
		run := r.pl.Class(j.Spec.Class).Predict(j.Spec.EstimateS)
		longer := max(run-r.busy[m], 0)
		s -= 8 * longer / (longer + 30)
	}
	if m.Cap.CPU > 0 {
		s += 5 * float64(m.Used().CPU+r.held[m].CPU) / float64(m.Cap.CPU)
	}
	return s
}

// candidates lists the machines that a job may use now, best first.
func (r *round) candidates(j *ledger.Job, usable func(*ledger.Machine) bool) []*ledger.Machine {
	type scored struct {
		m *ledger.Machine
		s float64
	}
	var c []scored
	for _, m := range r.machines {
		if !usable(m) || !ledger.Allowed(j, m) {
			continue
		}
		c = append(c, scored{m, r.score(j, m)})
	}
	sort.SliceStable(c, func(a, b int) bool { return c[a].s > c[b].s })
	out := make([]*ledger.Machine, len(c))
	for i := range c {
		out[i] = c[i].m
	}
	return out
}

func (r *round) hold(m *ledger.Machine, need ledger.Resources) { r.held[m] = r.held[m].Add(need) }

// placeTasks places independent tasks.
func (r *round) placeTasks(e *entry) int {
	j := e.job
	most := min(len(e.tasks), e.limit)
	if most <= 0 {
		return 0
	}
	placed := 0
	next := 0
	zones := map[string]int{}
	put := func(m *ledger.Machine) bool {
		if !j.Need.Fits(r.free(m)) || j.Spec.Spread && j.InZone(m.Zone)+zones[m.Zone] >= j.SpreadLimit() {
			return false
		}
		if !j.Marked {
			// Its mark has to be durable first; the room is kept until then.
			r.hold(m, j.Need)
			zones[m.Zone]++
		} else if r.l.Place(j, e.tasks[next], m, r.l.Attempt(), r.now) != nil {
			return false
		}
		placed++
		next++
		return true
	}
	c := r.candidates(j, (*ledger.Machine).Usable)
	if j.Spec.Spread {
		// One by one, to the zone that has the fewest.
		for placed < most {
			slices.SortStableFunc(c, func(a, b *ledger.Machine) int {
				return cmp.Compare(j.InZone(a.Zone)+zones[a.Zone], j.InZone(b.Zone)+zones[b.Zone])
			})
			if !slices.ContainsFunc(c, put) {
				break
			}
		}
		return placed
	}
	for _, m := range c {
		for placed < most && put(m) {
		}
		if placed == most {
			break
		}
	}
	return placed
}

// placeGang places all tasks of a gang, or none.
func (r *round) placeGang(e *entry) int {
	j := e.job
	if len(e.tasks) != len(j.Tasks) || e.limit < len(j.Tasks) {
		return 0
	}
	try := func(zone string) []*ledger.Machine {
		spots := make([]*ledger.Machine, 0, len(e.tasks))
		zones := map[string]int{}
		for _, m := range r.candidates(j, (*ledger.Machine).Usable) {
			if zone != "" && m.Zone != zone {
				continue
			}
			room := r.free(m)
			for len(spots) < len(e.tasks) && j.Need.Fits(room) {
				if j.Spec.Spread && zones[m.Zone] >= j.SpreadLimit() {
					break
				}
				room = room.Sub(j.Need)
				zones[m.Zone]++
				spots = append(spots, m)
			}
		}
		if len(spots) < len(e.tasks) {
			return nil
		}
		return spots
	}
	var spots []*ledger.Machine
	if j.Spec.OneZone {
		for _, z := range r.pl.Zones {
			if spots = try(z); spots != nil {
				break
			}
		}
	} else {
		spots = try("")
	}
	if spots == nil {
		return 0
	}
	if !j.Marked {
		for _, m := range spots {
			r.hold(m, j.Need)
		}
		return len(spots)
	}
	attempt := r.l.Attempt()
	for k, m := range spots {
		if r.l.Place(j, e.tasks[k], m, attempt, r.now) != nil {
			r.l.StopJob(j, 0) // cannot start whole; what was decided is undone
			return 0
		}
	}
	return len(spots)
}

// preempt stops work to make room for jobs of higher rank, and for jobs that
// their team's guarantee covers. What loses least goes first.
func (r *round) preempt(q []*entry, owed map[*ledger.Job]bool) {
	freeing := map[*ledger.Machine]ledger.Resources{}
	for _, m := range r.machines {
		m.Places(func(p *ledger.Placement) {
			if p.Stopping() {
				freeing[m] = freeing[m].Add(p.Job.Need)
			}
		})
	}
	claimed := map[*ledger.Machine]ledger.Resources{}
	room := func(m *ledger.Machine) ledger.Resources {
		return r.free(m).Add(freeing[m]).Sub(claimed[m])
	}
	for _, e := range q {
		j := e.job
		if e.left <= 0 || j.Priority != 0 && !e.owed {
			continue
		}
		mayStop := func(p *ledger.Placement) bool {
			v := p.Job
			if p.Stopping() || v.Gang() || v == j {
				return false
			}
			return v.Priority > j.Priority || e.owed && !owed[v] && v.Spec.Team != j.Spec.Team && v.Priority >= j.Priority && !v.Service()
		}
		if j.Gang() {
			r.preemptForGang(j, room, mayStop, freeing, claimed)
			continue
		}
		zones := map[string]int{}
		for n := e.left; n > 0; n-- {
			var best *ledger.Machine
			var victims []*ledger.Placement
			loss := math.Inf(1)
			for _, m := range r.candidates(j, (*ledger.Machine).Usable) {
				if j.Spec.Spread && j.InZone(m.Zone)+zones[m.Zone] >= j.SpreadLimit() {
					continue
				}
				have := room(m)
				var vs []*ledger.Placement
				cost := 0.0
				if !j.Need.Fits(have) {
					vs = stoppable(m, mayStop)
					k := 0
					for ; k < len(vs) && !j.Need.Fits(have); k++ {
						have = have.Add(vs[k].Job.Need)
						cost += (r.now - vs[k].Since).Seconds() * float64(vs[k].Job.Need.CPU)
					}
					vs = vs[:k]
					if !j.Need.Fits(have) {
						continue
					}
				}
				if cost < loss {
					best, victims, loss = m, vs, cost
				}
			}
			if best == nil {
				break
			}
			for _, p := range victims {
				freeing[best] = freeing[best].Add(p.Job.Need)
				r.l.Stop(p, 0)
			}
			claimed[best] = claimed[best].Add(j.Need)
			zones[best.Zone]++
			e.left--
		}
	}
}

// preemptForGang stops work so that a whole gang finds room, or stops nothing.
func (r *round) preemptForGang(j *ledger.Job, room func(*ledger.Machine) ledger.Resources, mayStop func(*ledger.Placement) bool,
	freeing, claimed map[*ledger.Machine]ledger.Resources) {
	zones := []string{""}
	if j.Spec.OneZone {
		zones = r.pl.Zones
	}
	for _, zone := range zones {
		var victims []*ledger.Placement
		taken := map[*ledger.Machine]int{}
		byZone := map[string]int{}
		left := len(j.Tasks)
		machines := r.candidates(j, (*ledger.Machine).Usable)
		// First what is free, or is being freed, then what has to be stopped.
		for i, m := range append(slices.Clone(machines), machines...) {
			if left == 0 || zone != "" && m.Zone != zone {
				continue
			}
			var vs []*ledger.Placement
			if i >= len(machines) {
				vs = stoppable(m, mayStop)
			}
			have := room(m).Sub(j.Need.Times(taken[m]))
			for left > 0 && !(j.Spec.Spread && byZone[m.Zone] >= j.SpreadLimit()) {
				k := 0
				with := have
				for ; k < len(vs) && !j.Need.Fits(with); k++ {
					with = with.Add(vs[k].Job.Need)
				}
				if !j.Need.Fits(with) {
					break
				}
				victims = append(victims, vs[:k]...)
				vs = vs[k:]
				have = with.Sub(j.Need)
				taken[m]++
				byZone[m.Zone]++
				left--
			}
		}
		if left > 0 {
			continue
		}
		for _, p := range victims {
			freeing[p.Machine] = freeing[p.Machine].Add(p.Job.Need)
			r.l.Stop(p, 0)
		}
		for m, n := range taken {
			claimed[m] = claimed[m].Add(j.Need.Times(n))
		}
		return
	}
}

// stoppable lists what may be stopped on a machine, what started last first.
func stoppable(m *ledger.Machine, mayStop func(*ledger.Placement) bool) []*ledger.Placement {
	var vs []*ledger.Placement
	m.Places(func(p *ledger.Placement) {
		if mayStop(p) {
			vs = append(vs, p)
		}
	})
	slices.SortFunc(vs, func(a, b *ledger.Placement) int {
		return cmp.Or(-cmp.Compare(a.Since, b.Since), cmp.Compare(a.Index, b.Index))
	})
	return vs
}

// slot is a machine of the future: what will be free on it one boot time on.
type slot struct {
	pool    Pool
	free    ledger.Resources
	machine *ledger.Machine // nil if not there yet
}

// rent works out the shortfall: what waits is planned in order onto what will
// be free within one boot time, and the rest is rented now.
func (r *round) rent(q []*entry, hires []Hire, d *Decision) {
	var slots []*slot
	for _, m := range r.machines {
		if m.Draining || m.TakenAt != 0 || m.UpAt != 0 && r.now-max(m.Heard, r.pl.Since) > r.pl.Fresh {
			continue
		}
		s := &slot{pool: Pool{m.Type, m.Zone, m.Spot}, free: r.free(m), machine: m}
		boot := r.pl.BootTime(m.Type, 50).Seconds()
		if !m.Synced {
			if m.UpAt == 0 && r.now-m.Since > r.pl.BootTime(m.Type, 95) || m.UpAt != 0 {
				continue // overdue, or silent: not to be counted on
			}
		}
		m.Places(func(p *ledger.Placement) {
			if r.pl.remaining(p, r.now) <= boot {
				s.free = s.free.Add(p.Job.Need)
			}
		})
		slots = append(slots, s)
	}
	for _, h := range hires {
		for i := 0; i < h.Count; i++ {
			slots = append(slots, &slot{pool: h.Pool, free: r.pl.Size(h.Pool.Type)})
		}
	}
	count := map[Pool]int{}
	for _, s := range slots {
		count[s.pool]++
	}
	var rents []*Rent // in the order of need
	for _, e := range append(r.missed(), q...) {
		j := e.job
		if e.left <= 0 {
			continue
		}
		zones := map[string]int{}
		n := e.left
		only := r.onlyZone(j, slots)
		fits := func(s *slot) bool {
			p := s.pool
			if !poolAllowed(j, p) || !j.Need.Fits(s.free) || only != "" && p.Zone != only {
				return false
			}
			return e.ahead || !j.Spec.Spread || j.InZone(p.Zone)+zones[p.Zone] < j.SpreadLimit()
		}
		take := func(s *slot) {
			s.free = s.free.Sub(j.Need)
			zones[s.pool.Zone]++
			n--
		}
		for _, s := range slots {
			for n > 0 && fits(s) {
				take(s)
			}
		}
		for n > 0 {
			p, ok := r.bestPool(j, e.ahead, only, zones, count)
			if !ok {
				break
			}
			s := &slot{pool: p, free: r.pl.Size(p.Type)}
			if !fits(s) {
				break
			}
			slots = append(slots, s)
			count[p]++
			i := slices.IndexFunc(rents, func(r *Rent) bool { return r.Pool == p })
			if i < 0 {
				i = len(rents)
				rents = append(rents, &Rent{Pool: p})
			}
			rents[i].Count++
			for n > 0 && fits(s) {
				take(s)
			}
		}
	}
	for _, r := range rents {
		d.Rent = append(d.Rent, Rent{r.Pool, min(r.Count, wire.MaxHire)})
	}
}

// onlyZone picks the zone that a job wants all its tasks in, if it wants that:
// where its tasks are, else where most of them will find room, or a pool that
// has not just refused. Machines rented in several zones would never do.
func (r *round) onlyZone(j *ledger.Job, slots []*slot) string {
	if !j.Spec.OneZone {
		return ""
	}
	if z, ok := j.OnlyZone(); ok {
		return z
	}
	if j.Spec.Zone != "" {
		return j.Spec.Zone
	}
	best, most := "", -1
	for _, z := range r.pl.Zones {
		n := 0
		for _, s := range slots {
			if s.pool.Zone == z && poolAllowed(j, s.pool) {
				for free := s.free; n < len(j.Tasks) && j.Need.Fits(free); n++ {
					free = free.Sub(j.Need)
				}
			}
		}
		if _, ok := r.bestPool(j, false, z, nil, nil); ok {
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
		if !j.Service() || j.Withdrawn || j.Priority != 0 {
			continue
		}
		n := 0
		if r.now-r.pl.Since > r.pl.Fresh {
			n = j.Doubts()
		}
		for i := range j.Tasks {
			if p := j.Tasks[i].Place; p != nil && !p.Machine.Draining && r.now-max(p.Machine.Heard, r.pl.Since) > r.pl.Fresh {
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

func poolAllowed(j *ledger.Job, p Pool) bool {
	s := j.Spec
	if p.Spot && !s.Spot || s.Zone != "" && s.Zone != p.Zone || s.Types != nil && !slices.Contains(s.Types, p.Type) {
		return false
	}
	if s.OneZone {
		if z, ok := j.OnlyZone(); ok && z != p.Zone {
			return false
		}
	}
	return true
}

// bestPool picks where to rent one more machine for a job: the cheapest by
// task, then the zone with the fewest machines, so that a loss hits little.
func (r *round) bestPool(j *ledger.Job, ahead bool, only string, zones map[string]int, count map[Pool]int) (Pool, bool) {
	var best Pool
	var cost float64
	found := false
	for name, t := range r.pl.Types {
		per := r.pl.perMachine(j.Need, name)
		if per == 0 {
			continue
		}
		for _, z := range t.Zones {
			if only != "" && z != only {
				continue
			}
			for _, spot := range []bool{true, false} {
				p := Pool{name, z, spot}
				if !poolAllowed(j, p) || r.now < r.pl.pool(p).blockedUntil {
					continue
				}
				if j.Spec.Spot && !spot && t.SpotPrice > 0 && (j.Active() > 0 || r.now-j.Seen < r.pl.P.SpotPatience) {
					continue // worth the wait for a spot machine
				}
				if !ahead && j.Spec.Spread && j.InZone(z)+zones[z] >= j.SpreadLimit() {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				c := price/float64(per) + 1e-6*float64(count[p])
				if !found || c < cost || c == cost && less(p, best) {
					best, cost, found = p, c, true
				}
			}
		}
	}
	return best, found
}

func less(a, b Pool) bool {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Type, b.Type)) < 0
}

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

// settledFor is how long a replica has to run before it may be moved.
const settledFor = 45 * clock.Second

// consolidate picks an ordinary machine that is at most half used by replicas
// alone, and whose replicas all fit where there are others and their image is
// at hand: moved there they are away for a moment only, and the machine can be
// given back. The free room that the spare target keeps is not touched.
func (r *round) consolidate(keep int) *ledger.Machine {
	var best *ledger.Machine
	var spare float64
	for _, m := range r.machines {
		if m.Spot {
			continue
		}
		if m.Draining || !m.Synced {
			return nil // one at a time
		}
		spare += float64(m.Free().CPU) / float64(max(m.Cap.CPU, 1))
	}
	for _, m := range r.machines {
		if m.Spot || !m.Usable() || m.Idle() || 2*m.Used().CPU > m.Cap.CPU || spare-1 < float64(keep) {
			continue
		}
		if best != nil && best.Used().CPU <= m.Used().CPU {
			continue
		}
		if r.movable(m) {
			best = m
		}
	}
	return best
}

func (r *round) movable(m *ledger.Machine) bool {
	room := map[*ledger.Machine]ledger.Resources{}
	ok := true
	m.Places(func(p *ledger.Placement) {
		j := p.Job
		if !ok || !j.Service() || p.Stopping() || p.Started == 0 || r.now-p.Started < settledFor || j.Doubts() > 0 {
			ok = false
			return
		}
		placed := false
		for _, o := range r.machines {
			if o == m || o.Spot && !j.Spec.Spot || !o.Usable() || r.services[o] == 0 || o.Used().CPU < m.Used().CPU {
				continue
			}
			// Within a zone nothing changes for the job's wishes; else they
			// have to allow one more.
			if o.Zone != m.Zone && !ledger.Allowed(j, o) || o.Type != m.Type && !ledger.Allowed(j, o) {
				continue
			}
			free, seen := room[o]
			if !seen {
				free = o.Free()
			}
			if !j.Need.Fits(free) {
				continue
			}
			// Which of the machines it will be is settled only when it has
			// stopped: each has to have the image, or it is away for a fetch.
			if _, cached := o.Images[j.Spec.Image]; !cached {
				ok = false
				return
			}
			if !placed {
				room[o] = free.Sub(j.Need)
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
	empty := !slices.ContainsFunc(q, func(e *entry) bool { return e.job.Spec.Spot == spot && e.left > 0 })
	services := !spot && rep.Runs.N == 0
	rep.Open = rep.Gaps.OK && (rep.Runs.OK || services) && empty && dm.Recent(r.now, p)
	if !rep.Open {
		return rep, 0
	}
	in := SpareInput{Unit: dm.unit, Lambda: dm.Rate(), Needs: dm.needs, Horizon: min(p.Horizon, p.IdleWait).Seconds()}
	var spare, beside float64 // free room in machines: in all, and on used ones
	nearest := math.Inf(1)
	active := 0
	typ := ""
	for _, m := range r.machines {
		if m.Spot != spot || m.Draining || m.TakenAt != 0 {
			continue
		}
		typ = m.Type
		switch {
		case m.Usable():
			room := float64(r.free(m).CPU) / float64(max(m.Cap.CPU, 1))
			spare += room
			if !m.Idle() {
				beside += room
			}
		case m.UpAt == 0:
			in.Booting = append(in.Booting, max((r.pl.BootTime(m.Type, 50)-(r.now-m.Since)).Seconds(), 0))
		}
		m.Places(func(pc *ledger.Placement) {
			if left := r.pl.remaining(pc, r.now); left > 0 {
				nearest = min(nearest, left)
			}
			if !pc.Job.Service() {
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
	rep.Cost = in.Choose(p.SpareMin, p.SpareMax, p.Alpha, p.Beta)
	target := float64(rep.Cost.X) * dm.unit
	if lack := int(math.Ceil(target - spare - float64(len(in.Booting)) - 1e-9)); lack > 0 && ok {
		d.Rent = append(d.Rent, Rent{pool, lack})
	}
	// The room beside running tasks is part of the target; whole idle machines
	// are kept only for the rest of it.
	return rep, max(int(math.Ceil(target-beside-1e-9)), 0)
}

// sparePool picks where a spare machine is rented.
func (r *round) sparePool(spot bool, d *Decision) (Pool, bool) {
	count := map[Pool]int{}
	for _, m := range r.machines {
		count[Pool{m.Type, m.Zone, m.Spot}]++
	}
	var best Pool
	found := false
	for name, t := range r.pl.Types {
		for _, z := range t.Zones {
			p := Pool{name, z, spot}
			if r.now < r.pl.pool(p).blockedUntil {
				continue
			}
			if !found || count[p] < count[best] || count[p] == count[best] && less(p, best) {
				best, found = p, true
			}
		}
	}
	return best, found
}

// minimumCharge is what a deleted machine costs at least; the protocol says so.
const minimumCharge = 60 * clock.Second

// giveBack returns machines that have been idle for the wait, but for those
// that the spare target keeps.
func (r *round) giveBack(spot bool, keep int, d *Decision) {
	dm := &r.pl.ordinary
	if spot {
		dm = &r.pl.spot
	}
	var idle []*ledger.Machine
	for _, m := range r.machines {
		if m.Spot == spot && m.Usable() && m.Idle() && r.held[m] == (ledger.Resources{}) {
			idle = append(idle, m)
		}
	}
	slices.SortStableFunc(idle, func(a, b *ledger.Machine) int { return -cmp.Compare(a.IdleAt, b.IdleAt) })
	for i, m := range idle {
		idle := r.now - max(m.IdleAt, m.UpAt)
		wait := r.pl.P.IdleWait
		if !r.pl.pressing(dm, r.pl.BootTime(m.Type, 50)) {
			wait = r.pl.P.LaxIdleWait
		}
		// The first minute is paid whether it is used or not.
		if i >= keep && idle >= wait && (r.now-m.Since >= minimumCharge || idle >= r.pl.P.IdleWait) {
			d.Return = append(d.Return, m)
		}
	}
}

// SetTypes takes what the cloud has on offer.
func (pl *Planner) SetTypes(types []wire.MachineType) {
	pl.Types = map[string]wire.MachineType{}
	for _, t := range types {
		pl.Types[t.Name] = t
	}
}

// Ends predicts how long a placement will still run.
func (pl *Planner) Ends(p *ledger.Placement, now clock.Micros) clock.Micros {
	r := pl.remaining(p, now)
	if math.IsInf(r, 1) || r > 1e6 {
		return math.MaxInt64
	}
	return clock.FromSeconds(r)
}
