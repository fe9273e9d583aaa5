package controller

import (
	"sync/atomic"
	"time"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/forecast"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/scheduler"
	"firwood.dev/firwood/internal/staleness"
	"firwood.dev/firwood/internal/storeview"
)

// leaderTerm is what a process holds while it leads: made anew at every take-over,
// thrown away when the lock is lost. Answers that come to a closed one are
// dropped.
type leaderTerm struct {
	controller *Controller
	token      uint64
	tracker    *allocation.Tracker
	scheduler  *scheduler.Scheduler
	isClosed   bool
	// actDeadline is the end of the entitlement, 0 once closed; startDeadline is the
	// end of the time in which tasks may be started, no later than that.
	actDeadline, startDeadline atomic.Int64
	// viewAge tells what the age of the view allows; reading: a read that makes it
	// new again is under way.
	viewAge          *staleness.Tracker
	isRefreshingView bool
	startedAt        clock.Micros
	// resumedAt is since when this process has been able to hear anybody: what was
	// silent while it stood still itself is not taken for silent.
	resumedAt     clock.Micros
	hasLapsed     bool // the entitlement was over at the last tick
	nextHintIndex int  // the machine that the next beat tells of
	// nextCountsPart is which part of jobs' progress the next beat tells.
	nextCountsPart uint64
	// resendHintsBefore is when a member last came back, which has to be told of all machines.
	resendHintsBefore clock.Micros
	// hadMostReachable: a good part of the machines was heard in this lead.
	hadMostReachable bool
	// zoneUnreachableAt is when a zone was last not mostly heard.
	zoneUnreachableAt map[string]clock.Micros

	scaleOuts map[string]*scaleOutRequest
	machines  map[string]*machineState
	jobs      map[string]*jobState
	// deletedAt are machines that the cloud has deleted for us; late reports of
	// theirs mean nothing.
	deletedAt map[string]clock.Micros
	// unknownSince are machines that report and that no record names.
	unknownSince map[string]clock.Micros

	scaleOutSequence int
	consolidatedAt   clock.Micros
	needsPlan        bool
	nextPlanAt       clock.Micros
	planInterval     clock.Micros
	nextSlowTickAt   clock.Micros
	nextListAt       clock.Micros
	nextFleetLogAt   clock.Micros
	isListing        bool
	pendingDeletes   []string
	isDeleting       bool
	nextDeleteAt     clock.Micros
	// grants tells until when others may have renewed workers' leases as delegates, echoes are the
	// stamps that give them the right to, cancellationsKnownAt is the last instant before which
	// every withdrawal is known here.
	grants               *delegation.Grants
	acknowledgements     map[string]delegation.Timestamp
	cancellationsKnownAt clock.Micros
	// keeper holds what is promised to leaders to come, opening the zones about
	// which that is being taken back, held the reports that wait for it.
	constraints        *delegation.ConstraintTracker
	liftingZones       map[string]bool
	deferredHeartbeats []deferredHeartbeat

	// raiseTokenAt is when the token that was issued last is used, raisedAt when the
	// one before was issued.
	raiseTokenAt, tokenIssuedAt clock.Micros
	isIssuingToken              bool

	// standby streams the account to followers, nil if that is turned off.
	standby *decisionStream

	cleanup                 cleanupState
	archiver                archiveState
	progressWritesInFlight  int // progress writes under way
	commandRequestsInFlight int // direct messages under way
	probesInFlight          int // probes under way
	nextProbeIndex          int // the machine that the next look at those with replicas begins with
}

// machineState is what the ledger need not know of a machine.
type machineState struct {
	scaleOut             *scaleOutRequest
	host                 *client.Host
	commandsBlockedUntil clock.Micros // no direct messages before this instant
	isDeleting           bool
	probes               probeState
	faults               faultState
	sentHint             sentHint
	// isListedBooting: the cloud's last list said so. Of a machine that an earlier
	// leader rented this alone tells that it has never come up.
	isListedBooting bool
}

// jobState is what the ledger need not know of a job.
type jobState struct {
	isRecordingStarts  bool
	isWriting          bool
	writtenAt          clock.Micros
	layout             records.ProgressLayout
	keyVersions        map[int]uint64 // versions of progress keys as last known, by number
	hasWarnedLate      bool
	isEndDurable       bool    // its end is durable
	observedRuns       int     // tasks that this leader saw run to their end
	observedRunSeconds float64 // how long they ran in all, in seconds
	isJobRunObserved   bool    // they are in the screen as one run
	firstStartAt       int64
}

// setKeyVersion notes the version of a progress key.
func (jobInfo *jobState) setKeyVersion(number int, version uint64) {
	if jobInfo.keyVersions == nil {
		jobInfo.keyVersions = map[int]uint64{}
	}
	jobInfo.keyVersions[number] = max(jobInfo.keyVersions[number], version)
}

// updateKeyVersions takes the versions of progress keys from the view.
func (jobInfo *jobState) updateKeyVersions(parts map[int]storeview.ProgressPart) {
	for number, part := range parts {
		jobInfo.setKeyVersion(number, part.Version)
	}
}

// newLeaderTerm rebuilds the account from a view that rests on a read sent at readAt.
func newLeaderTerm(controller *Controller, token uint64, readAt clock.Micros) *leaderTerm {
	now := clock.Now()
	deployment := &controller.cfg.Deployment
	term := &leaderTerm{
		controller: controller, token: token, startedAt: now, resumedAt: now, needsPlan: true,
		scaleOuts: map[string]*scaleOutRequest{}, machines: map[string]*machineState{}, jobs: map[string]*jobState{},
		zoneUnreachableAt: map[string]clock.Micros{},
		deletedAt:         map[string]clock.Micros{}, unknownSince: map[string]clock.Micros{},
		viewAge: staleness.NewTracker(controller.stalenessBounds, readAt),
	}
	allocationConfig := allocation.Config{
		FencingToken: token, LeaseTTL: clock.FromSeconds(deployment.Workers.LeaseSeconds), Quotas: controller.teams,
		CancelFenceWindow: clock.FromSeconds(deployment.Workers.CancelTimeoutSeconds) / 2,
	}
	term.setUpStandby(&allocationConfig)
	term.tracker = allocation.New(allocationConfig)
	tuning := &controller.tuning
	term.scheduler = scheduler.New(scheduler.Settings{
		Screen: forecast.ScreenSettings{
			Window: clock.FromSeconds(tuning.ScreenWindowS), MinSamples: tuning.ScreenMinSamples, MaxSamples: tuning.ScreenMaxSamples,
			MaxVariationDeviation: tuning.ScreenCV, MaxLagCorrelation: tuning.ScreenLag, MaxKSDistance: tuning.ScreenKS,
		},
		Smoothing: forecast.Smoothing{Arrival: tuning.SmoothArrival, RunTime: tuning.SmoothService, DemandSize: tuning.SmoothNeed},
		Spares: scheduler.SpareSettings{
			WaitWeight: tuning.Alpha, IdleWeight: tuning.Beta, Min: tuning.SpareMin, Max: tuning.SpareMax,
			IdleCostHorizon: clock.FromSeconds(tuning.HorizonS), ArrivalRecencyWindow: clock.FromSeconds(tuning.RecencyS),
		},
		IdleTimeout: clock.FromSeconds(tuning.IdleWaitS), RelaxedIdleTimeout: clock.FromSeconds(tuning.LaxIdleWaitS),
		SpotWaitTimeout: clock.FromSeconds(tuning.SpotPatienceS), AgingThreshold: clock.FromSeconds(tuning.AgeAfterS),
		GangWaitWeight: tuning.GangWeight,
	}, controller.machineTypes, controller.teams, deployment.Zones)
	term.scheduler.HeartbeatWindow, term.scheduler.TermStartedAt = term.heartbeatWindow(), now
	if controller.delegationTimes.GrantTTL > 0 {
		term.scheduler.DelegatedZones = map[string]bool{controller.cfg.Location: true}
		for _, other := range controller.cfg.Peers {
			term.scheduler.DelegatedZones[other.Location] = true
		}
	}
	term.scheduler.WaitObjectives, term.scheduler.CompletionObjectives = map[string]float64{}, map[string]float64{}
	for _, other := range deployment.Objectives {
		if within, ok := term.scheduler.CompletionObjectives[other.Class]; other.Kind == "finished" && (!ok || other.TargetSeconds < within) {
			term.scheduler.CompletionObjectives[other.Class] = other.TargetSeconds
		}
		if within, ok := term.scheduler.WaitObjectives[other.Class]; other.Kind == "wait" && (!ok || other.TargetSeconds < within) {
			term.scheduler.WaitObjectives[other.Class] = other.TargetSeconds
		}
	}
	term.planInterval = minPlanInterval
	term.nextListAt = now + 2*clock.Second
	term.updateDeadlines()
	var others []string
	for _, other := range controller.cfg.Peers {
		others = append(others, other.Member)
	}
	term.grants, term.acknowledgements = delegation.NewGrants(controller.delegationTimes, now, controller.delegate.SilentFor(now), others), map[string]delegation.Timestamp{}
	term.constraints, term.liftingZones = delegation.NewConstraintTracker(controller.view.Constraints, controller.view.ConstraintsVersion), map[string]bool{}

	wall := clock.WallTime()
	for name, record := range controller.view.ScaleOuts {
		request := &scaleOutRequest{name: name, record: record.ScaleOut, version: record.Version, requestedAt: now - max(wall-clock.Micros(record.RequestedAt), 0), isResolved: record.IsResolved}
		term.scaleOuts[name] = request
		for _, machineName := range record.Machines {
			term.addMachine(request, machineName).RecordedInStore = true
		}
		if !record.IsResolved {
			// Whether it was carried out is not known. The same name gets the
			// same answer, so asking again settles it.
			term.sendScaleOut(request)
		}
	}
	var cancelled []string // with jobs that they need
	for id, record := range controller.view.Jobs {
		done := controller.view.Progress[id]
		switch {
		case record.IsCancelledByDependency:
			cancelled = append(cancelled, id)
		case !record.HasEnded():
			if !controller.isBlocked(id, record) {
				term.addJob(id, record, len(done) > 0)
			}
		case record.Spec != nil:
			// Withdrawn, but its tasks are not known to be gone.
			job := term.addJob(id, record, len(done) > 0)
			term.cancelJob(job, record, now)
		}
	}
	term.replayArrivals(now, wall)
	term.adoptConstraints(now)
	term.updateRenewalBounds(now)
	term.tracker.FinishRecovery()
	term.restoreHints(now)
	term.cleanup.impliedCancellations = cancelled
	failover := &controller.lastFailover
	failover.rebuiltAt, failover.isReplicaUsed, failover.unconfirmed = clock.Now(), allocationConfig.MayHaveStarted != nil, term.unconfirmedCount()
	controller.log.Info("account rebuilt", "token", token, "jobs", len(term.tracker.Jobs), "machines", len(term.tracker.Machines), "accounted", term.tracker.IsReconciled(),
		"in_doubt", failover.unconfirmed, "replica_used", failover.isReplicaUsed)
	return term
}

func (term *leaderTerm) close() {
	term.isClosed = true
	term.actDeadline.Store(0)
	term.startDeadline.Store(0)
	term.controller.unconfirmedConstraints = term.constraints.ConstrainedZones()
	for _, deferred := range term.deferredHeartbeats {
		replyUnavailable(deferred.reply, "the lead is over")
	}
	term.deferredHeartbeats = nil
}

func (term *leaderTerm) tick(now clock.Micros) {
	term.updateDeadlines()
	if !term.controller.isEntitled() {
		term.hasLapsed = true
		return // nothing may be sent; the lock may yet be renewed
	}
	if term.hasLapsed {
		// It has answered nobody, so who was not heard meanwhile is not silent. After
		// an outage of 75 s a leader once handed over for hearing nobody.
		term.hasLapsed = false
		term.recordResume(now)
		// Withdrawals may have been confirmed before an outage that a leader which
		// was refused alone never heard of: once it started their tasks again.
		term.viewAge.RecordEntitlementRegained(now)
		term.updateDeadlines()
	}
	fresh := term.viewAge.MayStartTasks(now)
	term.tracker.SetStartsPaused(!fresh)
	if !fresh {
		term.refreshView(now)
	}
	if now >= term.nextSlowTickAt {
		term.nextSlowTickAt = now + 500*clock.Millisecond
		term.reviewMachines(now)
		if term.isClosed {
			return
		}
		term.warnLateJobs(now)
		term.listMachines(now)
		term.sendProbes(now)
		term.issueToken(now)
		term.controller.adjustRateShare(now)
		term.logFleet(now)
		term.needsPlan = true
	}
	if term.needsPlan && fresh && now >= term.nextPlanAt {
		term.needsPlan = false
		term.runScheduler(now)
		term.persistJobs(now)
		// A plan costs what waits and what has room for it. The time that it
		// took says how soon the next may come and leave the processor's share
		// to reports and users.
		took := clock.Now() - now
		term.planInterval = min(max(planIntervalFactor*took, minPlanInterval), maxPlanInterval)
		term.nextPlanAt = now + took + term.planInterval
	}
	term.streamDecisions(now)
	term.recordFirstDecision(now)
	term.sendCommandRequests(now)
	term.sendDeletes(now)
	term.tickCleanup(now)
	term.tickArchive(now)
}

// runAfter runs f on the owner later, unless the lead is over by then.
func (term *leaderTerm) runAfter(delay clock.Micros, command func()) {
	time.AfterFunc(delay.Duration(), func() {
		term.controller.postResult(func() {
			if !term.isClosed {
				command()
			}
		})
	})
}
