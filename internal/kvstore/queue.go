package kvstore

import (
	"cmp"
	"slices"
	"time"

	"firwood.dev/firwood/internal/clock"
)

// sortPending puts the waiting writes in the order in which they are sent: by rank, but
// for needed ones that have waited, which take turns with binding ones. The lock is held.
func (store *Client) sortPending(now clock.Micros) {
	turns := map[*Write]int{} // of binding and waiting needed writes, in their order
	interactive, promoted := 0, 0
	for _, write := range store.pending {
		switch {
		case write.Priority == Interactive:
			turns[write] = 2 * interactive
			interactive++
		case write.isPromoted(now):
			turns[write] = 2*promoted + 1
			if store.isRequiredTurn {
				turns[write] = 2*promoted - 1
			}
			promoted++
		}
	}
	priority := func(write *Write) Priority {
		if write.isPromoted(now) {
			return Interactive
		}
		return write.Priority
	}
	slices.SortStableFunc(store.pending, func(a, b *Write) int {
		return cmp.Or(cmp.Compare(priority(a), priority(b)), cmp.Compare(turns[a], turns[b]))
	})
}

// InteractiveDelay is how long a binding write that comes now would wait for the rate.
func (store *Client) InteractiveDelay() clock.Micros {
	interactive, promoted := store.countQueuedChanges()
	return store.writeBudget.Delay(float64(interactive + min(promoted, interactive+1) + 1))
}

// BacklogDuration is how long the writes that somebody or some work waits for will take at the
// present rate.
func (store *Client) BacklogDuration() clock.Micros {
	interactive, promoted := store.countQueuedChanges()
	return store.writeBudget.Delay(float64(interactive + promoted))
}

// countQueuedChanges counts the changes of binding writes, and of needed ones that have waited.
func (store *Client) countQueuedChanges() (interactive, promoted int) {
	now := clock.Now()
	store.mu.Lock()
	defer store.mu.Unlock()
	for _, write := range store.pending {
		switch {
		case write.Priority <= Interactive:
			interactive += len(write.Changes)
		case write.isPromoted(now):
			promoted += len(write.Changes)
		}
	}
	return interactive, promoted
}

// Commit queues a write for the next transaction. It returns false, without
// calling Done, when too many writes are waiting, or when one that somebody
// waits for cannot be sent before its time is over: the sooner that is said, the
// better.
func (store *Client) Commit(write *Write) bool {
	write.sizeBytes, write.queuedAt = 0, clock.Now()
	for i := range write.Changes {
		write.sizeBytes += len(write.Changes[i].PutKey) + len(write.Changes[i].DeleteKey) + len(write.Changes[i].Value) + 48
	}
	for i := range write.Conditions {
		write.sizeBytes += len(write.Conditions[i].Key) + 40
	}
	if write.Priority == Interactive && write.Deadline != 0 && clock.Now()+store.InteractiveDelay() > write.Deadline {
		return false
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	if len(store.pending) >= max(minQueueCapacity, int(queueCapacitySeconds*store.limits.WriteRPS)) {
		return false
	}
	store.pending = append(store.pending, write)
	store.startSender()
	return true
}

// startSender starts senders while there is work; the lock is held.
func (store *Client) startSender() {
	if store.activeSenders < maxSenders && len(store.pending) > 0 {
		store.activeSenders++
		go store.runSender()
	}
}

// takeBatch takes the longest run of waiting writes that fits one transaction, the
// most pressing first. Only writes with the same fence go together: a lost
// lock fails them all. Writes that can wait are taken only as far as the rate
// has them to spare: what is booked ahead for them would hold up the others.
// They are looked at again a little later.
func (store *Client) takeBatch() []*Write {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.sortPending(clock.Now())
	var batch []*Write
	ops, conditions, size := 0, 0, 0
	hasDeferred := false
	remaining := store.pending[:0]
	for _, write := range store.pending {
		fits := len(batch) == 0 ||
			write.FencingToken == batch[0].FencingToken && ops+len(write.Changes) <= store.limits.MaxTransactionOps &&
				conditions+len(write.Conditions)+1 <= 4*store.limits.MaxTransactionOps && size+write.sizeBytes <= maxTransactionBytes
		if len(batch) > 0 && write.Priority > Critical && !store.writeBudget.HasTokens(float64(ops+len(write.Changes))) {
			fits = false // what is booked ahead holds up what is more pressing
		}
		if write.Priority == Background && !store.writeBudget.HasTokens(float64(ops+2*len(write.Changes))) {
			fits, hasDeferred = false, true
		}
		if !fits {
			remaining = append(remaining, write)
			continue
		}
		batch = append(batch, write)
		ops += len(write.Changes)
		conditions += len(write.Conditions)
		size += write.sizeBytes
	}
	clear(store.pending[len(remaining):])
	store.pending = remaining
	if len(batch) > 0 {
		store.isRequiredTurn = batch[0].Priority == Interactive
	}
	if len(batch) == 0 {
		store.activeSenders--
		if hasDeferred && !store.isRecheckScheduled {
			store.isRecheckScheduled = true
			time.AfterFunc(backgroundRecheckInterval.Duration(), store.recheckPending)
		}
	}
	return batch
}

// backgroundRecheckInterval is how often it is looked whether the rate has writes to spare.
const backgroundRecheckInterval = 50 * clock.Millisecond

// recheckPending refuses waiting writes whose time is over, and tries the others.
func (store *Client) recheckPending() {
	now := clock.Now()
	var expired []*Write
	store.mu.Lock()
	store.isRecheckScheduled = false
	store.pending = slices.DeleteFunc(store.pending, func(write *Write) bool {
		if write.Deadline != 0 && now >= write.Deadline {
			expired = append(expired, write)
			return true
		}
		return false
	})
	store.startSender()
	store.mu.Unlock()
	completeWrites(expired, NotExecuted, 0)
}
