package leader

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/forecast"
	"firwood.dev/firwood/internal/metrics"
	"firwood.dev/firwood/internal/scaleout"
	"firwood.dev/firwood/internal/scheduler"
	"firwood.dev/firwood/wire"
)

// A new leader rebuilds its state from the records of the key-value store, the hints of
// the last leader, and, if it was a replica of that leader's allocation table, from the
// replica. What the records don't tell comes with the workers' heartbeats.

// firstListDelay is how long after its start a term first reads the cloud's list.
const firstListDelay = 2 * clock.Second

// allocationConfig is how a term with this fencing token counts tasks and leases.
func (environment *Environment) allocationConfig(token uint64) allocation.Config {
	workers := &environment.Config.Deployment.Workers
	return allocation.Config{
		FencingToken: token, LeaseTTL: clock.FromSeconds(workers.LeaseSeconds), Quotas: environment.Teams,
		CancelFenceWindow: clock.FromSeconds(workers.CancelTimeoutSeconds) / 2,
		MayBeActive:       environment.mayBeActive,
	}
}

// mayBeActive tells whether a job has not ended, as far as the view knows. One that the allocation table
// lacks is blocked, perhaps only until a dependency that was evicted from the view is looked up: an
// earlier leader may have started it.
func (environment *Environment) mayBeActive(jobID string) bool {
	record := environment.View.Jobs[jobID]
	return record != nil && !record.HasEnded()
}

// schedulerSettings translates the tuning file; its durations are in seconds.
func schedulerSettings(tuning *config.Tuning) scheduler.Settings {
	return scheduler.Settings{
		Screen: forecast.ScreenSettings{
			Window:                clock.FromSeconds(tuning.ScreenWindowS),
			MinSamples:            tuning.ScreenMinSamples,
			MaxSamples:            tuning.ScreenMaxSamples,
			MaxVariationDeviation: tuning.ScreenCV,
			MaxLagCorrelation:     tuning.ScreenLag,
			MaxKSDistance:         tuning.ScreenKS,
		},
		Smoothing: forecast.Smoothing{
			Arrival:    tuning.SmoothArrival,
			RunTime:    tuning.SmoothService,
			DemandSize: tuning.SmoothNeed,
		},
		Spares: scheduler.SpareSettings{
			WaitWeight:           tuning.Alpha,
			IdleWeight:           tuning.Beta,
			Min:                  tuning.SpareMin,
			Max:                  tuning.SpareMax,
			IdleCostHorizon:      clock.FromSeconds(tuning.HorizonS),
			ArrivalRecencyWindow: clock.FromSeconds(tuning.RecencyS),
		},
		IdleTimeout:        clock.FromSeconds(tuning.IdleWaitS),
		RelaxedIdleTimeout: clock.FromSeconds(tuning.LaxIdleWaitS),
		SpotWaitTimeout:    clock.FromSeconds(tuning.SpotPatienceS),
		AgingThreshold:     clock.FromSeconds(tuning.AgeAfterS),
		GangWaitWeight:     tuning.GangWeight,
	}
}

// newScheduler makes the scheduler of a term that starts now.
func (environment *Environment) newScheduler(machineTypes []wire.MachineType, now clock.Micros) *scheduler.Scheduler {
	deployment := &environment.Config.Deployment
	created := scheduler.New(schedulerSettings(environment.Tuning), machineTypes, environment.Teams, deployment.Zones)
	created.HeartbeatWindow, created.TermStartedAt = environment.Timing.HeartbeatWindow, now
	created.DelegatedZones = environment.delegatedZones()
	created.WaitObjectives = strictestObjectives(deployment.Objectives, "wait")
	created.CompletionObjectives = strictestObjectives(deployment.Objectives, "finished")
	return created
}

// delegatedZones are the zones in which some member may renew leases as delegate; nil if
// delegation is turned off.
func (environment *Environment) delegatedZones() map[string]bool {
	if environment.Delegation.GrantTTL <= 0 {
		return nil
	}
	zones := map[string]bool{environment.Config.Location: true}
	for _, other := range environment.Config.Peers {
		zones[other.Location] = true
	}
	return zones
}

// strictestObjectives is, by class, the smallest target in seconds of the objectives of a kind.
func strictestObjectives(objectives []config.Objective, kind string) map[string]float64 {
	targets := map[string]float64{}
	for _, objective := range objectives {
		if objective.Kind != kind {
			continue
		}
		if target, ok := targets[objective.Class]; !ok || objective.TargetSeconds < target {
			targets[objective.Class] = objective.TargetSeconds
		}
	}
	return targets
}

// newLeaseRenewals bounds what others may have renewed, from what this member knows itself
// and from the constraints in the store.
func (environment *Environment) newLeaseRenewals(now clock.Micros) leaseRenewals {
	var others []string
	for _, other := range environment.Config.Peers {
		others = append(others, other.Member)
	}
	return leaseRenewals{
		grants:           delegation.NewGrants(environment.Delegation, now, environment.Delegate.SilentFor(now), others),
		acknowledgements: map[string]delegation.Timestamp{},
		constraints:      delegation.NewConstraintTracker(environment.View.Constraints, environment.View.ConstraintsVersion),
		liftingZones:     map[string]bool{},
	}
}

// restore takes over what the view tells of scale-out requests and jobs, adopts the
// constraints and hints of earlier leaders, and completes the allocation table. The order
// matters: arrivals, constraints and hints are those of the jobs and machines that were
// restored before. Everything that earlier leaders may have started tasks of, or on, has to
// be there before FinishRecovery: what is added after it counts as new.
func (term *Term) restore(now, wallTime clock.Micros) {
	term.restoreScaleOuts(now, wallTime)
	cancelled := term.restoreJobs(now)
	term.replayArrivals(now, wallTime)
	term.adoptConstraints(now)
	term.updateRenewalBounds(now)
	term.tracker.FinishRecovery()
	term.restoreHints(now)
	term.persistence.cleanup.addImpliedCancellations(cancelled...)
}

// restoreScaleOuts adds the machines of all recorded scale-out requests, and sends again
// those that have no recorded result.
func (term *Term) restoreScaleOuts(now, wallTime clock.Micros) {
	for name, record := range term.environment.View.ScaleOuts {
		request := scaleout.Restore(name, record.ScaleOut, record.Version, now-max(wallTime-clock.Micros(record.RequestedAt), 0))
		term.scaleOuts[name] = request
		for _, machineName := range record.Machines {
			term.addMachine(request, machineName).RecordedInStore = true
		}
		if !record.IsResolved {
			// Whether it was carried out is not known. A request is idempotent by its
			// name, so sending it again settles that.
			term.sendScaleOut(request)
		}
	}
}

// restoreJobs adds the jobs that have not ended and whose dependencies allow them to run,
// and those that were cancelled but may have tasks left. It returns the jobs whose
// cancellation follows from that of a dependency and is not yet in their own records.
func (term *Term) restoreJobs(now clock.Micros) (impliedCancellations []string) {
	view, graph := term.environment.View, term.environment.Graph
	for id, record := range view.Jobs {
		hasProgress := len(view.Progress[id]) > 0
		switch {
		case record.IsCancelledByDependency:
			impliedCancellations = append(impliedCancellations, id)
		case !record.HasEnded():
			if !IsBlocked(view, graph, id, record) {
				term.addJob(id, record, hasProgress)
			}
		case record.Spec != nil: // cancelled, and its tasks may still run
			job := term.addJob(id, record, hasProgress)
			term.cancelJob(job, record, now)
		}
	}
	return impliedCancellations
}

// recordRebuilt notes and logs that the allocation table is rebuilt. That ends the failover's
// second phase, after the wait for the lock; recordFirstDecision ends the third.
func (term *Term) recordRebuilt() {
	failover := term.environment.Failover
	failover.rebuiltAt, failover.unconfirmed = clock.Now(), term.unconfirmedCount()
	term.environment.Log.Info("allocation table rebuilt", "token", term.token, "jobs", len(term.tracker.Jobs), "machines", len(term.tracker.Machines), "reconciled", term.tracker.IsReconciled(),
		"unconfirmed", failover.unconfirmed, "replica_used", failover.isReplicaUsed,
		"read_revision", term.environment.View.Revision, "read_age_s", term.viewAge(failover.rebuiltAt).Seconds(), "may_act_s", (term.host.EntitledUntil() - failover.rebuiltAt).Seconds())
	term.environment.Metrics.CountFailover()
	if failover.LeaderHeartbeatAt != 0 {
		term.environment.Metrics.ObserveFailover(metrics.FailoverLock, failover.LockWonAt-failover.LeaderHeartbeatAt)
	}
	term.environment.Metrics.ObserveFailover(metrics.FailoverRebuild, failover.rebuiltAt-failover.LockWonAt)
}
