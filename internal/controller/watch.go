package controller

import (
	"errors"
	"time"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/wire"
)

// load reads everything, at the start and after a watch fell too far behind.
func (c *Core) load() {
	if c.view.loading {
		return
	}
	c.view.loading = true
	go func() {
		filter := newLoadFilter(c.finishedKept)
		rev, err := c.store.LoadPrefix(prefix, filter.add)
		if err != nil {
			c.log.Debug("state not loaded", "error", err)
			time.Sleep(300 * time.Millisecond)
		}
		c.post(func() {
			c.view.loading = false
			if err != nil {
				c.load()
				return
			}
			c.loaded(filter, rev)
		})
	}()
}

func (c *Core) loaded(filter *loadFilter, rev uint64) {
	v := &c.view
	if v.loaded && rev < v.rev {
		return
	}
	// Keys that vanished while nobody watched: jobs never do.
	v.awaits = map[string]map[int][]string{}
	v.done = map[string]map[int]progressPart{}
	v.rentals = map[string]*rentalRecord{}
	v.lock = election.Lock{}
	v.leads.Reset()
	v.hasArchive = false
	items, dropped := filter.items()
	for i := range items {
		c.put(items[i].Key, items[i].Value, items[i].Version)
	}
	v.rev = max(v.rev, rev)
	v.loaded = true
	c.countForgotten(filter.seen, dropped)
	c.recallAwaited()
	c.seenLock()
	c.log.Info("state loaded", "revision", rev, "jobs", len(v.jobs))
}

// startSync opens the watches that are due: one that answers at once if
// somebody waits for proof, and a long one that brings changes by itself.
func (c *Core) startSync() {
	v := &c.view
	now := clock.Now()
	if !v.loaded {
		return
	}
	gap := 60 * clock.Millisecond
	if c.lead != nil || c.rebuilding {
		gap = 25 * clock.Millisecond
	}
	if v.syncing < 2 && now-v.lastSync >= gap {
		var mine []*waiter
		for _, w := range v.waiters {
			if !w.taken && !w.over {
				w.taken = true
				mine = append(mine, w)
			}
		}
		if len(mine) > 0 {
			v.syncing++
			v.lastSync = now
			go c.watch(0, func(err error) {
				v.syncing--
				for _, w := range mine {
					w.end(err)
				}
			})
		}
	}
	if !v.polling && now >= v.nextPoll {
		v.polling = true
		go c.watch(10*clock.Second, func(err error) {
			v.polling = false
			v.nextPoll = clock.Now() + 200*clock.Millisecond
			if c.lead != nil {
				v.nextPoll = clock.Now() + 50*clock.Millisecond
			}
			if err != nil {
				v.nextPoll = clock.Now() + 300*clock.Millisecond
			}
		})
	}
}

func (c *Core) watch(block clock.Micros, then func(error)) {
	since := make(chan uint64, 1)
	// The revision is read by the owner as late as possible.
	c.post(func() { since <- c.view.rev })
	var from uint64
	select {
	case from = <-since:
	case <-c.ended:
		return
	}
	events, err := c.store.Watch(prefix, from, block)
	c.post(func() {
		if err == nil {
			c.apply(events)
		} else if errors.Is(err, kvstore.ErrCompacted) {
			c.load()
		}
		then(err)
	})
}

func (c *Core) apply(e *wire.WatchResponse) {
	v := &c.view
	for i := range e.Events {
		ev := &e.Events[i]
		if ev.Version <= v.rev {
			continue
		}
		c.shares.seen++
		if ev.DeleteKey != "" {
			c.drop(ev.DeleteKey)
		} else {
			c.put(ev.PutKey, ev.Value, ev.Version)
		}
	}
	v.rev = max(v.rev, e.Revision)
	c.seenLock()
}

// seenLock tells the election of the lock, unless the view is older than our
// own token.
func (c *Core) seenLock() {
	if c.el.Phase() == election.Leader && c.view.rev < c.el.Token() {
		return
	}
	c.act(c.el.ObserveLock(clock.Now(), c.view.lock))
	c.act(c.el.Tick(clock.Now()))
	c.checkLead()
}
