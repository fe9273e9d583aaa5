// Package fake owns our own stand-ins of the outside world: a state
// service, a cloud and its workers, written from the published protocol, for
// tests that run controllers on loopback, or in memory and simulated time.
package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"firwood.dev/firwood/wire"
)

// Store is a state service in memory.
type Store struct {
	Addr string

	mu             sync.Mutex
	cond           *sync.Cond
	revision       uint64
	keys           map[string]*storedValue
	changeLog      []changeRecord
	leases         map[uint64]*storeLease
	lastLeaseID    uint64
	isDown         bool
	transactions   []wire.Transaction // all that were carried out
	limits         StoreLimits
	oversizedCount int // requests refused for their size
	// faultByCaller are those of single callers, by host; delayedPrefix is that of keys whose
	// writes get no answer and are carried out late, empty if there is none.
	faultByCaller map[string]StoreFault
	delayedPrefix string
	done          chan struct{}
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

// writeDelay is how late transactions are carried out that are to be late.
const writeDelay = 5 * time.Second

// SetFault sets how the service treats a caller.
func (store *Store) SetFault(host string, fault StoreFault) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.faultByCaller[host] = fault
	store.cond.Broadcast()
}

// SetDelayedPrefix has transactions that write a key below a prefix get no answer and be
// carried out late, whoever sends them; an empty prefix ends that.
func (store *Store) SetDelayedPrefix(prefix string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.delayedPrefix = prefix
}

// isDelayed tells whether a transaction is to be carried out late. The lock is held.
func (store *Store) isDelayed(transaction *wire.Transaction) bool {
	if store.delayedPrefix == "" {
		return false
	}
	return slices.ContainsFunc(transaction.Changes, func(change wire.Change) bool {
		return strings.HasPrefix(change.PutKey+change.DeleteKey, store.delayedPrefix)
	})
}

type storedValue struct {
	value   json.RawMessage
	version uint64
	lease   uint64
}

type changeRecord struct {
	key   string
	event wire.WatchEvent
}

type storeLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Write(b) //nolint:errcheck // the peer may be gone
}

func readJSON(r *http.Request, v any) bool {
	b, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	return err == nil && json.Unmarshal(b, v) == nil
}

// NewStore starts a state service on loopback; the function ends it.
func NewStore() (*Store, func()) { return NewStoreOnNetwork(Loopback{}) }

// StoreHost is the host of the state service.
const StoreHost = "state"

// expiryInterval is how often leases and long polls are looked at.
const expiryInterval = 20 * time.Millisecond

// NewStoreOnNetwork starts a state service on a network; the function ends it.
func NewStoreOnNetwork(network Network) (*Store, func()) {
	store := &Store{
		keys: map[string]*storedValue{}, leases: map[uint64]*storeLease{}, faultByCaller: map[string]StoreFault{}, done: make(chan struct{}),
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

// SetDown begins or ends an outage; after it every lease has its time again.
func (store *Store) SetDown(down bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.isDown = down
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

// Value is what a key holds, empty if there is none.
func (store *Store) Value(key string) string {
	store.mu.Lock()
	defer store.mu.Unlock()
	if stored := store.keys[key]; stored != nil {
		return string(stored.value)
	}
	return ""
}

// Transactions are those that were carried out so far.
func (store *Store) Transactions() []wire.Transaction {
	store.mu.Lock()
	defer store.mu.Unlock()
	return append([]wire.Transaction(nil), store.transactions...)
}

// ReapplyTransaction carries a transaction out again, as a copy that comes late would be.
func (store *Store) ReapplyTransaction(transaction wire.Transaction) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.applyTransaction(transaction)
}

func (store *Store) expireLeases() {
	store.mu.Lock()
	defer store.mu.Unlock()
	if !store.isDown {
		for id, lease := range store.leases {
			if time.Now().After(lease.expiresAt) {
				store.removeLease(id)
			}
		}
	}
	store.cond.Broadcast() // long polls look at their time
}

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

func (store *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	store.mu.Lock()
	defer store.mu.Unlock()
	query := r.URL.Query()
	path := r.URL.Path
	caller := HostOf(r.RemoteAddr)
	if store.isDown || store.faultByCaller[caller] == StoreRequestsRejected {
		writeJSON(w, 503, wire.ErrorResponse{Error: "trouble"})
		return
	}
	switch {
	case store.faultByCaller[caller] == StoreReadsRejected && (strings.HasPrefix(path, "/kv") || path == "/watch"):
		writeJSON(w, 503, wire.ErrorResponse{Error: "trouble"})
	case store.faultByCaller[caller] == StoreRenewalsRejected && strings.HasPrefix(path, "/grants"):
		writeJSON(w, 503, wire.ErrorResponse{Error: "trouble"})
	case path == "/kv":
		limit, err := strconv.Atoi(query.Get("limit"))
		if err != nil || limit > 1000 {
			limit = 1000
		}
		var names []string
		for key := range store.keys {
			if strings.HasPrefix(key, query.Get("under")) && key > query.Get("since") {
				names = append(names, key)
			}
		}
		sort.Strings(names)
		page := wire.KeyPage{Revision: store.revision, KeyValues: []wire.KeyValue{}}
		for _, key := range names {
			if len(page.KeyValues) == limit {
				page.HasMore = true
				break
			}
			page.KeyValues = append(page.KeyValues, wire.KeyValue{Key: key, Value: []byte(store.keys[key].value), Version: store.keys[key].version})
		}
		writeJSON(w, 200, page)
	case strings.HasPrefix(path, "/kv/"):
		stored := store.keys[path[4:]]
		if stored == nil {
			writeJSON(w, 404, map[string]uint64{"ledger": store.revision})
			return
		}
		writeJSON(w, 200, wire.KeyValue{Key: path[4:], Value: []byte(stored.value), Version: stored.version, LeaseID: stored.lease})
	case path == "/txn":
		store.serveTransaction(w, r, store.faultByCaller[caller])
	case path == "/grants":
		var lease wire.LeaseRequest
		if !readJSON(r, &lease) || lease.TTLMillis < 100 {
			writeJSON(w, 400, struct{}{})
			return
		}
		store.lastLeaseID++
		ttl := time.Duration(lease.TTLMillis) * time.Millisecond
		store.leases[store.lastLeaseID] = &storeLease{ttl, time.Now().Add(ttl)}
		writeJSON(w, 200, wire.LeaseGrant{LeaseID: store.lastLeaseID})
	case strings.HasPrefix(path, "/grants/"):
		id, err := strconv.ParseUint(strings.TrimSuffix(path[len("/grants/"):], "/renew"), 10, 64)
		lease := store.leases[id]
		if err != nil || lease == nil {
			writeJSON(w, 404, struct{}{})
			return
		}
		if r.Method == "DELETE" {
			store.removeLease(id)
		} else {
			lease.expiresAt = time.Now().Add(lease.ttl)
		}
		writeJSON(w, 200, struct{}{})
	case path == "/watch":
		store.serveWatch(w, caller, query)
	default:
		writeJSON(w, 404, struct{}{})
	}
}

func (store *Store) serveTransaction(w http.ResponseWriter, r *http.Request, fault StoreFault) {
	var transaction wire.Transaction
	if !readJSON(r, &transaction) {
		writeJSON(w, 400, struct{}{})
		return
	}
	if !store.isWithinLimits(&transaction) {
		store.oversizedCount++
		writeJSON(w, 400, wire.ErrorResponse{Error: "too large"})
		return
	}
	if store.isDelayed(&transaction) {
		fault = StoreWritesDelayed
	}
	switch fault {
	case StoreRepliesLost:
		store.applyTransaction(transaction)
		panic(http.ErrAbortHandler) // the connection ends without an answer
	case StoreWritesDelayed:
		time.AfterFunc(writeDelay, func() { store.ReapplyTransaction(transaction) })
		panic(http.ErrAbortHandler)
	}
	switch failed, ok := store.applyTransaction(transaction); {
	case !ok:
		writeJSON(w, 400, wire.ErrorResponse{Error: "no such lease"})
	case failed != nil:
		writeJSON(w, 409, wire.TransactionResult{Revision: store.revision, FailedKeys: failed})
	default:
		writeJSON(w, 200, wire.TransactionResult{Revision: store.revision})
	}
}

// applyTransaction carries a transaction out, or tells which conditions failed; not ok means
// that a lease is gone. The lock is held.
func (store *Store) applyTransaction(transaction wire.Transaction) (_ []string, ok bool) {
	for _, change := range transaction.Changes {
		if change.PutKey != "" && change.LeaseID != 0 && store.leases[change.LeaseID] == nil {
			return nil, false
		}
	}
	var failed []string
	for _, condition := range transaction.Conditions {
		var value uint64
		if stored := store.keys[condition.Key]; stored != nil {
			value = stored.version
		}
		if value != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	if failed != nil {
		return failed, true
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

// serveWatch answers once a key has changed, or the time is over. In an outage it waits.
func (store *Store) serveWatch(w http.ResponseWriter, caller string, query url.Values) {
	since, err1 := strconv.ParseUint(query.Get("since"), 10, 64)
	blockMs, err2 := strconv.Atoi(query.Get("blockMs"))
	if err1 != nil || err2 != nil {
		writeJSON(w, 400, struct{}{})
		return
	}
	deadline, prefix := time.Now().Add(time.Duration(blockMs)*time.Millisecond), query.Get("under")
	for !store.isClosed() {
		answer := wire.WatchResponse{Revision: store.revision, Events: []wire.WatchEvent{}}
		first := sort.Search(len(store.changeLog), func(i int) bool { return store.changeLog[i].event.Version > since })
		for _, record := range store.changeLog[first:] {
			if strings.HasPrefix(record.key, prefix) {
				answer.Events = append(answer.Events, record.event)
			}
		}
		if store.faultByCaller[caller] == StoreReadsRejected {
			writeJSON(w, 503, wire.ErrorResponse{Error: "trouble"})
			return
		}
		isRejected := store.isDown || store.faultByCaller[caller] == StoreRequestsRejected
		if !isRejected && (len(answer.Events) > 0 || !time.Now().Before(deadline)) {
			writeJSON(w, 200, answer)
			return
		}
		store.cond.Wait()
	}
}

func (store *Store) isClosed() bool {
	select {
	case <-store.done:
		return true
	default:
		return false
	}
}
