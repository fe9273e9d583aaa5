package controller

import "sync"

// commandPriority orders commands under overload: what workers report goes first, then
// the results that decisions wait for, then what users ask.
type commandPriority uint8

const (
	priorityHeartbeat commandPriority = iota
	priorityResult
	priorityUser
	priorityCount
)

// commandQueue holds commands for the owner. Each rank is bounded; what users ask is
// refused first.
type commandQueue struct {
	mu      sync.Mutex
	pending [priorityCount][]func()
	limits  [priorityCount]int
	wake    chan struct{}
}

const (
	// minUserCommands is how many commands of users are queued in any deployment.
	minUserCommands = 1024
	// heartbeatsPerMember is how many messages of another controller may wait.
	heartbeatsPerMember = 64
)

// newCommandQueue makes a queue for a process with so many connections and other
// controllers. Each connection has one request under way at a time, so reports of all
// workers fit however large the fleet is. Decisions are results of this process's own
// calls, which are bounded where they are made.
func newCommandQueue(sockets, members int) *commandQueue {
	commands := &commandQueue{wake: make(chan struct{}, 1)}
	commands.limits = [priorityCount]int{
		priorityHeartbeat: sockets + members*heartbeatsPerMember,
		priorityResult:    1 << 20,
		priorityUser:      max(sockets/4, minUserCommands),
	}
	return commands
}

// post adds a command; false means that the rank is full.
func (commands *commandQueue) post(priority commandPriority, command func()) bool {
	commands.mu.Lock()
	if len(commands.pending[priority]) >= commands.limits[priority] {
		commands.mu.Unlock()
		return false
	}
	commands.pending[priority] = append(commands.pending[priority], command)
	commands.mu.Unlock()
	select {
	case commands.wake <- struct{}{}:
	default:
	}
	return true
}

// maxUserCommandsPerBatch bounds how many user commands one batch takes, so that reports
// that come meanwhile need not wait for all of them.
const maxUserCommandsPerBatch = 64

// takeBatch returns the next batch in order of rank.
func (commands *commandQueue) takeBatch() []func() {
	commands.mu.Lock()
	defer commands.mu.Unlock()
	batch := append(commands.pending[priorityHeartbeat], commands.pending[priorityResult]...)
	userCount := min(len(commands.pending[priorityUser]), maxUserCommandsPerBatch)
	batch = append(batch, commands.pending[priorityUser][:userCount]...)
	commands.pending[priorityHeartbeat], commands.pending[priorityResult] = nil, nil
	rest := commands.pending[priorityUser][userCount:]
	if len(rest) == 0 {
		commands.pending[priorityUser] = nil
	} else {
		commands.pending[priorityUser] = rest
		select {
		case commands.wake <- struct{}{}:
		default:
		}
	}
	return batch
}
