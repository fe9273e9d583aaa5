package controller

import (
	"errors"
	"time"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/storeview"
)

const (
	// loadRetryDelay is the time between two attempts to read everything.
	loadRetryDelay = 300 * time.Millisecond
	// maxSyncsInFlight bounds the watches that answer at once.
	maxSyncsInFlight = 2
	// minSyncInterval is the least time between two of those, minLeaderSyncInterval that of a leader,
	// whose starts wait for them.
	minSyncInterval, minLeaderSyncInterval = 60 * clock.Millisecond, 25 * clock.Millisecond
	// pollTimeout is how long a watch waits for changes.
	pollTimeout = 10 * clock.Second
	// pollInterval is the time between two such watches, leaderPollInterval that of a leader,
	// pollRetryDelay the time after one that failed.
	pollInterval, leaderPollInterval, pollRetryDelay = 200 * clock.Millisecond, 50 * clock.Millisecond, 300 * clock.Millisecond
)

// watchState is which reads that keep the view up to date are under way.
type watchState struct {
	isLoading     bool
	syncsInFlight int
	lastSyncAt    clock.Micros
	isPolling     bool
	nextPollAt    clock.Micros
	// readSentAt is when the newest read that the view has was sent, 0 if there is none.
	readSentAt clock.Micros
}

// loadAll reads everything, at the start and after a watch fell too far behind. A goroutine of its
// own reads, and ends with one result.
func (controller *Controller) loadAll() {
	if controller.watches.isLoading {
		return
	}
	controller.watches.isLoading = true
	sentAt := clock.Now()
	go func() {
		filter := storeview.NewLoadFilter(controller.history.capacity)
		revision, err := controller.store.LoadPrefix(records.WatchedPrefix, filter.Add)
		if err != nil {
			controller.log.Debug("store not loaded, retrying", "error", err)
			time.Sleep(loadRetryDelay)
		}
		controller.postResult(func() {
			controller.watches.isLoading = false
			if err != nil {
				controller.loadAll()
				return
			}
			controller.recordRead(sentAt)
			controller.applyLoad(filter, revision)
		})
	}()
}

func (controller *Controller) applyLoad(filter *storeview.LoadFilter, revision uint64) {
	dropped, ok := controller.view.Load(filter, revision)
	if !ok {
		return
	}
	controller.recountEvicted(filter.FinishedCounts, dropped)
	controller.lookUpUnknownDependencies()
	controller.observeLock()
	controller.log.Info("store loaded", "revision", revision, "jobs", len(controller.view.Jobs))
}

// startWatches opens the watches that are due: one that answers at once if a sync is requested, and
// a long one that brings changes by itself.
func (controller *Controller) startWatches() {
	if !controller.view.IsLoaded {
		return
	}
	now := clock.Now()
	controller.startSync(now)
	controller.startPoll(now)
}

// startSync opens a watch that answers at once for the syncs that are requested.
func (controller *Controller) startSync(now clock.Micros) {
	watches := &controller.watches
	minInterval := minSyncInterval
	if controller.isLeading() {
		minInterval = minLeaderSyncInterval
	}
	if watches.syncsInFlight >= maxSyncsInFlight || now-watches.lastSyncAt < minInterval {
		return
	}
	batch, ok := controller.view.ClaimSyncs()
	if !ok {
		return
	}
	watches.syncsInFlight++
	watches.lastSyncAt = now
	go controller.watch(0, func(err error) {
		watches.syncsInFlight--
		batch.Complete(err)
	})
}

// startPoll opens the watch that waits for changes.
func (controller *Controller) startPoll(now clock.Micros) {
	watches := &controller.watches
	if watches.isPolling || now < watches.nextPollAt {
		return
	}
	watches.isPolling = true
	go controller.watch(pollTimeout, func(err error) {
		watches.isPolling = false
		interval := pollInterval
		switch {
		case err != nil:
			interval = pollRetryDelay
		case controller.term != nil:
			interval = leaderPollInterval
		}
		watches.nextPollAt = clock.Now() + interval
	})
}

// watch makes one request for the changes since the view's revision, which the store may keep back
// for some time until there are any, and applies them. It runs on a goroutine of its own; done runs
// on the controller's.
func (controller *Controller) watch(block clock.Micros, done func(error)) {
	revisions := make(chan uint64, 1)
	// The view's revision belongs to the controller's goroutine, and is read as late as possible.
	controller.postResult(func() { revisions <- controller.view.Revision })
	var from uint64
	select {
	case from = <-revisions:
	case <-controller.stopped:
		return
	}
	sentAt := clock.Now()
	events, err := controller.store.Watch(records.WatchedPrefix, from, block)
	controller.postResult(func() {
		if err == nil {
			controller.recordRead(sentAt)
			controller.storeUse.shares.ObserveChanges(controller.view.Apply(events))
			controller.observeLock()
		} else if errors.Is(err, kvstore.ErrCompacted) {
			controller.loadAll()
		}
		done(err)
	})
}

// recordRead notes that the view has all changes up to an instant at which a read was sent.
func (controller *Controller) recordRead(sentAt clock.Micros) {
	controller.watches.readSentAt = max(controller.watches.readSentAt, sentAt)
}

// observeLock passes the lock to the elector, unless the view is older than this member's own
// token: it then shows a lock from before the election.
func (controller *Controller) observeLock() {
	if controller.elector.Phase() == election.Leader && controller.view.Revision < controller.elector.Token() {
		return
	}
	controller.executeActions(controller.elector.ObserveLock(clock.Now(), controller.view.Lock))
	controller.executeActions(controller.elector.Tick(clock.Now()))
	controller.startFailoverIfElected()
}
