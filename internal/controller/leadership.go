package controller

import (
	"errors"
	"time"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/rateshare"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// isEntitled tells whether this process may act for the controllers now.
func (controller *Controller) isEntitled() bool { return controller.elector.IsEntitled(clock.Now()) }

// IsLeader tells whether this process answers workers as leader; it may be called on
// any goroutine.
func (controller *Controller) IsLeader() bool { return controller.process.isActiveLeader.Load() }

// applyRateShares sets this member's shares of the outside services' rates, as leader or not.
func (controller *Controller) applyRateShares() {
	shares := rateshare.OfFollower(len(controller.cfg.Peers))
	if controller.elector.Phase() == election.Leader {
		shares = rateshare.OfLeader(len(controller.cfg.Peers))
		controller.storeUse.shares.BeginTerm()
	}
	controller.store.SetRateShare(shares.Store)
	controller.cloud.SetRateShare(shares.Cloud)
}

// backlogThreshold is how long the leader's waiting writes take from which it has a backlog.
const backlogThreshold = rateshare.BacklogThreshold

// adjustRateShare lets the leader use what the others leave of the rate of changes.
func (controller *Controller) adjustRateShare(now clock.Micros) {
	if len(controller.cfg.Peers) == 0 {
		return
	}
	share, hasChanged := controller.storeUse.shares.Adjust(now, rateshare.Load{
		Written: controller.store.ChangesWritten(), Backlog: controller.store.BacklogDuration(), ChangesPerSecond: controller.cfg.Deployment.Store.Effective().WriteRPS,
	})
	if hasChanged {
		controller.store.SetWriteRateShare(share)
	}
}

// executeActions carries out what the election asks for.
func (controller *Controller) executeActions(actions []election.Action) {
	ttl := controller.leaderTTL()
	for _, action := range actions {
		switch action.Kind {
		case election.GrantLease:
			go func() {
				lease, err := controller.store.GrantLease(ttl)
				if err != nil {
					controller.log.Debug("no lease granted", "error", err)
				}
				controller.postResult(func() { controller.executeActions(controller.elector.HandleGrantResult(clock.Now(), lease)) })
			}()
		case election.AcquireLock:
			controller.acquireLockInTurn(action.LeaseID)
		case election.RenewLease:
			go func() {
				result := renewResult(controller.store.RenewLease(action.LeaseID, ttl/4))
				controller.postResult(func() {
					controller.executeActions(controller.elector.HandleRenewResult(clock.Now(), action.LeaseID, result))
				})
			}()
		case election.RevokeLease:
			go func() {
				if err := controller.store.RevokeLease(action.LeaseID); err != nil {
					controller.log.Debug("lease not revoked", "lease", action.LeaseID, "error", err)
				} else {
					controller.log.Debug("lease revoked", "lease", action.LeaseID)
				}
				// What it held is gone now; nobody else may have noticed.
				controller.postResult(func() { controller.view.RequestSync(func(error) {}, clock.Now()+10*clock.Second) })
			}()
		case election.RefreshLock:
			controller.view.RequestSync(func(error) {}, clock.Now()+10*clock.Second)
		}
	}
}

// renewResult is the outcome of a renewal that returned an error, or nil.
func renewResult(err error) election.RenewResult {
	switch {
	case err == nil:
		return election.RenewSucceeded
	case errors.Is(err, kvstore.ErrNotFound):
		return election.RenewLeaseExpired
	}
	return election.RenewUnknown
}

func (controller *Controller) leaderTTL() clock.Micros { return controller.elector.TTL() }

func (controller *Controller) acquireLock(lease uint64) {
	value, err := records.Lock{Member: controller.cfg.Member, Lease: lease, NeedsStandbyRecord: controller.failover.replica != nil}.MarshalJSON()
	if err != nil {
		return
	}
	write := &kvstore.Write{
		Priority:   kvstore.Critical,
		Conditions: []wire.Condition{{Key: records.LockKey}},
		Changes:    []wire.Change{{PutKey: records.LockKey, Value: value, LeaseID: lease}},
		Deadline:   clock.Now() + controller.leaderTTL()/2,
	}
	write.Done = func(outcome kvstore.Outcome, revision uint64) {
		controller.postResult(func() {
			result := election.AcquireUnknown
			switch outcome {
			case kvstore.Committed:
				result = election.AcquireSucceeded
			case kvstore.Conflict, kvstore.NotExecuted, kvstore.Fenced:
				result = election.AcquireFailed
			}
			controller.executeActions(controller.elector.HandleAcquireResult(clock.Now(), result, revision))
			controller.startFailoverIfElected()
		})
	}
	if !controller.store.Commit(write) {
		controller.executeActions(controller.elector.HandleAcquireResult(clock.Now(), election.AcquireFailed, 0))
	}
}

// startFailoverIfElected begins the take-over once the lock is ours.
func (controller *Controller) startFailoverIfElected() {
	if controller.elector.Phase() != election.Leader || controller.term != nil || controller.failover.isRebuilding {
		return
	}
	controller.failover.isRebuilding = true
	controller.failover.last = failoverTimes{leaderHeartbeatAt: controller.failover.leaderHeartbeatAt, lockWonAt: clock.Now(), token: controller.elector.Token()}
	controller.applyRateShares()
	controller.log.Info("lock won", "token", controller.elector.Token(), "lease", controller.elector.LeaseID())
	controller.rebuildTerm()
}

// rebuildTerm rebuilds the account from a view that is as new as the token.
func (controller *Controller) rebuildTerm() {
	token := controller.elector.Token()
	requestedAt := clock.Now()
	controller.view.RequestSync(func(err error) {
		switch {
		case controller.elector.Token() != token:
			controller.failover.isRebuilding = false
			controller.startFailoverIfElected()
		case err != nil || controller.view.Revision < token || len(controller.machineTypes.list) == 0:
			// Types come from the state service or the cloud; try again soon.
			time.AfterFunc(100*time.Millisecond, func() {
				controller.postResult(func() {
					if controller.elector.Token() == token && controller.failover.isRebuilding {
						controller.rebuildTerm()
					} else {
						controller.failover.isRebuilding = false
						controller.startFailoverIfElected()
					}
				})
			})
		default:
			controller.failover.isRebuilding = false
			controller.term = newLeaderTerm(controller, token, requestedAt)
			controller.members.nextHeartbeatAt = 0
		}
	}, clock.Now()+2*clock.Second)
}

func (controller *Controller) endTerm(reason string) {
	if controller.term == nil {
		return
	}
	controller.log.Info("lead given up", "why", reason, "token", controller.term.token)
	controller.delegation.delegate.EndTerm(controller.term.tracker.IssuedToken(), controller.term.renewals.cancellationsKnownAt)
	controller.term.close()
	controller.term = nil
	controller.failover.isRebuilding = false
	controller.applyRateShares()
	controller.members.nextHeartbeatAt = 0
}

// handleFenced takes the news that the lock is not ours any more.
func (controller *Controller) handleFenced(token uint64) {
	controller.executeActions(controller.elector.HandleFencedWrite(clock.Now(), token))
	if controller.elector.Phase() != election.Leader {
		controller.endTerm("a write was fenced")
	}
}

// ReleaseLeadership gives the lead away; a new leader need not wait for the lock to end.
func (controller *Controller) ReleaseLeadership() {
	done := make(chan struct{})
	controller.postResult(func() {
		for _, action := range controller.elector.StepDown(clock.Now(), 3600*clock.Second) {
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
	case <-time.After(2 * time.Second):
	}
}
