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

// Term is the state of one leadership term: made at a failover, discarded when
// the lock is lost. Results that arrive once it is closed are dropped.
type Term struct {
	environment *Environment
	host        Host
	token       uint64 // the fencing token that the lock was won with
	isClosed    bool
	tracker     *allocation.Tracker
	scheduler   *scheduler.Scheduler
	tracked

	entitlement entitlement
	liveness    liveness
	renewals    leaseRenewals
	pace        tickPace
	hints       hintSender
	logs        logLimits
	// reconciliation measures the failover's last part.
	reconciliation reconciliationTimes
	// standby streams the allocation table to replicas, nil if that is turned off.
	standby *decisionStream
	backgroundWork
}

// entitlement is until when the leader may act.
type entitlement struct {
	// actDeadline is the end of the lock's lease as known, 0 once the term is closed;
	// startDeadline is the end of the time in which tasks may be started, no later than
	// that. The controller's goroutine writes both, senders on other goroutines read them.
	actDeadline, startDeadline atomic.Int64
	// viewAge tells what the age of the view allows.
	viewAge          *staleness.Tracker
	isRefreshingView bool // a read that makes the view new again is under way
	hasLapsed        bool // the entitlement was over at the last tick
}

// liveness is since when the leader could receive heartbeats, and from where it did.
type liveness struct {
	startedAt clock.Micros // of the term
	// resumedAt is since when this process has been able to receive heartbeats: machines
	// that were not heard of while it was stalled itself don't become suspected.
	resumedAt clock.Micros
	// hadMostReachable: most machines were reachable at some time in this term.
	hadMostReachable bool
	// zoneUnreachableAt is when a zone was last not mostly reachable.
	zoneUnreachableAt map[string]clock.Micros
}

// leaseRenewals bounds until when members may have renewed workers' leases.
type leaseRenewals struct {
	// grants is until when other members may have renewed leases as delegates.
	grants *delegation.Grants
	// acknowledgements are the members' timestamps that extend their grants.
	acknowledgements map[string]delegation.Timestamp
	// cancellationsKnownAt is the last instant before which every cancellation is in the view.
	cancellationsKnownAt clock.Micros
	// constraints are the renewal constraints recorded for later leaders; liftingZones
	// are zones whose constraint is being lifted, deferredHeartbeats wait for that.
	constraints        *delegation.ConstraintTracker
	liftingZones       map[string]bool
	deferredHeartbeats []deferredHeartbeat
}

// logLimits bound lines that many machines or tasks may cause at once.
type logLimits struct {
	listedTasks, heldBackHeartbeats logLimit
	areStartsPaused                 bool // as last logged
}

// tickPace is when the periodic steps of a tick are due.
type tickPace struct {
	needsPlan      bool // something has changed since the last plan
	nextPlanAt     clock.Micros
	planInterval   clock.Micros // between the last plan and the next
	consolidatedAt clock.Micros // when replicas were last moved together
	nextSlowTickAt clock.Micros
	nextFleetLogAt clock.Micros
}

// hintSender is how far the leader has sent advisory state to the other members.
type hintSender struct {
	images hints.ImageSender
	counts hints.ProgressSender
}

// backgroundWork is what a term does beside placing tasks.
type backgroundWork struct {
	scaleOutSequence        int // of the last scale-out request's name
	listing                 machineListing
	deletions               machineDeletions
	tokenIssue              tokenIssue
	probing                 probing
	persistence             persistence
	commandRequestsInFlight int
	confirmations           tokenConfirmations
}

// machineListing is the state of reading the cloud's list of machines.
type machineListing struct {
	isInFlight bool
	nextAt     clock.Micros
	// unknownSince are machines that send heartbeats, or are listed, and that no record names.
	unknownSince map[string]clock.Micros
}

// machineDeletions is the state of deleting machines in the cloud.
type machineDeletions struct {
	pending    []string
	isInFlight bool
	nextAt     clock.Micros
	// deletedAt are machines that the cloud has deleted for this leader; heartbeats of
	// theirs that arrive late mean nothing.
	deletedAt map[string]clock.Micros
}

// tokenIssue is the state of issuing a higher fencing token within the term.
type tokenIssue struct {
	raiseAt    clock.Micros // when the issued token takes effect, 0: none is issued
	issuedAt   clock.Micros // when the last one was issued
	isInFlight bool
}

// probing is the state of probing machines.
type probing struct {
	inFlight         int
	nextMachineIndex int // where the next round over machines with replicas begins
}

// requestPlan has the next tick plan, as soon as its pace allows.
func (term *Term) requestPlan() { term.pace.needsPlan = true }

// New rebuilds a leader's state from a view that is as new as a read sent at readAt.
func New(environment *Environment, host Host, token uint64, readAt clock.Micros) *Term {
	now := clock.Now()
	term := &Term{
		environment: environment, host: host, token: token,
		tracked:  tracked{scaleOuts: map[string]*scaleout.Request{}, machines: map[string]*machineState{}, jobs: map[string]*jobState{}},
		liveness: liveness{startedAt: now, resumedAt: now, zoneUnreachableAt: map[string]clock.Micros{}},
	}
	term.entitlement.viewAge = staleness.NewTracker(environment.Staleness, readAt)
	term.deletions.deletedAt, term.listing.unknownSince = map[string]clock.Micros{}, map[string]clock.Micros{}
	term.persistence = newPersistence(term)
	allocationConfig := environment.allocationConfig(token)
	term.setUpStandby(&allocationConfig)
	term.tracker = allocation.New(allocationConfig)
	term.scheduler = environment.newScheduler(host.MachineTypes(), now)
	term.pace.planInterval = minPlanInterval
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

// termOverReply is the body's text in replies to workers whose heartbeats outlived the term.
const termOverReply = "the lead is over"

// Close ends the term: nothing is sent any more, and workers that wait for a reply are refused.
// It returns the zones that this leader has constrained, or may have.
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

// slowTickInterval is how often machines are reviewed, and planned though nothing has
// been reported.
const slowTickInterval = 500 * clock.Millisecond

// Tick does what is due, at every tick of the controller.
func (term *Term) Tick(now clock.Micros) {
	term.updateDeadlines()
	if !term.host.IsEntitled() {
		term.entitlement.hasLapsed = true
		return // nothing may be sent; the lock may yet be renewed
	}
	term.resumeAfterLapse(now)
	mayStart := term.pauseStartsIfStale(now)
	if now >= term.pace.nextSlowTickAt {
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

// slowTick does the steps that need not be done at every tick; it tells whether they ended
// the term.
func (term *Term) slowTick(now clock.Micros) (isOver bool) {
	term.pace.nextSlowTickAt = now + slowTickInterval
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

// planIfDue plans if something has changed and the last plan is long enough ago. The
// duration of a plan grows with the waiting tasks and the machines with free capacity;
// the interval grows with it, so that heartbeats and users get their share of the processor.
func (term *Term) planIfDue(now clock.Micros) {
	if !term.pace.needsPlan || now < term.pace.nextPlanAt {
		return
	}
	term.pace.needsPlan = false
	term.Plan(now)
	term.persistJobs(now)
	took := clock.Now() - now
	term.pace.planInterval = min(max(planIntervalFactor*took, minPlanInterval), maxPlanInterval)
	term.pace.nextPlanAt = now + took + term.pace.planInterval
}
