package controller

import (
	"slices"
	"testing"
)

// Reports go before decisions, decisions before what users ask, and what users
// ask is bounded: in the queue, and in a batch.
func TestCommandPriorities(t *testing.T) {
	commands := newCommandQueue(900, 2)
	var got []int
	for i := 0; i < 3; i++ {
		for priority := priorityUser; ; priority-- {
			commands.post(priority, func() { got = append(got, int(priority)) })
			if priority == priorityHeartbeat {
				break
			}
		}
	}
	for _, f := range commands.takeBatch() {
		f()
	}
	if !slices.IsSorted(got) || len(got) != 9 {
		t.Fatalf("order %v", got)
	}
	accepted := 0
	for commands.post(priorityUser, func() {}) {
		accepted++
	}
	if accepted != minUserCommands {
		t.Fatalf("%d user commands queued", accepted)
	}
	if !commands.post(priorityHeartbeat, func() {}) {
		t.Fatal("a report is refused because users ask too much")
	}
	if batch := commands.takeBatch(); len(batch) != maxUserCommandsPerBatch+1 {
		t.Fatalf("a batch of %d", len(batch))
	}
}

// Reports of every worker that can be connected fit, with messages of the other
// controllers, whatever the limit of sockets is: once no more than 4,096 did.
func TestQueueLimitsFollowConnections(t *testing.T) {
	for _, connections := range []int{900, 3500, 4700, 7100, 20000} {
		commands := newCommandQueue(connections, 2)
		for i := range connections + 2 {
			if !commands.post(priorityHeartbeat, func() {}) {
				t.Fatalf("%d sockets: report %d is refused", connections, i)
			}
		}
		users := 0
		for commands.post(priorityUser, func() {}) {
			users++
		}
		if users < minUserCommands || users < connections/4 {
			t.Errorf("%d sockets: %d commands of users", connections, users)
		}
	}
}
