package kvstore

import (
	"errors"
	"slices"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// maxTransactionBytes bounds the sum of the writes' sizeBytes. The rest of the store's limit of
// 64 KiB per transaction (PROTOCOL, POST /txn) is for what sizeBytes does not include: the JSON around
// the two lists, the condition on the lock key, and the error of the estimate.
const maxTransactionBytes = 56 << 10

// runSender sends one transaction after another until no queued write may be sent. It runs on a
// goroutine of its own; startSender starts at most maxSenders of these.
func (store *Client) runSender() {
	for {
		// Wait for the rates before choosing the batch, so that writes queued meanwhile can join it.
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

// commitBatch sends writes with the same fencing token until each is completed: first in one
// transaction, then, after a conflict or a 429, the remaining ones in another. A write without
// Deadline is retried after each 429, without a limit on the number of retries.
func (store *Client) commitBatch(batch []*Write) {
	for {
		batch = completeExpired(batch)
		if len(batch) == 0 {
			return
		}
		batch = store.sendTransaction(batch)
	}
}

// completeExpired completes the writes whose Deadline has passed with NotExecuted and returns the others.
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

// sendTransaction sends the writes in one transaction and completes those whose outcome is then
// known or can no longer be known. It returns the others, which are to be sent again.
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
	case statusServiceUnavailable:
		completeWrites(batch, NotExecuted, 0)
		return nil
	default: // PROTOCOL defines no other status, so it doesn't say that nothing was executed
		completeWrites(batch, Unknown, 0)
		return nil
	}
}

// buildTransaction joins the writes' conditions and changes. If the writes have a fencing token, it
// adds the condition that the token is the lock key's version.
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

// outcomeOfSendError returns the outcome of writes whose transaction got no response.
func outcomeOfSendError(err error) Outcome {
	var notSent *client.NotSentError
	if errors.As(err, &notSent) {
		return NotExecuted
	}
	return Unknown
}

// completeCommitted handles a 200: it completes all writes.
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

// completeConflicting handles a 409. If the lock key is among the failed keys, all writes are
// completed as Fenced. Otherwise the writes with a failed condition are completed as Conflict, and
// the others are returned.
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
		// No write has a condition on a failed key, so the same transaction would fail again each time.
		completeWrites(batch, Conflict, result.Revision)
		return nil
	}
	return batch
}

// commitSeparately handles a 400, for example for a put with an expired lease. One write that the
// store does not accept must not fail the others of its transaction, so each write is sent in a
// transaction of its own.
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
