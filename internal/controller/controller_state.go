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

// environment holds the settings and clients of a controller. New sets it, and nothing changes it later.
type environment struct {
	cfg    *config.Platform
	tuning config.Tuning
	log    *slog.Logger
	dial   client.Dialer
	store  *kvstore.Client
	cloud  *cloud.Client
	// commands is the queue of commands for the goroutine of Run.
	commands *commandqueue.Queue
	// stopped is closed when Run has returned.
	stopped chan struct{}

	workerRequests workerRequestLimits
	settings       leader.Settings
	metrics        *metrics.Metrics
}

// workerRequestLimits bounds the requests that a leader sends to workers.
type workerRequestLimits struct {
	limiter     *connlimit.Limiter // shared with the server's inbound connections
	pool        *client.Pool
	maxInFlight int // bounds the command requests and probes in flight
}

// processStatus is the status of this process.
type processStatus struct {
	lastTickAt clock.Micros // 0 before the first tick
	// isUnavailable is true if users should not be routed to this member. The goroutine of Run writes
	// it before each regular heartbeat to the other members, and the server's event loop reads it.
	isUnavailable atomic.Bool
	// isActiveLeader is true if this process may reply to workers as leader. The goroutine of Run
	// writes it with each tick, and any goroutine may read it.
	isActiveLeader atomic.Bool
	nextDropLogAt  map[string]clock.Micros // when logDropped may next log each message
}

// machineCatalog holds the machine types that the cloud offers.
type machineCatalog struct {
	list        []wire.MachineType
	isFetching  bool
	requestedAt clock.Micros // when the cloud was last asked, 0 if never
}

// failoverState holds the state that a failover needs, and the times of the last one.
type failoverState struct {
	hints *hints.Hints // from the leader's heartbeats, for this member's next term
	// isRebuilding is true from winning the lock until the allocation table is rebuilt from a
	// view at least as new as the fencing token.
	isRebuilding bool
	// replica is a copy of the leader's allocation table, or nil if standby is turned off.
	replica          *standby.Replica
	processStartedAt clock.Micros
	// leaderHeartbeatAt is when this member last received a heartbeat from another member as leader.
	leaderHeartbeatAt clock.Micros
	lastTimes         leader.FailoverTimes
	tracer            *tracing.Tracer
}

// memberState holds what this member knows of the others, by name.
type memberState struct {
	links            []*peer.Link // in the order of the configuration's peers
	heartbeats       map[string]*leader.ReceivedHeartbeat
	newestTimestamps map[string]delegation.Timestamp
	nextHeartbeatAt  clock.Micros
	// cancellations is the log of recent cancellations that other members may not know yet.
	cancellations cancellation.Log
}

// workerContactState holds which workers contact this member, and how many contact each other member.
type workerContactState struct {
	lastContactAt map[string]clock.Micros // when each worker last sent a heartbeat here
	// reports holds the other members' counts, as they wrote them to the key-value store.
	reports      map[string]leader.WorkerContact
	nextReportAt clock.Micros
}

// delegationState is the state for renewing workers' leases while the leader is unreachable.
type delegationState struct {
	delegate *delegation.Delegate // this member's grant
	// lastReplyAt is when this member last replied to each worker under the grant. Redirecting a worker
	// deletes its entry.
	lastReplyAt map[string]clock.Micros
	// unconfirmedConstraints are the zones that this member may have constrained in its last term. The
	// outcome of that write is not known.
	unconfirmedConstraints map[string]bool
}

// finishedJobHistory orders finished jobs for eviction. Jobs that were evicted are only counted, and are
// looked up in the key-value store on demand.
type finishedJobHistory struct {
	finished *jobhistory.Cache // the finished jobs in the view, by last use
	capacity int               // how many finished jobs are kept in the view
	evicted  evictedJobs
	lookups  *jobhistory.Lookups
	found    foundJobs
}

// userRequestState is the state that users' requests keep from one command to a later one.
type userRequestState struct {
	// pendingSubmissions holds, by job, the replies that wait for the write of a submission.
	pendingSubmissions map[string][]*server.Reply
	progressCounts     *hints.ProgressCounts
}

// storeUsage holds how the members share the store's rates, and how many of the store's malformed responses
// and records have been reported.
type storeUsage struct {
	shares        rateshare.Adjuster
	reportedDrops int64 // malformed responses and records that have been reported
}
