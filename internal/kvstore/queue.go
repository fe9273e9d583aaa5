package kvstore

import (
	"cmp"
	"slices"
	"time"

	"firwood.dev/firwood/internal/clock"
)

// sortPending sorts the queued writes into the order in which they are sent: by priority, except
// that promoted required writes alternate with interactive ones. The caller holds the mutex.
func (store *Client) sortPending(now clock.Micros) {
	// turns orders the interactive and promoted writes: even numbers for interactive ones, odd for promoted.
	turns := map[*Write]int{}
	interactive, promoted := 0, 0
	for _, write := range store.pending {
		switch {
		case write.Priority == Interactive:
			turns[write] = 2 * interactive
			interactive++
		case write.isPromoted(now):
			turns[write] = 2*promoted + 1
			if store.isPromotedNext {
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

// InteractiveDelay returns how long an interactive write of one change, if queued now, would wait for
// the write rate. All queued critical and interactive changes go before it. Promoted writes alternate
// with interactive ones, so promoted changes go before it too: at most one more than those.
func (store *Client) InteractiveDelay() clock.Micros {
	interactive, promoted := store.countQueuedChanges()
	return store.writeBudget.Delay(float64(interactive + min(promoted, interactive+1) + 1))
}

// BacklogDuration returns how long the queued critical, interactive and promoted writes take at the
// current write rate.
func (store *Client) BacklogDuration() clock.Micros {
	interactive, promoted := store.countQueuedChanges()
	return store.writeBudget.Delay(float64(interactive + promoted))
}

// countQueuedChanges counts the queued changes of critical and interactive writes, and separately
// those of promoted writes.
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

// Commit queues a write for one of the next transactions. It returns false, and never calls Done, if
// the queue is full, or if the write is interactive and can't be sent before its Deadline, so that
// the caller can refuse its own client at once.
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

// startSender starts another sender if writes are queued and fewer than maxSenders senders run. The
// caller holds the mutex.
func (store *Client) startSender() {
	if store.activeSenders < maxSenders && len(store.pending) > 0 {
		store.activeSenders++
		go store.runSender()
	}
}

// takeBatch removes the writes of the next transaction from the queue, by priority. All of them have
// the same fencing token, since a lost lock fails the whole transaction. Background writes are taken
// only from spare rate, since rate reserved for them would delay the other writes; deferred ones are
// reconsidered after backgroundRecheckInterval. If no write may be sent, takeBatch records that the
// calling sender ends, and returns nil.
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
	store.isPromotedNext = batch[0].Priority == Interactive
	return batch
}

// batchTotals holds the total size of the writes of a batch.
type batchTotals struct{ changes, conditions, sizeBytes int }

func (totals *batchTotals) add(write *Write) {
	totals.changes += len(write.Changes)
	totals.conditions += len(write.Conditions)
	totals.sizeBytes += write.sizeBytes
}

// canJoin reports whether a write may join a non-empty batch in one transaction. A batch does not
// grow beyond the changes that the write budget covers now: its sender would have to wait for the
// missing tokens, and all writes queued meanwhile, also more urgent ones, would wait behind it. Only
// critical writes may join nevertheless.
func (store *Client) canJoin(first *Write, totals batchTotals, write *Write) bool {
	totals.add(write)
	if write.FencingToken != first.FencingToken || !store.fitsTransaction(totals) {
		return false
	}
	return write.Priority == Critical || store.writeBudget.HasTokens(float64(totals.changes))
}

// fitsTransaction reports whether the store's limits allow a transaction of the given totals. The
// condition on the lock key comes on top of the writes' own conditions.
func (store *Client) fitsTransaction(totals batchTotals) bool {
	return totals.changes <= store.limits.MaxTransactionOps &&
		totals.conditions+1 <= conditionsPerOp*store.limits.MaxTransactionOps &&
		totals.sizeBytes <= maxTransactionBytes
}

// hasSpareRate reports whether, after the batch and a background write, the write budget still covers
// as many further changes as the background write has.
func (store *Client) hasSpareRate(totals batchTotals, write *Write) bool {
	return store.writeBudget.HasTokens(float64(totals.changes + 2*len(write.Changes)))
}

// endSender records that a sender ends because it may send no queued write. It schedules a recheck
// of deferred background writes after backgroundRecheckInterval. The caller holds the mutex.
func (store *Client) endSender(hasDeferred bool) {
	store.activeSenders--
	if hasDeferred && !store.isRecheckScheduled {
		store.isRecheckScheduled = true
		time.AfterFunc(backgroundRecheckInterval.Duration(), store.recheckPending)
	}
}

// conditionsPerOp is the number of conditions that the store allows per transaction for each change
// of its limit of changes (PROTOCOL, POST /txn).
const conditionsPerOp = 4

// backgroundRecheckInterval is the time after which deferred background writes are reconsidered.
const backgroundRecheckInterval = 50 * clock.Millisecond

// recheckPending completes expired writes with NotExecuted and starts a sender for the others.
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
