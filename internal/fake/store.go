// Package fake implements the services that controllers depend on, as PROTOCOL describes them: a
// key-value store, and a cloud with workers. Tests run controllers against the fakes on loopback, or over
// a network in memory and in simulated time, and inject faults into the fakes.
package fake

import (
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"time"

	"firwood.dev/firwood/wire"
)

// Store is a fake key-value store. It keeps all data in memory.
type Store struct {
	Addr string // host:port of the store's API

	mu             sync.Mutex
	cond           *sync.Cond // wakes blocked watches on changes and faults, and at every expiryInterval
	revision       uint64
	keys           map[string]*storedValue
	changeLog      []changeRecord
	compactedAt    uint64             // the revision up to which the change log was discarded
	transactions   []wire.Transaction // applied transactions that have at least one change
	leases         map[uint64]*storeLease
	lastLeaseID    uint64
	limits         StoreLimits
	oversizedCount int // transactions rejected because they exceeded the limits
	faults         storeFaults
	done           chan struct{} // closed when the store is stopped
}

// storedValue is the value of a key with its metadata.
type storedValue struct {
	value   json.RawMessage
	version uint64 // revision of the store that wrote the value
	lease   uint64 // ID of the lease that the key is bound to, or 0 if there is none
}

// changeRecord is a change of a key, with the event that watches receive for it.
type changeRecord struct {
	key   string
	event wire.WatchEvent
}

// storeLease is a lease that has not been removed yet.
type storeLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// NewStore starts a store on loopback. The returned function stops the store.
func NewStore() (*Store, func()) { return NewStoreOnNetwork(Loopback{}) }

// StoreHost is the name of the host in a Network on which the store serves its API.
const StoreHost = "state"

// expiryInterval is how often the store checks for expired leases, and watches for their deadlines.
const expiryInterval = 20 * time.Millisecond

// NewStoreOnNetwork starts a store on a network. The returned function stops the store.
func NewStoreOnNetwork(network Network) (*Store, func()) {
	store := &Store{
		keys: map[string]*storedValue{}, leases: map[uint64]*storeLease{}, faults: storeFaults{byCaller: map[string]StoreFault{}}, done: make(chan struct{}),
	}
	store.cond = sync.NewCond(&store.mu)
	var stop func()
	store.Addr, stop = Serve(network, StoreHost, store)
	go func() {
		ticker := time.NewTicker(expiryInterval)
		defer ticker.Stop()
		for {
			select {
			case <-store.done:
				store.expireLeases()
				return
			case <-ticker.C:
				store.expireLeases()
			}
		}
	}()
	return store, func() { close(store.done); stop() }
}

// SetDown begins or ends an outage of the store. Both restart the TTL of every lease, as PROTOCOL requires
// at the end of an outage.
func (store *Store) SetDown(down bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.faults.isDown = down
	for _, lease := range store.leases {
		lease.expiresAt = time.Now().Add(lease.ttl)
	}
	store.cond.Broadcast()
}

// Compact discards the log of all changes so far. Watches from an earlier revision are then answered with 410.
func (store *Store) Compact() {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.compactedAt, store.changeLog = store.revision, nil
}

// Keys returns the sorted keys that begin with a prefix.
func (store *Store) Keys(prefix string) []string {
	store.mu.Lock()
	defer store.mu.Unlock()
	var keys []string
	for key := range store.keys {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// Value returns the value of a key, or "" if the key does not exist.
func (store *Store) Value(key string) string {
	store.mu.Lock()
	defer store.mu.Unlock()
	if stored := store.keys[key]; stored != nil {
		return string(stored.value)
	}
	return ""
}

// Transactions returns the transactions that have been applied so far and have at least one change.
func (store *Store) Transactions() []wire.Transaction {
	store.mu.Lock()
	defer store.mu.Unlock()
	return append([]wire.Transaction(nil), store.transactions...)
}

// ReapplyTransaction applies a transaction outside of any request, as when a delayed copy of it arrives.
func (store *Store) ReapplyTransaction(transaction wire.Transaction) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.applyTransaction(transaction)
}

// expireLeases removes expired leases, except in an outage, which suspends expiry, and wakes the watches.
func (store *Store) expireLeases() {
	store.mu.Lock()
	defer store.mu.Unlock()
	if !store.faults.isDown {
		for id, lease := range store.leases {
			if time.Now().After(lease.expiresAt) {
				store.removeLease(id)
			}
		}
	}
	store.cond.Broadcast() // so that watches check their deadlines
}

// removeLease removes a lease and the keys bound to it. The caller holds the lock.
func (store *Store) removeLease(id uint64) {
	delete(store.leases, id)
	for key, stored := range store.keys {
		if stored.lease == id {
			store.revision++
			delete(store.keys, key)
			store.changeLog = append(store.changeLog, changeRecord{key, wire.WatchEvent{DeleteKey: key, Version: store.revision}})
		}
	}
	store.cond.Broadcast()
}

// applyTransaction applies a transaction if all its conditions hold, and otherwise returns the keys whose
// conditions failed. If ok is false, nothing was applied because the transaction refers to a lease that
// does not exist. The caller holds the lock.
func (store *Store) applyTransaction(transaction wire.Transaction) (_ []string, ok bool) {
	for _, change := range transaction.Changes {
		if change.PutKey != "" && change.LeaseID != 0 && store.leases[change.LeaseID] == nil {
			return nil, false
		}
	}
	var failedKeys []string
	for _, condition := range transaction.Conditions {
		var version uint64 // 0 if the key does not exist
		if stored := store.keys[condition.Key]; stored != nil {
			version = stored.version
		}
		if version != condition.Version {
			failedKeys = append(failedKeys, condition.Key)
		}
	}
	if failedKeys != nil {
		return failedKeys, true
	}
	if len(transaction.Changes) > 0 {
		store.revision++
		store.transactions = append(store.transactions, transaction)
	}
	for _, change := range transaction.Changes {
		if change.DeleteKey != "" {
			delete(store.keys, change.DeleteKey)
			store.changeLog = append(store.changeLog, changeRecord{change.DeleteKey, wire.WatchEvent{DeleteKey: change.DeleteKey, Version: store.revision}})
			continue
		}
		value := append(json.RawMessage(nil), change.Value...)
		store.keys[change.PutKey] = &storedValue{value, store.revision, change.LeaseID}
		store.changeLog = append(store.changeLog, changeRecord{change.PutKey, wire.WatchEvent{PutKey: change.PutKey, Value: []byte(value), Version: store.revision}})
	}
	store.cond.Broadcast()
	return nil, true
}

func (store *Store) isClosed() bool {
	select {
	case <-store.done:
		return true
	default:
		return false
	}
}
