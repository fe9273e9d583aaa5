package kvstore

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// maxTransactionBytes leaves room for the frame of a transaction under 64 KiB.
const maxTransactionBytes = 56 << 10

// Outcome says what became of a write.
type Outcome uint8

const (
	// Committed: the write is durable.
	Committed Outcome = iota
	// Conflict: one of the write's own conditions failed.
	Conflict
	// Fenced: the leader lock is no longer what the write was bound to.
	Fenced
	// NotExecuted: the write was certainly not executed.
	NotExecuted
	// Unknown: the write may have been executed, or may still be.
	Unknown
)

// Priority orders the writes that wait: the service takes few a second.
type Priority int8

const (
	// Critical: the lock depends on it.
	Critical Priority = iota - 1
	// Interactive: somebody waits for the answer.
	Interactive
	// Required: work waits for it.
	Required
	// Background: it is sent when nothing else needs the rate.
	Background
)

// Write is an atomic set of changes.
type Write struct {
	Priority Priority
	// FencingToken, if not 0, is the version that the lock key must have.
	FencingToken uint64
	Conditions   []wire.Condition
	Changes      []wire.Change
	// Deadline is when to give up a write that was not sent.
	Deadline clock.Micros
	Done     func(Outcome, uint64)

	sizeBytes int
	queuedAt  clock.Micros
}

// requiredPromotionAge is after how long a write that work waits for takes turns with those that
// somebody waits for. Under a flood of submissions a leader once rented no machine for
// 40 s, and what had been accepted waited for its mark for 100; where both went by age
// alone, the leader refused all submissions meanwhile.
const requiredPromotionAge = clock.Second / 2

// isPromoted tells whether a write takes turns with those that somebody waits for.
func (write *Write) isPromoted(now clock.Micros) bool {
	return write.Priority == Required && now-write.queuedAt >= requiredPromotionAge
}

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

func (store *Client) runSender() {
	for {
		// Waiting for the budget before choosing lets more writes join.
		store.requestBudget.Wait(0)
		store.writeBudget.Wait(0)
		batch := store.takeBatch()
		if len(batch) == 0 {
			return
		}
		store.requestBudget.Reserve(1)
		store.commitBatch(batch)
	}
}

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

func (store *Client) commitBatch(batch []*Write) {
	for len(batch) > 0 {
		now := clock.Now()
		batch = slices.DeleteFunc(batch, func(write *Write) bool {
			isExpired := write.Deadline != 0 && now >= write.Deadline
			if isExpired {
				write.Done(NotExecuted, 0)
			}
			return isExpired
		})
		if len(batch) == 0 {
			return
		}
		transaction := wire.Transaction{}
		if token := batch[0].FencingToken; token != 0 {
			transaction.Conditions = append(transaction.Conditions, wire.Condition{Key: store.lockKey, Version: token})
		}
		for _, write := range batch {
			transaction.Conditions = append(transaction.Conditions, write.Conditions...)
			transaction.Changes = append(transaction.Changes, write.Changes...)
		}
		body, err := transaction.MarshalJSON()
		if err != nil {
			completeWrites(batch, NotExecuted, 0)
			return
		}
		store.writeBudget.Wait(float64(len(transaction.Changes)))
		status, responseBody, err := store.sendRequest("POST", "/txn", body, requestTimeout)
		var sendError *client.NotSentError
		switch {
		case errors.As(err, &sendError):
			completeWrites(batch, NotExecuted, 0)
			return
		case err != nil:
			completeWrites(batch, Unknown, 0)
			return
		}
		var result wire.TransactionResult
		switch status {
		case 200:
			if err := result.UnmarshalJSON(responseBody); err != nil {
				store.MalformedResponses.Add(1)
				completeWrites(batch, Unknown, 0)
				return
			}
			store.changesWritten.Add(int64(len(transaction.Changes)))
			completeWrites(batch, Committed, result.Revision)
			return
		case 409:
			if err := result.UnmarshalJSON(responseBody); err != nil || len(result.FailedKeys) == 0 {
				store.MalformedResponses.Add(1)
				completeWrites(batch, Unknown, 0)
				return
			}
			if slices.Contains(result.FailedKeys, store.lockKey) && batch[0].FencingToken != 0 {
				completeWrites(batch, Fenced, result.Revision)
				return
			}
			before := len(batch)
			batch = slices.DeleteFunc(batch, func(write *Write) bool {
				hasConflict := slices.ContainsFunc(write.Conditions, func(condition wire.Condition) bool { return slices.Contains(result.FailedKeys, condition.Key) })
				if hasConflict {
					write.Done(Conflict, result.Revision)
				}
				return hasConflict
			})
			if len(batch) == before {
				completeWrites(batch, Conflict, result.Revision)
				return
			}
		case 429:
			// Not executed; the budgets were drained and the loop waits.
			store.requestBudget.Wait(1)
		case 400:
			// One bad write must not fail its neighbours: try them one by one.
			if len(batch) == 1 {
				completeWrites(batch, NotExecuted, 0)
				return
			}
			for _, write := range batch {
				store.requestBudget.Wait(1)
				store.commitBatch([]*Write{write})
			}
			return
		default:
			completeWrites(batch, NotExecuted, 0)
			return
		}
	}
}

func completeWrites(batch []*Write, outcome Outcome, revision uint64) {
	for _, write := range batch {
		write.Done(outcome, revision)
	}
}
