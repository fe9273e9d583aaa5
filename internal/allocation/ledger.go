// Package allocation owns the answer to one question: which task may be on which
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
package allocation

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Config holds what a ledger has to know of its world.
type Config struct {
	Token uint64
	Lease clock.Micros
	Teams map[string]Team
	// MayFence bounds how long after a withdrawal a start that can no longer be
	// called back may be met by a start and a stop in one message.
	MayFence clock.Micros
	// Decisions, if not nil, follow the account.
	Decisions Decisions
	// MayRun, if not nil, tells whether an earlier leader may have started a task; else
	// any task of a marked job may run.
	MayRun func(task string) bool
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
	waiting     []*Machine // machines whose starts wait for followers

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
	mayRun := l.mayRun(j, func(i int) bool { return l.cfg.MayRun(wire.TaskID(spec.ID, i)) })
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if durable != nil && durable(i) {
			t.State, t.Durable = Done, true
			j.done++
			j.durable++
			j.waiting--
		} else if marked && !l.settled && mayRun(i) {
			t.Doubt = true
			j.doubts++
		}
	}
	l.doubtUse(j, j.doubts)
	l.decideDoubts(j)
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
		l.decideDurable(j, true)
		delete(l.Jobs, j.Spec.ID)
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
	l.decideCleared(j, i)
}

// doubtUse adds tasks to what a team may use beside its placements. A task that is in
// doubt and has a place all the same takes its share once, wherever it is.
func (l *Ledger) doubtUse(j *Job, tasks int) {
	u := l.teamUse(l.doubt, j.Spec.Team)
	*u = u.Add(j.Need.Times(tasks))
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
	if t.State != Done {
		if t.State == Waiting {
			j.waiting--
		}
		t.State = Done
		j.done++
	}
	l.clearDoubt(j, i)
}

// MadeDurable takes the news that completions are in the state service.
func (l *Ledger) MadeDurable(j *Job, tasks []int) {
	for _, i := range tasks {
		if t := &j.Tasks[i]; t.State == Done && !t.Durable {
			t.Durable = true
			j.durable++
		}
	}
	l.decideDurable(j, false)
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
