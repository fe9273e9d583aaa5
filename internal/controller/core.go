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
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/staleness"
	"firwood.dev/firwood/internal/standby"
	"firwood.dev/firwood/internal/tracing"
	"firwood.dev/firwood/wire"
)

// Core is the owner. Its fields belong to the goroutine of Run, but for those
// that are made once.
type Core struct {
	cfg    *config.Platform
	dial   client.Dialer
	ended  chan struct{} // closed when Run has returned
	tuning config.Tuning
	log    *slog.Logger
	q      *queue
	store  *kvstore.Client
	cloud  *cloud.Client
	links  []*peer.Link
	// Direct messages share the sockets with what comes in.
	sockets   *connlimit.Limiter
	toWorkers *client.Pool
	directs   int // how many may be under way at a time
	chunk     int // tasks in one progress key
	teams     map[string]allocation.TeamQuota

	view  view
	graph *dag.Graph
	el    *election.Elector
	beats map[string]*beatSeen
	lead  *lead // nil unless leader and rebuilt
	// rebuilding: the lock is ours, the view is not yet as new as the token.
	rebuilding bool

	types     []wire.MachineType
	typesBusy bool
	typesAt   clock.Micros

	// finished are the finished jobs of the view, finishedKept how many are kept,
	// forgotten what is left of the others; lookups ask for those.
	finished     *jobhistory.Cache
	finishedKept int
	forgotten    forgottenJobs
	lookups      *jobhistory.Lookups

	submitting map[string][]*server.Reply
	counts     jobCounts
	workers    map[string]clock.Micros
	// delegate is this member's right to keep leases alive, held   the workers
	// that were sent to the leader and may come back, stamps the others' clocks
	// as last heard.
	delegate *delegation.Delegate
	held     map[string]clock.Micros
	stamps   map[string]delegation.Timestamp
	// unsettledPromises are zones that this member, when it last led, may have promised
	// to answer nobody as delegate in.
	unsettledPromises map[string]bool
	times             delegation.Config
	// staleness bounds what a leader may do on an old view.
	staleness staleness.Bounds
	// withdrawals are recent ones that other members may have to be told of.
	withdrawals withdrawalLog
	learnt      learnt
	// replica follows the leader's account, nil if that is turned off.
	replica *standby.Replica
	// begunAt is when this life began.
	begunAt clock.Micros
	// leaderHeard is when a beat of another member as leader last came.
	leaderHeard   clock.Micros
	takeOverTimes takeOverTimes
	tracer        *tracing.Tracer
	// asked is what other members have said of workers, by way of the state service.
	asked     map[string]asked
	shares    shareTracker
	nextAsked clock.Micros
	tickedAt  clock.Micros
	nextBeat  clock.Micros
	dropLogAt clock.Micros
	dropsTold int64
	unfit     atomic.Bool // users should not be sent here
	leads     atomic.Bool // as of the last tick

}

// New makes the owner, which reaches the outside by dial; nothing runs before Run.
func New(cfg *config.Platform, tuning config.Tuning, log *slog.Logger, dial client.Dialer) *Core {
	d := &cfg.Deployment
	ttl := clock.FromSeconds(tuning.LeaderTTLS)
	if ttl == 0 {
		// Lock expiry, election and the first answered report must all be
		// inside a worker's lease, and a leader that is cut off or stands still is
		// missed for as long as the lock lasts: a sixth of the lease, within 3 to
		// 6 seconds.
		ttl = min(max(clock.FromSeconds(d.Workers.LeaseSeconds)/6, 3*clock.Second), 6*clock.Second)
	}
	c := &Core{
		cfg: cfg, tuning: tuning, log: log, dial: dial, ended: make(chan struct{}), q: newQueue(cfg.Deployment.ProcessLimits.MaxSockets, len(cfg.Peers)),
		store: kvstore.New(dial, cfg.External.StoreAddress, kvstore.Limits{
			RPS: d.Store.RPS, WriteRPS: d.Store.Effective().WriteRPS, MaxTransactionOps: d.Store.Effective().MaxTransactionOps,
		}, keyLock),
		cloud:      cloud.New(dial, cfg.External.CloudAddress, d.Cloud.RPS),
		sockets:    connlimit.New(cfg.ConnectionLimit()),
		directs:    max(cfg.ConnectionLimit()/24, 4),
		teams:      map[string]allocation.TeamQuota{},
		graph:      dag.New(),
		el:         election.New(election.Config{Member: cfg.Member, TTL: ttl, TimerSlack: 50 * clock.Millisecond}),
		beats:      map[string]*beatSeen{},
		submitting: map[string][]*server.Reply{},
		workers:    map[string]clock.Micros{},
		held:       map[string]clock.Micros{},
		stamps:     map[string]delegation.Timestamp{},
		asked:      map[string]asked{},
		begunAt:    clock.Now(),
	}
	c.finishedKept = finishedKept(tuning.FinishedJobs, d.ProcessLimits.MemoryMB)
	c.finished = jobhistory.NewCache(c.finishedKept)
	c.lookups = jobhistory.NewLookups(mostLookups, min(4*d.Store.Effective().MaxTransactionOps/keysOfJob, mostAsked))
	c.toWorkers = client.NewPool(dial, c.sockets)
	c.chunk = chunkOf(d.Store.MaxValueKB)
	w := &d.Workers
	// A worker waits a second before each other node, and tries it for four seconds.
	// With one zone for all there is no cut that leaves it with one node alone: the
	// others answer at once, and what rights bridge is an outage of the state service.
	try := 5 * clock.Second
	if len(d.Zones) == 1 {
		try = clock.Second
	}
	trip := clock.FromSeconds(1.25*w.HeartbeatIntervalSeconds) + clock.Second/2 + clock.Micros(len(cfg.Peers))*try
	c.times = delegation.NewConfig(clock.FromSeconds(w.CancelTimeoutSeconds), clock.FromSeconds(w.LeaseSeconds), 3*beatEvery, trip)
	c.staleness = staleness.NewBounds(clock.FromSeconds(w.CancelTimeoutSeconds), clock.FromSeconds(w.LeaseSeconds), ttl)
	c.withdrawals = newWithdrawalLog(clock.FromSeconds(w.CancelTimeoutSeconds), d.Store.WriteRPS)
	c.delegate = delegation.NewDelegate(c.times, uint64(clock.WallTime()), clock.Now())
	for _, t := range d.Teams {
		g := allocation.NewResources(t.GuaranteedCPUs, t.GuaranteedGPUs, 0)
		m := allocation.NewResources(t.MaxCPUs, t.MaxGPUs, 0)
		c.teams[t.Name] = allocation.TeamQuota{GuaranteedMilliCPU: g.MilliCPU, GuaranteedMilliGPU: g.MilliGPU, MaxMilliCPU: m.MilliCPU, MaxMilliGPU: m.MilliGPU}
	}
	if tuning.Standby.Enabled {
		c.replica = standby.NewReplica(c.delegate.Timestamp(clock.Now()).Incarnation)
	}
	c.view.init()
	return c
}

// Trace has take-overs written to a tracer; it is called before Run.
func (c *Core) Trace(t *tracing.Tracer) { c.tracer = t }

// Sockets is the budget of connections that the server shares with this process's
// direct messages.
func (c *Core) Sockets() *connlimit.Limiter { return c.sockets }

// MakeRoom closes a direct connection that lies idle; it may be called on any
// goroutine.
func (c *Core) MakeRoom() bool { return c.toWorkers.EvictIdle() }

// post hands a result of this process's own calls to the owner.
func (c *Core) post(f func()) { c.q.post(rankDecision, f) }

const (
	tickEvery = 50 * time.Millisecond
	// standstill is from what gap between two ticks on the process has stood still
	// long enough to have missed what others said.
	standstill = 2 * clock.Second
)

// Run works until the context ends, which in a controller it never does.
func (c *Core) Run(ctx context.Context) {
	defer close(c.ended)
	for _, o := range c.cfg.Peers {
		link := peer.NewLink(c.dial, o.Address)
		defer link.Close()
		c.links = append(c.links, link)
	}
	c.applyShares()
	c.load()
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.q.wake:
		case <-t.C:
		}
		for _, f := range c.q.take() {
			f()
		}
		c.tick()
	}
}

func (c *Core) tick() {
	now := clock.Now()
	if c.tickedAt != 0 && now-c.tickedAt > standstill {
		c.log.Info("stood still", "for_s", (now - c.tickedAt).Seconds())
		if c.lead != nil {
			c.lead.woke(now)
		}
	}
	c.tickedAt = now
	c.view.expireWaiters(now)
	c.startSync()
	c.act(c.el.Tick(now))
	c.fetchTypes(now)
	if c.lead != nil {
		if c.el.Phase() != election.Leader {
			c.stepDown("the lock is lost")
		} else {
			c.lead.tick(now)
		}
	}
	c.forgetFinished()
	c.lookUp(now)
	c.leads.Store(c.lead != nil && c.entitled())
	c.tellWithdrawals(now)
	c.beat(now)
}

// dropped logs an answer that was malformed or made no sense, at a bounded
// rate; the count goes on meanwhile.
func (c *Core) dropped(what string, args ...any) {
	now := clock.Now()
	if now < c.dropLogAt {
		return
	}
	c.dropLogAt = now + 5*clock.Second
	c.log.Error(what, append(args, "dropped_so_far", c.store.MalformedResponses.Load())...)
}
