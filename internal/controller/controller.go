package controller

import (
	"context"
	"time"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/commandqueue"
	"firwood.dev/firwood/internal/connlimit"
	"firwood.dev/firwood/internal/dag"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/internal/tracing"
)

// Controller is one member of the control plane. Only the goroutine of Run uses its fields, except for
// those of environment, which New sets and nothing changes later, and for the atomics.
type Controller struct {
	environment
	process processStatus

	view            *storeview.View
	watches         watchState
	dependencyGraph *dag.Graph
	elector         *election.Elector
	term            *leader.Term // nil unless this member leads and has rebuilt the allocation table

	machineTypes machineCatalog
	failover     failoverState
	members      memberState
	workers      workerContactState
	delegation   delegationState
	history      finishedJobHistory
	users        userRequestState
	storeUse     storeUsage
}

// SetTracer sets the tracer that failovers are written to. It must be called before Run.
func (controller *Controller) SetTracer(tracer *tracing.Tracer) { controller.failover.tracer = tracer }

// ConnLimiter returns the limiter of connections, which the server shares with this process's command
// requests.
func (controller *Controller) ConnLimiter() *connlimit.Limiter {
	return controller.workerRequests.limiter
}

// CloseIdleWorkerConnection closes an idle connection to a worker, and reports whether there was one. It may
// be called on any goroutine.
func (controller *Controller) CloseIdleWorkerConnection() bool {
	return controller.workerRequests.pool.EvictIdle()
}

// postResult queues a command that handles the result of one of this process's own calls. It may be called
// on any goroutine.
func (controller *Controller) postResult(command func()) {
	controller.commands.Post(commandqueue.Result, command)
}

const (
	tickInterval = 50 * time.Millisecond
	// stallThreshold is the gap between two ticks from which the process counts as stalled.
	stallThreshold = 2 * clock.Second
)

// Run runs the controller until the context is done.
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

// tick does all work that is due. It runs after each batch of commands and at least every tickInterval.
func (controller *Controller) tick() {
	now := clock.Now()
	controller.detectStall(now)
	controller.view.ExpireSyncs(now)
	controller.startWatches()
	controller.executeActions(controller.elector.Tick(now))
	controller.fetchMachineTypes(now)
	controller.tickTerm(now)
	controller.evictFinishedJobs()
	controller.sendLookups(now)
	controller.process.isActiveLeader.Store(controller.term != nil && controller.isEntitled())
	controller.sendNewCancellations(now)
	controller.tickHeartbeat(now)
}

// detectStall tells the leadership term if the process was stalled. Heartbeats that were sent meanwhile could
// not be read, so their absence does not mean that their senders failed.
func (controller *Controller) detectStall(now clock.Micros) {
	previousTickAt := controller.process.lastTickAt
	controller.process.lastTickAt = now
	if previousTickAt == 0 || now-previousTickAt <= stallThreshold {
		return
	}
	controller.log.Info("process stalled", "gap_s", (now - previousTickAt).Seconds())
	if controller.term != nil {
		controller.term.ResetSilence(now)
	}
}

// tickTerm ticks the leadership term, or ends it if this member no longer holds the lock.
func (controller *Controller) tickTerm(now clock.Micros) {
	if controller.term == nil {
		return
	}
	if controller.elector.Phase() != election.Leader {
		controller.endTerm(endLockLost)
		return
	}
	controller.term.Tick(now)
}

// dropLogInterval is the minimum interval between two log lines of logDropped with the same message.
const dropLogInterval = 5 * clock.Second

// logDropped logs that something was dropped because it was malformed, unexpected or above a limit. The rate
// of each message is limited separately, so that a frequent message doesn't suppress others.
func (controller *Controller) logDropped(message string, args ...any) {
	now := clock.Now()
	if now < controller.process.nextDropLogAt[message] {
		return
	}
	controller.process.nextDropLogAt[message] = now + dropLogInterval
	controller.log.Error(message, args...)
}

// runAfter runs a command on the goroutine of Run after a delay.
func (controller *Controller) runAfter(delay clock.Micros, command func()) {
	time.AfterFunc(delay.Duration(), func() { controller.postResult(command) })
}
