package storeview

import (
	"errors"

	"firwood.dev/firwood/internal/clock"
)

// ErrSyncTimeout is what a sync ends with that did not complete in time. Its text goes out in
// replies to users.
var ErrSyncTimeout = errors.New("the state service does not answer")

// syncWaiter is a call of RequestSync that has not been answered.
type syncWaiter struct {
	callback    func(error)
	deadline    clock.Micros
	hasWatch    bool // a watch that will complete it is in flight
	isCompleted bool
}

func (waiter *syncWaiter) complete(err error) {
	if !waiter.isCompleted {
		waiter.isCompleted = true
		waiter.callback(err)
	}
}

// RequestSync calls back once, when the view is at least as new as this call: when a watch that
// was opened after it has been applied. It calls back with an error if that watch fails, or with
// ErrSyncTimeout at the deadline.
func (view *View) RequestSync(callback func(error), deadline clock.Micros) {
	view.waiters = append(view.waiters, &syncWaiter{callback: callback, deadline: deadline})
}

// SyncBatch is a set of requested syncs that one watch completes.
type SyncBatch struct{ waiters []*syncWaiter }

// ClaimSyncs returns the requested syncs that no watch is in flight for; ok is false if there are
// none. The caller opens a watch, and calls Complete when its answer is applied.
func (view *View) ClaimSyncs() (batch SyncBatch, ok bool) {
	for _, waiter := range view.waiters {
		if !waiter.hasWatch && !waiter.isCompleted {
			waiter.hasWatch = true
			batch.waiters = append(batch.waiters, waiter)
		}
	}
	return batch, len(batch.waiters) > 0
}

// Complete ends the batch's syncs, with the error of the watch if it failed.
func (batch SyncBatch) Complete(err error) {
	for _, waiter := range batch.waiters {
		waiter.complete(err)
	}
}

// ExpireSyncs ends the syncs whose deadline has passed with ErrSyncTimeout.
func (view *View) ExpireSyncs(now clock.Micros) {
	var expired []*syncWaiter
	remaining := view.waiters[:0]
	for _, waiter := range view.waiters {
		switch {
		case waiter.isCompleted:
		case now >= waiter.deadline:
			expired = append(expired, waiter)
		default:
			remaining = append(remaining, waiter)
		}
	}
	clear(view.waiters[len(remaining):])
	view.waiters = remaining
	for _, waiter := range expired {
		waiter.complete(ErrSyncTimeout)
	}
}
