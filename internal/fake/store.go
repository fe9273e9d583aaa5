// Package fake implements the services that controllers depend on: a key-value store and a
// cloud with workers, written from PROTOCOL. Tests run controllers against them on loopback,
// or over a network in memory and in simulated time, and inject faults into them.
package fake

import (
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"time"

	"firwood.dev/firwood/wire"
)

// Store is a key-value store in memory.
type Store struct {
	Addr string // host:port of its interface

	mu             sync.Mutex
	cond           *sync.Cond // wakes watches: on changes, faults, and every expiryInterval
	revision       uint64
	keys           map[string]*storedValue
	changeLog      []changeRecord
	transactions   []wire.Transaction // all that were applied and changed something
	leases         map[uint64]*storeLease
	lastLeaseID    uint64
	limits         StoreLimits
	oversizedCount int // transactions rejected for their size
	faults         storeFaults
	done           chan struct{}
}

// storedValue is what the store keeps of a key.
type storedValue struct {
	value   json.RawMessage
	version uint64 // the revision that wrote it
	lease   uint64 // 0: none
}

// changeRecord is a change as watches get it.
type changeRecord struct {
	key   string
	event wire.WatchEvent
}

// storeLease is a lease that has not expired yet.
type storeLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// NewStore starts a store on loopback; the function stops it.
func NewStore() (*Store, func()) { return NewStoreOnNetwork(Loopback{}) }

// StoreHost is the host of the store in a network.
const StoreHost = "state"

// expiryInterval is how often expired leases and watches whose time is over are looked for.
const expiryInterval = 20 * time.Millisecond

// NewStoreOnNetwork starts a store on a network; the function stops it.
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

// SetDown begins or ends an outage. Either gives every lease its whole TTL again, as PROTOCOL
// has it at the end of an outage.
func (store *Store) SetDown(down bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.faults.isDown = down
	for _, lease := range store.leases {
		lease.expiresAt = time.Now().Add(lease.ttl)
	}
	store.cond.Broadcast()
}

// Keys lists the keys below a prefix.
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

// Value is the value of a key, empty if the key does not exist.
func (store *Store) Value(key string) string {
	store.mu.Lock()
	defer store.mu.Unlock()
	if stored := store.keys[key]; stored != nil {
		return string(stored.value)
	}
	return ""
}

// Transactions are the transactions that were applied so far and changed something.
func (store *Store) Transactions() []wire.Transaction {
	store.mu.Lock()
	defer store.mu.Unlock()
	return append([]wire.Transaction(nil), store.transactions...)
}

// ReapplyTransaction applies a transaction again, as a delayed copy would be.
func (store *Store) ReapplyTransaction(transaction wire.Transaction) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.applyTransaction(transaction)
}

// expireLeases removes expired leases, which an outage suspends, and wakes the watches.
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
	store.cond.Broadcast() // watches check their deadlines
}

// removeLease removes a lease and the keys bound to it. The lock is held.
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

// applyTransaction applies a transaction, or returns the keys whose conditions failed; not ok
// means that a lease of it does not exist. The lock is held.
func (store *Store) applyTransaction(transaction wire.Transaction) (_ []string, ok bool) {
	for _, change := range transaction.Changes {
		if change.PutKey != "" && change.LeaseID != 0 && store.leases[change.LeaseID] == nil {
			return nil, false
		}
	}
	var failedKeys []string
	for _, condition := range transaction.Conditions {
		var version uint64 // 0: there is no such key
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
