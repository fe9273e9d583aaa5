package leader

import (
	"log/slog"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/cloud"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/dag"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/hints"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/metrics"
	"firwood.dev/firwood/internal/standby"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/internal/tracing"
)

// Environment is what a term works with. The controller has the same objects, and it sets them once
// for a term. They belong to the controller's goroutine, but for the clients, which may be used on
// any. A term changes the view, with what it has made durable, and the failover's times.
type Environment struct {
	Config *config.Platform
	Tuning *config.Tuning
	Log    *slog.Logger
	Settings

	Store          *kvstore.Client
	Cloud          *cloud.Client
	WorkerRequests WorkerRequests

	View  *storeview.View
	Graph *dag.Graph // of the jobs' dependencies
	Hints *hints.Hints

	Delegate *delegation.Delegate // this member's grant from the leader before
	Replica  *standby.Replica     // of the last leader's allocation table, nil if standby is off
	Failover *FailoverTimes       // of the failover that this term came from
	Tracer   *tracing.Tracer
	Metrics  *metrics.Metrics
}

// WorkerRequests is for the requests that a leader sends to workers.
type WorkerRequests struct {
	Pool        *client.Pool
	MaxInFlight int // command requests and probes under way at a time, of each
}
