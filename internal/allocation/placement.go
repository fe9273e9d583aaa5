package allocation

import (
	"errors"
	"math"
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Phase is how much is known of a placement.
type Phase uint8

// Phases of a placement.
const (
	// Assigned: decided, not yet sent.
	Assigned Phase = iota
	// Sent: the start may or may not have arrived.
	Sent
	// Present: the worker has reported it.
	Present
)

// Placement is a task that is, or may be, on a machine.
type Placement struct {
	Job     *Job
	Index   int
	Attempt uint64
	Machine *Machine
	Phase   Phase
	State   string       // as last reported
	Since   clock.Micros // when it was decided or adopted
	Started clock.Micros // when it was first seen with its image
	// RunAt is when it was first seen running: a gang's task waits for the others.
	RunAt clock.Micros

	// Adopted: an earlier leader started it, so when it began is not known.
	Adopted bool
	// Saved: it was stopped, and its progress is safe.
	Saved bool

	// Stray: not the task's place by the ledger's will; it is to be stopped.
	Stray bool
	id    string

	sentSeq   uint64 // seq of the report whose answer carried the start
	directOut int    // direct starts without an answer yet
	late      bool   // a direct start may still arrive
	stop      bool
	grace     clock.Micros
	stopSent  clock.Micros
	seen      uint64 // the last report that listed it, by the ledger's count
	decision  uint64 // the number of the decision that it may begin

	// Forecast is when the planner expects it to end, worked out at ForecastAt;
	// it is the planner's to use.
	Forecast, ForecastAt clock.Micros
}

// Stopping tells whether the placement is to end.
func (p *Placement) Stopping() bool { return p.stop }

// Errors of Place.
var (
	ErrState = errors.New("ledger: the task or machine is not free for this")
	ErrPlace = errors.New("ledger: the job does not allow this place")
	ErrLimit = errors.New("ledger: the team's limit does not allow it")
	ErrRoom  = errors.New("ledger: the machine has no room")
)

// Attempt returns a number greater than every earlier one.
func (l *Ledger) Attempt() uint64 {
	l.counter++
	return l.token<<20 | l.counter&(1<<20-1)
}

// WithinLimit tells whether a team may use that much more.
func (l *Ledger) WithinLimit(team string, more Resources) bool {
	lim := l.cfg.Teams[team]
	u := l.TeamUse(team).Add(more)
	return (lim.CPUMax == 0 || u.CPU <= lim.CPUMax) && (lim.GPUMax == 0 || u.GPU <= lim.GPUMax)
}

// Allowed tells whether the job's own wishes allow the machine now, its other
// tasks considered.
func Allowed(j *Job, m *Machine) bool {
	s := j.Spec
	if m.Spot && !s.Spot || s.Zone != "" && s.Zone != m.Zone {
		return false
	}
	if s.Types != nil && !slices.Contains(s.Types, m.Type) {
		return false
	}
	if s.OneZone {
		if j.doubts > 0 {
			return false
		}
		if z, ok := j.OnlyZone(); ok && z != m.Zone {
			return false
		}
	}
	if s.Spread && j.InZone(m.Zone)+1 > j.SpreadLimit() {
		return false
	}
	return true
}

// Replaceable tells whether a gang waits for tasks that it has lost before it was
// seen running: others with the same attempt complete it, while stopping the rest
// would give up the images that they fetch.
func (j *Job) Replaceable() bool {
	return j.Gang() && j.Attempt != 0 && !j.Broken && !j.UnderWay && !j.Withdrawn && j.doubts == 0
}

// Place decides that a waiting task goes to a machine.
func (l *Ledger) Place(j *Job, i int, m *Machine, attempt uint64, now clock.Micros) error {
	t := &j.Tasks[i]
	if t.State != Waiting || t.Doubt || t.Place != nil || j.Withdrawn || !j.Marked || !m.Usable() {
		return ErrState
	}
	if j.Gang() && j.Attempt != 0 && (j.Attempt != attempt || !j.Replaceable()) {
		return ErrState
	}
	id := wire.TaskID(j.Spec.ID, i)
	if m.Lists(id) {
		return ErrState
	}
	if !Allowed(j, m) {
		return ErrPlace
	}
	if !l.WithinLimit(j.Spec.Team, j.Need) {
		return ErrLimit
	}
	if !j.Need.Fits(m.Free()) {
		return ErrRoom
	}
	if j.Gang() {
		j.Attempt = attempt
	}
	l.put(&Placement{Job: j, Index: i, Attempt: attempt, Machine: m, Since: now, id: id})
	return nil
}

// put books a placement.
func (l *Ledger) put(p *Placement) {
	j, m := p.Job, p.Machine
	l.decideStarted(p)
	m.places[p.id] = p
	m.used = m.used.Add(j.Need)
	u := l.teamUse(l.use, j.Spec.Team)
	*u = u.Add(j.Need)
	j.byZone[m.Zone]++
	j.active++
	if j.Service() {
		m.replicas++
	}
	m.fetchFor(j.Spec.Image, 1)
	l.toSend(m)
	if !p.Stray {
		t := &j.Tasks[p.Index]
		if t.Doubt && t.Place == nil {
			l.doubtUse(j, -1)
		}
		t.Place = p
		if t.State == Waiting {
			t.State = Placed
			j.waiting--
		}
	}
}

func (m *Machine) fetchFor(image string, n int) {
	if m.fetching == nil {
		m.fetching = map[string]int{}
	}
	if m.fetching[image] += n; m.fetching[image] <= 0 {
		delete(m.fetching, image)
	}
}

// end takes a placement off the books; the caller has the proof.
func (l *Ledger) end(p *Placement, why string, now clock.Micros) {
	j, m := p.Job, p.Machine
	if m.places[p.id] != p {
		return
	}
	delete(m.places, p.id)
	m.used = m.used.Sub(j.Need)
	u := l.teamUse(l.use, j.Spec.Team)
	*u = u.Sub(j.Need)
	j.byZone[m.Zone]--
	j.active--
	if j.Service() {
		m.replicas--
	}
	if p.Started != 0 {
		j.Running--
		m.Images[j.Spec.Image] = now
	} else {
		m.fetchFor(j.Spec.Image, -1)
	}
	if len(m.places) == 0 {
		m.IdleAt = now
	}
	if p.late || p.directOut > 0 {
		m.lateIDs[attemptKey{p.id, p.Attempt}] = true
	}
	t := &j.Tasks[p.Index]
	if why != wire.WhyDone && p.RunAt != 0 && j.Spec.CheckpointS > 0 {
		t.Progress += (now - p.RunAt).Seconds()
		if !p.Saved {
			t.Progress = math.Floor(t.Progress/j.Spec.CheckpointS) * j.Spec.CheckpointS
		}
		j.Progress = max(j.Progress, t.Progress)
	}
	if t.Place == p {
		l.unplace(j, t)
		if why == wire.WhyDone {
			l.complete(j, p.Index)
		} else if j.Gang() && t.State != Done && (j.UnderWay || why == wire.WhyPeers || why == wire.WhyError) {
			l.breakGang(j)
		}
	}
	if j.Gang() && j.active == 0 {
		j.Attempt, j.Broken, j.UnderWay = 0, false, false
	}
	l.decideOver(p)
	l.Ended = append(l.Ended, Ending{p, why})
}

// unplace takes a task's place from it.
func (l *Ledger) unplace(j *Job, t *Task) {
	t.Place = nil
	if t.Doubt {
		l.doubtUse(j, 1)
	}
	if t.State == Placed {
		t.State = Waiting
		j.waiting++
	}
}

// breakGang ends an attempt of which a task is gone.
func (l *Ledger) breakGang(j *Job) {
	if j.Broken || j.active == 0 {
		return
	}
	j.Broken = true
	for i := range j.Tasks {
		if p := j.Tasks[i].Place; p != nil {
			l.Stop(p, 0)
		}
	}
}

// Stop asks that a placement ends, with time to save if it can.
func (l *Ledger) Stop(p *Placement, grace clock.Micros) {
	if p.Phase == Assigned && p.directOut == 0 && !p.late {
		l.end(p, wire.WhyStopped, p.Since)
		return
	}
	if p.stop && grace >= p.grace {
		return
	}
	p.stop, p.grace, p.stopSent = true, grace, 0
	l.toSend(p.Machine)
}

// StopJob stops all tasks of a gang together, or one task otherwise.
func (l *Ledger) StopJob(j *Job, grace clock.Micros) {
	for i := range j.Tasks {
		if p := j.Tasks[i].Place; p != nil {
			l.Stop(p, grace)
		}
	}
	if j.Gang() && j.active > 0 {
		j.Broken = true
	}
}
