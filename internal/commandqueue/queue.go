// Package commandqueue queues commands for the goroutine that owns a process's state. Each priority has a
// limit of its own, so that users' requests are refused before workers' heartbeats are.
package commandqueue

import "sync"

// Priority determines the order in which commands run, and the limit that applies to them.
type Priority uint8

// The priorities, most urgent first.
const (
	// Heartbeat is for heartbeats of workers and of other members.
	Heartbeat Priority = iota
	// Result is for the results of this process's own calls, which its decisions wait for.
	Result
	// User is for users' requests.
	User
	priorityCount
)

// String returns the priority's name.
func (priority Priority) String() string {
	switch priority {
	case Heartbeat:
		return "heartbeat"
	case Result:
		return "result"
	case User:
		return "user"
	}
	return "unknown"
}

const (
	// minUserCommands is how many users' requests may be queued even if there are few sockets.
	minUserCommands = 1024
	// heartbeatsPerMember is how many queued heartbeats the limit allows for each other member.
	heartbeatsPerMember = 64
	// maxResults is the limit of queued results. Each result belongs to one of this process's own calls,
	// whose number is bounded where they are made, so the limit is not reached.
	maxResults = 1 << 20
	// maxUserCommandsPerBatch bounds how many users' requests one batch contains, so that heartbeats that
	// arrive meanwhile need not wait for all queued requests.
	maxUserCommandsPerBatch = 64
)

// Queue holds commands by priority. It is safe for concurrent use; one goroutine takes
// batches from it.
type Queue struct {
	mu      sync.Mutex
	pending [priorityCount][]func()
	limits  [priorityCount]int
	wake    chan struct{}
}

// New returns a queue for a process that may use maxSockets sockets and has peerCount other members. Each
// connection has one request in flight at a time, so the queue has room for the heartbeats of all workers
// that can be connected. A fixed limit of 4,096 was too small for a large fleet.
func New(maxSockets, peerCount int) *Queue {
	return &Queue{
		wake: make(chan struct{}, 1),
		limits: [priorityCount]int{
			Heartbeat: maxSockets + peerCount*heartbeatsPerMember,
			Result:    maxResults,
			User:      max(maxSockets/4, minUserCommands),
		},
	}
}

// Wake returns the channel that receives a value when commands are queued.
func (queue *Queue) Wake() <-chan struct{} { return queue.wake }

// Post adds a command. It returns false if the limit of the priority is reached.
func (queue *Queue) Post(priority Priority, command func()) bool {
	queue.mu.Lock()
	if len(queue.pending[priority]) >= queue.limits[priority] {
		queue.mu.Unlock()
		return false
	}
	queue.pending[priority] = append(queue.pending[priority], command)
	queue.mu.Unlock()
	queue.signal()
	return true
}

// signal wakes the goroutine that takes batches, unless a wake-up is already pending.
func (queue *Queue) signal() {
	select {
	case queue.wake <- struct{}{}:
	default:
	}
}

// TakeBatch removes and returns the commands to run next: all heartbeats, all results, and
// a bounded number of users' requests.
func (queue *Queue) TakeBatch() []func() {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	batch := append(queue.pending[Heartbeat], queue.pending[Result]...)
	userCount := min(len(queue.pending[User]), maxUserCommandsPerBatch)
	batch = append(batch, queue.pending[User][:userCount]...)
	queue.pending[Heartbeat], queue.pending[Result] = nil, nil
	rest := queue.pending[User][userCount:]
	if len(rest) == 0 {
		queue.pending[User] = nil
		return batch
	}
	queue.pending[User] = rest
	queue.signal()
	return batch
}
