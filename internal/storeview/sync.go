package storeview

import (
	"errors"

	"firwood.dev/firwood/internal/clock"
)

// ErrSyncTimeout is the error of a sync that did not complete by its deadline. Its text is sent in
// replies to users.
var ErrSyncTimeout = errors.New("the state service does not answer")

// syncWaiter is a call of RequestSync whose callback may not have run yet.
type syncWaiter struct {
	callback    func(error)
	deadline    clock.Micros
	hasWatch    bool // whether ClaimSyncs has returned this sync, so that a watch will complete it
	isCompleted bool
}

func (waiter *syncWaiter) complete(err error) {
	if !waiter.isCompleted {
		waiter.isCompleted = true
		waiter.callback(err)
	}
}

// RequestSync calls callback once, when the view is at least as new as the store was at this call:
// when the response of a watch that was opened after the call has been applied. It passes an error
// if that watch fails, and ErrSyncTimeout if neither happens by the deadline.
func (view *View) RequestSync(callback func(error), deadline clock.Micros) {
	view.waiters = append(view.waiters, &syncWaiter{callback: callback, deadline: deadline})
}

// SyncBatch is a set of requested syncs that one watch completes.
type SyncBatch struct{ waiters []*syncWaiter }

// ClaimSyncs returns the requested syncs that no watch is in flight for; ok is false if there are
// none. The caller opens a watch and calls Complete when it has applied the response.
func (view *View) ClaimSyncs() (batch SyncBatch, ok bool) {
	for _, waiter := range view.waiters {
		if !waiter.hasWatch && !waiter.isCompleted {
			waiter.hasWatch = true
			batch.waiters = append(batch.waiters, waiter)
		}
	}
	return batch, len(batch.waiters) > 0
}

// Complete completes the batch's syncs, with the error of the watch if the watch failed.
func (batch SyncBatch) Complete(err error) {
	for _, waiter := range batch.waiters {
		waiter.complete(err)
	}
}

// ExpireSyncs completes the syncs whose deadline has passed with ErrSyncTimeout.
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
