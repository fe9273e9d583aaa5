//go:build review

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type kvEntry struct {
	data  json.RawMessage
	stamp uint64
	lease uint64
}

type kvEvent struct {
	key   string
	event map[string]any
	stamp uint64
}

type kvLease struct {
	ttl time.Duration
	end time.Time
}

// Store is a stand-in for the state service, as PROTOCOL describes it.
type Store struct {
	mu       sync.Mutex
	cond     *sync.Cond
	ledger   uint64
	keys     map[string]*kvEntry
	log      []kvEvent
	leases   map[uint64]*kvLease
	lastID   uint64
	delay    time.Duration // every answer comes this much later
	valueMax int
	opsMax   int
}

type txnBody struct {
	If []struct {
		Path  string `json:"path"`
		Stamp uint64 `json:"stamp"`
	} `json:"if"`
	Apply []struct {
		Set    string          `json:"set"`
		Drop   string          `json:"drop"`
		Data   json.RawMessage `json:"data"`
		Tenure uint64          `json:"tenure"`
	} `json:"apply"`
}

func newStore(valueKB, ops int, delay time.Duration) *Store {
	s := &Store{keys: map[string]*kvEntry{}, leases: map[uint64]*kvLease{}, valueMax: valueKB << 10, opsMax: ops, delay: delay}
	s.cond = sync.NewCond(&s.mu)
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			now := time.Now()
			for id, l := range s.leases {
				if now.After(l.end) {
					s.endLease(id)
				}
			}
			s.cond.Broadcast()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for k, e := range s.keys {
		if e.lease == id {
			s.ledger++
			delete(s.keys, k)
			s.log = append(s.log, kvEvent{k, map[string]any{"drop": k, "stamp": s.ledger}, s.ledger})
		}
	}
	s.cond.Broadcast()
}

// ServeHTTP is the state service's interface.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	time.Sleep(s.delay)
	q := r.URL.Query()
	switch p := r.URL.Path; {
	case p == "/kv":
		s.page(w, q.Get("under"), q.Get("since"), q.Get("limit"))
	case strings.HasPrefix(p, "/kv/"):
		s.mu.Lock()
		e, k, ledger := s.keys[p[4:]], p[4:], s.ledger
		s.mu.Unlock()
		if e == nil {
			reply(w, 404, map[string]any{"ledger": ledger})
		} else {
			reply(w, 200, map[string]any{"path": k, "data": e.data, "stamp": e.stamp, "tenure": e.lease})
		}
	case p == "/txn":
		var t txnBody
		if len(body) > 64<<10 || json.Unmarshal(body, &t) != nil {
			reply(w, 400, map[string]any{"error": "malformed"})
			return
		}
		status, out := s.txn(&t)
		reply(w, status, out)
	case p == "/grants":
		var g struct {
			TTL int64 `json:"ttlMs"`
		}
		if json.Unmarshal(body, &g) != nil || g.TTL < 100 || g.TTL > 600000 {
			reply(w, 400, nil)
			return
		}
		s.mu.Lock()
		s.lastID++
		id := s.lastID
		ttl := time.Duration(g.TTL) * time.Millisecond
		s.leases[id] = &kvLease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"tenure": id})
	case strings.HasPrefix(p, "/grants/"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(p[8:], "/renew"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil {
			reply(w, 404, nil)
			return
		}
		if r.Method == "DELETE" {
			s.endLease(id)
		} else {
			l.end = time.Now().Add(l.ttl)
		}
		reply(w, 200, map[string]any{})
	case p == "/watch":
		s.watch(w, r, q.Get("under"), q.Get("since"), q.Get("blockMs"))
	default:
		reply(w, 404, nil)
	}
}

func (s *Store) page(w http.ResponseWriter, under, since, limitText string) {
	limit, err := strconv.Atoi(limitText)
	if err != nil || limit < 1 || limit > 1000 {
		limit = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, under) && k > since {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	pairs, size, more := []any{}, 0, false
	for _, k := range names {
		e := s.keys[k]
		size += len(k) + len(e.data) + 64
		if len(pairs) == limit || size > 512<<10 {
			more = true
			break
		}
		pairs = append(pairs, map[string]any{"path": k, "data": e.data, "stamp": e.stamp})
	}
	reply(w, 200, map[string]any{"pairs": pairs, "hasNext": more, "ledger": s.ledger})
}

func (s *Store) txn(t *txnBody) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(t.Apply) > s.opsMax || len(t.If) > 4*s.opsMax {
		return 400, map[string]any{"error": "too large"}
	}
	for _, c := range t.Apply {
		if len(c.Data) > s.valueMax {
			return 400, map[string]any{"error": "too large"}
		}
		if c.Set != "" && c.Tenure != 0 && s.leases[c.Tenure] == nil {
			return 400, map[string]any{"error": "no such lease"}
		}
	}
	var failed []string
	for _, c := range t.If {
		var stamp uint64
		if e := s.keys[c.Path]; e != nil {
			stamp = e.stamp
		}
		if stamp != c.Stamp {
			failed = append(failed, c.Path)
		}
	}
	if failed != nil {
		return 409, map[string]any{"failed": failed, "ledger": s.ledger}
	}
	if len(t.Apply) > 0 {
		s.ledger++
	}
	for _, c := range t.Apply {
		if c.Drop != "" {
			if s.keys[c.Drop] != nil {
				delete(s.keys, c.Drop)
				s.log = append(s.log, kvEvent{c.Drop, map[string]any{"drop": c.Drop, "stamp": s.ledger}, s.ledger})
			}
			continue
		}
		s.keys[c.Set] = &kvEntry{c.Data, s.ledger, c.Tenure}
		s.log = append(s.log, kvEvent{c.Set, map[string]any{"set": c.Set, "data": c.Data, "stamp": s.ledger}, s.ledger})
	}
	if len(s.log) > 10000 {
		s.log = s.log[len(s.log)-10000:]
	}
	s.cond.Broadcast()
	return 200, map[string]any{"ledger": s.ledger}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, under, sinceText, blockText string) {
	since, e1 := strconv.ParseUint(sinceText, 10, 64)
	block := 0
	var e2 error
	if blockText != "" {
		block, e2 = strconv.Atoi(blockText)
	}
	if e1 != nil || e2 != nil || block > 60000 {
		reply(w, 400, nil)
		return
	}
	end := time.Now().Add(time.Duration(block) * time.Millisecond)
	s.mu.Lock()
	for {
		if r.Context().Err() != nil {
			s.mu.Unlock()
			return
		}
		if len(s.log) == 10000 && since < s.log[0].stamp {
			s.mu.Unlock()
			reply(w, 410, nil)
			return
		}
		events := []any{}
		first := sort.Search(len(s.log), func(i int) bool { return s.log[i].stamp > since })
		for _, e := range s.log[first:] {
			if strings.HasPrefix(e.key, under) {
				events = append(events, e.event)
			}
		}
		if len(events) > 0 || !time.Now().Before(end) {
			out := map[string]any{"ledger": s.ledger, "log": events}
			s.mu.Unlock()
			reply(w, 200, out)
			return
		}
		s.cond.Wait()
	}
}

// value returns the value of a key, or "".
func (s *Store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.keys[key]; e != nil {
		return string(e.data)
	}
	return ""
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	w.Write(b)
}

// hang never answers: it waits until the caller has closed the connection.
func hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(60 * time.Second):
	}
	panic(http.ErrAbortHandler)
}

func serve(h http.Handler) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fatal(2, "%v", err)
	}
	go (&http.Server{Handler: h, ErrorLog: quiet}).Serve(l)
	return l.Addr().String()
}
