// Package ledger owns the answer to one question: which task may be on which
// machine. It is pure: time and messages come in, facts and commands go out.
//
// The invariants, which the generated histories of the tests hold it to:
//
//  1. A (task, attempt) that was sent to a machine may be there until: a newer
//     report by (session, seq), which the machine made after it could no longer
//     take the command, lacks it or shows it exited; or the session has grown;
//     or the cloud has answered the machine's deletion; or the machine's lease
//     has provably run out.
//  2. A start in a report's answer is dead once the worker sends another
//     report; what it answers to a direct message meanwhile proves nothing of
//     it. A start sent straight to the worker, whose answer is missing,
//     stays possible until the session grows, the machine is gone, or the
//     worker has seen a higher token. An attempt is never forgotten while such
//     a start may be on its way: it would run again.
//     A start that was sent straight and answered may come again, as a copy: its
//     attempt is not forgotten before the worker has seen a higher token than
//     that of the start. For that the token rises now and then.
//  3. Attempts of a task only grow, over all leaders: the token is their upper
//     part.
//  4. What an earlier leader started is in doubt until every machine that may
//     have existed then is accounted for, or until a report made under our token
//     has the task: one from before may be a late copy. Doubt counts as running for
//     tasks, team limits, zones and spread.
//  5. A result is durable before its task is forgotten.
//  6. Type, zone, kind, team limit and the job's other tasks are checked again
//     when a start is put into a message.
package ledger

import (
	"cmp"
	"errors"
	"math"
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Resources are amounts in whole thousandths.
type Resources struct{ CPU, GPU, Mem int64 }

// FromAmounts converts the wire's decimal amounts.
func FromAmounts(cpus, gpus, memoryGB float64) Resources {
	r := func(f float64) int64 { return int64(math.Round(f * 1000)) }
	return Resources{r(cpus), r(gpus), r(memoryGB)}
}

// Add returns the sum.
func (a Resources) Add(b Resources) Resources {
	return Resources{a.CPU + b.CPU, a.GPU + b.GPU, a.Mem + b.Mem}
}

// Sub returns the difference.
func (a Resources) Sub(b Resources) Resources {
	return Resources{a.CPU - b.CPU, a.GPU - b.GPU, a.Mem - b.Mem}
}

// Times returns n times the amounts.
func (a Resources) Times(n int) Resources {
	return Resources{a.CPU * int64(n), a.GPU * int64(n), a.Mem * int64(n)}
}

// Fits tells whether a fits into b.
func (a Resources) Fits(b Resources) bool { return a.CPU <= b.CPU && a.GPU <= b.GPU && a.Mem <= b.Mem }

// Team is a team's guarantee and limit; a limit of 0 is none.
type Team struct {
	CPU, GPU       int64
	CPUMax, GPUMax int64
}

// Config holds what a ledger has to know of its world.
type Config struct {
	Token uint64
	Lease clock.Micros
	Teams map[string]Team
	// MayFence bounds how long after a withdrawal a start that can no longer be
	// called back may be met by a start and a stop in one message.
	MayFence clock.Micros
}

// TaskState is where a task stands.
type TaskState uint8

// States of a task.
const (
	Waiting TaskState = iota
	Placed
	Done
)

// Task is one task of a job.
type Task struct {
	State TaskState
	// Doubt: an earlier leader may have started it somewhere. It may have a place
	// all the same, as told by what may be a late copy of a report.
	Doubt bool
	// Durable: its completion is in the state service.
	Durable bool
	Fails   uint8
	Place   *Placement
	// NotBefore holds a failed task back.
	NotBefore clock.Micros
	// Progress is how many seconds of its run are safe in a checkpoint, as far as
	// this leader has seen. Predictions use it; nothing else rests on it.
	Progress float64
}

// Job is an accepted job that is not over, or whose tasks are not all gone.
type Job struct {
	Spec     *wire.Job
	Need     Resources
	Priority int
	// Submitted is the time of day from which its waits count: its submission, or
	// the end of the last job that it awaited.
	Submitted clock.Micros
	// Deadline is the time of day by which it should be done, by its own wish or
	// for those that await it; 0: there is none.
	Deadline    clock.Micros
	Seen        clock.Micros // steady clock, when this leader learnt of it
	Withdrawn   bool
	WithdrawnAt clock.Micros
	// Marked: the state service knows that tasks of it may have been started.
	Marked bool
	Tasks  []Task

	gang    bool
	service bool
	doubts  int
	done    int
	durable int
	active  int // placements
	waiting int
	byZone  map[string]int
	// Attempt of a gang in progress, 0 if none; Broken: it has to end; Under way: it
	// has been seen running, all its tasks together.
	Attempt  uint64
	Broken   bool
	UnderWay bool
	Running  int
	// ErrorsOn counts failures by machine.
	ErrorsOn   map[string]int
	Errors     int
	Restarts   int
	FirstStart clock.Micros // steady clock
	// Aged: it was begun because it had waited too long.
	Aged bool
	// Progress is the most that is safe of any task; a gang's tasks share it.
	Progress float64
}

// Gang tells whether the job's tasks run together.
func (j *Job) Gang() bool { return j.gang }

// Service tells whether the job runs until it is withdrawn.
func (j *Job) Service() bool { return j.service }

// DoneCount is the number of completed tasks.
func (j *Job) DoneCount() int { return j.done }

// WaitingCount is the number of tasks that are neither placed nor done.
func (j *Job) WaitingCount() int { return j.waiting }

// Active is the number of placements, doubtful ones not included.
func (j *Job) Active() int { return j.active }

// Doubts is the number of tasks in doubt.
func (j *Job) Doubts() int { return j.doubts }

// Places calls f for every task's placement, strays left out.
func (j *Job) Places(f func(*Placement)) {
	for i := range j.Tasks {
		if p := j.Tasks[i].Place; p != nil {
			f(p)
		}
	}
}

// Complete tells whether every task is done.
func (j *Job) Complete() bool { return j.done == len(j.Tasks) }

// InZone counts the job's tasks that are, or may be, in a zone.
func (j *Job) InZone(zone string) int { return j.byZone[zone] + j.doubts }

// OnlyZone returns the zone that the job's tasks are in, if there is one.
func (j *Job) OnlyZone() (string, bool) {
	for z, n := range j.byZone {
		if n > 0 {
			return z, true
		}
	}
	return "", false
}

// SpreadLimit is how many tasks may be in one zone.
func (j *Job) SpreadLimit() int { return (len(j.Tasks) + 1) / 2 }

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

	// Forecast is when the planner expects it to end, worked out at ForecastAt;
	// it is the planner's to use.
	Forecast, ForecastAt clock.Micros
}

// Stopping tells whether the placement is to end.
func (p *Placement) Stopping() bool { return p.stop }

// exit is an exited attempt that the worker still lists.
type exit struct {
	id      string
	attempt uint64
	job     *Job
	index   int
	done    bool
}

type attemptKey struct {
	id      string
	attempt uint64
}

// Machine is a machine that exists, or may.
type Machine struct {
	Name, Type, Zone, Addr string
	Spot                   bool
	Cap                    Resources
	// Recorded: the state service names it. Only then may it get tasks.
	Recorded bool
	Session  uint64
	Seq      uint64
	Heard    clock.Micros // when the last newer report came
	// Synced: it has reported under this token.
	Synced bool
	// Accounted: nothing of an earlier leader can be on it unseen.
	Accounted bool
	// Draining: it gets nothing new.
	Draining bool
	// TakenAt is when the cloud takes it back, 0 if not announced.
	TakenAt clock.Micros
	// Images that it has fetched, with when each was last used.
	Images map[string]clock.Micros
	Since  clock.Micros // when this leader learnt of it
	UpAt   clock.Micros // when it was first heard
	IdleAt clock.Micros // since when it has nothing to do
	// DeafUntil: a direct message got no answer lately, so until then it is not
	// known that the worker can be told anything, though it may be heard.
	DeafUntil clock.Micros
	// said are images that it is said to hold in a session, see Says.
	said   []string
	saidIn uint64
	// HeldUntil: tasks fail there for a cause that is not its own, so until then it
	// gets nothing new.
	HeldUntil clock.Micros
	// FaultyJobs counts the jobs that failed on it.
	FaultyJobs map[string]bool

	// Rank is its place in ByName, as of the last call of that.
	Rank int

	granted  clock.Micros // its lease may be counted from here
	used     Resources
	places   map[string]*Placement
	replicas int
	fetching map[string]int // placements that have not run yet, by image
	outbox   bool           // listed in the ledger's outbox
	exits    []exit
	lateIDs  map[attemptKey]bool // attempts that a late direct start may bring back
	// sent are the tokens of direct starts, of which copies may come, by attempt;
	// token is the highest that the worker has said it has seen.
	sent    map[attemptKey]uint64
	token   uint64
	directs bool // a direct message is out
	// Reports of sessions before this one are void.
	minSession uint64
}

// Used is what its placements take.
func (m *Machine) Used() Resources { return m.used }

// Free is what is left for new tasks.
func (m *Machine) Free() Resources { return m.Cap.Sub(m.used) }

// Replicas is how many tasks of services are, or may be, on it.
func (m *Machine) Replicas() int { return m.replicas }

// Fetching tells whether a task that has not run yet waits for the image.
func (m *Machine) Fetching(image string) bool { return m.fetching[image] > 0 }

// Fetches is how many images tasks on it wait for; they share its rate.
func (m *Machine) Fetches() int { return len(m.fetching) }

// Tasks is how many placements are on it.
func (m *Machine) Tasks() int { return len(m.places) }

// Idle tells that nothing is, or may be, on it.
func (m *Machine) Idle() bool { return len(m.places) == 0 }

// Usable tells that it may get tasks.
func (m *Machine) Usable() bool { return m.Recorded && m.Synced && !m.Draining && m.TakenAt == 0 }

// Places calls f for every placement on it.
func (m *Machine) Places(f func(*Placement)) {
	for _, p := range m.places {
		f(p)
	}
}

// Lists tells whether the worker still lists some attempt of the task.
func (m *Machine) Lists(id string) bool {
	if _, ok := m.places[id]; ok {
		return true
	}
	for i := range m.exits {
		if m.exits[i].id == id {
			return true
		}
	}
	return false
}

// Ending tells how a placement ended.
type Ending struct {
	Placement *Placement
	// Why is a cause of the wire, or "vanished".
	Why string
}

// WhyVanished marks a task that was on a machine, or may have been, and is
// provably no longer there, without a report of its exit.
const WhyVanished = "vanished"

// Ledger is a leader's account. It is made anew at every take-over.
type Ledger struct {
	cfg      Config
	Jobs     map[string]*Job
	Machines map[string]*Machine
	use      map[string]*Resources
	doubt    map[string]*Resources
	counter  uint64
	// token is what messages carry, issued the highest that may be seen: it is told
	// to those who are delegates before it is used. Both begin as the lock's.
	token, issued uint64
	startsHeld    bool // see HoldStarts
	heldBack      bool // an attempt was not forgotten for want of a higher token
	open          int  // machines not accounted for
	settled       bool
	delegated     clock.Micros // others may have answered workers until then
	// delegatedIn is the same for zones of which more is known.
	delegatedIn map[string]clock.Micros
	reports     uint64 // counts those taken, to mark what each listed
	byName      []*Machine
	outbox      []*Machine // machines that something may have to be sent to

	// Ended collects how placements ended, until it is taken.
	Ended []Ending
	// Begun collects placements first seen running, until it is taken.
	Begun []*Placement
}

// New makes an empty ledger; Settle opens it once the machines and jobs that
// existed at the take-over are in it.
func New(cfg Config) *Ledger {
	return &Ledger{
		cfg: cfg, Jobs: map[string]*Job{}, Machines: map[string]*Machine{},
		use: map[string]*Resources{}, doubt: map[string]*Resources{}, token: cfg.Token, issued: cfg.Token,
	}
}

// Settle ends the rebuilding from the state service.
func (l *Ledger) Settle() {
	l.settled = true
	l.checkAccounts()
}

// Accounted tells that nothing is in doubt any more.
func (l *Ledger) Accounted() bool { return l.settled && l.open == 0 }

// ByName lists the machines in the order of their names. It is made anew only
// when machines came or went.
func (l *Ledger) ByName() []*Machine {
	if l.byName == nil {
		l.byName = make([]*Machine, 0, len(l.Machines))
		for _, m := range l.Machines {
			l.byName = append(l.byName, m)
		}
		slices.SortFunc(l.byName, func(a, b *Machine) int { return cmp.Compare(a.Name, b.Name) })
		for i, m := range l.byName {
			m.Rank = i
		}
	}
	return l.byName
}

func (l *Ledger) teamUse(m map[string]*Resources, team string) *Resources {
	r := m[team]
	if r == nil {
		r = &Resources{}
		m[team] = r
	}
	return r
}

// TeamUse is what a team's tasks take, or may take.
func (l *Ledger) TeamUse(team string) Resources {
	return l.teamUse(l.use, team).Add(*l.teamUse(l.doubt, team))
}

// AddJob takes an accepted job. Before Settle, a marked job's tasks are in
// doubt, unless their completion is durable.
func (l *Ledger) AddJob(spec *wire.Job, submitted, now clock.Micros, marked bool, durable func(int) bool) *Job {
	j := &Job{
		Spec: spec, Need: FromAmounts(spec.CPUs, spec.GPUs, spec.MemoryGB),
		Priority: wire.PriorityIndex(spec.Priority), Submitted: submitted, Seen: now, Marked: marked,
		Tasks: make([]Task, spec.Tasks), byZone: map[string]int{},
		gang: spec.Kind == wire.KindGang, service: spec.Kind == wire.KindService,
	}
	j.waiting = spec.Tasks
	l.Jobs[spec.ID] = j
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if durable != nil && durable(i) {
			t.State, t.Durable = Done, true
			j.done++
			j.durable++
			j.waiting--
		} else if marked && !l.settled {
			t.Doubt = true
			j.doubts++
		}
	}
	l.doubtUse(j, j.doubts)
	return j
}

// Withdraw takes the durable withdrawal of a job: its tasks are to end.
func (l *Ledger) Withdraw(j *Job, now clock.Micros) {
	if j.Withdrawn {
		return
	}
	j.Withdrawn = true
	j.WithdrawnAt = now
	for i := range j.Tasks {
		if p := j.Tasks[i].Place; p != nil {
			l.Stop(p, 0)
		}
	}
}

// Gone tells that no task of the job is, or may be, anywhere.
func (l *Ledger) Gone(j *Job) bool { return j.active == 0 && j.doubts == 0 }

// RemoveJob forgets a job that is over and gone.
func (l *Ledger) RemoveJob(j *Job) {
	if l.Gone(j) {
		delete(l.Jobs, j.Spec.ID)
	}
}

// AddMachine takes a machine. One that existed at the take-over has to be
// accounted for.
func (l *Ledger) AddMachine(name, typ, zone string, spot bool, size Resources, now clock.Micros) *Machine {
	if m := l.Machines[name]; m != nil {
		return m
	}
	m := &Machine{
		Name: name, Type: typ, Zone: zone, Spot: spot, Cap: size, Since: now, IdleAt: now, granted: now,
		Images: map[string]clock.Micros{}, places: map[string]*Placement{}, FaultyJobs: map[string]bool{},
		lateIDs: map[attemptKey]bool{}, sent: map[attemptKey]uint64{},
	}
	if l.settled {
		m.Accounted = true
	} else {
		l.open++
	}
	l.Machines[name] = m
	l.byName = nil
	return m
}

func (l *Ledger) account(m *Machine) {
	if !m.Accounted {
		m.Accounted = true
		l.open--
		l.checkAccounts()
	}
}

// checkAccounts clears all doubt once every machine is accounted for: a task
// that no machine has is nowhere.
func (l *Ledger) checkAccounts() {
	if !l.Accounted() {
		return
	}
	for _, j := range l.Jobs {
		if j.doubts == 0 {
			continue
		}
		for i := range j.Tasks {
			l.clearDoubt(j, i)
		}
	}
}

func (l *Ledger) clearDoubt(j *Job, i int) {
	t := &j.Tasks[i]
	if !t.Doubt {
		return
	}
	t.Doubt = false
	j.doubts--
	if t.Place == nil {
		l.doubtUse(j, -1)
	}
}

// doubtUse adds tasks to what a team may use beside its placements. A task that is in
// doubt and has a place all the same takes its share once, wherever it is.
func (l *Ledger) doubtUse(j *Job, tasks int) {
	u := l.teamUse(l.doubt, j.Spec.Team)
	*u = u.Add(j.Need.Times(tasks))
}

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

// complete takes the completion of a task. A gang completes as one.
func (l *Ledger) complete(j *Job, i int) {
	if j.Gang() {
		for k := range j.Tasks {
			l.completeOne(j, k)
		}
		return
	}
	l.completeOne(j, i)
}

func (l *Ledger) completeOne(j *Job, i int) {
	t := &j.Tasks[i]
	l.clearDoubt(j, i)
	if t.State == Done {
		return
	}
	if t.State == Waiting {
		j.waiting--
	}
	t.State = Done
	j.done++
}

// MadeDurable takes the news that completions are in the state service.
func (l *Ledger) MadeDurable(j *Job, tasks []int) {
	for _, i := range tasks {
		if t := &j.Tasks[i]; t.State == Done && !t.Durable {
			t.Durable = true
			j.durable++
		}
	}
}

// Unsaved tells whether some completion is not in the state service yet, or the
// job is complete: then there is something to write, or to clean up.
func (j *Job) Unsaved() bool { return j.durable != j.done || j.done == len(j.Tasks) }

// NotDurable lists completions that the state service does not have yet.
func (j *Job) NotDurable() []int {
	if j.durable == j.done {
		return nil
	}
	var out []int
	for i := range j.Tasks {
		if j.Tasks[i].State == Done && !j.Tasks[i].Durable {
			out = append(out, i)
		}
	}
	return out
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

const (
	// Stale: an older message than one already taken.
	Stale ReportResult = iota
	// Taken: the report was taken.
	Taken
	// Deposed: the worker has seen a higher token than ours.
	Deposed
)

const (
	// NotSent: it certainly did not and will not arrive.
	NotSent DirectResult = iota
	// Executed: the worker has carried it out.
	Executed
	// Rejected: the worker has refused it whole.
	Rejected
	// Lost: nothing is known, and it may arrive at any time.
	Lost
)
