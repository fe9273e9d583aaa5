// Package state owns the dealings with the state service: reads and watches
// that prove how fresh they are, group commit of writes, and leases. It keeps
// within this process's share of the service's two rates. It decides nothing;
// results go to the callers' functions, on goroutines of this package.
package state

import (
	"cmp"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/http1"
	"firwood.dev/firwood/wire"
)

// Limits are the service's, as the settings give them.
type Limits struct {
	RPS, WriteRPS float64
	TxnOps        int
}

// maxTxn leaves room for the frame of a transaction under 64 KiB.
const maxTxn = 56 << 10

// Outcome says what became of a write.
type Outcome uint8

const (
	// Committed: the write is durable.
	Committed Outcome = iota
	// Conflict: one of the write's own conditions failed.
	Conflict
	// Fenced: the leader lock is no longer what the write was bound to.
	Fenced
	// Refused: the write was certainly not executed.
	Refused
	// Unknown: the write may have been executed, or may still be.
	Unknown
)

// Rank orders the writes that wait: the service takes few a second.
type Rank int8

const (
	// Vital: the lock depends on it.
	Vital Rank = iota - 1
	// Binding: somebody waits for the answer.
	Binding
	// Needed: work waits for it.
	Needed
	// Spare: it is sent when nothing else needs the rate.
	Spare
)

// Write is an atomic set of changes.
type Write struct {
	Rank Rank
	// Fence, if not 0, is the version that the lock key must have.
	Fence uint64
	If    []wire.Condition
	Then  []wire.Change
	// Deadline is when to give up a write that was not sent.
	Deadline clock.Micros
	Done     func(Outcome, uint64)

	size int
}

// Errors of reads and leases.
var (
	ErrCompacted = errors.New("state: the revision is too old to watch from")
	ErrGone      = errors.New("state: no such key or lease")
	ErrRefused   = errors.New("state: refused")
)

// Client talks to the state service.
type Client struct {
	host    *client.Host
	limits  Limits
	lockKey string
	reads   *client.Budget
	writes  *client.Budget

	mu       sync.Mutex
	pending  []*Write
	inFlight int
	looking  bool // a look at the waiting writes is due

	// lastOK and lastRefused are instants of the steady clock.
	lastOK, lastRefused atomic.Int64
	// Dropped counts answers that made no sense.
	Dropped atomic.Int64
}

const (
	maxInFlight    = 3
	requestTimeout = 3 * clock.Second
	// A read's answer has no size limit of the service's; this is ours.
	maxAnswer = 4 << 20
	// leastQueued is how many writes may wait here in any deployment; more than the
	// service takes in queuedFor are refused at once.
	leastQueued = 2048
	queuedFor   = 4 // seconds
)

// New makes a client; lockKey is the key that fenced writes are bound to.
func New(dial client.Dialer, addr string, l Limits, lockKey string) *Client {
	return &Client{
		host: client.NewHost(dial, addr, 6, maxAnswer), limits: l, lockKey: lockKey,
		reads: client.NewBudget(l.RPS/4, l.RPS/4), writes: client.NewBudget(l.WriteRPS/4, l.WriteRPS/4),
	}
}

// SetShare sets which part of the service's rates this process may use.
func (c *Client) SetShare(f float64) {
	// A little is left for renewals, which do not wait in the queue.
	r := f * c.limits.RPS * 0.95
	w := max(f*c.limits.WriteRPS, 1)
	c.reads.SetRate(r, max(r, 2))
	c.writes.SetRate(w, max(w, float64(min(c.limits.TxnOps, 4))))
}

// LastOK is when the service last answered a request as asked.
func (c *Client) LastOK() clock.Micros { return clock.Micros(c.lastOK.Load()) }

// LastRefused is when the service was last out of reach or refusing.
func (c *Client) LastRefused() clock.Micros { return clock.Micros(c.lastRefused.Load()) }

func (c *Client) do(method, target string, body []byte, timeout clock.Micros) (int, []byte, error) {
	m, err := c.host.Do(client.Request{Method: method, Target: target, Body: body, Timeout: timeout})
	if err != nil {
		c.lastRefused.Store(int64(clock.Now()))
		return 0, nil, err
	}
	switch m.Status {
	case 503:
		c.lastRefused.Store(int64(clock.Now()))
	case 429:
		c.reads.Drain()
		c.writes.Drain()
	default:
		c.lastOK.Store(int64(clock.Now()))
	}
	return m.Status, m.Body, nil
}

// Load reads every key below a prefix. The revision is that of the first
// page; what changed since then has to be watched from there.
func (c *Client) Load(prefix string) ([]wire.Item, uint64, error) {
	var items []wire.Item
	var rev uint64
	after := ""
	for page := 0; ; page++ {
		target := "/kv?under=" + url.QueryEscape(prefix) + "&limit=1000"
		if after != "" {
			target += "&since=" + url.QueryEscape(after)
		}
		c.reads.Wait(1)
		status, body, err := c.do("GET", target, nil, requestTimeout)
		if err != nil {
			return nil, 0, err
		}
		if status != 200 {
			return nil, 0, fmt.Errorf("%w: status %d", ErrRefused, status)
		}
		var p wire.Page
		if err := p.UnmarshalJSON(body); err != nil {
			c.Dropped.Add(1)
			return nil, 0, err
		}
		if page == 0 {
			rev = p.Revision
		}
		items = append(items, p.Items...)
		if !p.More || len(p.Items) == 0 {
			return items, rev, nil
		}
		after = p.Items[len(p.Items)-1].Key
	}
}

// Watch returns every change below the prefix after `since`; block 0 answers
// at once and so proves what the latest revision is.
func (c *Client) Watch(prefix string, since uint64, block clock.Micros) (*wire.Events, error) {
	c.reads.Wait(1)
	target := "/watch?under=" + url.QueryEscape(prefix) + "&since=" + strconv.FormatUint(since, 10) +
		"&blockMs=" + strconv.FormatInt(int64(block/clock.Millisecond), 10)
	status, body, err := c.do("GET", target, nil, block+requestTimeout)
	if isTooLarge(err) {
		// More has changed than is read at once: it never would be, however often it is
		// asked for. Pages of keys are bounded.
		return nil, ErrCompacted
	}
	if err != nil {
		return nil, err
	}
	switch status {
	case 200:
	case 410:
		return nil, ErrCompacted
	default:
		return nil, fmt.Errorf("%w: status %d", ErrRefused, status)
	}
	e := &wire.Events{}
	if err := e.UnmarshalJSON(body); err != nil {
		c.Dropped.Add(1)
		return nil, err
	}
	return e, nil
}

// isTooLarge tells that an answer was larger than is taken.
func isTooLarge(err error) bool {
	var malformed *http1.Error
	return errors.As(err, &malformed) && malformed.Status == 413
}

// Get reads one key with its lease.
func (c *Client) Get(key string) (*wire.Item, error) {
	c.reads.Wait(1)
	status, body, err := c.do("GET", "/kv/"+key, nil, requestTimeout)
	if err != nil {
		return nil, err
	}
	if status == 404 {
		return nil, ErrGone
	}
	if status != 200 {
		return nil, fmt.Errorf("%w: status %d", ErrRefused, status)
	}
	it := &wire.Item{}
	if err := it.UnmarshalJSON(body); err != nil {
		c.Dropped.Add(1)
		return nil, err
	}
	return it, nil
}

// Grant takes a lease; renewals and grants do not wait behind other work.
func (c *Client) Grant(ttl clock.Micros) (uint64, error) {
	c.reads.Take(1)
	body, err := wire.Grant{TTLMs: int64(ttl / clock.Millisecond)}.MarshalJSON()
	if err != nil {
		return 0, err
	}
	status, answer, err := c.do("POST", "/grants", body, min(ttl, requestTimeout))
	if err != nil {
		return 0, err
	}
	if status != 200 {
		return 0, fmt.Errorf("%w: status %d", ErrRefused, status)
	}
	var g wire.Granted
	if err := g.UnmarshalJSON(answer); err != nil || g.Lease == 0 {
		c.Dropped.Add(1)
		return 0, fmt.Errorf("state: grant without a lease: %w", err)
	}
	return g.Lease, nil
}

// Renew renews a lease.
func (c *Client) Renew(lease uint64, timeout clock.Micros) error {
	c.reads.Take(1)
	return c.leaseCall("POST", "/grants/"+strconv.FormatUint(lease, 10)+"/renew", timeout)
}

// Revoke ends a lease at once.
func (c *Client) Revoke(lease uint64) error {
	c.reads.Take(1)
	return c.leaseCall("DELETE", "/grants/"+strconv.FormatUint(lease, 10), requestTimeout)
}

func (c *Client) leaseCall(method, target string, timeout clock.Micros) error {
	var body []byte
	if method == "POST" {
		body = []byte("{}")
	}
	status, _, err := c.do(method, target, body, timeout)
	switch {
	case err != nil:
		return err
	case status == 404:
		return ErrGone
	case status/100 != 2:
		return fmt.Errorf("%w: status %d", ErrRefused, status)
	}
	return nil
}

// Delay is how long a binding write that comes now would wait for the rate.
func (c *Client) Delay() clock.Micros {
	c.mu.Lock()
	ops := 0
	for _, w := range c.pending {
		if w.Rank <= Binding {
			ops += len(w.Then)
		}
	}
	c.mu.Unlock()
	return c.writes.Delay(float64(ops + 1))
}

// Failing tells that the service has not answered this process for a while.
func (c *Client) Failing(now clock.Micros) bool {
	return c.LastRefused() > c.LastOK() && now-c.LastOK() > clock.Second
}

// Commit queues a write for the next transaction. It returns false, without
// calling Done, when too many writes are waiting, or when one that somebody
// waits for cannot be sent before its time is over: the sooner that is said, the
// better.
func (c *Client) Commit(w *Write) bool {
	w.size = 0
	for i := range w.Then {
		w.size += len(w.Then[i].Put) + len(w.Then[i].Delete) + len(w.Then[i].Value) + 48
	}
	for i := range w.If {
		w.size += len(w.If[i].Key) + 40
	}
	if w.Rank == Binding && w.Deadline != 0 && clock.Now()+c.Delay() > w.Deadline {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= max(leastQueued, int(queuedFor*c.limits.WriteRPS)) {
		return false
	}
	c.pending = append(c.pending, w)
	c.launch()
	return true
}

// launch starts senders while there is work; the lock is held.
func (c *Client) launch() {
	if c.inFlight < maxInFlight && len(c.pending) > 0 {
		c.inFlight++
		go c.send()
	}
}

// next takes the longest run of waiting writes that fits one transaction, the
// most pressing first. Only writes with the same fence go together: a lost
// lock fails them all. Writes that can wait are taken only as far as the rate
// has them to spare: what is booked ahead for them would hold up the others.
// They are looked at again a little later.
func (c *Client) next() []*Write {
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortStableFunc(c.pending, func(a, b *Write) int { return cmp.Compare(a.Rank, b.Rank) })
	var batch []*Write
	ops, conds, size := 0, 0, 0
	waits := false
	kept := c.pending[:0]
	for _, w := range c.pending {
		fits := len(batch) == 0 ||
			w.Fence == batch[0].Fence && ops+len(w.Then) <= c.limits.TxnOps &&
				conds+len(w.If)+1 <= 4*c.limits.TxnOps && size+w.size <= maxTxn
		if len(batch) > 0 && w.Rank > Vital && !c.writes.Has(float64(ops+len(w.Then))) {
			fits = false // what is booked ahead holds up what is more pressing
		}
		if w.Rank == Spare && !c.writes.Has(float64(ops+2*len(w.Then))) {
			fits, waits = false, true
		}
		if !fits {
			kept = append(kept, w)
			continue
		}
		batch = append(batch, w)
		ops += len(w.Then)
		conds += len(w.If)
		size += w.size
	}
	clear(c.pending[len(kept):])
	c.pending = kept
	if len(batch) == 0 {
		c.inFlight--
		if waits && !c.looking {
			c.looking = true
			time.AfterFunc(spareLook.Duration(), c.look)
		}
	}
	return batch
}

// spareLook is how often it is looked whether the rate has writes to spare.
const spareLook = 50 * clock.Millisecond

func (c *Client) send() {
	for {
		// Waiting for the budget before choosing lets more writes join.
		c.reads.Wait(0)
		c.writes.Wait(0)
		batch := c.next()
		if len(batch) == 0 {
			return
		}
		c.reads.Take(1)
		c.commit(batch)
	}
}

// look refuses waiting writes whose time is over, and tries the others.
func (c *Client) look() {
	now := clock.Now()
	var late []*Write
	c.mu.Lock()
	c.looking = false
	c.pending = slices.DeleteFunc(c.pending, func(w *Write) bool {
		if w.Deadline != 0 && now >= w.Deadline {
			late = append(late, w)
			return true
		}
		return false
	})
	c.launch()
	c.mu.Unlock()
	finish(late, Refused, 0)
}

func (c *Client) commit(batch []*Write) {
	for len(batch) > 0 {
		now := clock.Now()
		batch = slices.DeleteFunc(batch, func(w *Write) bool {
			late := w.Deadline != 0 && now >= w.Deadline
			if late {
				w.Done(Refused, 0)
			}
			return late
		})
		if len(batch) == 0 {
			return
		}
		t := wire.Txn{}
		if f := batch[0].Fence; f != 0 {
			t.If = append(t.If, wire.Condition{Key: c.lockKey, Version: f})
		}
		for _, w := range batch {
			t.If = append(t.If, w.If...)
			t.Then = append(t.Then, w.Then...)
		}
		body, err := t.MarshalJSON()
		if err != nil {
			finish(batch, Refused, 0)
			return
		}
		c.writes.Wait(float64(len(t.Then)))
		status, answer, err := c.do("POST", "/txn", body, requestTimeout)
		var se *client.SendError
		switch {
		case errors.As(err, &se):
			finish(batch, Refused, 0)
			return
		case err != nil:
			finish(batch, Unknown, 0)
			return
		}
		var r wire.TxnResult
		switch status {
		case 200:
			if err := r.UnmarshalJSON(answer); err != nil {
				c.Dropped.Add(1)
				finish(batch, Unknown, 0)
				return
			}
			finish(batch, Committed, r.Revision)
			return
		case 409:
			if err := r.UnmarshalJSON(answer); err != nil || len(r.Failed) == 0 {
				c.Dropped.Add(1)
				finish(batch, Unknown, 0)
				return
			}
			if slices.Contains(r.Failed, c.lockKey) && batch[0].Fence != 0 {
				finish(batch, Fenced, r.Revision)
				return
			}
			before := len(batch)
			batch = slices.DeleteFunc(batch, func(w *Write) bool {
				lost := slices.ContainsFunc(w.If, func(k wire.Condition) bool { return slices.Contains(r.Failed, k.Key) })
				if lost {
					w.Done(Conflict, r.Revision)
				}
				return lost
			})
			if len(batch) == before {
				finish(batch, Conflict, r.Revision)
				return
			}
		case 429:
			// Not executed; the budgets were drained and the loop waits.
			c.reads.Wait(1)
		case 400:
			// One bad write must not fail its neighbours: try them one by one.
			if len(batch) == 1 {
				finish(batch, Refused, 0)
				return
			}
			for _, w := range batch {
				c.reads.Wait(1)
				c.commit([]*Write{w})
			}
			return
		default:
			finish(batch, Refused, 0)
			return
		}
	}
}

func finish(batch []*Write, o Outcome, rev uint64) {
	for _, w := range batch {
		w.Done(o, rev)
	}
}
