package metrics

import (
	"bytes"
	"fmt"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// namespace is the prefix of every metric's name.
const namespace = "firwood"

// ContentType is the media type of the text that Encode returns.
var ContentType = string(textFormat)

var textFormat = expfmt.NewFormat(expfmt.TypeTextPlain)

// failoverBuckets holds the upper bounds of the histogram's buckets for the durations of a failover's
// parts, in seconds.
var failoverBuckets = []float64{0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 15, 30, 60, 120}

// Status holds a controller's state at one instant. Fields that only a leader knows are zero at other
// members.
type Status struct {
	// IsLeader is true if the member leads and may act.
	IsLeader bool
	// Token is the fencing token of the newest leader that the member knows. A leader's Token is its own.
	Token uint64
	// EntitledFor is how long the leader may still act without another renewal of its lock.
	EntitledFor clock.Micros
	// ViewAge is the time since the newest completed read of the store was sent. ViewRevision is the
	// revision of the store that the view has reached.
	ViewAge      clock.Micros
	ViewRevision uint64
	LeaderStatus
}

// LeaderStatus holds the part of a Status that only a leader has.
type LeaderStatus struct {
	Machines int
	// UnconfirmedMachines counts the machines whose worker has not shown the leader's token. Their
	// workers may only be told to stop tasks.
	UnconfirmedMachines int
	// ListedCancelledTasks counts the tasks of cancelled jobs that workers still list as not exited.
	// OldestCancellationAge is the time since the earliest of their cancellations was confirmed.
	ListedCancelledTasks  int
	OldestCancellationAge clock.Micros
}

// Metrics holds the metrics of one process.
type Metrics struct {
	heartbeatReplies  [heartbeatReplyCount]prometheus.Counter
	commands          *prometheus.CounterVec
	failoverDurations [failoverPartCount]prometheus.Observer
	failoverCount     prometheus.Counter

	oversizedHeartbeats prometheus.Counter

	mu       sync.Mutex // guards the gauges from when they are set until they are gathered
	gauges   gauges
	registry *prometheus.Registry
}

// gauges holds the metrics that are set from a Status.
type gauges struct {
	isLeader, token, entitledFor, viewAge, viewRevision                        prometheus.Gauge
	machines, unconfirmedMachines, listedCancelledTasks, oldestCancellationAge prometheus.Gauge
}

// New returns metrics whose values are all zero.
func New() *Metrics {
	metrics := &Metrics{registry: prometheus.NewRegistry()}
	heartbeatReplies := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "heartbeat_replies_total", Help: "Replies to workers' heartbeats, by result."}, []string{"result"})
	for reply := range metrics.heartbeatReplies {
		metrics.heartbeatReplies[reply] = heartbeatReplies.WithLabelValues(HeartbeatReply(reply).String())
	}
	metrics.commands = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "commands_total", Help: "Commands to workers, by kind, channel and outcome."}, []string{"kind", "channel", "outcome"})
	failoverDurations := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "failover_seconds", Help: "Durations of the parts of this member's failovers.", Buckets: failoverBuckets}, []string{"part"})
	for part := range metrics.failoverDurations {
		metrics.failoverDurations[part] = failoverDurations.WithLabelValues(FailoverPart(part).String())
	}
	metrics.failoverCount = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "failovers_total", Help: "Terms that this member has begun as leader."})
	metrics.oversizedHeartbeats = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "oversized_heartbeats_total", Help: "Workers' heartbeats that were larger than the protocol allows."})
	metrics.registry.MustRegister(metrics.oversizedHeartbeats, heartbeatReplies, metrics.commands, failoverDurations, metrics.failoverCount)
	metrics.gauges = gauges{
		isLeader:              metrics.newGauge("leader", "1 if this member leads and may act, else 0."),
		token:                 metrics.newGauge("token", "Fencing token of the newest leader that this member knows."),
		entitledFor:           metrics.newGauge("may_act_seconds", "For how long the leader may act without another renewal of its lock."),
		viewAge:               metrics.newGauge("view_age_seconds", "Time since the newest completed read of the store was sent."),
		viewRevision:          metrics.newGauge("view_revision", "Revision of the store that the view has reached."),
		machines:              metrics.newGauge("machines", "Machines in the leader's allocation table."),
		unconfirmedMachines:   metrics.newGauge("machines_unconfirmed", "Machines whose worker has not shown the leader's token."),
		listedCancelledTasks:  metrics.newGauge("cancelled_tasks_listed", "Tasks of cancelled jobs that workers still list as not exited."),
		oldestCancellationAge: metrics.newGauge("cancelled_task_oldest_seconds", "Time since the earliest confirmed cancellation among them."),
	}
	return metrics
}

func (metrics *Metrics) newGauge(name, help string) prometheus.Gauge {
	gauge := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	metrics.registry.MustRegister(gauge)
	return gauge
}

// CountReply counts the reply to a heartbeat.
func (metrics *Metrics) CountReply(reply HeartbeatReply) { metrics.heartbeatReplies[reply].Inc() }

// CountOversizedHeartbeat counts a heartbeat that is larger than the protocol allows.
func (metrics *Metrics) CountOversizedHeartbeat() { metrics.oversizedHeartbeats.Inc() }

// CountCommands counts the commands of one message, each under its kind.
func (metrics *Metrics) CountCommands(commands []wire.Command, channel CommandChannel, outcome CommandOutcome) {
	for i := range commands {
		metrics.commands.WithLabelValues(commandKind(commands[i].Action), channel.String(), outcome.String()).Inc()
	}
}

// commandKind returns the value of the label kind for an action of the protocol. Where the protocol's
// name differs from the usual term, the label has the usual term.
func commandKind(action string) string {
	switch action {
	case wire.ActionStart:
		return "start"
	case wire.ActionStop:
		return "stop"
	case wire.ActionReap:
		return "reap"
	}
	return "other"
}

// CountFailover counts a term that this member has begun as leader.
func (metrics *Metrics) CountFailover() { metrics.failoverCount.Inc() }

// ObserveFailover records how long a part of a failover took.
func (metrics *Metrics) ObserveFailover(part FailoverPart, duration clock.Micros) {
	metrics.failoverDurations[part].Observe(duration.Seconds())
}

// Encode returns all metrics as text, with the gauges set from the status. It may be called on any
// goroutine. It takes too long to be called on the controller's own goroutine.
func (metrics *Metrics) Encode(status *Status) ([]byte, error) {
	metrics.mu.Lock()
	defer metrics.mu.Unlock()
	metrics.gauges.set(status)
	families, err := metrics.registry.Gather()
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	var text bytes.Buffer
	encoder := expfmt.NewEncoder(&text, textFormat)
	for _, family := range families {
		if err := encoder.Encode(family); err != nil {
			return nil, fmt.Errorf("metrics: %w", err)
		}
	}
	return text.Bytes(), nil
}

func (gauges *gauges) set(status *Status) {
	gauges.isLeader.Set(gaugeValue(status.IsLeader))
	gauges.token.Set(float64(status.Token))
	gauges.entitledFor.Set(status.EntitledFor.Seconds())
	gauges.viewAge.Set(status.ViewAge.Seconds())
	gauges.viewRevision.Set(float64(status.ViewRevision))
	gauges.machines.Set(float64(status.Machines))
	gauges.unconfirmedMachines.Set(float64(status.UnconfirmedMachines))
	gauges.listedCancelledTasks.Set(float64(status.ListedCancelledTasks))
	gauges.oldestCancellationAge.Set(status.OldestCancellationAge.Seconds())
}

func gaugeValue(isSet bool) float64 {
	if isSet {
		return 1
	}
	return 0
}
