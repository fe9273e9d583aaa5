package controller

import (
	"time"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/tracing"
)

// endReason says why a leadership term has ended.
type endReason string

const (
	endLockLost    endReason = "the lock is lost"
	endWriteFenced endReason = "a write was fenced"
	endHigherToken endReason = "a worker reported a higher token"
	endHandedOver  endReason = "handed over"
)

const (
	// rebuildSyncTimeout is the timeout of the sync that a rebuild begins with; rebuildRetryInterval is the
	// delay before the next attempt.
	rebuildSyncTimeout   = 2 * clock.Second
	rebuildRetryInterval = clock.Second / 10
	// releaseBackoff is how long a member that shuts down does not campaign; releaseTimeout bounds
	// how long the shutdown waits for the lease to be revoked.
	releaseBackoff = 3600 * clock.Second
	releaseTimeout = 2 * time.Second
)

// isEntitled reports whether this process may act as leader now.
func (controller *Controller) isEntitled() bool { return controller.elector.IsEntitled(clock.Now()) }

// IsLeader reports whether this process replies to workers as leader, as of the last tick. It may be called
// on any goroutine.
func (controller *Controller) IsLeader() bool { return controller.process.isActiveLeader.Load() }

// startFailoverIfElected begins the failover once this member holds the lock.
func (controller *Controller) startFailoverIfElected() {
	if controller.elector.Phase() != election.Leader || controller.term != nil || controller.failover.isRebuilding {
		return
	}
	controller.failover.isRebuilding = true
	controller.failover.lastTimes = leader.FailoverTimes{LeaderHeartbeatAt: controller.failover.leaderHeartbeatAt, LockWonAt: clock.Now(), Token: controller.elector.Token()}
	controller.applyRateShares()
	controller.log.Info("leadership acquired", "token", controller.elector.Token(), "lease", controller.elector.LeaseID(), "may_act_s", (controller.elector.EntitledUntil() - clock.Now()).Seconds())
	controller.rebuildTerm()
}

// rebuildTerm begins the term once the view is at least as new as the fencing token.
func (controller *Controller) rebuildTerm() {
	token := controller.elector.Token()
	requestedAt := clock.Now()
	controller.view.RequestSync(func(err error) {
		switch {
		case controller.elector.Token() != token:
			controller.restartFailover()
		case err != nil || controller.view.Revision < token || len(controller.machineTypes.list) == 0:
			controller.runAfter(rebuildRetryInterval, func() { controller.retryRebuild(token) })
		default:
			controller.failover.isRebuilding = false
			controller.term = controller.newTerm(token, requestedAt)
			controller.members.nextHeartbeatAt = 0
		}
	}, clock.Now()+rebuildSyncTimeout)
}

// retryRebuild rebuilds again after the sync failed, the view was too old, or the machine types, which come
// from the store or the cloud, were not known.
func (controller *Controller) retryRebuild(token uint64) {
	if controller.elector.Token() != token || !controller.failover.isRebuilding {
		controller.restartFailover()
		return
	}
	controller.rebuildTerm()
}

// restartFailover abandons the rebuild for a token that this member no longer holds, and begins another one if
// the member has won the lock again.
func (controller *Controller) restartFailover() {
	controller.failover.isRebuilding = false
	controller.startFailoverIfElected()
}

// endTerm ends the leadership term, if there is one. It gives this member a grant as delegate, so that the
// member may continue to renew workers' leases until there is another leader.
func (controller *Controller) endTerm(reason endReason) {
	if controller.term == nil {
		return
	}
	controller.log.Info("leadership term ended", "reason", string(reason), "token", controller.term.Token(), "read_revision", controller.view.Revision, "read_age_s", controller.term.ViewAge(clock.Now()).Seconds())
	controller.delegation.delegate.GrantToSelf(controller.term.IssuedToken(), controller.term.CancellationsKnownAt())
	controller.delegation.unconfirmedConstraints = controller.term.Close()
	controller.term = nil
	controller.failover.isRebuilding = false
	controller.applyRateShares()
	controller.members.nextHeartbeatAt = 0
}

// handleStaleToken ends the term whose token has been proven stale, by a fenced write or by a worker that knows
// a higher token. reason says which.
func (controller *Controller) handleStaleToken(token uint64, reason endReason) {
	controller.executeActions(controller.elector.HandleStaleToken(clock.Now(), token))
	if controller.elector.Phase() != election.Leader {
		controller.endTerm(reason)
	}
}

// ReleaseLeadership revokes the lease, so that another member can be elected at once. It waits at most
// releaseTimeout, and may be called on any goroutine while Run runs. Unlike any other request, this one blocks
// Run's goroutine, since the process is about to exit.
func (controller *Controller) ReleaseLeadership() {
	done := make(chan struct{})
	controller.postResult(func() {
		for _, action := range controller.elector.StepDown(clock.Now(), releaseBackoff) {
			if action.Kind == election.RevokeLease {
				if err := controller.store.RevokeLease(action.LeaseID); err != nil {
					controller.log.Debug("lease not revoked", "error", err)
				}
			}
		}
		close(done)
	})
	select {
	case <-done:
	case <-time.After(releaseTimeout):
	}
}

// traceObservedFailover traces, on a follower, how long no leader's heartbeat was received during a failover.
func (controller *Controller) traceObservedFailover(token uint64) {
	if controller.failover.leaderHeartbeatAt == 0 || controller.isLeading() || controller.elector.Token() == token {
		return
	}
	controller.failover.tracer.RecordFailover(token, []tracing.Span{{Name: "no leader heard", StartedAt: controller.failover.leaderHeartbeatAt, EndedAt: clock.Now()}})
}
