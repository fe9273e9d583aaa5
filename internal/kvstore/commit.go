package kvstore

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

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

	size     int
	queuedAt clock.Micros
}

// neededAge is after how long a write that work waits for takes turns with those that
// somebody waits for. Under a flood of submissions a leader once rented no machine for
// 40 s, and what had been accepted waited for its mark for 100; where both went by age
// alone, the leader refused all submissions meanwhile.
const neededAge = clock.Second / 2

// hasWaited tells whether a write takes turns with those that somebody waits for.
func (w *Write) hasWaited(now clock.Micros) bool {
	return w.Rank == Needed && now-w.queuedAt >= neededAge
}

// sortPending puts the waiting writes in the order in which they are sent: by rank, but
// for needed ones that have waited, which take turns with binding ones. The lock is held.
func (c *Client) sortPending(now clock.Micros) {
	turns := map[*Write]int{} // of binding and waiting needed writes, in their order
	binding, waited := 0, 0
	for _, w := range c.pending {
		switch {
		case w.Rank == Binding:
			turns[w] = 2 * binding
			binding++
		case w.hasWaited(now):
			turns[w] = 2*waited + 1
			if c.isNeededsTurn {
				turns[w] = 2*waited - 1
			}
			waited++
		}
	}
	rank := func(w *Write) Rank {
		if w.hasWaited(now) {
			return Binding
		}
		return w.Rank
	}
	slices.SortStableFunc(c.pending, func(a, b *Write) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(turns[a], turns[b]))
	})
}

// Delay is how long a binding write that comes now would wait for the rate.
func (c *Client) Delay() clock.Micros {
	binding, waited := c.waiting()
	return c.writes.Delay(float64(binding + min(waited, binding+1) + 1))
}

// Backlog is how long the writes that somebody or some work waits for will take at the
// present rate.
func (c *Client) Backlog() clock.Micros {
	binding, waited := c.waiting()
	return c.writes.Delay(float64(binding + waited))
}

// waiting counts the changes of binding writes, and of needed ones that have waited.
func (c *Client) waiting() (binding, waited int) {
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.pending {
		switch {
		case w.Rank <= Binding:
			binding += len(w.Then)
		case w.hasWaited(now):
			waited += len(w.Then)
		}
	}
	return binding, waited
}

// Commit queues a write for the next transaction. It returns false, without
// calling Done, when too many writes are waiting, or when one that somebody
// waits for cannot be sent before its time is over: the sooner that is said, the
// better.
func (c *Client) Commit(w *Write) bool {
	w.size, w.queuedAt = 0, clock.Now()
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
	c.sortPending(clock.Now())
	var batch []*Write
	ops, conds, size := 0, 0, 0
	waits := false
	kept := c.pending[:0]
	for _, w := range c.pending {
		fits := len(batch) == 0 ||
			w.Fence == batch[0].Fence && ops+len(w.Then) <= c.limits.TxnOps &&
				conds+len(w.If)+1 <= 4*c.limits.TxnOps && size+w.size <= maxTxn
		if len(batch) > 0 && w.Rank > Vital && !c.writes.HasTokens(float64(ops+len(w.Then))) {
			fits = false // what is booked ahead holds up what is more pressing
		}
		if w.Rank == Spare && !c.writes.HasTokens(float64(ops+2*len(w.Then))) {
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
	if len(batch) > 0 {
		c.isNeededsTurn = batch[0].Rank == Binding
	}
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
		c.reads.Reserve(1)
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
		var se *client.NotSentError
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
			c.written.Add(int64(len(t.Then)))
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
