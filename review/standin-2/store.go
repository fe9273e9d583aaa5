package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the state service (PROTOCOL, "Controller nodes -> state service").
type store struct {
	r       *run
	address string

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change
	ledger   uint64
	keys     map[string]*stored
	log      []change
	dropped  uint64 // revision of the last change that is no longer kept
	grants   map[uint64]*grant
	lastID   uint64
	limits   stateLimits
	requests bucket
	writes   bucket
	// rejected counts transactions that were answered with 400 because of a limit.
	rejected int
}

type stored struct {
	data          json.RawMessage
	stamp, tenure uint64
}

type change struct {
	key, drop string
	data      json.RawMessage
	stamp     uint64
}

type grant struct {
	ttl       time.Duration
	expiresAt time.Time
}

// bucket allows a rate with a burst of one second's worth.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

func newStore(r *run, limits stateLimits) (*store, func()) {
	s := &store{
		r: r, changed: make(chan struct{}), keys: map[string]*stored{}, grants: map[uint64]*grant{}, limits: limits,
		requests: bucket{rate: limits.rps, tokens: limits.rps, at: time.Now()}, writes: bucket{rate: limits.writeRPS, tokens: limits.writeRPS, at: time.Now()},
	}
	var stop func()
	s.address, stop = serve(s)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
				s.expire()
			}
		}
	}()
	return s, func() { close(done); stop() }
}

// setLimits changes the limits from now on. What is stored stays readable.
func (s *store) setLimits(limits stateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.requests.rate, s.writes.rate = limits.rps, limits.writeRPS
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, g := range s.grants {
		if time.Now().After(g.expiresAt) {
			s.endGrant(id)
		}
	}
}

func (s *store) endGrant(id uint64) {
	delete(s.grants, id)
	for key, value := range s.keys {
		if value.tenure == id {
			s.ledger++
			delete(s.keys, key)
			s.append(change{drop: key, stamp: s.ledger})
		}
	}
}

func (s *store) append(c change) {
	s.log = append(s.log, c)
	if len(s.log) > 10_000 {
		s.dropped = s.log[0].stamp
		s.log = s.log[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	time.Sleep(4 * time.Millisecond) // the time that a response usually takes is under 10 ms
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.requests.take(1) {
		writeJSON(w, 429, object{"error": "too many requests"})
		return
	}
	path, query := r.URL.Path, r.URL.Query()
	switch {
	case path == "/kv":
		s.list(w, query.Get("under"), query.Get("since"), query.Get("limit"))
	case strings.HasPrefix(path, "/kv/"):
		key := strings.TrimPrefix(path, "/kv/")
		if value := s.keys[key]; value != nil {
			writeJSON(w, 200, object{"path": key, "data": value.data, "stamp": value.stamp, "tenure": value.tenure})
		} else {
			writeJSON(w, 404, object{"ledger": s.ledger})
		}
	case path == "/txn":
		s.transact(w, body)
	case path == "/grants":
		var asked struct {
			TTL int64 `json:"ttlMs"`
		}
		if json.Unmarshal(body, &asked) != nil || asked.TTL < 100 || asked.TTL > 600_000 {
			writeJSON(w, 400, object{})
			return
		}
		s.lastID++
		ttl := time.Duration(asked.TTL) * time.Millisecond
		s.grants[s.lastID] = &grant{ttl, time.Now().Add(ttl)}
		writeJSON(w, 200, object{"tenure": s.lastID})
	case strings.HasPrefix(path, "/grants/"):
		id, err := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(path, "/grants/"), "/renew"), 10, 64)
		g := s.grants[id]
		switch {
		case err != nil || g == nil:
			writeJSON(w, 404, object{})
		case r.Method == "DELETE":
			s.endGrant(id)
			writeJSON(w, 200, object{})
		default:
			g.expiresAt = time.Now().Add(g.ttl)
			writeJSON(w, 200, object{})
		}
	case path == "/watch":
		s.watch(w, r, query.Get("under"), query.Get("since"), query.Get("blockMs"))
	default:
		writeJSON(w, 400, object{})
	}
}

func (s *store) list(w http.ResponseWriter, under, since, limit string) {
	count, err := strconv.Atoi(limit)
	if err != nil || count > 1000 || count < 1 {
		count = 1000
	}
	var names []string
	for key := range s.keys {
		if strings.HasPrefix(key, under) && key > since {
			names = append(names, key)
		}
	}
	sort.Strings(names)
	pairs, size, hasNext := []object{}, 0, false
	for _, key := range names {
		value := s.keys[key]
		if len(pairs) == count || size+len(key)+len(value.data)+64 > 512<<10 {
			hasNext = true
			break
		}
		size += len(key) + len(value.data) + 64
		pairs = append(pairs, object{"path": key, "data": value.data, "stamp": value.stamp})
	}
	writeJSON(w, 200, object{"pairs": pairs, "hasNext": hasNext, "ledger": s.ledger})
}

func (s *store) transact(w http.ResponseWriter, body []byte) {
	var asked struct {
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
	if json.Unmarshal(body, &asked) != nil {
		writeJSON(w, 400, object{"error": "malformed"})
		return
	}
	if !s.writes.take(float64(len(asked.Apply))) {
		writeJSON(w, 429, object{"error": "too many changes"})
		return
	}
	reason := ""
	if len(body) > 64<<10 || len(asked.Apply) > s.limits.txnOps || len(asked.If) > 4*s.limits.txnOps {
		reason = "transaction too large"
	}
	for _, c := range asked.Apply {
		if float64(len(c.Data)) > s.limits.valueKB*1024 {
			reason = "value of " + c.Set + " too large: " + strconv.Itoa(len(c.Data)) + " bytes"
		}
	}
	if reason != "" {
		s.rejected++
		s.r.logf("state service: POST /txn -> 400 %s", reason)
		writeJSON(w, 400, object{"error": reason})
		return
	}
	for _, c := range asked.Apply {
		if c.Tenure != 0 && s.grants[c.Tenure] == nil {
			writeJSON(w, 400, object{"error": "no such lease"})
			return
		}
	}
	var failed []string
	for _, condition := range asked.If {
		var stamp uint64
		if value := s.keys[condition.Path]; value != nil {
			stamp = value.stamp
		}
		if stamp != condition.Stamp {
			failed = append(failed, condition.Path)
		}
	}
	if failed != nil {
		writeJSON(w, 409, object{"failed": failed, "ledger": s.ledger})
		return
	}
	if len(asked.Apply) > 0 {
		s.ledger++
	}
	for _, c := range asked.Apply {
		if c.Drop != "" {
			delete(s.keys, c.Drop)
			s.append(change{drop: c.Drop, stamp: s.ledger})
		} else {
			s.keys[c.Set] = &stored{c.Data, s.ledger, c.Tenure}
			s.append(change{key: c.Set, data: c.Data, stamp: s.ledger})
		}
	}
	writeJSON(w, 200, object{"ledger": s.ledger})
}

// watch answers once a key with the prefix has changed. The lock is held when it is called and when it returns.
func (s *store) watch(w http.ResponseWriter, r *http.Request, under, sinceText, blockText string) {
	since, err := strconv.ParseUint(sinceText, 10, 64)
	if err != nil {
		writeJSON(w, 400, object{})
		return
	}
	block, _ := strconv.Atoi(blockText)
	deadline := time.Now().Add(time.Duration(min(block, 60_000)) * time.Millisecond)
	for {
		if since < s.dropped {
			writeJSON(w, 410, object{})
			return
		}
		events := []object{}
		first := sort.Search(len(s.log), func(i int) bool { return s.log[i].stamp > since })
		for _, c := range s.log[first:] {
			if strings.HasPrefix(c.key+c.drop, under) {
				if c.drop != "" {
					events = append(events, object{"drop": c.drop, "stamp": c.stamp})
				} else {
					events = append(events, object{"set": c.key, "data": c.data, "stamp": c.stamp})
				}
			}
		}
		if len(events) > 0 || !time.Now().Before(deadline) {
			writeJSON(w, 200, object{"ledger": s.ledger, "log": events})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-r.Context().Done():
			s.mu.Lock()
			return
		}
		s.mu.Lock()
	}
}

// value returns the stored value of a key, or "".
func (s *store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if value := s.keys[key]; value != nil {
		return string(value.data)
	}
	return ""
}
