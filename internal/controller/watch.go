package controller

import (
	"errors"
	"time"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// loadAll reads everything, at the start and after a watch fell too far behind.
func (controller *Controller) loadAll() {
	if controller.view.isLoading {
		return
	}
	controller.view.isLoading = true
	go func() {
		filter := NewLoadFilter(controller.finishedCapacity)
		revision, err := controller.store.LoadPrefix(records.WatchedPrefix, filter.Add)
		if err != nil {
			controller.log.Debug("state not loaded", "error", err)
			time.Sleep(300 * time.Millisecond)
		}
		controller.postResult(func() {
			controller.view.isLoading = false
			if err != nil {
				controller.loadAll()
				return
			}
			controller.applyLoad(filter, revision)
		})
	}()
}

func (controller *Controller) applyLoad(filter *LoadFilter, revision uint64) {
	view := &controller.view
	if view.IsLoaded && revision < view.Revision {
		return
	}
	// Keys that vanished while nobody watched: jobs never do.
	view.Dependencies = map[string]map[int][]string{}
	view.Progress = map[string]map[int]ProgressPart{}
	view.ScaleOuts = map[string]*ScaleOut{}
	view.Lock = election.Lock{}
	view.Terms.Reset()
	view.HasArchive = false
	items, dropped := filter.keptItems()
	for i := range items {
		controller.applyPut(items[i].Key, items[i].Value, items[i].Version)
	}
	view.Revision = max(view.Revision, revision)
	view.IsLoaded = true
	controller.recountEvicted(filter.FinishedCounts, dropped)
	controller.lookUpUnknownDependencies()
	controller.observeLock()
	controller.log.Info("state loaded", "revision", revision, "jobs", len(view.Jobs))
}

// startWatches opens the watches that are due: one that answers at once if
// somebody waits for proof, and a long one that brings changes by itself.
func (controller *Controller) startWatches() {
	view := &controller.view
	now := clock.Now()
	if !view.IsLoaded {
		return
	}
	minInterval := 60 * clock.Millisecond
	if controller.term != nil || controller.isRebuilding {
		minInterval = 25 * clock.Millisecond
	}
	if view.syncsInFlight < 2 && now-view.lastSyncAt >= minInterval {
		var claimed []*syncWaiter
		for _, waiter := range view.waiters {
			if !waiter.hasWatch && !waiter.isCompleted {
				waiter.hasWatch = true
				claimed = append(claimed, waiter)
			}
		}
		if len(claimed) > 0 {
			view.syncsInFlight++
			view.lastSyncAt = now
			go controller.watch(0, func(err error) {
				view.syncsInFlight--
				for _, waiter := range claimed {
					waiter.complete(err)
				}
			})
		}
	}
	if !view.isPolling && now >= view.nextPollAt {
		view.isPolling = true
		go controller.watch(10*clock.Second, func(err error) {
			view.isPolling = false
			view.nextPollAt = clock.Now() + 200*clock.Millisecond
			if controller.term != nil {
				view.nextPollAt = clock.Now() + 50*clock.Millisecond
			}
			if err != nil {
				view.nextPollAt = clock.Now() + 300*clock.Millisecond
			}
		})
	}
}

func (controller *Controller) watch(block clock.Micros, done func(error)) {
	revisions := make(chan uint64, 1)
	// The revision is read by the owner as late as possible.
	controller.postResult(func() { revisions <- controller.view.Revision })
	var from uint64
	select {
	case from = <-revisions:
	case <-controller.stopped:
		return
	}
	events, err := controller.store.Watch(records.WatchedPrefix, from, block)
	controller.postResult(func() {
		if err == nil {
			controller.applyEvents(events)
		} else if errors.Is(err, kvstore.ErrCompacted) {
			controller.loadAll()
		}
		done(err)
	})
}

func (controller *Controller) applyEvents(events *wire.WatchResponse) {
	view := &controller.view
	for i := range events.Events {
		event := &events.Events[i]
		if event.Version <= view.Revision {
			continue
		}
		controller.rateShares.observedChanges++
		if event.DeleteKey != "" {
			controller.applyDelete(event.DeleteKey)
		} else {
			controller.applyPut(event.PutKey, event.Value, event.Version)
		}
	}
	view.Revision = max(view.Revision, events.Revision)
	controller.observeLock()
}

// observeLock tells the election of the lock, unless the view is older than our
// own token.
func (controller *Controller) observeLock() {
	if controller.elector.Phase() == election.Leader && controller.view.Revision < controller.elector.Token() {
		return
	}
	controller.executeActions(controller.elector.ObserveLock(clock.Now(), controller.view.Lock))
	controller.executeActions(controller.elector.Tick(clock.Now()))
	controller.startFailoverIfElected()
}
