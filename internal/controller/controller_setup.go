package controller

import (
	"log/slog"

	"firwood.dev/firwood/internal/cancellation"
	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/cloud"
	"firwood.dev/firwood/internal/commandqueue"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/connlimit"
	"firwood.dev/firwood/internal/dag"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/hints"
	"firwood.dev/firwood/internal/jobhistory"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/metrics"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/standby"
	"firwood.dev/firwood/internal/storeview"
)

// New returns a controller, which opens its connections with dial. It does nothing before Run.
func New(cfg *config.Platform, tuning config.Tuning, log *slog.Logger, dial client.Dialer) *Controller {
	deployment := &cfg.Deployment
	settings := leader.NewSettings(cfg, &tuning)
	limiter := connlimit.New(cfg.ConnectionLimit())
	controller := &Controller{
		environment: environment{
			cfg: cfg, tuning: tuning, log: log, dial: dial,
			store:    newStoreClient(cfg, dial),
			cloud:    cloud.New(dial, cfg.External.CloudAddress, deployment.Cloud.RPS),
			commands: commandqueue.New(deployment.ProcessLimits.MaxSockets, len(cfg.Peers)), stopped: make(chan struct{}),
			workerRequests: workerRequestLimits{limiter: limiter, pool: client.NewPool(dial, limiter), maxInFlight: max(cfg.ConnectionLimit()/24, 4)},
			settings:       settings,
			metrics:        metrics.New(),
		},
		dependencyGraph: dag.New(),
		elector:         election.New(election.Config{Member: cfg.Member, TTL: settings.LeaderTTL, TimerSlack: electionTimerSlack}),
		failover:        failoverState{processStartedAt: clock.Now(), hints: hints.New()},
		members: memberState{
			heartbeats: map[string]*leader.ReceivedHeartbeat{}, newestTimestamps: map[string]delegation.Timestamp{},
			cancellations: cancellation.NewLog(clock.FromSeconds(deployment.Workers.CancelTimeoutSeconds), deployment.Store.WriteRPS),
		},
		workers:    workerContactState{lastContactAt: map[string]clock.Micros{}, reports: map[string]leader.WorkerContact{}},
		delegation: newDelegationState(settings.Delegation),
		history:    newFinishedJobHistory(finishedJobCapacity(tuning.FinishedJobs, deployment.ProcessLimits.MemoryMB), deployment.Store.Effective().MaxTransactionOps),
		users:      userRequestState{pendingSubmissions: map[string][]*server.Reply{}, progressCounts: hints.NewProgressCounts(leader.HeartbeatInterval)},
	}
	controller.process.nextDropLogAt = map[string]clock.Micros{}
	if tuning.Standby.Enabled {
		controller.failover.replica = standby.NewReplica(controller.delegation.delegate.Timestamp(clock.Now()).Incarnation)
	}
	controller.view = storeview.New(viewObserver{controller})
	return controller
}

// electionTimerSlack is how late a tick may be.
const electionTimerSlack = 50 * clock.Millisecond

func newStoreClient(cfg *config.Platform, dial client.Dialer) *kvstore.Client {
	limits := cfg.Deployment.Store.Effective()
	return kvstore.New(dial, cfg.External.StoreAddress, kvstore.Limits{
		RPS: cfg.Deployment.Store.RPS, WriteRPS: limits.WriteRPS, MaxTransactionOps: limits.MaxTransactionOps,
	}, records.LockKey)
}

// newDelegationState returns the state of a process that has just started: it has no grant.
func newDelegationState(cfg delegation.Config) delegationState {
	return delegationState{delegate: delegation.NewDelegate(cfg, uint64(clock.WallTime()), clock.Now()), lastReplyAt: map[string]clock.Micros{}}
}

// newFinishedJobHistory returns a history that keeps up to capacity jobs. A lookup asks for its keys as
// conditions of one transaction, and the store allows four times as many conditions as changes.
func newFinishedJobHistory(capacity, maxTransactionOps int) finishedJobHistory {
	return finishedJobHistory{
		capacity: capacity, finished: jobhistory.NewCache(capacity), found: foundJobs{},
		lookups: jobhistory.NewLookups(maxPendingLookups, min(4*maxTransactionOps/keysPerJob, maxJobsPerLookup)),
	}
}
