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

// State is a state service in memory.
type State struct {
	Addr string

	mu       sync.Mutex
	cond     *sync.Cond
	rev      uint64
	keys     map[string]*entry
	log      []logged
	leases   map[uint64]*grant
	next     uint64
	down     bool
	txns     []wire.Transaction // all that were carried out
	limits   StateLimits
	tooLarge int // requests refused for their size
	// faults are those of single callers, by host; latePrefix is that of keys whose
	// writes get no answer and are carried out late, empty if there is none.
	faults     map[string]StateFault
	latePrefix string
	done       chan struct{}
}

// StateLimits bound what the service takes; 0 is no bound.
type StateLimits struct{ ValueBytes, TxnOps int }

// SetLimits sets the bounds from now on; what is stored stays readable.
func (s *State) SetLimits(limits StateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
}

// TooLarge counts the transactions refused for their size.
func (s *State) TooLarge() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tooLarge
}

// fits tells whether a transaction is within the limits. The lock is held.
func (s *State) fits(t *wire.Transaction) bool {
	if s.limits.TxnOps > 0 && (len(t.Changes) > s.limits.TxnOps || len(t.Conditions) > 4*s.limits.TxnOps) {
		return false
	}
	for _, c := range t.Changes {
		if s.limits.ValueBytes > 0 && len(c.Value) > s.limits.ValueBytes {
			return false
		}
	}
	return true
}

// StateFault is how the service treats one caller.
type StateFault uint8

const (
	// Served: as usual.
	Served StateFault = iota
	// Refused: each request gets 503, open watches wait.
	Refused
	// AnswersLost: transactions are carried out, their answers are lost.
	AnswersLost
	// ReadsRefused: reads and watches get 503, the rest is served.
	ReadsRefused
	// CarriedOutLate: transactions get no answer and are carried out lateBy later.
	CarriedOutLate
	// RenewalsRefused: leases are neither granted nor renewed, the rest is served.
	RenewalsRefused
)

// lateBy is how late transactions are carried out that are to be late.
const lateBy = 5 * time.Second

// SetFault sets how the service treats a caller.
func (s *State) SetFault(host string, f StateFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[host] = f
	s.cond.Broadcast()
}

// SetLate has transactions that write a key below a prefix get no answer and be
// carried out late, whoever sends them; an empty prefix ends that.
func (s *State) SetLate(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latePrefix = prefix
}

// isLate tells whether a transaction is to be carried out late. The lock is held.
func (s *State) isLate(t *wire.Transaction) bool {
	if s.latePrefix == "" {
		return false
	}
	return slices.ContainsFunc(t.Changes, func(c wire.Change) bool { return strings.HasPrefix(c.PutKey+c.DeleteKey, s.latePrefix) })
}

type entry struct {
	value   json.RawMessage
	version uint64
	lease   uint64
}

type logged struct {
	key   string
	event wire.WatchEvent
}

type grant struct {
	ttl  time.Duration
	ends time.Time
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Write(b) //nolint:errcheck // the peer may be gone
}

func read(r *http.Request, v any) bool {
	b, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	return err == nil && json.Unmarshal(b, v) == nil
}

// NewState starts a state service on loopback; the function ends it.
func NewState() (*State, func()) { return NewStateOn(Loopback{}) }

// StateHost is the host of the state service.
const StateHost = "state"

// expireEvery is how often leases and long polls are looked at.
const expireEvery = 20 * time.Millisecond

// NewStateOn starts a state service on a network; the function ends it.
func NewStateOn(n Network) (*State, func()) {
	s := &State{
		keys: map[string]*entry{}, leases: map[uint64]*grant{}, faults: map[string]StateFault{}, done: make(chan struct{}),
	}
	s.cond = sync.NewCond(&s.mu)
	var stop func()
	s.Addr, stop = Serve(n, StateHost, s)
	go func() {
		ticker := time.NewTicker(expireEvery)
		defer ticker.Stop()
		for {
			select {
			case <-s.done:
				s.expire()
				return
			case <-ticker.C:
				s.expire()
			}
		}
	}()
	return s, func() { close(s.done); stop() }
}

// SetDown begins or ends an outage; after it every lease has its time again.
func (s *State) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for _, g := range s.leases {
		g.ends = time.Now().Add(g.ttl)
	}
	s.cond.Broadcast()
}

// Keys lists the keys below a prefix.
func (s *State) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// Value is what a key holds, empty if there is none.
func (s *State) Value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.keys[key]; e != nil {
		return string(e.value)
	}
	return ""
}

// Transactions are those that were carried out so far.
func (s *State) Transactions() []wire.Transaction {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]wire.Transaction(nil), s.txns...)
}

// Repeat carries a transaction out again, as a copy that comes late would be.
func (s *State) Repeat(t wire.Transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.carry(t)
}

func (s *State) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		for id, g := range s.leases {
			if time.Now().After(g.ends) {
				s.endLease(id)
			}
		}
	}
	s.cond.Broadcast() // long polls look at their time
}

func (s *State) endLease(id uint64) {
	delete(s.leases, id)
	for k, e := range s.keys {
		if e.lease == id {
			s.rev++
			delete(s.keys, k)
			s.log = append(s.log, logged{k, wire.WatchEvent{DeleteKey: k, Version: s.rev}})
		}
	}
	s.cond.Broadcast()
}

func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	path := r.URL.Path
	caller := CallerOf(r.RemoteAddr)
	if s.down || s.faults[caller] == Refused {
		reply(w, 503, wire.ErrorResponse{Error: "trouble"})
		return
	}
	switch {
	case s.faults[caller] == ReadsRefused && (strings.HasPrefix(path, "/kv") || path == "/watch"):
		reply(w, 503, wire.ErrorResponse{Error: "trouble"})
	case s.faults[caller] == RenewalsRefused && strings.HasPrefix(path, "/grants"):
		reply(w, 503, wire.ErrorResponse{Error: "trouble"})
	case path == "/kv":
		limit, err := strconv.Atoi(q.Get("limit"))
		if err != nil || limit > 1000 {
			limit = 1000
		}
		var names []string
		for k := range s.keys {
			if strings.HasPrefix(k, q.Get("under")) && k > q.Get("since") {
				names = append(names, k)
			}
		}
		sort.Strings(names)
		p := wire.KeyPage{Revision: s.rev, KeyValues: []wire.KeyValue{}}
		for _, k := range names {
			if len(p.KeyValues) == limit {
				p.HasMore = true
				break
			}
			p.KeyValues = append(p.KeyValues, wire.KeyValue{Key: k, Value: []byte(s.keys[k].value), Version: s.keys[k].version})
		}
		reply(w, 200, p)
	case strings.HasPrefix(path, "/kv/"):
		e := s.keys[path[4:]]
		if e == nil {
			reply(w, 404, map[string]uint64{"ledger": s.rev})
			return
		}
		reply(w, 200, wire.KeyValue{Key: path[4:], Value: []byte(e.value), Version: e.version, LeaseID: e.lease})
	case path == "/txn":
		s.txn(w, r, s.faults[caller])
	case path == "/grants":
		var g wire.LeaseRequest
		if !read(r, &g) || g.TTLMillis < 100 {
			reply(w, 400, struct{}{})
			return
		}
		s.next++
		ttl := time.Duration(g.TTLMillis) * time.Millisecond
		s.leases[s.next] = &grant{ttl, time.Now().Add(ttl)}
		reply(w, 200, wire.LeaseGrant{LeaseID: s.next})
	case strings.HasPrefix(path, "/grants/"):
		id, err := strconv.ParseUint(strings.TrimSuffix(path[len("/grants/"):], "/renew"), 10, 64)
		g := s.leases[id]
		if err != nil || g == nil {
			reply(w, 404, struct{}{})
			return
		}
		if r.Method == "DELETE" {
			s.endLease(id)
		} else {
			g.ends = time.Now().Add(g.ttl)
		}
		reply(w, 200, struct{}{})
	case path == "/watch":
		s.watch(w, caller, q)
	default:
		reply(w, 404, struct{}{})
	}
}

func (s *State) txn(w http.ResponseWriter, r *http.Request, fault StateFault) {
	var t wire.Transaction
	if !read(r, &t) {
		reply(w, 400, struct{}{})
		return
	}
	if !s.fits(&t) {
		s.tooLarge++
		reply(w, 400, wire.ErrorResponse{Error: "too large"})
		return
	}
	if s.isLate(&t) {
		fault = CarriedOutLate
	}
	switch fault {
	case AnswersLost:
		s.carry(t)
		panic(http.ErrAbortHandler) // the connection ends without an answer
	case CarriedOutLate:
		time.AfterFunc(lateBy, func() { s.Repeat(t) })
		panic(http.ErrAbortHandler)
	}
	switch failed, ok := s.carry(t); {
	case !ok:
		reply(w, 400, wire.ErrorResponse{Error: "no such lease"})
	case failed != nil:
		reply(w, 409, wire.TransactionResult{Revision: s.rev, FailedKeys: failed})
	default:
		reply(w, 200, wire.TransactionResult{Revision: s.rev})
	}
}

// carry carries a transaction out, or tells which conditions failed; not ok means
// that a lease is gone. The lock is held.
func (s *State) carry(t wire.Transaction) (_ []string, ok bool) {
	for _, c := range t.Changes {
		if c.PutKey != "" && c.LeaseID != 0 && s.leases[c.LeaseID] == nil {
			return nil, false
		}
	}
	var failed []string
	for _, c := range t.Conditions {
		var v uint64
		if e := s.keys[c.Key]; e != nil {
			v = e.version
		}
		if v != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return failed, true
	}
	if len(t.Changes) > 0 {
		s.rev++
		s.txns = append(s.txns, t)
	}
	for _, c := range t.Changes {
		if c.DeleteKey != "" {
			delete(s.keys, c.DeleteKey)
			s.log = append(s.log, logged{c.DeleteKey, wire.WatchEvent{DeleteKey: c.DeleteKey, Version: s.rev}})
			continue
		}
		v := append(json.RawMessage(nil), c.Value...)
		s.keys[c.PutKey] = &entry{v, s.rev, c.LeaseID}
		s.log = append(s.log, logged{c.PutKey, wire.WatchEvent{PutKey: c.PutKey, Value: []byte(v), Version: s.rev}})
	}
	s.cond.Broadcast()
	return nil, true
}

// watch answers once a key has changed, or the time is over. In an outage it waits.
func (s *State) watch(w http.ResponseWriter, caller string, q url.Values) {
	from, err1 := strconv.ParseUint(q.Get("since"), 10, 64)
	ms, err2 := strconv.Atoi(q.Get("blockMs"))
	if err1 != nil || err2 != nil {
		reply(w, 400, struct{}{})
		return
	}
	until, under := time.Now().Add(time.Duration(ms)*time.Millisecond), q.Get("under")
	for !s.closed() {
		e := wire.WatchResponse{Revision: s.rev, Events: []wire.WatchEvent{}}
		first := sort.Search(len(s.log), func(i int) bool { return s.log[i].event.Version > from })
		for _, l := range s.log[first:] {
			if strings.HasPrefix(l.key, under) {
				e.Events = append(e.Events, l.event)
			}
		}
		if s.faults[caller] == ReadsRefused {
			reply(w, 503, wire.ErrorResponse{Error: "trouble"})
			return
		}
		refused := s.down || s.faults[caller] == Refused
		if !refused && (len(e.Events) > 0 || !time.Now().Before(until)) {
			reply(w, 200, e)
			return
		}
		s.cond.Wait()
	}
}

func (s *State) closed() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}
