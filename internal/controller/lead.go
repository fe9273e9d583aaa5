package controller

import (
	"sync/atomic"
	"time"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/scheduler"
	"firwood.dev/firwood/internal/staleness"
)

// lead is what a process holds while it leads: made anew at every take-over,
// thrown away when the lock is lost. Answers that come to a closed one are
// dropped.
type lead struct {
	c      *Core
	token  uint64
	lg     *allocation.Tracker
	pl     *scheduler.Scheduler
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
	// countsTurn is which part of jobs' progress the next beat tells.
	countsTurn uint64
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
	echoes map[string]delegation.Timestamp
	knewAt clock.Micros
	// keeper holds what is promised to leaders to come, opening the zones about
	// which that is being taken back, held the reports that wait for it.
	promises *delegation.ConstraintTracker
	opening  map[string]bool
	held     []waiting

	// raiseAt is when the token that was issued last is used, raisedAt when the
	// one before was issued.
	raiseAt, issuedAt clock.Micros
	issuing           bool

	// standby streams the account to followers, nil if that is turned off.
	standby *stream

	cleanup   cleanup
	archiver  archiver
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
	account := allocation.Config{
		FencingToken: token, LeaseTTL: clock.FromSeconds(d.Workers.LeaseSeconds), Quotas: c.teams,
		CancelFenceWindow: clock.FromSeconds(d.Workers.CancelTimeoutSeconds) / 2,
	}
	l.follow(&account)
	l.lg = allocation.New(account)
	t := &c.tuning
	l.pl = scheduler.New(scheduler.Settings{
		WaitWeight: t.Alpha, IdleWeight: t.Beta, IdleTimeout: clock.FromSeconds(t.IdleWaitS), RelaxedIdleTimeout: clock.FromSeconds(t.LaxIdleWaitS),
		ScreenWindow: clock.FromSeconds(t.ScreenWindowS), ArrivalRecencyWindow: clock.FromSeconds(t.RecencyS),
		MinSpares: t.SpareMin, MaxSpares: t.SpareMax,
		ScreenMinSamples: t.ScreenMinSamples, ScreenMaxSamples: t.ScreenMaxSamples, MaxVariationDeviation: t.ScreenCV, MaxLagCorrelation: t.ScreenLag, MaxKSDistance: t.ScreenKS,
		ArrivalSmoothing: t.SmoothArrival, RunTimeSmoothing: t.SmoothService, DemandSizeSmoothing: t.SmoothNeed,
		IdleCostHorizon: clock.FromSeconds(t.HorizonS), SpotWaitTimeout: clock.FromSeconds(t.SpotPatienceS), AgingThreshold: clock.FromSeconds(t.AgeAfterS),
		GangWaitWeight: t.GangWeight,
	}, c.types, c.teams, d.Zones)
	l.pl.HeartbeatWindow, l.pl.TermStartedAt = l.freshFor(), now
	if c.times.GrantTTL > 0 {
		l.pl.DelegatedZones = map[string]bool{c.cfg.Location: true}
		for _, o := range c.cfg.Peers {
			l.pl.DelegatedZones[o.Location] = true
		}
	}
	l.pl.WaitObjectives, l.pl.CompletionObjectives = map[string]float64{}, map[string]float64{}
	for _, o := range d.Objectives {
		if e, ok := l.pl.CompletionObjectives[o.Class]; o.Kind == "finished" && (!ok || o.TargetSeconds < e) {
			l.pl.CompletionObjectives[o.Class] = o.TargetSeconds
		}
		if w, ok := l.pl.WaitObjectives[o.Class]; o.Kind == "wait" && (!ok || o.TargetSeconds < w) {
			l.pl.WaitObjectives[o.Class] = o.TargetSeconds
		}
	}
	l.planGap = leastPlanGap
	l.listAt = now + 2*clock.Second
	l.renew()
	var others []string
	for _, o := range c.cfg.Peers {
		others = append(others, o.Member)
	}
	l.bound, l.echoes = delegation.NewGrants(c.times, now, c.delegate.SilentFor(now), others), map[string]delegation.Timestamp{}
	l.promises, l.opening = delegation.NewConstraintTracker(c.view.promises, c.view.promisesVersion), map[string]bool{}

	wall := clock.WallTime()
	for name, rec := range c.view.rentals {
		h := &rental{name: name, rec: *rec, version: rec.version, at: now - max(wall-clock.Micros(rec.At), 0), resolved: rec.Resolved}
		l.rentals[name] = h
		for _, m := range rec.Machines {
			l.addMachine(h, m).RecordedInStore = true
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
	l.lg.FinishRecovery()
	l.goOn(now)
	l.cleanup.ends = cancelled
	times := &c.takeOverTimes
	times.rebuilt, times.isReplicaUsed, times.inDoubt = clock.Now(), account.MayHaveStarted != nil, l.doubts()
	c.log.Info("account rebuilt", "token", token, "jobs", len(l.lg.Jobs), "machines", len(l.lg.Machines), "accounted", l.lg.IsReconciled(),
		"in_doubt", times.inDoubt, "replica_used", times.isReplicaUsed)
	return l
}

func (l *lead) close() {
	l.closed = true
	l.deadline.Store(0)
	l.startDeadline.Store(0)
	l.c.unsettledPromises = l.promises.ConstrainedZones()
	for _, h := range l.held {
		later(h.r, "the lead is over")
	}
	l.held = nil
}

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
		l.view.RecordEntitlementRegained(now)
		l.renew()
	}
	fresh := l.view.MayStartTasks(now)
	l.lg.SetStartsPaused(!fresh)
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
		l.c.adjustShare(now)
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
	l.stream(now)
	l.watchFirstDecision(now)
	l.direct(now)
	l.sendDeletes(now)
	l.cleanUp(now)
	l.archive(now)
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
