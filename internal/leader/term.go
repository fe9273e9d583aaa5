package leader

import (
	"sync/atomic"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/hints"
	"firwood.dev/firwood/internal/scaleout"
	"firwood.dev/firwood/internal/scheduler"
	"firwood.dev/firwood/internal/staleness"
)

// Term is the state of one leadership term. It is created at a failover and discarded when the
// lock is lost. Results that arrive after it is closed are dropped.
type Term struct {
	environment *Environment
	host        Host
	token       uint64 // the fencing token with which the lock was won
	isClosed    bool
	tracker     *allocation.Tracker
	scheduler   *scheduler.Scheduler
	trackedState

	entitlement entitlement
	liveness    liveness
	renewals    leaseRenewals
	periodic    periodicSteps
	hints       hintSender
	logs        logLimits
	// reconciliation measures the last phase of the failover.
	reconciliation reconciliationTimes
	// standby streams the allocation table to the replicas, or is nil if standby is disabled.
	standby *decisionStream
	backgroundWork
}

// entitlement holds until when the leader may act and start tasks, and the view's age, on which this depends.
type entitlement struct {
	// actDeadline is the end of the lock's lease, as far as this process knows, or 0 once the term is closed.
	// startDeadline is the end of the time in which tasks may be started; it is never later than
	// actDeadline. The controller's goroutine writes both, senders on other goroutines read them.
	actDeadline, startDeadline atomic.Int64
	// viewAge tracks the age of the view and what the leader may still do on it.
	viewAge          *staleness.Tracker
	isRefreshingView bool // a read that brings the view up to date is in flight
	hasLapsed        bool // the leader was not entitled to act at the last tick
}

// liveness records since when the leader has been able to receive heartbeats, and whether it has
// reached the fleet and each zone.
type liveness struct {
	startedAt clock.Micros // when the term began
	// resumedAt is the instant since which this process has been able to receive heartbeats.
	// Machines that sent none while the process itself was stalled are not suspected.
	resumedAt clock.Micros
	// wasMostlyReachable is whether the fleet was mostly reachable at some time in this term; see
	// health.Reachability.
	wasMostlyReachable bool
	// zoneUnreachableAt holds, by zone, the last instant at which the zone was not mostly reachable;
	// see health.Reachability.
	zoneUnreachableAt map[string]clock.Micros
}

// leaseRenewals bounds the time until which members may have renewed workers' leases.
type leaseRenewals struct {
	// grants tracks until when other members may have renewed leases as delegates.
	grants *delegation.Grants
	// acknowledgements are the members' timestamps that extend their grants, by member.
	acknowledgements map[string]delegation.Timestamp
	// cancellationsKnownAt is the latest instant before which every confirmed cancellation is known
	// to be in the view.
	cancellationsKnownAt clock.Micros
	// constraints are the renewal constraints recorded for later leaders. liftingZones are the
	// zones whose constraint is being lifted. deferredHeartbeats are the workers' heartbeats to which
	// the leader may not reply yet.
	constraints        *delegation.ConstraintTracker
	liftingZones       map[string]bool
	deferredHeartbeats []deferredHeartbeat
}

// logLimits bounds the log lines that many machines or tasks may cause at once.
type logLimits struct {
	listedTasks, deferrals logLimit
	isPauseLogged          bool // the last logged change of the starts was a pause
}

// periodicSteps holds when the periodic steps of a tick are due.
type periodicSteps struct {
	needsPlan      bool // something has changed since the last plan
	nextPlanAt     clock.Micros
	planInterval   clock.Micros // the time between the last plan and the next one
	consolidatedAt clock.Micros // when replicas were last consolidated on fewer machines
	nextSlowTickAt clock.Micros
	nextFleetLogAt clock.Micros
}

// hintSender tracks which advisory state the leader has sent to the other members.
type hintSender struct {
	images   hints.ImageSender
	progress hints.ProgressSender
}

// backgroundWork is the state of everything that a term does besides placing tasks.
type backgroundWork struct {
	scaleOutSequence        int // the number in the name of the last scale-out request
	listing                 machineListing
	deletions               machineDeletions
	tokenIssue              tokenIssue
	probing                 probing
	persistence             persistence
	commandRequestsInFlight int
	confirmations           tokenConfirmations
}

// machineListing is the state of reading the cloud's list of machines periodically.
type machineListing struct {
	isInFlight bool
	nextAt     clock.Micros
	// unknownSince holds, by name, when a heartbeat or the cloud's list first showed a machine that
	// no record names.
	unknownSince map[string]clock.Micros
}

// machineDeletions is the state of deleting machines in the cloud.
type machineDeletions struct {
	pending    []string
	isInFlight bool
	nextAt     clock.Micros
	// deletedAt holds, by name, when the cloud deleted a machine for this leader. Late heartbeats
	// and stale list entries of these machines don't count as signs of an unknown machine.
	deletedAt map[string]clock.Micros
}

// tokenIssue is the state of issuing a higher fencing token during the term.
type tokenIssue struct {
	takesEffectAt clock.Micros // when the issued token takes effect, or 0 if none is pending
	issuedAt      clock.Micros // when the last token was issued, or 0 if none was
	isInFlight    bool
}

// probing is the state of probing machines.
type probing struct {
	inFlight         int
	nextMachineIndex int // index of the machine at which the next round over machines with replicas begins
}

// requestPlan has a plan run at the next tick, or at the first one after the plan interval has passed.
func (term *Term) requestPlan() { term.periodic.needsPlan = true }

// New returns a term whose state is rebuilt from the view, which is as new as a read sent at
// readAt.
func New(environment *Environment, host Host, token uint64, readAt clock.Micros) *Term {
	now := clock.Now()
	term := &Term{
		environment: environment, host: host, token: token,
		trackedState: trackedState{scaleOuts: map[string]*scaleout.Request{}, machines: map[string]*machineState{}, jobs: map[string]*jobState{}},
		liveness:     liveness{startedAt: now, resumedAt: now, zoneUnreachableAt: map[string]clock.Micros{}},
	}
	term.entitlement.viewAge = staleness.NewTracker(environment.Staleness, readAt)
	term.deletions.deletedAt, term.listing.unknownSince = map[string]clock.Micros{}, map[string]clock.Micros{}
	term.persistence = newPersistence(term)
	allocationConfig := environment.allocationConfig(token)
	term.setUpStandby(&allocationConfig)
	term.tracker = allocation.New(allocationConfig)
	term.scheduler = environment.newScheduler(host.MachineTypes(), now)
	term.periodic.planInterval = minPlanInterval
	term.listing.nextAt = now + firstListDelay
	term.updateDeadlines()
	term.renewals = environment.newLeaseRenewals(now)
	term.restore(now, clock.WallTime())
	term.reconciliation.machines = term.tracker.UnreconciledMachineCount()
	term.requestPlan()
	environment.Failover.isReplicaUsed = allocationConfig.MayHaveStarted != nil
	term.recordRebuilt()
	return term
}

// termOverReply is the error text in replies to workers whose heartbeats were still deferred when the
// term ended.
const termOverReply = "the lead is over"

// Close ends the term: nothing more is sent, and workers whose heartbeats are deferred get an error
// reply. Close returns the zones that this leader has constrained or may have constrained.
func (term *Term) Close() (constrainedZones map[string]bool) {
	term.isClosed = true
	term.entitlement.actDeadline.Store(0)
	term.entitlement.startDeadline.Store(0)
	for _, deferred := range term.renewals.deferredHeartbeats {
		term.refuseDeferredHeartbeat(deferred, termOverReply)
	}
	term.renewals.deferredHeartbeats = nil
	return term.renewals.constraints.ConstrainedZones()
}

// slowTickInterval is the time between two slow ticks, which review the machines and request a plan
// even if nothing has been reported.
const slowTickInterval = 500 * clock.Millisecond

// Tick performs the steps that are due. The controller calls it at each of its own ticks.
func (term *Term) Tick(now clock.Micros) {
	term.updateDeadlines()
	if !term.host.IsEntitled() {
		term.entitlement.hasLapsed = true
		return // nothing may be sent; the lock may still be renewed
	}
	term.resumeAfterLapse(now)
	mayStart := term.pauseStartsIfStale(now)
	if now >= term.periodic.nextSlowTickAt {
		if isOver := term.slowTick(now); isOver {
			return
		}
	}
	if mayStart {
		term.planIfDue(now)
	}
	term.streamDecisions(now)
	term.recordFirstDecision(now)
	term.recordReconciliation(now)
	term.sendCommandRequests(now)
	term.sendConfirmationRequests(now)
	term.sendDeletes(now)
	term.persistence.cleanup.tick(now)
	term.persistence.archive.tick(now)
}

// slowTick performs the steps that are not needed at every tick. It reports whether they ended the
// term.
func (term *Term) slowTick(now clock.Micros) (isOver bool) {
	term.periodic.nextSlowTickAt = now + slowTickInterval
	term.reviewMachines(now)
	if term.isClosed {
		return true
	}
	term.warnLateJobs(now)
	term.listMachines(now)
	term.sendProbes(now)
	term.issueToken(now)
	term.host.AdjustRateShare(now)
	term.logFleet(now)
	term.requestPlan()
	return false
}

// planIfDue runs a plan if something has changed and the plan interval has passed. A plan takes
// longer the more tasks wait and the more machines have free capacity. The interval grows with that
// duration, so that heartbeats and users' requests get their share of the processor.
func (term *Term) planIfDue(now clock.Micros) {
	if !term.periodic.needsPlan || now < term.periodic.nextPlanAt {
		return
	}
	term.periodic.needsPlan = false
	term.Plan(now)
	term.persistJobs(now)
	took := clock.Now() - now
	term.periodic.planInterval = min(max(planIntervalFactor*took, minPlanInterval), maxPlanInterval)
	term.periodic.nextPlanAt = now + took + term.periodic.planInterval
}
