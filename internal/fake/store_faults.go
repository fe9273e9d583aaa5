package fake

import (
	"slices"
	"strings"
	"time"

	"firwood.dev/firwood/wire"
)

// StoreFault is how the service treats one caller.
type StoreFault uint8

const (
	// StoreHealthy: as usual.
	StoreHealthy StoreFault = iota
	// StoreRequestsRejected: each request gets 503, open watches wait.
	StoreRequestsRejected
	// StoreRepliesLost: transactions are carried out, their answers are lost.
	StoreRepliesLost
	// StoreReadsRejected: reads and watches get 503, the rest is served.
	StoreReadsRejected
	// StoreWritesDelayed: transactions get no answer and are carried out writeDelay later.
	StoreWritesDelayed
	// StoreRenewalsRejected: leases are neither granted nor renewed, the rest is served.
	StoreRenewalsRejected
)

// storeFaults are the faults injected into a store.
type storeFaults struct {
	isDown        bool                  // an outage for every caller
	byCaller      map[string]StoreFault // of single callers, by host
	delayedPrefix string                // writes to keys below it are delayed, whoever sends them; empty: none
}

// writeDelay is how late transactions are carried out that are to be late.
const writeDelay = 5 * time.Second

// SetFault sets how the service treats a caller.
func (store *Store) SetFault(host string, fault StoreFault) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.faults.byCaller[host] = fault
	store.cond.Broadcast()
}

// SetDelayedPrefix has transactions that write a key below a prefix get no answer and be
// carried out late, whoever sends them; an empty prefix ends that.
func (store *Store) SetDelayedPrefix(prefix string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.faults.delayedPrefix = prefix
}

// isOutOfService tells whether a caller gets nothing from the store: in an outage, or with its
// requests rejected. The lock is held.
func (store *Store) isOutOfService(caller string) bool {
	return store.faults.isDown || store.faults.byCaller[caller] == StoreRequestsRejected
}

// isRejected tells whether a request to a path gets 503. The lock is held.
func (store *Store) isRejected(caller, path string) bool {
	if store.isOutOfService(caller) {
		return true
	}
	switch store.faults.byCaller[caller] {
	case StoreReadsRejected:
		return strings.HasPrefix(path, "/kv") || path == "/watch"
	case StoreRenewalsRejected:
		return strings.HasPrefix(path, "/grants")
	default:
		return false
	}
}

// isDelayed tells whether a transaction is to be carried out late. The lock is held.
func (store *Store) isDelayed(transaction *wire.Transaction) bool {
	if store.faults.delayedPrefix == "" {
		return false
	}
	return slices.ContainsFunc(transaction.Changes, func(change wire.Change) bool {
		return strings.HasPrefix(change.PutKey+change.DeleteKey, store.faults.delayedPrefix)
	})
}

// StoreLimits bound what the service takes; 0 is no bound.
type StoreLimits struct{ ValueBytes, TxnOps int }

// SetLimits sets the bounds from now on; what is stored stays readable.
func (store *Store) SetLimits(limits StoreLimits) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.limits = limits
}

// OversizedCount counts the transactions refused for their size.
func (store *Store) OversizedCount() int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.oversizedCount
}

// isWithinLimits tells whether a transaction is within the limits. The lock is held.
func (store *Store) isWithinLimits(transaction *wire.Transaction) bool {
	if store.limits.TxnOps > 0 && (len(transaction.Changes) > store.limits.TxnOps || len(transaction.Conditions) > 4*store.limits.TxnOps) {
		return false
	}
	for _, change := range transaction.Changes {
		if store.limits.ValueBytes > 0 && len(change.Value) > store.limits.ValueBytes {
			return false
		}
	}
	return true
}
