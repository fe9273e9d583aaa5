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

// Environment holds the objects that a term works with. The controller shares them with the term, and sets
// them once for each term. They belong to the controller's goroutine, except for the clients, which may be
// used on any goroutine. A term changes only two of them: it adds what it has made durable to the view, and
// it records the times of the failover.
type Environment struct {
	Config *config.Platform
	Tuning *config.Tuning
	Log    *slog.Logger
	Settings

	Store          *kvstore.Client
	Cloud          *cloud.Client
	WorkerRequests WorkerRequests

	View  *storeview.View
	Graph *dag.Graph // the dependencies between jobs
	Hints *hints.Hints

	Delegate *delegation.Delegate // this member's grant from the previous leader
	Replica  *standby.Replica     // the replica of the previous leader's allocation table, nil if standby is off
	Failover *FailoverTimes       // the times of the failover that began this term
	Tracer   *tracing.Tracer
	Metrics  *metrics.Metrics
}

// WorkerRequests holds what a leader needs to send requests to workers.
type WorkerRequests struct {
	Pool        *client.Pool
	MaxInFlight int // the maximum number of command requests in flight, and of probes in flight
}
