package controller

import (
	"errors"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// lockRefreshTimeout is the timeout of a sync that shows who holds the lock.
const lockRefreshTimeout = 10 * clock.Second

// executeActions carries out what the elector decided. Each request runs on a goroutine of its own, and its
// result goes back to the elector in a command.
func (controller *Controller) executeActions(actions []election.Action) {
	for _, action := range actions {
		switch action.Kind {
		case election.GrantLease:
			controller.grantLease()
		case election.AcquireLock:
			controller.acquireLockOrYield(action.LeaseID)
		case election.RenewLease:
			controller.renewLease(action.LeaseID)
		case election.RevokeLease:
			controller.revokeLease(action.LeaseID)
		case election.RefreshLock:
			controller.refreshLock()
		}
	}
}

func (controller *Controller) leaderTTL() clock.Micros { return controller.elector.TTL() }

func (controller *Controller) grantLease() {
	ttl := controller.leaderTTL()
	go func() {
		lease, err := controller.store.GrantLease(ttl)
		if err != nil {
			controller.log.Debug("lease not granted", "error", err)
		}
		controller.postResult(func() { controller.executeActions(controller.elector.HandleGrantResult(clock.Now(), lease)) })
	}()
}

func (controller *Controller) renewLease(leaseID uint64) {
	timeout := controller.leaderTTL() / 4
	go func() {
		result := renewResult(controller.store.RenewLease(leaseID, timeout))
		controller.postResult(func() {
			controller.executeActions(controller.elector.HandleRenewResult(clock.Now(), leaseID, result))
		})
	}()
}

// renewResult converts the error of a lease renewal, which may be nil, to a result for the elector.
func renewResult(err error) election.RenewResult {
	switch {
	case err == nil:
		return election.RenewSucceeded
	case errors.Is(err, kvstore.ErrNotFound):
		return election.RenewLeaseExpired
	}
	return election.RenewUnknown
}

func (controller *Controller) revokeLease(leaseID uint64) {
	go func() {
		if err := controller.store.RevokeLease(leaseID); err != nil {
			controller.log.Debug("lease not revoked", "lease", leaseID, "error", err)
		} else {
			controller.log.Debug("lease revoked", "lease", leaseID)
		}
		// The store deletes the lock together with its lease. The watch may not have shown that yet.
		controller.postResult(controller.refreshLock)
	}()
}

// refreshLock requests a sync, so that the view soon shows who holds the lock.
func (controller *Controller) refreshLock() {
	controller.view.RequestSync(func(error) {}, clock.Now()+lockRefreshTimeout)
}

func (controller *Controller) acquireLock(leaseID uint64) {
	value, err := records.Lock{Member: controller.cfg.Member, Lease: leaseID, NeedsStandbyRecord: controller.failover.replica != nil}.MarshalJSON()
	if err != nil {
		return
	}
	write := &kvstore.Write{
		Priority:   kvstore.Critical,
		Conditions: []wire.Condition{{Key: records.LockKey}},
		Changes:    []wire.Change{{PutKey: records.LockKey, Value: value, LeaseID: leaseID}},
		Deadline:   clock.Now() + controller.leaderTTL()/2,
	}
	write.Done = func(outcome kvstore.Outcome, revision uint64) {
		controller.postResult(func() {
			controller.executeActions(controller.elector.HandleAcquireResult(clock.Now(), acquireResult(outcome), revision))
			controller.startFailoverIfElected()
		})
	}
	if !controller.store.Commit(write) {
		controller.executeActions(controller.elector.HandleAcquireResult(clock.Now(), election.AcquireFailed, 0))
	}
}

// acquireResult converts the outcome of writing the lock to a result for the elector.
func acquireResult(outcome kvstore.Outcome) election.AcquireResult {
	switch outcome {
	case kvstore.Committed:
		return election.AcquireSucceeded
	case kvstore.Conflict, kvstore.NotExecuted, kvstore.Fenced:
		return election.AcquireFailed
	}
	return election.AcquireUnknown
}
