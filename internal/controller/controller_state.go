package controller

import (
	"log/slog"
	"sync/atomic"

	"firwood.dev/firwood/internal/cancellation"
	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/cloud"
	"firwood.dev/firwood/internal/commandqueue"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/connlimit"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/hints"
	"firwood.dev/firwood/internal/jobhistory"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/metrics"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/rateshare"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/standby"
	"firwood.dev/firwood/internal/tracing"
	"firwood.dev/firwood/wire"
)

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

	workerRequests workerRequestLimits
	settings       leader.Settings
	metrics        *metrics.Metrics
}

// workerRequestLimits bounds the requests that a leader sends to workers.
type workerRequestLimits struct {
	limiter     *connlimit.Limiter // shared with the server's inbound connections
	pool        *client.Pool
	maxInFlight int // command requests and probes under way at a time
}

// processStatus is how this process itself does.
type processStatus struct {
	lastTickAt clock.Micros // the last tick, 0 before the first
	// isUnavailable: users should not be routed here. The goroutine of Run writes it with
	// each heartbeat, the server's event loop reads it.
	isUnavailable atomic.Bool
	// isActiveLeader: this process may answer workers as leader. The goroutine of Run writes
	// it with each tick, any goroutine may read it.
	isActiveLeader atomic.Bool
	nextDropLogAt  map[string]clock.Micros // when logDropped may log a message again
}

// machineCatalog is what the cloud offers.
type machineCatalog struct {
	list        []wire.MachineType
	isFetching  bool
	requestedAt clock.Micros // when the cloud was last asked, 0 if never
}

// failoverState is what a failover needs, and how the last one went.
type failoverState struct {
	hints *hints.Hints // what the leader tells for the next one
	// isRebuilding is true from winning the lock until the allocation table is rebuilt from a
	// view at least as new as the fencing token.
	isRebuilding bool
	// replica follows the leader's allocation table, nil if standby is turned off.
	replica          *standby.Replica
	processStartedAt clock.Micros
	// leaderHeartbeatAt is when another member's heartbeat as leader last came.
	leaderHeartbeatAt clock.Micros
	lastTimes         leader.FailoverTimes
	tracer            *tracing.Tracer
}

// memberState is what is known of the other members, by name.
type memberState struct {
	links            []*peer.Link // in the order of the configuration's peers
	heartbeats       map[string]*leader.ReceivedHeartbeat
	newestTimestamps map[string]delegation.Timestamp // their newest ones
	nextHeartbeatAt  clock.Micros
	// cancellations are recent ones that other members may not know yet.
	cancellations cancellation.Log
}

// workerContactState counts the workers that contact members other than the leader.
type workerContactState struct {
	lastContactAt map[string]clock.Micros // when each worker last sent a heartbeat here
	// reports are the other members' counts, as they wrote them to the key-value store.
	reports      map[string]leader.WorkerContact
	nextReportAt clock.Micros
}

// delegationState is for renewing workers' leases while the leader is unreachable.
type delegationState struct {
	delegate *delegation.Delegate // this member's grant
	// lastReplyAt is when each worker was last answered under the grant.
	lastReplyAt map[string]clock.Micros
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

// storeUsage is how the members share the store's rates, and what was reported of
// its malformed responses and records.
type storeUsage struct {
	shares        rateshare.Adjuster
	reportedDrops int64 // malformed responses and records that were reported
}
