package kvstore

import (
	"cmp"
	"slices"
	"time"

	"firwood.dev/firwood/internal/clock"
)

// sortPending puts the queued writes in the order in which they are sent: by priority, except
// that promoted required writes alternate with interactive ones. The caller holds the mutex.
func (store *Client) sortPending(now clock.Micros) {
	turns := map[*Write]int{} // of interactive and promoted writes: even and odd numbers in their order
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

// InteractiveDelay is how long an interactive write of one change queued now would wait for the
// write rate. The interactive changes go before it and, since the two kinds alternate, promoted
// ones up to one more than these.
func (store *Client) InteractiveDelay() clock.Micros {
	interactive, promoted := store.countQueuedChanges()
	return store.writeBudget.Delay(float64(interactive + min(promoted, interactive+1) + 1))
}

// BacklogDuration is how long the queued critical, interactive and promoted writes take at
// the present write rate.
func (store *Client) BacklogDuration() clock.Micros {
	interactive, promoted := store.countQueuedChanges()
	return store.writeBudget.Delay(float64(interactive + promoted))
}

// countQueuedChanges counts the queued changes of critical and interactive writes, and of
// promoted ones.
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

// Commit queues a write for the next transaction. It returns false, and never calls Done, if
// the queue is full or if an interactive write can't be sent before its Deadline: its caller
// can then be refused at once.
func (store *Client) Commit(write *Write) bool {
	write.queuedAt = clock.Now()
	write.estimateSize()
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

// startSender starts a sender if there are writes and fewer than maxSenders senders. The caller
// holds the mutex.
func (store *Client) startSender() {
	if store.activeSenders < maxSenders && len(store.pending) > 0 {
		store.activeSenders++
		go store.runSender()
	}
}

// takeBatch removes from the queue, by priority, the writes of the next transaction. All have
// one fencing token, since a lost lock fails the whole transaction. Background writes are taken
// only from spare rate, since rate reserved for them would delay the others; those left are
// reconsidered after backgroundRecheckInterval.
func (store *Client) takeBatch() []*Write {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.sortPending(clock.Now())
	var batch []*Write
	var totals batchTotals
	hasDeferred := false
	remaining := store.pending[:0]
	for _, write := range store.pending {
		isDeferred := write.Priority == Background && !store.hasSpareRate(totals, write)
		hasDeferred = hasDeferred || isDeferred
		if isDeferred || len(batch) > 0 && !store.canJoin(batch[0], totals, write) {
			remaining = append(remaining, write)
			continue
		}
		batch = append(batch, write)
		totals.add(write)
	}
	clear(store.pending[len(remaining):])
	store.pending = remaining
	if len(batch) == 0 {
		store.endSender(hasDeferred)
		return nil
	}
	store.isRequiredTurn = batch[0].Priority == Interactive
	return batch
}

// batchTotals is what the writes of a batch amount to.
type batchTotals struct{ changes, conditions, sizeBytes int }

func (totals *batchTotals) add(write *Write) {
	totals.changes += len(write.Changes)
	totals.conditions += len(write.Conditions)
	totals.sizeBytes += write.sizeBytes
}

// canJoin reports that a write may go in one transaction with a batch that is not empty. The
// batch does not grow beyond what the rate covers now, since all that are queued meanwhile, also
// more urgent ones, would wait for the rest; only critical writes may join all the same.
func (store *Client) canJoin(first *Write, totals batchTotals, write *Write) bool {
	totals.add(write)
	if write.FencingToken != first.FencingToken || !store.fitsTransaction(totals) {
		return false
	}
	return write.Priority == Critical || store.writeBudget.HasTokens(float64(totals.changes))
}

// fitsTransaction reports that the store's limits allow a transaction of so much. One
// condition more, on the lock key, is added to those of the writes.
func (store *Client) fitsTransaction(totals batchTotals) bool {
	return totals.changes <= store.limits.MaxTransactionOps &&
		totals.conditions+1 <= conditionsPerOp*store.limits.MaxTransactionOps &&
		totals.sizeBytes <= maxTransactionBytes
}

// hasSpareRate reports that after a batch and a background write the rate still covers
// as many changes again as the write has.
func (store *Client) hasSpareRate(totals batchTotals, write *Write) bool {
	return store.writeBudget.HasTokens(float64(totals.changes + 2*len(write.Changes)))
}

// endSender counts a sender that ends since there is nothing that it may send. Deferred
// background writes are rechecked a little later. The caller holds the mutex.
func (store *Client) endSender(hasDeferred bool) {
	store.activeSenders--
	if hasDeferred && !store.isRecheckScheduled {
		store.isRecheckScheduled = true
		time.AfterFunc(backgroundRecheckInterval.Duration(), store.recheckPending)
	}
}

// conditionsPerOp is how many conditions the store takes for each change that its limit
// of changes allows (PROTOCOL, POST /txn).
const conditionsPerOp = 4

// backgroundRecheckInterval is how often deferred background writes are reconsidered.
const backgroundRecheckInterval = 50 * clock.Millisecond

// recheckPending completes expired writes as NotExecuted and starts a sender for the others.
func (store *Client) recheckPending() {
	now := clock.Now()
	var expired []*Write
	store.mu.Lock()
	store.isRecheckScheduled = false
	store.pending = slices.DeleteFunc(store.pending, func(write *Write) bool {
		isExpired := write.isExpired(now)
		if isExpired {
			expired = append(expired, write)
		}
		return isExpired
	})
	store.startSender()
	store.mu.Unlock()
	completeWrites(expired, NotExecuted, 0)
}
