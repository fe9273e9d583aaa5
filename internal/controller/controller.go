// Package controller owns all state of a process: one goroutine works through a
// queue of commands in batches. It wires the pure parts (election, ledger,
// planner) to the outside: what they decide is sent from here, and every
// answer comes back here as a command.
package controller

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

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
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/rateshare"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/staleness"
	"firwood.dev/firwood/internal/standby"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/internal/tracing"
	"firwood.dev/firwood/wire"
)

// Controller is one member of the control plane. Its fields belong to the goroutine of
// Run, except those of environment, which New sets once, and the atomics.
type Controller struct {
	environment
	process processStatus

	view            *storeview.View
	watches         watchState
	dependencyGraph *dag.Graph
	elector         *election.Elector
	term            *leaderTerm // nil unless this member leads and the allocation table is rebuilt

	machineTypes machineCatalog
	failover     failoverState
	members      memberState
	workers      workerContactState
	delegation   delegationState
	history      finishedJobHistory
	users        userRequestState
	hints        *hints.Hints
	storeUse     storeUsage
}

// environment is what a controller works with. New sets it, and nothing changes it later.
type environment struct {
	cfg    *config.Platform
	tuning config.Tuning
	log    *slog.Logger
	dial   client.Dialer
	store  *kvstore.Client
	cloud  *cloud.Client
	// commands is the queue of what the goroutine of Run has to do; stopped is closed when
	// Run has returned.
	commands *commandqueue.Queue
	stopped  chan struct{}

	workerRequests  workerRequestLimits
	teams           map[string]allocation.TeamQuota
	tasksPerKey     int              // tasks in one progress key
	stalenessBounds staleness.Bounds // what a leader may do on an old view
}

// workerRequestLimits bounds the requests that a leader sends to workers.
type workerRequestLimits struct {
	limiter     *connlimit.Limiter // shared with the server's inbound connections
	pool        *client.Pool
	maxInFlight int // command requests and probes under way at a time
}

// processStatus is how this process itself does.
type processStatus struct {
	tickedAt clock.Micros // the last tick, 0 before the first
	// isUnavailable: users should not be routed here. The goroutine of Run writes it with
	// each heartbeat, the server's event loop reads it.
	isUnavailable atomic.Bool
	// isActiveLeader: this process may answer workers as leader. The goroutine of Run writes
	// it with each tick, any goroutine may read it.
	isActiveLeader atomic.Bool
}

// machineCatalog is what the cloud offers.
type machineCatalog struct {
	list        []wire.MachineType
	isFetching  bool
	requestedAt clock.Micros // when the cloud was last asked, 0 if never
}

// failoverState is what a failover needs, and how the last one went.
type failoverState struct {
	// isRebuilding is true from winning the lock until the allocation table is rebuilt from a
	// view at least as new as the fencing token.
	isRebuilding bool
	// replica follows the leader's allocation table, nil if standby is turned off.
	replica          *standby.Replica
	processStartedAt clock.Micros
	// leaderHeartbeatAt is when another member's heartbeat as leader last came.
	leaderHeartbeatAt clock.Micros
	last              failoverTimes
	tracer            *tracing.Tracer
}

// memberState is what is known of the other members, by name.
type memberState struct {
	links           []*peer.Link // in the order of the configuration's peers
	heartbeats      map[string]*receivedHeartbeat
	timestamps      map[string]delegation.Timestamp // their newest ones
	nextHeartbeatAt clock.Micros
	// cancellations are recent ones that other members may not know yet.
	cancellations cancellation.Log
}

// workerContactState counts the workers that contact members other than the leader.
type workerContactState struct {
	contactAt map[string]clock.Micros // when each worker last sent a heartbeat here
	// reports are the other members' counts, as they wrote them to the key-value store.
	reports      map[string]workerContact
	nextReportAt clock.Micros
}

// delegationState is for renewing workers' leases while the leader is unreachable.
type delegationState struct {
	times    delegation.Config
	delegate *delegation.Delegate // this member's grant
	// repliedAt is when each worker was last answered under the grant.
	repliedAt map[string]clock.Micros
	// unconfirmedConstraints are zones that this member, in its last term, may have
	// constrained: the outcome of that write is not known.
	unconfirmedConstraints map[string]bool
}

// finishedJobHistory orders finished jobs for eviction. Those that were evicted are only
// counted, and looked up in the key-value store on demand.
type finishedJobHistory struct {
	finished *jobhistory.Cache // those in the view
	capacity int               // how many are kept
	evicted  evictedJobs
	lookups  *jobhistory.Lookups
}

// userRequestState is what users' requests need between two commands.
type userRequestState struct {
	// pendingSubmissions are the replies that wait for a submission's write, by job.
	pendingSubmissions map[string][]*server.Reply
	progressCounts     *hints.Counts
}

// storeUsage is how the members share the store's rates, and what was logged of its
// malformed responses.
type storeUsage struct {
	shares        rateshare.Adjuster
	nextDropLogAt clock.Micros
	reportedDrops int64 // malformed responses that were logged
}

// New makes the owner, which reaches the outside by dial; nothing runs before Run.
func New(cfg *config.Platform, tuning config.Tuning, log *slog.Logger, dial client.Dialer) *Controller {
	deployment := &cfg.Deployment
	ttl := clock.FromSeconds(tuning.LeaderTTLS)
	if ttl == 0 {
		// Lock expiry, election and the first answered report must all be
		// inside a worker's lease, and a leader that is cut off or stands still is
		// missed for as long as the lock lasts: a sixth of the lease, within 3 to
		// 6 seconds.
		ttl = min(max(clock.FromSeconds(deployment.Workers.LeaseSeconds)/6, 3*clock.Second), 6*clock.Second)
	}
	controller := &Controller{
		environment: environment{
			cfg: cfg, tuning: tuning, log: log, dial: dial, stopped: make(chan struct{}), commands: commandqueue.New(cfg.Deployment.ProcessLimits.MaxSockets, len(cfg.Peers)),
			store: kvstore.New(dial, cfg.External.StoreAddress, kvstore.Limits{
				RPS: deployment.Store.RPS, WriteRPS: deployment.Store.Effective().WriteRPS, MaxTransactionOps: deployment.Store.Effective().MaxTransactionOps,
			}, records.LockKey),
			cloud:          cloud.New(dial, cfg.External.CloudAddress, deployment.Cloud.RPS),
			workerRequests: workerRequestLimits{limiter: connlimit.New(cfg.ConnectionLimit()), maxInFlight: max(cfg.ConnectionLimit()/24, 4)},
			teams:          map[string]allocation.TeamQuota{},
		},
		dependencyGraph: dag.New(),
		elector:         election.New(election.Config{Member: cfg.Member, TTL: ttl, TimerSlack: 50 * clock.Millisecond}),
		failover:        failoverState{processStartedAt: clock.Now()},
		members:         memberState{heartbeats: map[string]*receivedHeartbeat{}, timestamps: map[string]delegation.Timestamp{}},
		workers:         workerContactState{contactAt: map[string]clock.Micros{}, reports: map[string]workerContact{}},
		delegation:      delegationState{repliedAt: map[string]clock.Micros{}},
		users:           userRequestState{pendingSubmissions: map[string][]*server.Reply{}, progressCounts: hints.NewCounts(heartbeatInterval)},
		hints:           hints.New(),
	}
	controller.history.capacity = finishedJobCapacity(tuning.FinishedJobs, deployment.ProcessLimits.MemoryMB)
	controller.history.finished = jobhistory.NewCache(controller.history.capacity)
	controller.history.lookups = jobhistory.NewLookups(maxPendingLookups, min(4*deployment.Store.Effective().MaxTransactionOps/keysPerJob, maxJobsPerLookup))
	controller.workerRequests.pool = client.NewPool(dial, controller.workerRequests.limiter)
	controller.tasksPerKey = records.TasksPerProgressKey(deployment.Store.MaxValueKB)
	workers := &deployment.Workers
	// A worker waits a second before each other node, and tries it for four seconds.
	// With one zone for all there is no cut that leaves it with one node alone: the
	// others answer at once, and what rights bridge is an outage of the state service.
	attemptTime := 5 * clock.Second
	if len(deployment.Zones) == 1 {
		attemptTime = clock.Second
	}
	roundTrip := clock.FromSeconds(1.25*workers.HeartbeatIntervalSeconds) + clock.Second/2 + clock.Micros(len(cfg.Peers))*attemptTime
	controller.delegation.times = delegation.NewConfig(clock.FromSeconds(workers.CancelTimeoutSeconds), clock.FromSeconds(workers.LeaseSeconds), 3*heartbeatInterval, roundTrip)
	controller.stalenessBounds = staleness.NewBounds(clock.FromSeconds(workers.CancelTimeoutSeconds), clock.FromSeconds(workers.LeaseSeconds), ttl)
	controller.members.cancellations = cancellation.NewLog(clock.FromSeconds(workers.CancelTimeoutSeconds), deployment.Store.WriteRPS)
	controller.delegation.delegate = delegation.NewDelegate(controller.delegation.times, uint64(clock.WallTime()), clock.Now())
	for _, team := range deployment.Teams {
		guaranteed := allocation.NewResources(team.GuaranteedCPUs, team.GuaranteedGPUs, 0)
		limit := allocation.NewResources(team.MaxCPUs, team.MaxGPUs, 0)
		controller.teams[team.Name] = allocation.TeamQuota{GuaranteedMilliCPU: guaranteed.MilliCPU, GuaranteedMilliGPU: guaranteed.MilliGPU, MaxMilliCPU: limit.MilliCPU, MaxMilliGPU: limit.MilliGPU}
	}
	if tuning.Standby.Enabled {
		controller.failover.replica = standby.NewReplica(controller.delegation.delegate.Timestamp(clock.Now()).Incarnation)
	}
	controller.view = storeview.New(viewObserver{controller})
	return controller
}

// SetTracer has take-overs written to a tracer; it is called before Run.
func (controller *Controller) SetTracer(tracer *tracing.Tracer) { controller.failover.tracer = tracer }

// ConnLimiter is the budget of connections that the server shares with this process's
// direct messages.
func (controller *Controller) ConnLimiter() *connlimit.Limiter {
	return controller.workerRequests.limiter
}

// CloseIdleWorkerConnection closes a direct connection that lies idle; it may be called on any
// goroutine.
func (controller *Controller) CloseIdleWorkerConnection() bool {
	return controller.workerRequests.pool.EvictIdle()
}

// postResult hands a result of this process's own calls to the owner.
func (controller *Controller) postResult(command func()) {
	controller.commands.Post(commandqueue.Result, command)
}

const (
	tickInterval = 50 * time.Millisecond
	// stallThreshold is from what gap between two ticks on the process has stood still
	// long enough to have missed what others said.
	stallThreshold = 2 * clock.Second
)

// Run works until the context ends, which in a controller it never does.
func (controller *Controller) Run(ctx context.Context) {
	defer close(controller.stopped)
	for _, other := range controller.cfg.Peers {
		link := peer.NewLink(controller.dial, other.Address)
		defer link.Close()
		controller.members.links = append(controller.members.links, link)
	}
	controller.applyRateShares()
	controller.loadAll()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-controller.commands.Wake():
		case <-ticker.C:
		}
		for _, command := range controller.commands.TakeBatch() {
			command()
		}
		controller.tick()
	}
}

func (controller *Controller) tick() {
	now := clock.Now()
	if controller.process.tickedAt != 0 && now-controller.process.tickedAt > stallThreshold {
		controller.log.Info("stood still", "for_s", (now - controller.process.tickedAt).Seconds())
		if controller.term != nil {
			controller.term.recordResume(now)
		}
	}
	controller.process.tickedAt = now
	controller.view.ExpireWaiters(now)
	controller.startWatches()
	controller.executeActions(controller.elector.Tick(now))
	controller.fetchMachineTypes(now)
	if controller.term != nil {
		if controller.elector.Phase() != election.Leader {
			controller.endTerm("the lock is lost")
		} else {
			controller.term.tick(now)
		}
	}
	controller.evictFinishedJobs()
	controller.sendLookups(now)
	controller.process.isActiveLeader.Store(controller.term != nil && controller.isEntitled())
	controller.sendCancellationNews(now)
	controller.tickHeartbeat(now)
}

// logDropped logs an answer that was malformed or made no sense, at a bounded
// rate; the count goes on meanwhile.
func (controller *Controller) logDropped(what string, args ...any) {
	now := clock.Now()
	if now < controller.storeUse.nextDropLogAt {
		return
	}
	controller.storeUse.nextDropLogAt = now + 5*clock.Second
	controller.log.Error(what, append(args, "dropped_so_far", controller.store.MalformedResponses.Load())...)
}
