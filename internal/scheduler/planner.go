package scheduler

import (
	"maps"
	"math"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
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

// Planner holds what is learnt.
type Planner struct {
	P     Params
	Types map[string]wire.MachineType
	Teams map[string]allocation.TeamQuota
	Zones []string

	// Due are the times within which users expect jobs to be done, in seconds
	// by class, where a job has no deadline of its own.
	Due map[string]float64
	// Fresh is how long ago a machine that can be heard may have reported last;
	// Since is when this leader took over, Awake since when it has been able to
	// hear.
	Fresh, Since, Awake clock.Micros
	// Kept are the zones in which somebody can keep leases alive in a cut; nil
	// where nobody can anywhere.
	Kept map[string]bool
	// Waits are the shortest waits that users expect, in seconds by class.
	Waits map[string]float64

	runs     map[string]*RunTimes
	spot     Demand
	ordinary Demand
	boots    map[string]*bootTimes
	pools    map[Pool]*poolState

	// Memory that plans use again.
	held   []allocation.Resources
	busy   []float64
	claims []bool
}

// New makes a planner that has learnt nothing.
func New(p Params, types []wire.MachineType, teams map[string]allocation.TeamQuota, zones []string) *Planner {
	pl := &Planner{
		P: p, Types: map[string]wire.MachineType{}, Teams: teams, Zones: zones,
		runs: map[string]*RunTimes{}, boots: map[string]*bootTimes{}, pools: map[Pool]*poolState{},
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

// Classes lists the classes of which run times are known.
func (pl *Planner) Classes() []string { return slices.Sorted(maps.Keys(pl.runs)) }

func (pl *Planner) demand(j *allocation.Job) *Demand {
	if j.Spec.Spot {
		return &pl.spot
	}
	return &pl.ordinary
}

// Size is what a machine of a type holds.
func (pl *Planner) Size(typ string) allocation.Resources {
	t := pl.Types[typ]
	return allocation.NewResources(t.CPUs, t.GPUs, t.MemoryGB)
}

// perMachine is how many tasks of a job a machine of a type holds.
func (pl *Planner) perMachine(need allocation.Resources, typ string) int {
	size := pl.Size(typ)
	n := math.MaxInt32
	for _, d := range [][2]int64{{need.MilliCPU, size.MilliCPU}, {need.MilliGPU, size.MilliGPU}, {need.MemoryMB, size.MemoryMB}} {
		if d[0] > 0 {
			n = min(n, int(d[1]/d[0]))
		}
	}
	return n
}

// share is how much of machines a job takes in all, of the type that holds most
// of its tasks.
func (pl *Planner) share(j *allocation.Job) float64 {
	best := 0
	for name := range pl.Types {
		if j.Spec.Types == nil || slices.Contains(j.Spec.Types, name) {
			best = max(best, pl.perMachine(j.Request, name))
		}
	}
	return float64(len(j.Tasks)) / float64(max(best, 1))
}

// Machines is a job's need in machines of the type that holds most of it.
func (pl *Planner) Machines(j *allocation.Job) int {
	return max(int(math.Ceil(pl.share(j)-1e-9)), 1)
}

// Arrived takes a new job.
func (pl *Planner) Arrived(j *allocation.Job, now clock.Micros) {
	if w, ok := pl.Waits[j.Spec.Class]; ok {
		d := pl.demand(j)
		if d.wait == 0 || w < d.wait {
			d.wait = w
		}
	}
	pl.demand(j).Arrived(now, pl.Machines(j), pl.share(j), &pl.P)
}

// Finished takes a task's run time.
func (pl *Planner) Finished(j *allocation.Job, seconds float64, now clock.Micros) {
	pl.Class(j.Spec.Class).Observe(j.Spec.EstimateS, seconds, pl.P.SmoothService)
	pl.demand(j).Finished(seconds, &pl.P)
}

// Ran takes a job's run time, the mean of its tasks'. The screen rests on jobs, as
// arrivals do: the tasks of an array are no draws of their own, and a thousand of
// them from a few jobs never fit anything.
func (pl *Planner) Ran(j *allocation.Job, seconds float64, now clock.Micros) {
	pl.demand(j).Runs.Add(now, seconds)
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
func (pl *Planner) remaining(p *allocation.Placement, now clock.Micros) float64 {
	if p.Job.IsService() {
		return math.Inf(1)
	}
	if p.IsStopping() {
		return 0.5
	}
	if p.ForecastMadeAt != 0 && now-p.ForecastMadeAt < forecastFor && p.ForecastEndAt > now {
		return (p.ForecastEndAt - now).Seconds()
	}
	left := pl.forecast(p, now)
	p.ForecastEndAt, p.ForecastMadeAt = now+clock.FromSeconds(left), now
	return left
}

// forecastFor is how long a forecast is good for. Thousands of tasks run at a
// time, and what is known of one changes little within a second.
const forecastFor = 1 * clock.Second

func (pl *Planner) forecast(p *allocation.Placement, now clock.Micros) float64 {
	j := p.Job
	safe := j.Tasks[p.TaskIndex].CheckpointedSeconds
	if j.IsGang() {
		safe = j.CheckpointedSeconds
	}
	if p.StartedAt == 0 {
		return pl.fetch(j, p.Machine.Type) + max(pl.expect(j)-safe, 0)
	}
	age := safe
	if p.RunningAt != 0 {
		age += (now - p.RunningAt).Seconds()
	}
	return pl.Class(j.Spec.Class).Remaining(j.Spec.EstimateS, age)
}

// ran is for how long, in seconds, a placement has had its place. One that an earlier
// leader began was found at any time of its run: in the mean half of it is over.
func (pl *Planner) ran(p *allocation.Placement, now clock.Micros) float64 {
	run := (now - p.CreatedAt).Seconds()
	if p.Adopted && !p.Job.IsService() {
		run += pl.expect(p.Job) / 2
	}
	return run
}

// expect predicts how long a task of a job runs (46).
func (pl *Planner) expect(j *allocation.Job) float64 {
	return pl.Class(j.Spec.Class).Predict(j.Spec.EstimateS)
}

// fetch is how long, in seconds, a machine of a type takes to fetch a job's image.
func (pl *Planner) fetch(j *allocation.Job, typ string) float64 {
	if t, ok := pl.Types[typ]; ok && t.FetchGBPerS > 0 {
		return j.Spec.ImageGB / t.FetchGBPerS
	}
	return 0
}

// hears tells whether a machine has reported lately, as far as this leader could
// have heard it.
func (pl *Planner) hears(m *allocation.Machine, now clock.Micros) bool {
	return now-max(m.LastHeartbeatAt, pl.Since, pl.Awake) <= pl.Fresh
}

// SetTypes takes what the cloud has on offer.
func (pl *Planner) SetTypes(types []wire.MachineType) {
	pl.Types = map[string]wire.MachineType{}
	for _, t := range types {
		pl.Types[t.Name] = t
	}
}

// Ends predicts how long a placement will still run.
func (pl *Planner) Ends(p *allocation.Placement, now clock.Micros) clock.Micros {
	r := pl.remaining(p, now)
	if math.IsInf(r, 1) || r > 1e6 {
		return math.MaxInt64
	}
	return clock.FromSeconds(r)
}
