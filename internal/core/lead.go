package core

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/cloud"
	"firwood.dev/firwood/internal/ledger"
	"firwood.dev/firwood/internal/planner"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/state"
	"firwood.dev/firwood/internal/vouch"
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
	// deadline is the end of the entitlement, 0 once closed.
	deadline atomic.Int64
	since    clock.Micros

	hires    map[string]*hire
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
	// bound tells until when others may have vouched for workers, echoes are the
	// stamps that give them the right to, knewAt is the last instant before which
	// every withdrawal is known here.
	bound  *vouch.Bound
	echoes map[string]vouch.Stamp
	knewAt clock.Micros

	saving    int // progress writes under way
	directing int // direct messages under way
}

// hire is a rental from its record on, until the last machine of it is gone.
type hire struct {
	name     string
	rec      hireRecord
	at       clock.Micros
	resolved bool // the cloud has answered
	writing  bool
	stale    bool // the record has to be written again
}

// machineAux is what the ledger need not know of a machine.
type machineAux struct {
	hire     *hire
	host     *client.Host
	notUntil clock.Micros // no direct messages before this instant
	deleting bool
	// booting: the cloud's last list said so. Of a machine that an earlier
	// leader rented this alone tells that it has never come up.
	booting bool
}

// jobAux is what the ledger need not know of a job.
type jobAux struct {
	marking bool
	writing bool
	wroteAt clock.Micros
	chunks  int
	warned  bool
	over    bool // its end is durable
	first   int64
}

func newLead(c *Core, token uint64) *lead {
	now := clock.Now()
	d := &c.cfg.Deployment
	l := &lead{
		c: c, token: token, since: now, dirty: true,
		hires: map[string]*hire{}, machines: map[string]*machineAux{}, jobs: map[string]*jobAux{},
		gone: map[string]clock.Micros{}, unknown: map[string]clock.Micros{},
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
	}, c.types, c.teams, d.Zones)
	l.pl.Fresh, l.pl.Since = l.freshFor(), now
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
	l.bound, l.echoes = vouch.NewBound(c.times, now, others), map[string]vouch.Stamp{}
	l.lg.Vouched(l.bound.Latest(now))

	wall := clock.Wall()
	for name, rec := range c.view.hires {
		h := &hire{name: name, rec: *rec, at: now - max(wall-clock.Micros(rec.At), 0), resolved: rec.Resolved}
		l.hires[name] = h
		for _, m := range rec.Machines {
			l.addMachine(h, m).Recorded = true
		}
		if !rec.Resolved {
			// Whether it was carried out is not known. The same name gets the
			// same answer, so asking again settles it.
			l.sendHire(h)
		}
	}
	for id, rec := range c.view.jobs {
		done := c.view.done[id]
		if !rec.over() {
			l.addJob(id, rec, len(done) > 0)
		} else if rec.Job != nil {
			// Withdrawn, but its tasks are not known to be gone.
			j := l.addJob(id, rec, len(done) > 0)
			l.lg.Withdraw(j, now)
			j.WithdrawnAt = now - max(wall-clock.Micros(rec.End), 0)
			l.jobs[id].over = true
		}
	}
	l.lg.Settle()
	c.log.Info("account rebuilt", "token", token, "jobs", len(l.lg.Jobs), "machines", len(l.lg.Machines), "accounted", l.lg.Accounted())
	return l
}

func (l *lead) addJob(id string, rec *jobRecord, marked bool) *ledger.Job {
	done := l.c.view.done[id]
	j := l.lg.AddJob(rec.Job, clock.Micros(rec.At), clock.Now(), marked, func(i int) bool {
		return done[i/chunkTasks].has(i % chunkTasks)
	})
	l.jobs[id] = &jobAux{chunks: len(done), first: rec.First}
	return j
}

func (l *lead) addMachine(h *hire, name string) *ledger.Machine {
	now := clock.Now()
	m := l.lg.AddMachine(name, h.rec.Type, h.rec.Zone, h.rec.Spot, l.pl.Size(h.rec.Type), now)
	m.Since = h.at
	if l.machines[name] == nil {
		l.machines[name] = &machineAux{hire: h}
	}
	return m
}

// jobChanged takes a job's record as the state service has it.
func (l *lead) jobChanged(id string, rec *jobRecord) {
	now := clock.Now()
	j := l.lg.Jobs[id]
	l.dirty = true
	switch {
	case !rec.over() && j == nil && l.jobs[id] == nil:
		l.pl.Arrived(l.addJob(id, rec, false), now)
	case rec.State == wire.JobAborted && j != nil:
		l.lg.Withdraw(j, now)
		l.jobs[id].over = true
	case rec.over() && l.jobs[id] != nil:
		l.jobs[id].over = true
	}
}

// until is the end of the entitlement to act. Unlike the rest it may be asked
// on any goroutine, right before something is sent.
func (l *lead) until() clock.Micros { return clock.Micros(l.deadline.Load()) }

// renew takes over the election's view of the entitlement.
func (l *lead) renew() { l.deadline.Store(int64(l.c.el.Until())) }

func (l *lead) close() {
	l.closed = true
	l.deadline.Store(0)
}

func (l *lead) checkin(rep *wire.Report, r *server.Reply) {
	now := clock.Now()
	reply := wire.Reply{Token: l.token}
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
	if reply.Commands == nil {
		reply.Commands = []wire.Command{}
	}
	body, err := reply.MarshalJSON()
	if err != nil {
		later(r, "cannot be encoded")
		return
	}
	r.SendUntil(200, body, 0, l.until())
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
	switch e.Why {
	case wire.WhyDone:
		if p.Started != 0 && p.Since > l.since && !j.Service() {
			took := (now - p.Started).Seconds()
			l.pl.Finished(j, took, now)
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
		if m := p.Machine; len(m.FaultyJobs) >= 2 && !m.Draining {
			l.c.log.Info("machine is faulty", "machine", m.Name)
			l.drain(m)
		}
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
		return // nothing may be sent; the lock may yet be renewed
	}
	if now >= l.slowAt {
		l.slowAt = now + 500*clock.Millisecond
		l.watchMachines(now)
		if l.closed {
			return
		}
		l.watchJobs(now)
		l.list(now)
		l.logFleet(now)
		l.dirty = true
	}
	if l.dirty && now >= l.planAt {
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
}

// Between two plans lies planPart times what the last one took, within bounds.
const (
	planPart     = 4
	leastPlanGap = 20 * clock.Millisecond
	mostPlanGap  = 500 * clock.Millisecond
)

func (l *lead) plan(now clock.Micros) {
	var pending []planner.Hire
	for _, h := range l.hires {
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
		if len(pending) >= l.hiresAtOnce() {
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

// hiresAtOnce bounds the rentals under way: what the cloud answers in a second
// or so, and the two records of each within the rate of writes.
func (l *lead) hiresAtOnce() int {
	d := &l.c.cfg.Deployment
	return max(int(min(2*d.Cloud.RPS, d.State.WriteRPS/4)), 2)
}

// mark makes it durable that tasks of the job may be started from now on: a
// later leader then knows for which jobs it has to look, and that no other
// job's tasks can be anywhere.
func (l *lead) mark(j *ledger.Job) {
	id := j.Spec.ID
	a := l.jobs[id]
	if a == nil || a.marking || j.Marked {
		return
	}
	a.marking = true
	l.write(&state.Write{Rank: state.Needed, Then: []wire.Change{progress(id, 0, nil)}}, func(o state.Outcome) {
		a.marking = false
		if o == state.Committed {
			j.Marked = true
			a.chunks = max(a.chunks, 1)
		}
		l.dirty = true
	})
}

func progress(id string, chunk int, bits bitmap) wire.Change {
	v, err := doneRecord{Bits: bits.encode()}.MarshalJSON()
	if err != nil {
		v = []byte(`{"b":""}`)
	}
	return wire.Change{Put: doneKey(id, chunk), Value: v}
}

// write commits a change that is bound to the lock.
func (l *lead) write(w *state.Write, then func(state.Outcome)) {
	w.Fence = l.token
	w.Deadline = clock.Now() + 3*clock.Second
	w.Done = func(o state.Outcome, _ uint64) {
		l.c.post(func() {
			if l.closed {
				return
			}
			if o == state.Fenced {
				l.c.fenced(l.token)
				return
			}
			then(o)
		})
	}
	if !l.c.store.Commit(w) {
		then(state.Refused)
	}
}

// saveTypes keeps the machine types where nodes find them that start while the
// cloud's interface is down.
func (l *lead) saveTypes() {
	v, err := wire.MachineTypes{Types: l.c.types}.MarshalJSON()
	if err != nil || len(v) > int(l.c.cfg.Deployment.State.ValueKB*1024) {
		return
	}
	l.write(&state.Write{Rank: state.Needed, Then: []wire.Change{{Put: keyTypes, Value: v}}}, func(state.Outcome) {})
}

// progressEvery bounds how often a job's progress is written.
const progressEvery = 700 * clock.Millisecond

// durable writes what was completed, and the end of jobs that are complete.
func (l *lead) durable(now clock.Micros) {
	var late []string
	for id, j := range l.lg.Jobs {
		if !j.Withdrawn && !j.Unsaved() {
			continue
		}
		a := l.jobs[id]
		if a == nil || a.writing {
			continue
		}
		switch {
		case j.Withdrawn:
			if l.lg.Gone(j) {
				l.cleanUp(id, j, a)
			}
		case j.Complete() && !a.over:
			l.finish(id, j, a)
		case a.over:
			if l.lg.Gone(j) {
				l.lg.RemoveJob(j)
				delete(l.jobs, id)
			}
		default:
			if now-a.wroteAt >= progressEvery {
				late = append(late, id)
			}
		}
	}
	// Progress takes what the rate of writes has to spare, what was written
	// longest ago first.
	if l.saving >= savesAtOnce || len(late) == 0 {
		return
	}
	slices.SortFunc(late, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.jobs[a].wroteAt, l.jobs[b].wroteAt), cmp.Compare(a, b))
	})
	for _, id := range late[:min(len(late), savesAtOnce-l.saving)] {
		j := l.lg.Jobs[id]
		l.saveProgress(id, j, l.jobs[id], j.NotDurable(), now)
	}
}

// savesAtOnce bounds the writes of progress that wait.
const savesAtOnce = 8

func (l *lead) saveProgress(id string, j *ledger.Job, a *jobAux, todo []int, now clock.Micros) {
	a.writing, a.wroteAt = true, now
	chunks := map[int]bool{}
	for _, i := range todo {
		chunks[i/chunkTasks] = true
	}
	l.saving++
	w := &state.Write{Rank: state.Spare}
	for ch := range chunks {
		var bits bitmap
		for i := ch * chunkTasks; i < min(len(j.Tasks), (ch+1)*chunkTasks); i++ {
			if j.Tasks[i].State == ledger.Done {
				bits.set(i % chunkTasks)
			}
		}
		w.Then = append(w.Then, progress(id, ch, bits))
		a.chunks = max(a.chunks, ch+1)
	}
	l.write(w, func(o state.Outcome) {
		a.writing = false
		l.saving--
		if o == state.Committed {
			l.lg.MadeDurable(j, todo)
		}
		l.dirty = true
	})
}

// finish makes the end of a job durable; only then anybody is told.
func (l *lead) finish(id string, j *ledger.Job, a *jobAux) {
	rec := l.c.view.jobs[id]
	if rec == nil || rec.over() {
		return
	}
	over := overRecord(rec, wire.JobDone, clock.Wall())
	over.First, over.Errors, over.Restarts = a.first, j.Errors, j.Restarts
	v, err := over.MarshalJSON()
	if err != nil {
		return
	}
	a.writing = true
	w := &state.Write{
		Rank: state.Needed,
		If:   []wire.Condition{{Key: prefixJob + id, Version: rec.version}},
		Then: []wire.Change{{Put: prefixJob + id, Value: v}},
	}
	for ch := 0; ch < a.chunks; ch++ {
		w.Then = append(w.Then, wire.Change{Delete: doneKey(id, ch)})
	}
	l.write(w, func(o state.Outcome) {
		a.writing = false
		l.dirty = true
		switch o {
		case state.Committed:
			a.over = true
			todo := j.NotDurable()
			l.lg.MadeDurable(j, todo)
			l.logEnd(id, over)
		case state.Conflict, state.Unknown:
			// Withdrawn meanwhile, or done without our knowing: the view tells.
			a.writing = true
			l.c.view.wantSync(func(error) {
				a.writing = false
				if cur := l.c.view.jobs[id]; cur != nil && cur.State == wire.JobDone {
					a.over = true
					l.lg.MadeDurable(j, j.NotDurable())
				}
				l.dirty = true
			}, clock.Now()+2*clock.Second)
		}
	})
}

// logEnd says loudly when batch work has missed what its owners expect.
func (l *lead) logEnd(id string, rec *jobRecord) {
	if t, ok := l.c.trouble(id, rec, int64(clock.Wall())); ok && t.Late {
		l.c.log.Error("job finished late", "job", id, "class", t.Class, "late_by_s", t.LateByS, "took_s", t.TookS, "why", t.Why)
		return
	}
	l.c.log.Debug("job done", "job", id)
}

// cleanUp shrinks the record of a withdrawn job, once no task of it can be
// anywhere.
func (l *lead) cleanUp(id string, j *ledger.Job, a *jobAux) {
	rec := *l.c.view.jobs[id]
	rec.Job = nil
	v, err := rec.MarshalJSON()
	if err != nil {
		return
	}
	a.writing = true
	// As long as the record is whole, a new leader has to reckon with its tasks.
	w := &state.Write{Rank: state.Needed, Then: []wire.Change{{Put: prefixJob + id, Value: v}}}
	for ch := 0; ch < a.chunks; ch++ {
		w.Then = append(w.Then, wire.Change{Delete: doneKey(id, ch)})
	}
	l.write(w, func(o state.Outcome) {
		a.writing = false
		if o == state.Committed {
			l.lg.RemoveJob(j)
			delete(l.jobs, id)
		}
		l.dirty = true
	})
}

// watchJobs warns, once a job, of batch work that slips while it runs.
func (l *lead) watchJobs(now clock.Micros) {
	wall := int64(clock.Wall())
	for id, a := range l.jobs {
		rec := l.c.view.jobs[id]
		if a.warned || a.over || rec == nil || rec.over() {
			continue
		}
		if t, ok := l.c.trouble(id, rec, wall); ok && t.Late {
			a.warned = true
			l.c.log.Error("job is late", "job", id, "class", t.Class, "why", t.Why)
		}
	}
}

// rent begins a hire: its record comes first, so that whoever leads next knows
// which machines may exist.
func (l *lead) rent(r planner.Rent, now clock.Micros) {
	for n := r.Count; n > 0; n -= wire.MaxHire {
		l.names++
		h := &hire{
			name: fmt.Sprintf("%s-%d-%d", l.c.cfg.Member, l.token, l.names), at: now,
			rec: hireRecord{Type: r.Pool.Type, Zone: r.Pool.Zone, Spot: r.Pool.Spot, Count: min(n, wire.MaxHire), At: int64(clock.Wall())},
		}
		l.hires[h.name] = h
		l.recordHire(h, func() { l.sendHire(h) })
	}
}

// recordHire writes the hire's record until it is durable, then goes on.
func (l *lead) recordHire(h *hire, then func()) {
	if h.writing {
		h.stale = true
		return
	}
	h.writing, h.stale = true, false
	c := wire.Change{Put: prefixHire + h.name}
	if h.resolved && len(h.rec.Machines) == 0 {
		c = wire.Change{Delete: prefixHire + h.name}
	} else {
		v, err := h.rec.MarshalJSON()
		if err != nil {
			return
		}
		c.Value = v
	}
	dropped := c.Delete != ""
	l.write(&state.Write{Rank: state.Needed, Then: []wire.Change{c}}, func(o state.Outcome) {
		h.writing = false
		switch {
		case o != state.Committed:
			l.after(200*clock.Millisecond, func() { l.recordHire(h, then) })
		case h.stale:
			l.recordHire(h, then)
		default:
			if dropped {
				delete(l.hires, h.name)
			}
			then()
		}
	})
}

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

func (l *lead) sendHire(h *hire) {
	if !l.c.entitled() {
		l.after(300*clock.Millisecond, func() { l.sendHire(h) })
		return
	}
	req := wire.Hire{Request: h.name, Type: h.rec.Type, Zone: h.rec.Zone, Spot: h.rec.Spot, Count: h.rec.Count}
	go func() {
		names, err := l.c.cloud.Hire(req, l.until)
		l.c.post(func() {
			if !l.closed {
				l.hired(h, names, err)
			}
		})
	}()
}

func (l *lead) hired(h *hire, names []string, err error) {
	now := clock.Now()
	pool := planner.Pool{Type: h.rec.Type, Zone: h.rec.Zone, Spot: h.rec.Spot}
	l.dirty = true
	switch {
	case err == nil:
		l.pl.Granted(pool, h.rec.Count, len(names), now)
		l.c.log.Debug("hired", "hire", h.name, "zone", h.rec.Zone, "spot", h.rec.Spot, "asked", h.rec.Count, "got", len(names))
		h.resolved, h.rec.Resolved, h.rec.Machines = true, true, names
		for _, n := range names {
			delete(l.unknown, n)
			if _, gone := l.gone[n]; !gone {
				l.addMachine(h, n)
			}
		}
		l.recordHire(h, func() {
			// Only machines that the record names may get tasks.
			for _, n := range h.rec.Machines {
				if m := l.lg.Machines[n]; m != nil {
					m.Recorded = true
				}
			}
			l.dirty = true
		})
	case errors.Is(err, cloud.ErrNoCapacity), errors.Is(err, cloud.ErrBad):
		l.pl.Refused(pool, now)
		l.c.log.Debug("nothing to hire", "hire", h.name, "zone", h.rec.Zone, "spot", h.rec.Spot, "error", err)
		h.resolved, h.rec.Resolved = true, true
		l.recordHire(h, func() {})
	default:
		l.c.log.Debug("hire not answered", "hire", h.name, "error", err)
		l.after(clock.Second, func() { l.sendHire(h) })
	}
}

// delete returns a machine to the cloud.
func (l *lead) delete(m *ledger.Machine) {
	a := l.machines[m.Name]
	if a == nil || a.deleting {
		return
	}
	a.deleting = true
	m.Draining = true
	l.deletes = append(l.deletes, m.Name)
}

func (l *lead) sendDeletes(now clock.Micros) {
	if len(l.deletes) == 0 || l.deleteBusy || now < l.deleteAt {
		return
	}
	n := min(len(l.deletes), wire.MaxDelete)
	batch := slices.Clone(l.deletes[:n])
	l.deletes = slices.Delete(l.deletes, 0, n)
	l.deleteBusy = true
	go func() {
		err := l.c.cloud.Delete(batch, l.until)
		l.c.post(func() {
			if !l.closed {
				l.deleted(batch, err)
			}
		})
	}()
}

func (l *lead) deleted(batch []string, err error) {
	now := clock.Now()
	l.deleteBusy = false
	if err != nil {
		l.c.log.Debug("deletion not answered", "error", err)
		l.deletes = append(batch, l.deletes...)
		l.deleteAt = now + clock.Second
		return
	}
	touched := map[*hire]bool{}
	for _, n := range batch {
		l.gone[n] = now
		delete(l.unknown, n)
		if m := l.lg.Machines[n]; m != nil {
			l.lg.MachineGone(m, now)
		}
		if a := l.machines[n]; a != nil {
			if a.host != nil {
				a.host.Close()
			}
			if a.hire != nil {
				a.hire.rec.Machines = slices.DeleteFunc(a.hire.rec.Machines, func(s string) bool { return s == n })
				touched[a.hire] = true
			}
			delete(l.machines, n)
		}
	}
	for h := range touched {
		l.recordHire(h, func() {})
	}
	l.settle(now)
	l.dirty = true
}

// silentAfter is when a machine that has not reported counts as silent: its
// longest report interval, an answer that never came, and the way to the
// leader by way of another node.
func (l *lead) silentAfter() clock.Micros {
	return clock.FromSeconds(1.25*l.c.cfg.Deployment.Workers.ReportS) + 6500*clock.Millisecond
}

// freshFor is how long ago a machine that can be heard may have reported last:
// its longest interval and one slow message.
func (l *lead) freshFor() clock.Micros {
	return clock.FromSeconds(1.25*l.c.cfg.Deployment.Workers.ReportS) + 1500*clock.Millisecond
}

// hearing counts machines that are up, and those of them heard just now.
type hearing struct{ up, fresh int }

func (h *hearing) add(fresh bool) {
	h.up++
	if fresh {
		h.fresh++
	}
}

// mostly tells that the way to these machines is open: enough of them are
// heard, even while a wave takes many of the others.
func (h *hearing) mostly() bool { return h.fresh > 0 && 3*h.fresh >= h.up }

// lost tells that the leader hears next to none of its machines while another
// controller is asked by many: the fault is on the leader's side.
func (h *hearing) lost(peers uint32) bool {
	return h.up >= 3 && 4*h.fresh < h.up && 3*int(peers) >= h.up
}

// standOff is how long a leader that was cut off leaves the lead to others.
const standOff = 30 * clock.Second

// handOver gives the lead to a controller that the workers do reach: their
// leases would run out while this one renews its lock.
func (l *lead) handOver(h hearing, now clock.Micros) bool {
	if now-l.since < l.silentAfter() {
		return false
	}
	for _, b := range l.c.beats {
		if now-b.at < 2*clock.Second && b.beat.Served && h.lost(b.beat.Workers) {
			l.c.log.Info("few workers are heard, others hear them", "heard", h.fresh, "of", h.up, "others", b.beat.Workers)
			l.c.act(l.c.el.Resign(now, standOff))
			l.c.stepDown("handed over")
			return true
		}
	}
	return false
}

// confirm renews the rights of the others to keep leases alive: the stamps that
// have come so far are echoed once the view is known to be newer than them, and
// only while no withdrawn job is taking long to go. So what a withdrawal leaves
// behind in a zone that is cut off ends in time; see vouch.Config.
func (l *lead) confirm(now clock.Micros) {
	stamps := maps.Clone(l.c.stamps)
	l.c.view.wantSync(func(err error) {
		if err != nil || l.closed || !l.c.entitled() {
			return
		}
		for _, j := range l.lg.Jobs {
			if j.Withdrawn && !l.lg.Gone(j) && clock.Now()-j.WithdrawnAt > l.c.times.Settle {
				return
			}
		}
		l.knewAt = now
		for m, s := range stamps {
			l.echoes[m] = s
			l.bound.Echoed(m, now)
		}
	}, now+beatEvery)
}

// watchMachines gives up machines that are stuck, silent, taken or over.
func (l *lead) watchMachines(now clock.Micros) {
	l.lg.Vouched(l.bound.Latest(now))
	silent := l.silentAfter()
	zones := map[string]*hearing{}
	var all hearing
	for _, m := range l.lg.Machines {
		if m.UpAt == 0 {
			continue
		}
		z := zones[m.Zone]
		if z == nil {
			z = &hearing{}
			zones[m.Zone] = z
		}
		fresh := now-max(m.Heard, l.since) < l.freshFor()
		z.add(fresh)
		all.add(fresh)
	}
	if l.handOver(all, now) {
		return
	}
	for name, m := range l.lg.Machines {
		a := l.machines[name]
		if a == nil || a.deleting {
			continue
		}
		quiet := now - max(m.Heard, l.since)
		switch {
		case l.lg.LeaseEnd(m) <= now && (m.UpAt != 0 || !m.Accounted):
			// Its tasks are provably over, and it is of no use.
			l.lg.Expire(m, now)
			if m.UpAt != 0 || m.Since < l.since {
				// One that an earlier leader rented and that was taken meanwhile is
				// on no list: it would count as booting for ever.
				l.c.log.Info("machine lost", "machine", name)
				l.delete(m)
			}
		case m.UpAt == 0 && (m.Since > l.since || a.booting) && now-m.Since > l.pl.StuckAfter(m.Type) && quiet > silent:
			// Not having been heard is no proof for a new leader: once one took a
			// zone that was cut off for machines that never came up, and deleted
			// it with all that ran there.
			l.c.log.Info("machine does not come up", "machine", name)
			l.delete(m)
		case m.UpAt != 0 && quiet > silent && zones[m.Zone].mostly():
			// It is silent while others of its zone are heard. Deleting it
			// proves its tasks over, sooner than its lease would. When a whole
			// zone falls silent a cut is more likely, and it comes back: once
			// a leader that was cut off deleted half its fleet.
			l.c.log.Info("machine silent", "machine", name, "for_s", quiet.Seconds())
			l.delete(m)
		case m.Draining && m.Idle() || l.lg.Tainted(m, now):
			l.delete(m)
		case m.TakenAt != 0 && m.Idle():
			l.delete(m)
		case m.TakenAt != 0:
			l.leave(m, now)
		}
	}
	l.settle(now)
	for n, at := range l.gone {
		if now-at > 600*clock.Second {
			delete(l.gone, n)
		}
	}
	// A machine that no record names comes from a request that was carried
	// out late. It has no tasks; it is returned once no hire is open that it
	// might belong to.
	open := false
	for _, h := range l.hires {
		open = open || !h.resolved
	}
	for n, at := range l.unknown {
		if !open && now-at > 5*clock.Second && !slices.Contains(l.deletes, n) {
			l.c.log.Info("unknown machine returned", "machine", n)
			l.unknown[n] = now + 30*clock.Second
			l.deletes = append(l.deletes, n)
		}
	}
}

// leave moves tasks off a machine that is about to be taken, unless they will
// be done in time.
func (l *lead) leave(m *ledger.Machine, now clock.Micros) {
	left := m.TakenAt - now
	m.Places(func(p *ledger.Placement) {
		j := p.Job
		if p.Stopping() {
			return
		}
		if l.pl.Ends(p, now) <= left {
			return
		}
		grace := clock.FromSeconds(j.Spec.SaveS)
		if j.Spec.CheckpointS > 0 && grace > 0 && left > 2*grace+3*clock.Second {
			return // there is time to run on and still save
		}
		if j.Gang() {
			l.lg.StopJob(j, grace)
		} else {
			l.lg.Stop(p, grace)
		}
	})
}

// logFleet sums up, at debug level, what is rented and what it does.
func (l *lead) logFleet(now clock.Micros) {
	if now < l.fleetAt {
		return
	}
	l.fleetAt = now + 5*clock.Second
	var n, booting, idle [2]int
	var room, replicas, tasks [2]int64
	for _, m := range l.lg.Machines {
		k := 0
		if m.Spot {
			k = 1
		}
		n[k]++
		if m.UpAt == 0 {
			booting[k]++
			continue
		}
		if m.Idle() {
			idle[k]++
		}
		room[k] += m.Cap.CPU / 1000
		m.Places(func(p *ledger.Placement) {
			if p.Job.Service() {
				replicas[k] += p.Job.Need.CPU / 1000
			} else {
				tasks[k] += p.Job.Need.CPU / 1000
			}
		})
	}
	waiting := 0
	for _, j := range l.lg.Jobs {
		if !j.Withdrawn {
			waiting += j.WaitingCount()
		}
	}
	l.c.log.Debug("fleet", "ordinary", n[0], "booting", booting[0], "idle", idle[0], "cpus", room[0], "replicas", replicas[0], "tasks", tasks[0],
		"spot", n[1], "spot_booting", booting[1], "spot_idle", idle[1], "spot_cpus", room[1], "spot_tasks", tasks[1], "waiting", waiting)
}

// list reads the cloud's list now and then: for machines that failed, and for
// machines that nobody knows.
func (l *lead) list(now clock.Micros) {
	if l.listBusy || now < l.listAt {
		return
	}
	l.listBusy = true
	go func() {
		all, err := l.c.cloud.List()
		l.c.post(func() {
			if l.closed {
				return
			}
			now := clock.Now()
			l.listBusy = false
			l.listAt = now + 10*clock.Second
			if err != nil {
				l.listAt = now + 3*clock.Second
				return
			}
			for i := range all {
				l.listed(&all[i], now)
			}
		})
	}()
}

func (l *lead) listed(k *wire.ListedMachine, now clock.Micros) {
	if _, ok := l.gone[k.ID]; ok {
		return // the list lags
	}
	m := l.lg.Machines[k.ID]
	if m == nil {
		if _, ok := l.unknown[k.ID]; !ok {
			l.unknown[k.ID] = now
		}
		return
	}
	if m.Addr == "" {
		m.Addr = k.Addr
	}
	if a := l.machines[k.ID]; a != nil {
		a.booting = k.State == wire.MachineBooting
	}
	if k.State == wire.MachineFailed {
		l.c.log.Info("machine failed", "machine", k.ID)
		l.delete(m)
	}
}

// directTimeout bounds a direct message; past it the start stays possible.
const directTimeout = 2 * clock.Second

// direct sends starts and stops straight to the workers: a report's answer
// would wait for the next report.
func (l *lead) direct(now clock.Micros) {
	l.lg.Outbox(func(m *ledger.Machine) bool {
		name := m.Name
		a := l.machines[name]
		if a == nil || a.deleting {
			return false
		}
		if now < a.notUntil || now-m.Heard > l.silentAfter() || l.directing >= l.c.directs {
			return true
		}
		msg, starts := l.lg.Direct(m, now)
		if msg == nil {
			return false
		}
		body, err := msg.MarshalJSON()
		if err != nil {
			l.lg.DirectEnded(m, starts, ledger.NotSent, now)
			return false
		}
		if a.host == nil {
			a.host = l.c.toWorkers.Host(m.Addr, 1, 4*wire.MaxBody)
		}
		host := a.host
		l.directing++
		go func() {
			res, err := host.Do(client.Request{Method: "POST", Target: "/commands", Body: body, Timeout: directTimeout, Until: l.until})
			result := ledger.Lost
			var rep *wire.Report
			var se *client.SendError
			switch {
			case errors.As(err, &se), errors.Is(err, client.ErrLate):
				result = ledger.NotSent
			case err != nil:
			case res.Status == 200:
				result = ledger.Executed
			case res.Status == 409, res.Status == 400:
				result = ledger.Rejected
			}
			if err == nil && (res.Status == 200 || res.Status == 409) {
				r := &wire.Report{}
				if r.UnmarshalJSON(res.Body) == nil && r.Machine == name {
					rep = r
				}
			}
			l.c.post(func() {
				if !l.closed {
					l.directing--
					l.directEnded(m, a, starts, result, rep)
				}
			})
		}()
		return false
	})
}

func (l *lead) directEnded(m *ledger.Machine, a *machineAux, starts []*ledger.Placement, result ledger.DirectResult, rep *wire.Report) {
	now := clock.Now()
	if l.lg.Machines[m.Name] != m {
		return
	}
	l.lg.DirectEnded(m, starts, result, now)
	if result != ledger.Executed {
		// The way to this worker is bad; its reports' answers will do.
		a.notUntil = now + 2*clock.Second
	}
	if rep != nil && l.lg.DirectReport(m, rep, now) == ledger.Deposed {
		l.c.fenced(l.token)
		return
	}
	l.settle(now)
	l.dirty = true
}
