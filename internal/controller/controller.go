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
	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/cloud"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/connlimit"
	"firwood.dev/firwood/internal/dag"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/jobhistory"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/staleness"
	"firwood.dev/firwood/internal/standby"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/internal/tracing"
	"firwood.dev/firwood/wire"
)

// Controller is the owner. Its fields belong to the goroutine of Run, but for those
// that are made once.
type Controller struct {
	cfg      *config.Platform
	dial     client.Dialer
	stopped  chan struct{} // closed when Run has returned
	tuning   config.Tuning
	log      *slog.Logger
	commands *commandQueue
	store    *kvstore.Client
	cloud    *cloud.Client
	links    []*peer.Link
	// Direct messages share the sockets with what comes in.
	connLimiter         *connlimit.Limiter
	workerPool          *client.Pool
	maxRequestsInFlight int // how many may be under way at a time
	tasksPerKey         int // tasks in one progress key
	teams               map[string]allocation.TeamQuota

	view            *storeview.View
	watches         watchState
	dependencyGraph *dag.Graph
	elector         *election.Elector
	peerHeartbeats  map[string]*receivedHeartbeat
	term            *leaderTerm // nil unless leader and rebuilt
	// isRebuilding: the lock is ours, the view is not yet as new as the token.
	isRebuilding bool

	machineTypes     []wire.MachineType
	isFetchingTypes  bool
	typesRequestedAt clock.Micros

	// finishedJobs are the finished jobs of the view, finishedCapacity how many are kept,
	// forgotten what is left of the others; lookups ask for those.
	finishedJobs     *jobhistory.Cache
	finishedCapacity int
	evicted          evictedJobs
	lookups          *jobhistory.Lookups

	pendingSubmissions map[string][]*server.Reply
	progressCounts     progressCounts
	workerContactAt    map[string]clock.Micros
	// delegate is this member's right to keep leases alive, held   the workers
	// that were sent to the leader and may come back, stamps the others' clocks
	// as last heard.
	delegate         *delegation.Delegate
	delegatedReplyAt map[string]clock.Micros
	peerTimestamps   map[string]delegation.Timestamp
	// unconfirmedConstraints are zones that this member, when it last led, may have promised
	// to answer nobody as delegate in.
	unconfirmedConstraints map[string]bool
	delegationTimes        delegation.Config
	// stalenessBounds bounds what a leader may do on an old view.
	stalenessBounds staleness.Bounds
	// cancellations are recent ones that other members may have to be told of.
	cancellations cancellationLog
	hints         leaderHints
	// replica follows the leader's account, nil if that is turned off.
	replica *standby.Replica
	// startedAt is when this life began.
	startedAt clock.Micros
	// leaderHeartbeatAt is when a beat of another member as leader last came.
	leaderHeartbeatAt clock.Micros
	lastFailover      failoverTimes
	tracer            *tracing.Tracer
	// workerContacts is what other members have said of workers, by way of the state service.
	workerContacts      map[string]workerContact
	rateShares          rateShares
	nextWorkerContactAt clock.Micros
	tickedAt            clock.Micros
	nextHeartbeatAt     clock.Micros
	nextDropLogAt       clock.Micros
	reportedDrops       int64
	isUnavailable       atomic.Bool // users should not be sent here
	isActiveLeader      atomic.Bool // as of the last tick

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
		cfg: cfg, tuning: tuning, log: log, dial: dial, stopped: make(chan struct{}), commands: newCommandQueue(cfg.Deployment.ProcessLimits.MaxSockets, len(cfg.Peers)),
		store: kvstore.New(dial, cfg.External.StoreAddress, kvstore.Limits{
			RPS: deployment.Store.RPS, WriteRPS: deployment.Store.Effective().WriteRPS, MaxTransactionOps: deployment.Store.Effective().MaxTransactionOps,
		}, records.LockKey),
		cloud:               cloud.New(dial, cfg.External.CloudAddress, deployment.Cloud.RPS),
		connLimiter:         connlimit.New(cfg.ConnectionLimit()),
		maxRequestsInFlight: max(cfg.ConnectionLimit()/24, 4),
		teams:               map[string]allocation.TeamQuota{},
		dependencyGraph:     dag.New(),
		elector:             election.New(election.Config{Member: cfg.Member, TTL: ttl, TimerSlack: 50 * clock.Millisecond}),
		peerHeartbeats:      map[string]*receivedHeartbeat{},
		pendingSubmissions:  map[string][]*server.Reply{},
		workerContactAt:     map[string]clock.Micros{},
		delegatedReplyAt:    map[string]clock.Micros{},
		peerTimestamps:      map[string]delegation.Timestamp{},
		workerContacts:      map[string]workerContact{},
		startedAt:           clock.Now(),
	}
	controller.finishedCapacity = finishedJobCapacity(tuning.FinishedJobs, deployment.ProcessLimits.MemoryMB)
	controller.finishedJobs = jobhistory.NewCache(controller.finishedCapacity)
	controller.lookups = jobhistory.NewLookups(maxPendingLookups, min(4*deployment.Store.Effective().MaxTransactionOps/keysPerJob, maxJobsPerLookup))
	controller.workerPool = client.NewPool(dial, controller.connLimiter)
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
	controller.delegationTimes = delegation.NewConfig(clock.FromSeconds(workers.CancelTimeoutSeconds), clock.FromSeconds(workers.LeaseSeconds), 3*heartbeatInterval, roundTrip)
	controller.stalenessBounds = staleness.NewBounds(clock.FromSeconds(workers.CancelTimeoutSeconds), clock.FromSeconds(workers.LeaseSeconds), ttl)
	controller.cancellations = newCancellationLog(clock.FromSeconds(workers.CancelTimeoutSeconds), deployment.Store.WriteRPS)
	controller.delegate = delegation.NewDelegate(controller.delegationTimes, uint64(clock.WallTime()), clock.Now())
	for _, team := range deployment.Teams {
		guaranteed := allocation.NewResources(team.GuaranteedCPUs, team.GuaranteedGPUs, 0)
		limit := allocation.NewResources(team.MaxCPUs, team.MaxGPUs, 0)
		controller.teams[team.Name] = allocation.TeamQuota{GuaranteedMilliCPU: guaranteed.MilliCPU, GuaranteedMilliGPU: guaranteed.MilliGPU, MaxMilliCPU: limit.MilliCPU, MaxMilliGPU: limit.MilliGPU}
	}
	if tuning.Standby.Enabled {
		controller.replica = standby.NewReplica(controller.delegate.Timestamp(clock.Now()).Incarnation)
	}
	controller.view = storeview.New(viewObserver{controller})
	return controller
}

// SetTracer has take-overs written to a tracer; it is called before Run.
func (controller *Controller) SetTracer(tracer *tracing.Tracer) { controller.tracer = tracer }

// ConnLimiter is the budget of connections that the server shares with this process's
// direct messages.
func (controller *Controller) ConnLimiter() *connlimit.Limiter { return controller.connLimiter }

// CloseIdleWorkerConnection closes a direct connection that lies idle; it may be called on any
// goroutine.
func (controller *Controller) CloseIdleWorkerConnection() bool {
	return controller.workerPool.EvictIdle()
}

// postResult hands a result of this process's own calls to the owner.
func (controller *Controller) postResult(command func()) {
	controller.commands.post(priorityResult, command)
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
		controller.links = append(controller.links, link)
	}
	controller.applyRateShares()
	controller.loadAll()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-controller.commands.wake:
		case <-ticker.C:
		}
		for _, command := range controller.commands.takeBatch() {
			command()
		}
		controller.tick()
	}
}

func (controller *Controller) tick() {
	now := clock.Now()
	if controller.tickedAt != 0 && now-controller.tickedAt > stallThreshold {
		controller.log.Info("stood still", "for_s", (now - controller.tickedAt).Seconds())
		if controller.term != nil {
			controller.term.recordResume(now)
		}
	}
	controller.tickedAt = now
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
	controller.isActiveLeader.Store(controller.term != nil && controller.isEntitled())
	controller.sendCancellationNews(now)
	controller.tickHeartbeat(now)
}

// logDropped logs an answer that was malformed or made no sense, at a bounded
// rate; the count goes on meanwhile.
func (controller *Controller) logDropped(what string, args ...any) {
	now := clock.Now()
	if now < controller.nextDropLogAt {
		return
	}
	controller.nextDropLogAt = now + 5*clock.Second
	controller.log.Error(what, append(args, "dropped_so_far", controller.store.MalformedResponses.Load())...)
}
