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

// A new leader rebuilds its state from the records in the key-value store, from the hints of the previous
// leader, and, if this member had a replica of that leader's allocation table, from the replica. The rest
// of its state comes with the workers' heartbeats.

// firstListDelay is the time from the start of a term until it first reads the cloud's list.
const firstListDelay = 2 * clock.Second

// allocationConfig returns the configuration of the allocation table of a term with this fencing token.
func (environment *Environment) allocationConfig(token uint64) allocation.Config {
	workers := &environment.Config.Deployment.Workers
	return allocation.Config{
		FencingToken: token, LeaseTTL: clock.FromSeconds(workers.LeaseSeconds), Quotas: environment.Teams,
		CancelFenceWindow: clock.FromSeconds(workers.CancelTimeoutSeconds) / 2,
		MayBeActive:       environment.mayBeActive,
	}
}

// mayBeActive reports whether a job has not ended, as far as the view shows. If the allocation table lacks
// such a job, the job is blocked, and no leader has recorded starts of it.
func (environment *Environment) mayBeActive(jobID string) bool {
	record := environment.View.Jobs[jobID]
	return record != nil && !record.HasEnded()
}

// schedulerSettings converts the tuning file, whose durations are in seconds, to the scheduler's settings.
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

// newScheduler returns the scheduler of a term that starts now.
func (environment *Environment) newScheduler(machineTypes []wire.MachineType, now clock.Micros) *scheduler.Scheduler {
	deployment := &environment.Config.Deployment
	created := scheduler.New(schedulerSettings(environment.Tuning), machineTypes, environment.Teams, deployment.Zones)
	created.HeartbeatWindow, created.TermStartedAt = environment.Timing.HeartbeatWindow, now
	created.DelegatedZones = environment.delegatedZones()
	created.WaitObjectives = strictestObjectives(deployment.Objectives, "wait")
	created.CompletionObjectives = strictestObjectives(deployment.Objectives, "finished")
	return created
}

// delegatedZones returns the zones in which some member may renew leases as delegate, or nil if
// delegation is disabled.
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

// strictestObjectives returns, by class, the smallest target in seconds of the objectives of a kind.
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

// newLeaseRenewals returns the bounds on what other members may have renewed. They follow from what this
// member knows as delegate itself and from the constraints in the store.
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

// restore restores the scale-out requests and jobs that the view has, adopts the constraints and hints of
// earlier leaders, and completes the allocation table. The order matters: arrivals, constraints and hints
// apply to the jobs and machines that were restored before them. Every job whose tasks an earlier leader
// may have started, and every machine on which such tasks may be, has to be restored before
// FinishRecovery, since jobs and machines added after it count as new.
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

// restoreScaleOuts adds the machines of all recorded scale-out requests, and sends those requests again
// that have no recorded result.
func (term *Term) restoreScaleOuts(now, wallTime clock.Micros) {
	for name, record := range term.environment.View.ScaleOuts {
		request := scaleout.Restore(name, record.ScaleOut, record.Version, now-max(wallTime-clock.Micros(record.RequestedAt), 0))
		term.scaleOuts[name] = request
		for _, machineName := range record.Machines {
			term.addMachine(request, machineName).RecordedInStore = true
		}
		if !record.IsResolved {
			// Whether the cloud executed the request is not known. A request is idempotent by its name,
			// so sending it again is safe and returns the result.
			term.sendScaleOut(request)
		}
	}
}

// restoreJobs adds the jobs that have not ended and are not blocked by dependencies, the blocked jobs that
// may have tasks, and the cancelled jobs that may still have tasks. It returns the jobs that are cancelled
// because a dependency is, and whose own records don't say so yet.
//
// Tasks of a job with recorded starts may be on machines, whatever is known of its dependencies: those that
// were evicted from the view are looked up while the term is already under way, and a version that knows no
// dependencies starts blocked jobs too. When such jobs were left out until their dependencies were known,
// their tasks were started again while they ran (docs/incidents/dependencies-not-cached.md).
func (term *Term) restoreJobs(now clock.Micros) (impliedCancellations []string) {
	view, graph := term.environment.View, term.environment.Graph
	for id, record := range view.Jobs {
		hasProgress := len(view.Progress[id]) > 0
		switch {
		case record.State == "":
			if record.IsCancelledByDependency {
				impliedCancellations = append(impliedCancellations, id)
			}
			if dependencies := DependencyState(view, graph, id, record); hasProgress || dependencies == allocation.DependenciesDone {
				job := term.addJob(id, record, hasProgress)
				term.tracker.SetDependencyState(job, dependencies)
			}
		case record.Spec != nil: // cancelled, and its tasks may still be running
			job := term.addJob(id, record, hasProgress)
			term.cancelJob(job, record, now)
		}
	}
	return impliedCancellations
}

// recordRebuilt records and logs that the allocation table is rebuilt. This ends the failover's second
// phase, which follows the wait for the lock; recordFirstDecision ends the third.
func (term *Term) recordRebuilt() {
	failover := term.environment.Failover
	failover.rebuiltAt, failover.unconfirmedTasks = clock.Now(), term.unconfirmedCount()
	term.environment.Log.Info("allocation table rebuilt", "token", term.token, "jobs", len(term.tracker.Jobs), "machines", len(term.tracker.Machines), "reconciled", term.tracker.IsReconciled(),
		"unconfirmed", failover.unconfirmedTasks, "unreleased", term.unreleasedCount(), "replica_used", failover.isReplicaUsed,
		"read_revision", term.environment.View.Revision, "read_age_s", term.viewAge(failover.rebuiltAt).Seconds(), "may_act_s", (term.host.EntitledUntil() - failover.rebuiltAt).Seconds())
	term.environment.Metrics.CountFailover()
	if failover.LeaderHeartbeatAt != 0 {
		term.environment.Metrics.ObserveFailover(metrics.FailoverLock, failover.LockWonAt-failover.LeaderHeartbeatAt)
	}
	term.environment.Metrics.ObserveFailover(metrics.FailoverRebuild, failover.rebuiltAt-failover.LockWonAt)
}
