package fake

import (
	"slices"
	"strings"
	"time"

	"firwood.dev/firwood/wire"
)

// StoreFault is a fault of the store towards one caller, injected by a test.
type StoreFault uint8

// The faults of the store towards a caller.
const (
	// StoreHealthy is the absence of a fault.
	StoreHealthy StoreFault = iota
	// StoreRequestsRejected has each request answered with 503; open watches wait.
	StoreRequestsRejected
	// StoreRepliesLost has transactions applied and their replies lost.
	StoreRepliesLost
	// StoreReadsRejected has reads and watches answered with 503; the rest is served.
	StoreReadsRejected
	// StoreWritesDelayed has transactions get no reply and applied writeDelay later.
	StoreWritesDelayed
	// StoreRenewalsRejected has leases neither granted nor renewed nor revoked; the rest is
	// served.
	StoreRenewalsRejected
)

// String is the fault's name in test names and messages.
func (fault StoreFault) String() string {
	switch fault {
	case StoreHealthy:
		return "healthy"
	case StoreRequestsRejected:
		return "requests_rejected"
	case StoreRepliesLost:
		return "replies_lost"
	case StoreReadsRejected:
		return "reads_rejected"
	case StoreWritesDelayed:
		return "writes_delayed"
	case StoreRenewalsRejected:
		return "renewals_rejected"
	default:
		return "unknown"
	}
}

// storeFaults are the faults injected into a store.
type storeFaults struct {
	isDown        bool                  // an outage for every caller
	byCaller      map[string]StoreFault // of single callers, by host
	delayedPrefix string                // writes to keys below it are delayed, whoever sends them; empty: none
}

// writeDelay is how late delayed transactions are applied.
const writeDelay = 5 * time.Second

// SetFault sets the fault towards a caller, in place of any other; StoreHealthy ends it.
func (store *Store) SetFault(host string, fault StoreFault) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.faults.byCaller[host] = fault
	store.cond.Broadcast()
}

// SetDelayedPrefix delays transactions that write a key below a prefix, as StoreWritesDelayed
// does, whoever sends them; an empty prefix ends that.
func (store *Store) SetDelayedPrefix(prefix string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.faults.delayedPrefix = prefix
}

// isOutOfService reports whether a caller gets nothing from the store: in an outage, or with its
// requests rejected. The lock is held.
func (store *Store) isOutOfService(caller string) bool {
	return store.faults.isDown || store.faults.byCaller[caller] == StoreRequestsRejected
}

// isRejected reports whether a request to a path gets 503. The lock is held.
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

// isDelayed reports whether a transaction writes a key below the delayed prefix. The lock is held.
func (store *Store) isDelayed(transaction *wire.Transaction) bool {
	if store.faults.delayedPrefix == "" {
		return false
	}
	return slices.ContainsFunc(transaction.Changes, func(change wire.Change) bool {
		return strings.HasPrefix(change.PutKey+change.DeleteKey, store.faults.delayedPrefix)
	})
}

// StoreLimits bound transactions; 0 is no bound.
type StoreLimits struct {
	MaxValueBytes int // of each value that is put
	MaxChanges    int // changes of a transaction; it may have four times as many conditions
}

// SetLimits sets the limits from now on; what is stored stays readable.
func (store *Store) SetLimits(limits StoreLimits) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.limits = limits
}

// OversizedCount is how many transactions were rejected for their size.
func (store *Store) OversizedCount() int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.oversizedCount
}

// isWithinLimits reports whether a transaction is within the limits. The lock is held.
func (store *Store) isWithinLimits(transaction *wire.Transaction) bool {
	if store.limits.MaxChanges > 0 && (len(transaction.Changes) > store.limits.MaxChanges || len(transaction.Conditions) > 4*store.limits.MaxChanges) {
		return false
	}
	for _, change := range transaction.Changes {
		if store.limits.MaxValueBytes > 0 && len(change.Value) > store.limits.MaxValueBytes {
			return false
		}
	}
	return true
}
