package controller

import "sync"

// rank orders commands under overload: what workers report goes first, then
// the results that decisions wait for, then what users ask.
type rank uint8

const (
	rankReport rank = iota
	rankDecision
	rankUser
	ranks
)

// queue holds commands for the owner. Each rank is bounded; what users ask is
// refused first.
type queue struct {
	mu     sync.Mutex
	lists  [ranks][]func()
	bounds [ranks]int
	wake   chan struct{}
}

const (
	// leastUserCommands is how many commands of users are queued in any deployment.
	leastUserCommands = 1024
	// beatsPerMember is how many messages of another controller may wait.
	beatsPerMember = 64
)

// newQueue makes a queue for a process with so many connections and other
// controllers. Each connection has one request under way at a time, so reports of all
// workers fit however large the fleet is. Decisions are results of this process's own
// calls, which are bounded where they are made.
func newQueue(sockets, members int) *queue {
	q := &queue{wake: make(chan struct{}, 1)}
	q.bounds = [ranks]int{
		rankReport:   sockets + members*beatsPerMember,
		rankDecision: 1 << 20,
		rankUser:     max(sockets/4, leastUserCommands),
	}
	return q
}

// post adds a command; false means that the rank is full.
func (q *queue) post(r rank, f func()) bool {
	q.mu.Lock()
	if len(q.lists[r]) >= q.bounds[r] {
		q.mu.Unlock()
		return false
	}
	q.lists[r] = append(q.lists[r], f)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// batchUsers bounds how many user commands one batch takes, so that reports
// that come meanwhile need not wait for all of them.
const batchUsers = 64

// take returns the next batch in order of rank.
func (q *queue) take() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := append(q.lists[rankReport], q.lists[rankDecision]...)
	n := min(len(q.lists[rankUser]), batchUsers)
	batch = append(batch, q.lists[rankUser][:n]...)
	q.lists[rankReport], q.lists[rankDecision] = nil, nil
	rest := q.lists[rankUser][n:]
	if len(rest) == 0 {
		q.lists[rankUser] = nil
	} else {
		q.lists[rankUser] = rest
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
	return batch
}
