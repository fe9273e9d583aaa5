package core

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/ledger"
	"firwood.dev/firwood/internal/planner"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/staleness"
	"firwood.dev/firwood/wire"
)

// lead is what a process holds while it leads: made anew at every take-over,
// thrown away when the lock is lost. Answers that come to a closed one are
// dropped.
type lead struct {
	c      *Core
	token  uint64
	lg     *ledger.Ledger
	pl     *planner.Planner
	closed bool
	// deadline is the end of the entitlement, 0 once closed; startDeadline is the
	// end of the time in which tasks may be started, no later than that.
	deadline, startDeadline atomic.Int64
	// view tells what the age of the view allows; reading: a read that makes it
	// new again is under way.
	view    *staleness.Tracker
	reading bool
	since   clock.Micros
	// awake is since when this process has been able to hear anybody: what was
	// silent while it stood still itself is not taken for silent.
	awake  clock.Micros
	lapsed bool // the entitlement was over at the last tick
	toldOf int  // the machine that the next beat tells of
	// tellSince is when a member last came back, which has to be told of all machines.
	tellSince clock.Micros
	// hadMost: a good part of the machines was heard in this lead.
	hadMost bool
	// deafAt is when a zone was last not mostly heard.
	deafAt map[string]clock.Micros

	rentals  map[string]*rental
	machines map[string]*machineAux
	jobs     map[string]*jobAux
	// gone are machines that the cloud has deleted for us; late reports of
	// theirs mean nothing.
	gone map[string]clock.Micros
	// unknown are machines that report and that no record names.
	unknown map[string]clock.Micros

	names      int
	drainedAt  clock.Micros
	dirty      bool
	planAt     clock.Micros
	planGap    clock.Micros
	slowAt     clock.Micros
	listAt     clock.Micros
	fleetAt    clock.Micros
	listBusy   bool
	deletes    []string
	deleteBusy bool
	deleteAt   clock.Micros
	// bound tells until when others may have renewed workers' leases as delegates, echoes are the
	// stamps that give them the right to, knewAt is the last instant before which
	// every withdrawal is known here.
	bound  *delegation.Grants
	echoes map[string]delegation.Stamp
	knewAt clock.Micros
	// keeper holds what is promised to leaders to come, opening the zones about
	// which that is being taken back, held the reports that wait for it.
	promises *delegation.PromiseTracker
	opening  map[string]bool
	held     []waiting

	// raiseAt is when the token that was issued last is used, raisedAt when the
	// one before was issued.
	raiseAt, issuedAt clock.Micros
	issuing           bool

	cleanup   cleanup
	saving    int // progress writes under way
	directing int // direct messages under way
	probing   int // probes under way
	probeNext int // the machine that the next look at those with replicas begins with
}

// machineAux is what the ledger need not know of a machine.
type machineAux struct {
	rental   *rental
	host     *client.Host
	notUntil clock.Micros // no direct messages before this instant
	deleting bool
	probes   probes
	faults   faults
	told     toldHolding
	// booting: the cloud's last list said so. Of a machine that an earlier
	// leader rented this alone tells that it has never come up.
	booting bool
}

// jobAux is what the ledger need not know of a job.
type jobAux struct {
	marking  bool
	writing  bool
	wroteAt  clock.Micros
	layout   progressLayout
	keys     map[int]uint64 // versions of progress keys as last known, by number
	warned   bool
	over     bool    // its end is durable
	ran      int     // tasks that this leader saw run to their end
	runs     float64 // how long they ran in all, in seconds
	screened bool    // they are in the screen as one run
	first    int64
}

// wrote notes the version of a progress key.
func (a *jobAux) wrote(number int, version uint64) {
	if a.keys == nil {
		a.keys = map[int]uint64{}
	}
	a.keys[number] = max(a.keys[number], version)
}

// learnKeys takes the versions of progress keys from the view.
func (a *jobAux) learnKeys(parts map[int]progressPart) {
	for number, part := range parts {
		a.wrote(number, part.version)
	}
}

// newLead rebuilds the account from a view that rests on a read sent at readAt.
func newLead(c *Core, token uint64, readAt clock.Micros) *lead {
	now := clock.Now()
	d := &c.cfg.Deployment
	l := &lead{
		c: c, token: token, since: now, awake: now, dirty: true,
		rentals: map[string]*rental{}, machines: map[string]*machineAux{}, jobs: map[string]*jobAux{},
		deafAt: map[string]clock.Micros{},
		gone:   map[string]clock.Micros{}, unknown: map[string]clock.Micros{},
		view: staleness.NewTracker(c.staleness, readAt),
	}
	l.lg = ledger.New(ledger.Config{
		Token: token, Lease: clock.FromSeconds(d.Workers.LeaseS), Teams: c.teams,
		MayFence: clock.FromSeconds(d.Workers.CancelS) / 2,
	})
	t := &c.tuning
	l.pl = planner.New(planner.Params{
		Alpha: t.Alpha, Beta: t.Beta, IdleWait: clock.FromSeconds(t.IdleWaitS), LaxIdleWait: clock.FromSeconds(t.LaxIdleWaitS),
		Window: clock.FromSeconds(t.ScreenWindowS), Recency: clock.FromSeconds(t.RecencyS),
		SpareMin: t.SpareMin, SpareMax: t.SpareMax,
		MinSamples: t.ScreenMinSamples, MaxCount: t.ScreenMaxSamples, CV: t.ScreenCV, Lag: t.ScreenLag, KS: t.ScreenKS,
		SmoothArrival: t.SmoothArrival, SmoothService: t.SmoothService, SmoothNeed: t.SmoothNeed,
		Horizon: clock.FromSeconds(t.HorizonS), SpotPatience: clock.FromSeconds(t.SpotPatienceS), AgeAfter: clock.FromSeconds(t.AgeAfterS),
		GangWeight: t.GangWeight,
	}, c.types, c.teams, d.Zones)
	l.pl.Fresh, l.pl.Since = l.freshFor(), now
	if c.times.For > 0 {
		l.pl.Kept = map[string]bool{c.cfg.Location: true}
		for _, o := range c.cfg.Others {
			l.pl.Kept[o.Location] = true
		}
	}
	l.pl.Waits, l.pl.Due = map[string]float64{}, map[string]float64{}
	for _, o := range d.Objectives {
		if e, ok := l.pl.Due[o.Class]; o.Kind == "finished" && (!ok || o.WithinS < e) {
			l.pl.Due[o.Class] = o.WithinS
		}
		if w, ok := l.pl.Waits[o.Class]; o.Kind == "wait" && (!ok || o.WithinS < w) {
			l.pl.Waits[o.Class] = o.WithinS
		}
	}
	l.planGap = leastPlanGap
	l.listAt = now + 2*clock.Second
	l.renew()
	var others []string
	for _, o := range c.cfg.Others {
		others = append(others, o.Member)
	}
	l.bound, l.echoes = delegation.NewGrants(c.times, now, c.delegate.QuietFor(now), others), map[string]delegation.Stamp{}
	l.promises, l.opening = delegation.NewPromiseTracker(c.view.promises, c.view.promisesVersion), map[string]bool{}

	wall := clock.Wall()
	for name, rec := range c.view.rentals {
		h := &rental{name: name, rec: *rec, version: rec.version, at: now - max(wall-clock.Micros(rec.At), 0), resolved: rec.Resolved}
		l.rentals[name] = h
		for _, m := range rec.Machines {
			l.addMachine(h, m).Recorded = true
		}
		if !rec.Resolved {
			// Whether it was carried out is not known. The same name gets the
			// same answer, so asking again settles it.
			l.sendRental(h)
		}
	}
	var cancelled []string // with jobs that they need
	for id, rec := range c.view.jobs {
		done := c.view.done[id]
		switch {
		case rec.cancelledWith:
			cancelled = append(cancelled, id)
		case !rec.over():
			if !c.blocked(id, rec) {
				l.addJob(id, rec, len(done) > 0)
			}
		case rec.Job != nil:
			// Withdrawn, but its tasks are not known to be gone.
			j := l.addJob(id, rec, len(done) > 0)
			l.withdraw(j, rec, now)
		}
	}
	l.relearn(now, wall)
	l.adoptPromises(now)
	l.bounds(now)
	l.lg.Settle()
	l.goOn(now)
	l.cleanup.ends = cancelled
	c.log.Info("account rebuilt", "token", token, "jobs", len(l.lg.Jobs), "machines", len(l.lg.Machines), "accounted", l.lg.Accounted())
	return l
}

// relearn takes the arrivals that the records still tell of. A leader that knew of
// none held that no start was pressing, and gave back, within seconds of its
// take-over, every machine that the jobs of the one before were about to need again.
func (l *lead) relearn(now, wall clock.Micros) {
	jobs := slices.Collect(maps.Values(l.lg.Jobs))
	slices.SortFunc(jobs, func(a, b *ledger.Job) int {
		return cmp.Or(cmp.Compare(a.Submitted, b.Submitted), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	for _, j := range jobs {
		l.pl.Arrived(j, now-max(wall-j.Submitted, 0))
	}
}

func (l *lead) addJob(id string, rec *jobRecord, marked bool) *ledger.Job {
	done := l.c.doneTasks(id, rec)
	released := l.c.graph.ReleasedAt(id, clock.Micros(rec.At))
	j := l.lg.AddJob(rec.Job, released, clock.Now(), marked, done.has)
	u := l.c.graph.UrgencyOf(id, urgency(rec))
	j.Priority, j.Deadline = u.Priority, u.Deadline
	a := &jobAux{layout: l.c.layoutOf(rec), first: rec.First}
	a.learnKeys(l.c.view.done[id])
	l.jobs[id] = a
	return j
}

func (l *lead) addMachine(h *rental, name string) *ledger.Machine {
	now := clock.Now()
	m := l.lg.AddMachine(name, h.rec.Type, h.rec.Zone, h.rec.Spot, l.pl.Size(h.rec.Type), now)
	m.Since = h.at
	if l.machines[name] == nil {
		l.machines[name] = &machineAux{rental: h}
	}
	return m
}

// jobChanged takes a job's record as the state service has it.
func (l *lead) jobChanged(id string, rec *jobRecord) {
	now := clock.Now()
	j := l.lg.Jobs[id]
	l.dirty = true
	switch {
	case rec.cancelledWith:
	case !rec.over() && j == nil && l.jobs[id] == nil:
		if l.c.blocked(id, rec) {
			return
		}
		l.pl.Arrived(l.addJob(id, rec, false), now)
	case rec.State == wire.JobAborted && j != nil:
		l.withdraw(j, rec, now)
	case rec.over() && l.jobs[id] != nil:
		l.jobs[id].over = true
	}
}

// withdraw takes a durable withdrawal. The time that its tasks have runs from the
// confirmation, of which a leader that was refused by the state service may have
// learnt late.
func (l *lead) withdraw(j *ledger.Job, rec *jobRecord, now clock.Micros) {
	l.lg.Withdraw(j, now)
	j.WithdrawnAt = now - max(clock.Wall()-clock.Micros(rec.End), 0)
	l.jobs[j.Spec.ID].over = true
}

// until is the end of the entitlement to act. Unlike the rest it may be asked
// on any goroutine, right before something is sent.
func (l *lead) until() clock.Micros { return clock.Micros(l.deadline.Load()) }

// woke takes the news that the process has stood still, or was not entitled to act.
func (l *lead) woke(now clock.Micros) { l.awake, l.pl.Awake = now, now }

// startUntil is the end of the time in which tasks may be started; like until it
// may be asked on any goroutine.
func (l *lead) startUntil() clock.Micros { return clock.Micros(l.startDeadline.Load()) }

// renew takes over the election's view of the entitlement, and what the age of the
// view allows.
func (l *lead) renew() {
	until := l.c.el.Until()
	l.deadline.Store(int64(until))
	l.startDeadline.Store(int64(min(until, l.view.StartUntil())))
}

// read makes the view new again where it is too old to start tasks on it.
func (l *lead) read(now clock.Micros) {
	if l.reading {
		return
	}
	l.reading = true
	l.c.view.wantSync(func(err error) {
		l.reading = false
		switch {
		case l.closed:
		case err != nil:
			l.opened() // those that have waited for too long are refused
		default:
			l.hasRead(now)
		}
	}, now+beatEvery)
}

// hasRead takes the news that the view is as new as a read sent at an instant.
func (l *lead) hasRead(sentAt clock.Micros) {
	l.view.Read(sentAt)
	l.renew()
	l.lg.HoldStarts(!l.view.MayStart(clock.Now()))
	l.dirty = true
	l.opened()
}

func (l *lead) close() {
	l.closed = true
	l.deadline.Store(0)
	l.startDeadline.Store(0)
	l.c.unsettledPromises = l.promises.Zones()
	for _, h := range l.held {
		later(h.r, "the lead is over")
	}
	l.held = nil
}

func (l *lead) checkin(rep *wire.Report, r *server.Reply) {
	now := clock.Now()
	if l.mustWait(rep, r, now) {
		return
	}
	var reply wire.Reply
	m := l.lg.Machines[rep.Machine]
	if m == nil {
		if _, ok := l.gone[rep.Machine]; !ok {
			if _, ok := l.unknown[rep.Machine]; !ok {
				l.unknown[rep.Machine] = now
			}
		}
	} else {
		l.lg.HeardBy(m, now)
		booting := m.UpAt == 0
		res := l.lg.Report(m, rep, now)
		if res == ledger.Deposed {
			l.c.log.Info("a worker has seen a higher token", "worker", rep.Machine, "token", rep.Token)
			later(r, "deposed")
			l.c.fenced(l.token)
			return
		}
		if res == ledger.Taken {
			if booting && m.Since > l.since {
				l.pl.Booted(m.Type, now-m.Since)
			}
			l.settle(now)
			reply.Commands = l.lg.Orders(m, now)
			l.dirty = true
		}
	}
	reply.Token = l.lg.Token()
	if reply.Commands == nil {
		reply.Commands = []wire.Command{}
	}
	body, err := reply.MarshalJSON()
	if err != nil {
		later(r, "cannot be encoded")
		return
	}
	r.SendUntil(200, body, 0, l.answerUntil(reply.Commands))
}

// answerUntil is the last instant at which an answer to a report may go out: it
// renews the worker's lease, and may start tasks.
func (l *lead) answerUntil(commands []wire.Command) clock.Micros {
	until := min(l.until(), l.view.RenewUntil())
	if slices.ContainsFunc(commands, func(c wire.Command) bool { return c.Op == wire.OpStart }) {
		until = min(until, l.startUntil())
	}
	return until
}

// settle draws the conclusions from what reports showed.
func (l *lead) settle(now clock.Micros) {
	for _, p := range l.lg.Begun {
		j := p.Job
		l.c.log.Debug("task up", "job", j.Spec.ID, "task", p.Index, "class", j.Spec.Class, "machine", p.Machine.Name,
			"waited_s", (clock.Wall() - j.Submitted).Seconds(), "placed_s", (now - p.Since).Seconds())
		if j.FirstStart == 0 {
			j.FirstStart = now
			if a := l.jobs[j.Spec.ID]; a != nil && a.first == 0 {
				a.first = int64(clock.Wall())
			}
		}
	}
	l.lg.Begun = l.lg.Begun[:0]
	for _, e := range l.lg.Ended {
		l.ended(e, now)
	}
	l.lg.Ended = l.lg.Ended[:0]
}

func (l *lead) ended(e ledger.Ending, now clock.Micros) {
	p, j := e.Placement, e.Placement.Job
	t := &j.Tasks[p.Index]
	if e.Why != wire.WhyDone && !j.Withdrawn {
		l.c.log.Debug("task ended", "job", j.Spec.ID, "task", p.Index, "class", j.Spec.Class, "machine", p.Machine.Name, "why", e.Why,
			"told", p.Stopping(), "saved", p.Saved, "state", p.State, "placed_s", (now - p.Since).Seconds())
	}
	switch e.Why {
	case wire.WhyDone:
		if p.RunAt != 0 && !p.Adopted && !j.Service() && t.Progress == 0 && !(j.Gang() && j.Progress > 0) {
			took := (now - p.RunAt).Seconds()
			l.pl.Finished(j, took, now)
			if a := l.jobs[j.Spec.ID]; a != nil {
				a.ran, a.runs = a.ran+1, a.runs+took
				if j.Complete() && !a.screened {
					a.screened = true
					l.pl.Ran(j, a.runs/float64(a.ran), now)
				}
			}
			l.c.log.Debug("task done", "job", j.Spec.ID, "task", p.Index, "machine", p.Machine.Name, "took_s", took, "estimate_s", j.Spec.EstimateS)
		}
	case wire.WhyError:
		// A faulty machine fails many jobs, a faulty job fails everywhere. The
		// more often a job fails on different machines without any task done,
		// the more slowly it is tried again, and no machine is blamed for it.
		wait := clock.Second << min(int(t.Fails), 5)
		if len(j.ErrorsOn) >= 3 && j.DoneCount() == 0 {
			wait = 2 * wait
			for _, m := range l.lg.Machines {
				delete(m.FaultyJobs, j.Spec.ID)
			}
		}
		t.NotBefore = now + wait
		l.c.log.Info("task failed", "job", j.Spec.ID, "task", p.Index, "machine", p.Machine.Name, "fails", t.Fails)
		l.blame(p.Machine, now)
	case ledger.WhyVanished:
		if !j.Withdrawn {
			j.Restarts++
		}
	case wire.WhyNoRoom, wire.WhyBusy, wire.WhyUnknown:
		t.NotBefore = now + clock.Second
	}
	l.dirty = true
}

// drain gives a machine nothing new and returns it when it is empty.
func (l *lead) drain(m *ledger.Machine) { m.Draining = true }

func (l *lead) tick(now clock.Micros) {
	l.renew()
	if !l.c.entitled() {
		l.lapsed = true
		return // nothing may be sent; the lock may yet be renewed
	}
	if l.lapsed {
		// It has answered nobody, so who was not heard meanwhile is not silent. After
		// an outage of 75 s a leader once handed over for hearing nobody.
		l.lapsed = false
		l.woke(now)
		// Withdrawals may have been confirmed before an outage that a leader which
		// was refused alone never heard of: once it started their tasks again.
		l.view.Regained(now)
		l.renew()
	}
	fresh := l.view.MayStart(now)
	l.lg.HoldStarts(!fresh)
	if !fresh {
		l.read(now)
	}
	if now >= l.slowAt {
		l.slowAt = now + 500*clock.Millisecond
		l.watchMachines(now)
		if l.closed {
			return
		}
		l.watchJobs(now)
		l.list(now)
		l.probe(now)
		l.raiseToken(now)
		l.logFleet(now)
		l.dirty = true
	}
	if l.dirty && fresh && now >= l.planAt {
		l.dirty = false
		l.plan(now)
		l.durable(now)
		// A plan costs what waits and what has room for it. The time that it
		// took says how soon the next may come and leave the processor's share
		// to reports and users.
		took := clock.Now() - now
		l.planGap = min(max(planPart*took, leastPlanGap), mostPlanGap)
		l.planAt = now + took + l.planGap
	}
	l.direct(now)
	l.sendDeletes(now)
	l.cleanUp(now)
}

// Between two plans lies planPart times what the last one took, within bounds.
const (
	planPart     = 4
	leastPlanGap = 20 * clock.Millisecond
	mostPlanGap  = 500 * clock.Millisecond
)

func (l *lead) plan(now clock.Micros) {
	var pending []planner.Hire
	for _, h := range l.rentals {
		if !h.resolved {
			pending = append(pending, planner.Hire{
				Pool: planner.Pool{Type: h.rec.Type, Zone: h.rec.Zone, Spot: h.rec.Spot}, Count: h.rec.Count,
			})
		}
	}
	d := l.pl.Plan(l.lg, now, clock.Wall(), pending)
	l.settle(now)
	for _, j := range d.Mark {
		l.mark(j)
	}
	for _, r := range d.Rent {
		// Few at a time: the cloud takes few requests a second, and what is
		// asked for next should rest on how these were answered.
		if len(pending) >= l.rentalsAtOnce() {
			break
		}
		pending = append(pending, planner.Hire{})
		l.rent(r, now)
	}
	for _, m := range d.Return {
		l.c.log.Debug("idle machine returned", "machine", m.Name)
		l.delete(m)
	}
	if d.Drain != nil && now-l.drainedAt > drainEvery {
		l.drainedAt = now
		l.c.log.Debug("replicas move together", "from", d.Drain.Name)
		l.drain(d.Drain)
		d.Drain.Places(func(p *ledger.Placement) { l.lg.Stop(p, clock.FromSeconds(p.Job.Spec.SaveS)) })
	}
	for _, s := range []struct {
		kind string
		r    *planner.SpareReport
	}{{"spot", &d.Spot}, {"ordinary", &d.Ordinary}} {
		l.c.log.Debug("screen", "kind", s.kind, "gaps", s.r.Gaps.Reason, "n", s.r.Gaps.N, "runs", s.r.Runs.Reason,
			"open", s.r.Open, "x", s.r.Cost.X, "w", s.r.Cost.W, "e", s.r.Cost.E)
	}
}

// drainEvery bounds how often replicas are moved together.
const drainEvery = 10 * clock.Second

// after runs f on the owner later, unless the lead is over by then.
func (l *lead) after(d clock.Micros, f func()) {
	time.AfterFunc(d.Duration(), func() {
		l.c.post(func() {
			if !l.closed {
				f()
			}
		})
	})
}
