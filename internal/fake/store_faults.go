package fake

import (
	"slices"
	"strings"
	"time"

	"firwood.dev/firwood/wire"
)

// StoreFault is a fault of the store that a test injects for a single caller.
type StoreFault uint8

// The faults of the store for a caller.
const (
	// StoreHealthy is the absence of a fault.
	StoreHealthy StoreFault = iota
	// StoreRequestsRejected answers every request with 503. Watches that are already open stay blocked.
	StoreRequestsRejected
	// StoreRepliesLost applies transactions but loses their replies.
	StoreRepliesLost
	// StoreReadsRejected answers reads and watches, also open ones, with 503 and serves all other requests.
	StoreReadsRejected
	// StoreWritesDelayed leaves transactions without a reply and applies them after writeDelay.
	StoreWritesDelayed
	// StoreRenewalsRejected answers requests to grant, renew or revoke a lease with 503 and serves all
	// other requests.
	StoreRenewalsRejected
)

// String returns the name of the fault, as it appears in test names and messages.
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

// storeFaults holds the faults that are injected into a store.
type storeFaults struct {
	isDown        bool                  // whether the store is in an outage, for every caller
	byCaller      map[string]StoreFault // faults for single callers, by host
	delayedPrefix string                // prefix of keys whose writes are delayed for every caller; none if empty
	readDelay     time.Duration         // time that each read of a single key takes, for every caller
}

// writeDelay is the delay with which delayed transactions are applied.
const writeDelay = 5 * time.Second

// SetFault replaces the fault for a caller. StoreHealthy ends the current fault.
func (store *Store) SetFault(host string, fault StoreFault) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.faults.byCaller[host] = fault
	store.cond.Broadcast()
}

// SetDelayedPrefix delays the transactions of all callers that write a key with a prefix, as
// StoreWritesDelayed does. An empty prefix ends the delay.
func (store *Store) SetDelayedPrefix(prefix string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.faults.delayedPrefix = prefix
}

// SetReadDelay makes each later read of a single key take a duration, for every caller. Reads of pages of
// keys and watches are not delayed. 0 ends the delay.
func (store *Store) SetReadDelay(delay time.Duration) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.faults.readDelay = delay
}

// isOutOfService reports whether the store rejects every request of a caller, because of an outage or of
// StoreRequestsRejected. The caller of the method holds the lock.
func (store *Store) isOutOfService(caller string) bool {
	return store.faults.isDown || store.faults.byCaller[caller] == StoreRequestsRejected
}

// isRejected reports whether a request of a caller to a path is answered with 503. The caller of the
// method holds the lock.
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

// isDelayed reports whether a transaction writes a key that begins with the delayed prefix. The caller
// holds the lock.
func (store *Store) isDelayed(transaction *wire.Transaction) bool {
	if store.faults.delayedPrefix == "" {
		return false
	}
	return slices.ContainsFunc(transaction.Changes, func(change wire.Change) bool {
		return strings.HasPrefix(change.PutKey+change.DeleteKey, store.faults.delayedPrefix)
	})
}

// StoreLimits bounds the size of transactions. A limit of 0 means that there is no bound.
type StoreLimits struct {
	MaxValueBytes int // size of each value that a transaction puts
	MaxChanges    int // changes in a transaction, which may have four times as many conditions
}

// SetLimits sets the limits for future transactions. Stored values above them stay readable.
func (store *Store) SetLimits(limits StoreLimits) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.limits = limits
}

// OversizedCount returns how many transactions were rejected because they exceeded the limits.
func (store *Store) OversizedCount() int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.oversizedCount
}

// isWithinLimits reports whether a transaction is within the limits. The caller holds the lock.
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
