package fake

import (
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"firwood.dev/firwood/wire"
)

// maxKeysPerPage is the largest number of keys in a page of the key listing.
const maxKeysPerPage = 1000

// ServeHTTP serves the store's API, subject to the faults that are injected for the caller.
func (store *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	store.mu.Lock()
	defer store.mu.Unlock()
	path, caller := r.URL.Path, HostOf(r.RemoteAddr)
	if store.isRejected(caller, path) {
		writeUnavailable(w)
		return
	}
	switch {
	case path == "/kv":
		store.serveKeyPage(w, r.URL.Query())
	case strings.HasPrefix(path, "/kv/"):
		store.waitForReadDelay()
		store.serveKey(w, strings.TrimPrefix(path, "/kv/"))
	case path == "/txn":
		store.serveTransaction(w, r, store.faults.byCaller[caller])
	case path == "/grants":
		store.serveLeaseGrant(w, r)
	case strings.HasPrefix(path, "/grants/"):
		store.serveLease(w, r.Method, strings.TrimPrefix(path, "/grants/"))
	case path == "/watch":
		store.serveWatch(w, caller, r.URL.Query())
	default:
		writeJSON(w, 404, struct{}{})
	}
}

// serveKeyPage answers with one page of the keys that begin with a prefix, in order.
func (store *Store) serveKeyPage(w http.ResponseWriter, query url.Values) {
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxKeysPerPage {
		limit = maxKeysPerPage
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
}

// waitForReadDelay waits as long as a read of a single key takes. The lock is held when waitForReadDelay is
// called and when it returns, but not while it waits.
func (store *Store) waitForReadDelay() {
	delay := store.faults.readDelay
	if delay == 0 {
		return
	}
	store.mu.Unlock()
	time.Sleep(delay)
	store.mu.Lock()
}

// serveKey answers with the value of a key, or with 404 and the store's revision if the key does not exist.
func (store *Store) serveKey(w http.ResponseWriter, key string) {
	stored := store.keys[key]
	if stored == nil {
		writeJSON(w, 404, map[string]uint64{"ledger": store.revision})
		return
	}
	writeJSON(w, 200, wire.KeyValue{Key: key, Value: []byte(stored.value), Version: stored.version, LeaseID: stored.lease})
}

// serveLeaseGrant grants a new lease.
func (store *Store) serveLeaseGrant(w http.ResponseWriter, r *http.Request) {
	var lease wire.LeaseRequest
	if !readJSON(r, &lease) || lease.TTLMillis < 100 {
		writeJSON(w, 400, struct{}{})
		return
	}
	store.lastLeaseID++
	ttl := time.Duration(lease.TTLMillis) * time.Millisecond
	store.leases[store.lastLeaseID] = &storeLease{ttl, time.Now().Add(ttl)}
	writeJSON(w, 200, wire.LeaseGrant{LeaseID: store.lastLeaseID})
}

// serveLease renews a lease, or revokes it if the method is DELETE.
func (store *Store) serveLease(w http.ResponseWriter, method, path string) {
	id, err := strconv.ParseUint(strings.TrimSuffix(path, "/renew"), 10, 64)
	lease := store.leases[id]
	if err != nil || lease == nil {
		writeJSON(w, 404, struct{}{})
		return
	}
	if method == "DELETE" {
		store.removeLease(id)
	} else {
		lease.expiresAt = time.Now().Add(lease.ttl)
	}
	writeJSON(w, 200, struct{}{})
}

// serveTransaction applies a transaction, subject to the caller's fault. The lock is held.
func (store *Store) serveTransaction(w http.ResponseWriter, r *http.Request, fault StoreFault) {
	var transaction wire.Transaction
	if !readJSON(r, &transaction) {
		writeJSON(w, 400, struct{}{})
		return
	}
	if r.ContentLength > wire.MaxBodyBytes || !store.isWithinLimits(&transaction) {
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
		panic(http.ErrAbortHandler) // close the connection without a response
	case StoreWritesDelayed:
		time.AfterFunc(writeDelay, func() { store.ReapplyTransaction(transaction) })
		panic(http.ErrAbortHandler)
	}
	switch failedKeys, ok := store.applyTransaction(transaction); {
	case !ok:
		writeJSON(w, 400, wire.ErrorResponse{Error: "no such lease"})
	case failedKeys != nil:
		writeJSON(w, 409, wire.TransactionResult{Revision: store.revision, FailedKeys: failedKeys})
	default:
		writeJSON(w, 200, wire.TransactionResult{Revision: store.revision})
	}
}

// serveWatch answers once a key that begins with the prefix has changed, or blockMs milliseconds have
// passed. While the store is out of service for the caller, serveWatch keeps waiting. The lock is held
// when serveWatch is called and when it returns, but not while it waits.
func (store *Store) serveWatch(w http.ResponseWriter, caller string, query url.Values) {
	since, sinceErr := strconv.ParseUint(query.Get("since"), 10, 64)
	blockMs, blockErr := strconv.Atoi(query.Get("blockMs"))
	if sinceErr != nil || blockErr != nil {
		writeJSON(w, 400, struct{}{})
		return
	}
	if since < store.compactedAt {
		writeJSON(w, 410, struct{}{})
		return
	}
	deadline, prefix := time.Now().Add(time.Duration(blockMs)*time.Millisecond), query.Get("under")
	for !store.isClosed() {
		response := wire.WatchResponse{Revision: store.revision, Events: []wire.WatchEvent{}}
		first := sort.Search(len(store.changeLog), func(i int) bool { return store.changeLog[i].event.Version > since })
		for _, record := range store.changeLog[first:] {
			if strings.HasPrefix(record.key, prefix) {
				response.Events = append(response.Events, record.event)
			}
		}
		if store.faults.byCaller[caller] == StoreReadsRejected {
			writeUnavailable(w)
			return
		}
		if !store.isOutOfService(caller) && (len(response.Events) > 0 || !time.Now().Before(deadline)) {
			writeJSON(w, 200, response)
			return
		}
		store.cond.Wait()
	}
}
