package kvstore

import (
	"errors"
	"slices"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// maxTransactionBytes leaves room for the frame of a transaction under 64 KiB.
const maxTransactionBytes = 56 << 10

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
