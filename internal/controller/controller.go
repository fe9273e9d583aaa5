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

// Controller is one member of the control plane. Its fields belong to the goroutine of
// Run, except those of environment, which New sets once, and the atomics.
type Controller struct {
	environment
	process processStatus

	view            *storeview.View
	watches         watchState
	dependencyGraph *dag.Graph
	elector         *election.Elector
	term            *leader.Term // nil unless this member leads and the allocation table is rebuilt

	machineTypes machineCatalog
	failover     failoverState
	members      memberState
	workers      workerContactState
	delegation   delegationState
	history      finishedJobHistory
	users        userRequestState
	storeUse     storeUsage
}

// SetTracer has failovers written to a tracer. It is called before Run.
func (controller *Controller) SetTracer(tracer *tracing.Tracer) { controller.failover.tracer = tracer }

// ConnLimiter is the limiter of connections, which the server shares with this process's
// command requests.
func (controller *Controller) ConnLimiter() *connlimit.Limiter {
	return controller.workerRequests.limiter
}

// CloseIdleWorkerConnection closes an idle connection to a worker, and tells whether there was
// one. It may be called on any goroutine.
func (controller *Controller) CloseIdleWorkerConnection() bool {
	return controller.workerRequests.pool.EvictIdle()
}

// postResult queues what follows from the result of one of this process's own calls. It may be
// called on any goroutine.
func (controller *Controller) postResult(command func()) {
	controller.commands.Post(commandqueue.Result, command)
}

const (
	tickInterval = 50 * time.Millisecond
	// stallThreshold is the gap between two ticks from which the process counts as stalled.
	stallThreshold = 2 * clock.Second
)

// Run works until the context ends.
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

// tick does what is due, after each batch of commands and at least every tickInterval.
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
	controller.sendCancellationNews(now)
	controller.tickHeartbeat(now)
}

// detectStall tells the term if the process was stalled: heartbeats that were sent meanwhile could
// not be read, so their absence means nothing.
func (controller *Controller) detectStall(now clock.Micros) {
	lastTickAt := controller.process.tickedAt
	controller.process.tickedAt = now
	if lastTickAt == 0 || now-lastTickAt <= stallThreshold {
		return
	}
	controller.log.Info("process stalled", "gap_s", (now - lastTickAt).Seconds())
	if controller.term != nil {
		controller.term.RecordResume(now)
	}
}

// tickTerm does what is due as leader, as long as this member has the lock.
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

// dropLogInterval bounds how often dropped responses and messages of one kind are logged.
const dropLogInterval = 5 * clock.Second

// logDropped logs what is malformed, unexpected or exceeds a limit. Each message has a bound of its
// own on its rate, so that none hides another.
func (controller *Controller) logDropped(message string, args ...any) {
	now := clock.Now()
	if now < controller.process.nextDropLogAt[message] {
		return
	}
	controller.process.nextDropLogAt[message] = now + dropLogInterval
	controller.log.Error(message, args...)
}

// runAfter runs a command on the owner's goroutine after a while.
func (controller *Controller) runAfter(after clock.Micros, command func()) {
	time.AfterFunc(after.Duration(), func() { controller.postResult(command) })
}
