package controller

import (
	"log/slog"

	"firwood.dev/firwood/internal/allocation"
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
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/staleness"
	"firwood.dev/firwood/internal/standby"
	"firwood.dev/firwood/internal/storeview"
)

// New makes a controller, which reaches the outside by dial. It does nothing before Run.
func New(cfg *config.Platform, tuning config.Tuning, log *slog.Logger, dial client.Dialer) *Controller {
	deployment := &cfg.Deployment
	workers := &deployment.Workers
	ttl := leaderTTL(cfg, tuning.LeaderTTLS)
	cancelTimeout, leaseTTL := clock.FromSeconds(workers.CancelTimeoutSeconds), clock.FromSeconds(workers.LeaseSeconds)
	limiter := connlimit.New(cfg.ConnectionLimit())
	controller := &Controller{
		environment: environment{
			cfg: cfg, tuning: tuning, log: log, dial: dial,
			store:    newStoreClient(cfg, dial),
			cloud:    cloud.New(dial, cfg.External.CloudAddress, deployment.Cloud.RPS),
			commands: commandqueue.New(deployment.ProcessLimits.MaxSockets, len(cfg.Peers)), stopped: make(chan struct{}),
			workerRequests:  workerRequestLimits{limiter: limiter, pool: client.NewPool(dial, limiter), maxInFlight: max(cfg.ConnectionLimit()/24, 4)},
			teams:           teamQuotas(deployment.Teams),
			tasksPerKey:     records.TasksPerProgressKey(deployment.Store.MaxValueKB),
			stalenessBounds: staleness.NewBounds(cancelTimeout, leaseTTL, ttl),
		},
		dependencyGraph: dag.New(),
		elector:         election.New(election.Config{Member: cfg.Member, TTL: ttl, TimerSlack: electionTimerSlack}),
		failover:        failoverState{processStartedAt: clock.Now()},
		members: memberState{
			heartbeats: map[string]*ReceivedHeartbeat{}, timestamps: map[string]delegation.Timestamp{},
			cancellations: cancellation.NewLog(cancelTimeout, deployment.Store.WriteRPS),
		},
		workers:    workerContactState{contactAt: map[string]clock.Micros{}, reports: map[string]WorkerContact{}},
		delegation: newDelegationState(cfg, cancelTimeout, leaseTTL),
		history:    newFinishedJobHistory(finishedJobCapacity(tuning.FinishedJobs, deployment.ProcessLimits.MemoryMB), deployment.Store.Effective().MaxTransactionOps),
		users:      userRequestState{pendingSubmissions: map[string][]*server.Reply{}, progressCounts: hints.NewCounts(heartbeatInterval)},
		hints:      hints.New(),
	}
	if tuning.Standby.Enabled {
		controller.failover.replica = standby.NewReplica(controller.delegation.delegate.Timestamp(clock.Now()).Incarnation)
	}
	controller.view = storeview.New(viewObserver{controller})
	return controller
}

const (
	// minLeaderTTL and maxLeaderTTL bound the leader lock's TTL where the tuning sets none.
	minLeaderTTL, maxLeaderTTL = 3 * clock.Second, 6 * clock.Second
	// electionTimerSlack is by how much a tick may be late.
	electionTimerSlack = 50 * clock.Millisecond
)

// leaderTTL is the TTL of the leader's lock. Its expiry, the election and the first answered
// heartbeat must all be inside a worker's lease, and a leader that is cut off or stalled is
// missed for as long as the lock lasts: so it is a sixth of that lease, within bounds.
func leaderTTL(cfg *config.Platform, tunedSeconds float64) clock.Micros {
	if ttl := clock.FromSeconds(tunedSeconds); ttl != 0 {
		return ttl
	}
	return min(max(clock.FromSeconds(cfg.Deployment.Workers.LeaseSeconds)/6, minLeaderTTL), maxLeaderTTL)
}

func newStoreClient(cfg *config.Platform, dial client.Dialer) *kvstore.Client {
	limits := cfg.Deployment.Store.Effective()
	return kvstore.New(dial, cfg.External.StoreAddress, kvstore.Limits{
		RPS: cfg.Deployment.Store.RPS, WriteRPS: limits.WriteRPS, MaxTransactionOps: limits.MaxTransactionOps,
	}, records.LockKey)
}

// teamQuotas are the teams' quotas by name.
func teamQuotas(teams []config.Team) map[string]allocation.TeamQuota {
	quotas := map[string]allocation.TeamQuota{}
	for _, team := range teams {
		guaranteed := allocation.NewResources(team.GuaranteedCPUs, team.GuaranteedGPUs, 0)
		limit := allocation.NewResources(team.MaxCPUs, team.MaxGPUs, 0)
		quotas[team.Name] = allocation.TeamQuota{
			GuaranteedMilliCPU: guaranteed.MilliCPU, GuaranteedMilliGPU: guaranteed.MilliGPU, MaxMilliCPU: limit.MilliCPU, MaxMilliGPU: limit.MilliGPU,
		}
	}
	return quotas
}

// newDelegationState makes the delegation for workers that may take a whole round over the
// members before they come back to this one. A worker waits a second before each other member
// and tries it for four seconds. With one zone for all there is no cut that leaves it with
// one member alone: the others answer at once, and what grants bridge is an outage of the store.
func newDelegationState(cfg *config.Platform, cancelTimeout, leaseTTL clock.Micros) delegationState {
	attemptTime := 5 * clock.Second
	if len(cfg.Deployment.Zones) == 1 {
		attemptTime = clock.Second
	}
	roundTrip := clock.FromSeconds(1.25*cfg.Deployment.Workers.HeartbeatIntervalSeconds) + clock.Second/2 + clock.Micros(len(cfg.Peers))*attemptTime
	times := delegation.NewConfig(cancelTimeout, leaseTTL, 3*heartbeatInterval, roundTrip)
	return delegationState{
		times: times, delegate: delegation.NewDelegate(times, uint64(clock.WallTime()), clock.Now()),
		repliedAt: map[string]clock.Micros{},
	}
}

// newFinishedJobHistory makes a history of so many jobs for a store with a limit on
// transactions: a look-up reads a few transactions' worth of keys.
func newFinishedJobHistory(capacity, maxTransactionOps int) finishedJobHistory {
	return finishedJobHistory{
		capacity: capacity, finished: jobhistory.NewCache(capacity),
		lookups: jobhistory.NewLookups(maxPendingLookups, min(4*maxTransactionOps/keysPerJob, maxJobsPerLookup)),
	}
}
