package kvstore

import (
	"errors"
	"slices"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// maxTransactionBytes bounds the sum of the writes' sizeBytes. The rest of the store's limit of
// 64 KiB a transaction (PROTOCOL, POST /txn) is for what they don't count: the JSON around the
// two lists, the condition on the lock key, and what the estimate misses.
const maxTransactionBytes = 56 << 10

// runSender sends one transaction after another until no queued write may be sent. It
// runs on a goroutine of its own, of which startSender starts at most maxSenders.
func (store *Client) runSender() {
	for {
		// Wait for the rates before the batch is chosen, so that writes queued meanwhile join it.
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

// commitBatch sends writes with one fencing token until each is completed: in one
// transaction, and those left of it after a conflict or a 429 in another. Writes without
// Deadline are sent again after 429 without end.
func (store *Client) commitBatch(batch []*Write) {
	for {
		batch = completeExpired(batch)
		if len(batch) == 0 {
			return
		}
		batch = store.sendTransaction(batch)
	}
}

// completeExpired completes the writes whose Deadline has passed and returns the others.
func completeExpired(batch []*Write) []*Write {
	now := clock.Now()
	return slices.DeleteFunc(batch, func(write *Write) bool {
		if !write.isExpired(now) {
			return false
		}
		write.Done(NotExecuted, 0)
		return true
	})
}

// sendTransaction sends the writes in one transaction, completes those whose outcome that
// decides, and returns the others, which are to be sent again.
func (store *Client) sendTransaction(batch []*Write) []*Write {
	transaction := store.buildTransaction(batch)
	body, err := transaction.MarshalJSON()
	if err != nil {
		completeWrites(batch, NotExecuted, 0)
		return nil
	}
	store.writeBudget.Wait(float64(len(transaction.Changes)))
	status, responseBody, err := store.sendRequest("POST", "/txn", body, requestTimeout)
	if err != nil {
		completeWrites(batch, outcomeOfSendError(err), 0)
		return nil
	}
	switch status {
	case statusOK:
		store.completeCommitted(batch, len(transaction.Changes), responseBody)
		return nil
	case statusConflict:
		return store.completeConflicting(batch, responseBody)
	case statusTooManyRequests:
		// Nothing was executed. sendRequest has drained the budgets, which delays the next attempt.
		store.requestBudget.Wait(1)
		return batch
	case statusBadRequest:
		store.commitSeparately(batch)
		return nil
	default: // 503; PROTOCOL has no other status for transactions
		completeWrites(batch, NotExecuted, 0)
		return nil
	}
}

// buildTransaction joins the writes' conditions and changes, and binds them to the
// lock key's version if they have a fencing token.
func (store *Client) buildTransaction(batch []*Write) wire.Transaction {
	transaction := wire.Transaction{}
	if token := batch[0].FencingToken; token != 0 {
		transaction.Conditions = append(transaction.Conditions, wire.Condition{Key: store.lockKey, Version: token})
	}
	for _, write := range batch {
		transaction.Conditions = append(transaction.Conditions, write.Conditions...)
		transaction.Changes = append(transaction.Changes, write.Changes...)
	}
	return transaction
}

// outcomeOfSendError is the outcome of writes for which no response came.
func outcomeOfSendError(err error) Outcome {
	var notSent *client.NotSentError
	if errors.As(err, &notSent) {
		return NotExecuted
	}
	return Unknown
}

// completeCommitted handles a 200.
func (store *Client) completeCommitted(batch []*Write, changes int, responseBody []byte) {
	var result wire.TransactionResult
	if err := result.UnmarshalJSON(responseBody); err != nil {
		store.MalformedResponses.Add(1)
		completeWrites(batch, Unknown, 0)
		return
	}
	store.changesWritten.Add(int64(changes))
	completeWrites(batch, Committed, result.Revision)
}

// completeConflicting handles a 409. All writes are fenced if the lock key is among the
// failed ones; otherwise those with a failed condition conflict, and the others are returned.
func (store *Client) completeConflicting(batch []*Write, responseBody []byte) []*Write {
	var result wire.TransactionResult
	if err := result.UnmarshalJSON(responseBody); err != nil || len(result.FailedKeys) == 0 {
		store.MalformedResponses.Add(1)
		completeWrites(batch, Unknown, 0)
		return nil
	}
	if batch[0].FencingToken != 0 && slices.Contains(result.FailedKeys, store.lockKey) {
		completeWrites(batch, Fenced, result.Revision)
		return nil
	}
	before := len(batch)
	batch = slices.DeleteFunc(batch, func(write *Write) bool {
		if !write.hasConditionOn(result.FailedKeys) {
			return false
		}
		write.Done(Conflict, result.Revision)
		return true
	})
	if len(batch) == before {
		// No write has a condition on a failed key, so the same transaction would fail again
		// and again.
		completeWrites(batch, Conflict, result.Revision)
		return nil
	}
	return batch
}

// commitSeparately handles a 400, such as for a put with an expired lease: one write that the
// store does not accept must not fail the others of its transaction, so each is sent by itself.
func (store *Client) commitSeparately(batch []*Write) {
	if len(batch) == 1 {
		completeWrites(batch, NotExecuted, 0)
		return
	}
	for _, write := range batch {
		store.requestBudget.Wait(1)
		store.commitBatch([]*Write{write})
	}
}

func completeWrites(batch []*Write, outcome Outcome, revision uint64) {
	for _, write := range batch {
		write.Done(outcome, revision)
	}
}
