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
	// loadRetryDelay is the time between two attempts to load all keys.
	loadRetryDelay = 300 * time.Millisecond
	// maxSyncsInFlight bounds the syncs in flight. A sync is a watch that the store answers at once.
	maxSyncsInFlight = 2
	// minSyncInterval is the least time between the starts of two syncs. minLeaderSyncInterval is
	// that of a leader, whose task starts wait for syncs.
	minSyncInterval, minLeaderSyncInterval = 60 * clock.Millisecond, 25 * clock.Millisecond
	// pollTimeout is how long the store may hold back its response to a poll while there are no
	// changes. A poll is a watch that waits for changes.
	pollTimeout = 10 * clock.Second
	// pollInterval is the time from the end of a poll to the start of the next, leaderPollInterval
	// that of a leader, and pollRetryDelay that after a failed poll.
	pollInterval, leaderPollInterval, pollRetryDelay = 200 * clock.Millisecond, 50 * clock.Millisecond, 300 * clock.Millisecond
)

// watchState records which of the reads that keep the view up to date are in flight.
type watchState struct {
	isLoading     bool
	syncsInFlight int
	lastSyncAt    clock.Micros
	isPolling     bool
	nextPollAt    clock.Micros
	// readSentAt is when the newest read that the view includes was sent, or 0 if there is none.
	readSentAt clock.Micros
}

// loadAll reads all keys, at startup and after a watch fell too far behind. The reads run on their own
// goroutine, which ends by posting one result.
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
	result, ok := controller.view.Load(filter, revision)
	if !ok {
		return
	}
	for _, id := range result.Removed {
		controller.recordEviction()
		controller.users.progressCounts.Remove(id)
		controller.dependencyGraph.Forget(id)
	}
	controller.recountEvicted(filter.FinishedCounts, result.Dropped)
	controller.lookUpUnknownDependencies()
	controller.observeLock()
	controller.log.Info("store loaded", "revision", revision, "jobs", len(controller.view.Jobs))
}

// startWatches starts the watches that are due: a sync if one is requested, and a poll, which delivers
// changes without a request.
func (controller *Controller) startWatches() {
	if !controller.view.IsLoaded {
		return
	}
	now := clock.Now()
	controller.startSync(now)
	controller.startPoll(now)
}

// startSync starts a watch that the store answers at once, for the syncs that are requested.
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

// startPoll starts the watch that waits for changes.
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

// watch requests the changes since the view's revision and applies them. While there are no changes, the
// store may hold back its response for up to the duration of block. watch runs on its own goroutine; done
// runs on the controller's.
func (controller *Controller) watch(block clock.Micros, done func(error)) {
	revisions := make(chan uint64, 1)
	// Only the controller's goroutine may read the view's revision. It is read as late as possible.
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

// recordRead records that the view has all changes up to the instant at which a read was sent.
func (controller *Controller) recordRead(sentAt clock.Micros) {
	controller.watches.readSentAt = max(controller.watches.readSentAt, sentAt)
}

// observeLock passes the lock to the elector, unless the view is older than this member's own token.
// Such a view still shows a lock from before the election.
func (controller *Controller) observeLock() {
	if controller.elector.Phase() == election.Leader && controller.view.Revision < controller.elector.Token() {
		return
	}
	controller.executeActions(controller.elector.ObserveLock(clock.Now(), controller.view.Lock))
	controller.executeActions(controller.elector.Tick(clock.Now()))
	controller.startFailoverIfElected()
}
