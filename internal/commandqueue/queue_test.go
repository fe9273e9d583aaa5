package commandqueue

import (
	"slices"
	"testing"
)

// Heartbeats run before results, and results before users' requests. Users' requests are bounded, both in
// the queue and in each batch.
func TestPrioritiesOrderAndBoundCommands(t *testing.T) {
	queue := New(900, 2)
	var got []int
	for range 3 {
		for priority := User; ; priority-- {
			queue.Post(priority, func() { got = append(got, int(priority)) })
			if priority == Heartbeat {
				break
			}
		}
	}
	for _, command := range queue.TakeBatch() {
		command()
	}
	if !slices.IsSorted(got) || len(got) != 9 {
		t.Fatalf("the commands ran in the order of priorities %v, want 9 in ascending order", got)
	}
	accepted := 0
	for queue.Post(User, func() {}) {
		accepted++
	}
	if accepted != minUserCommands {
		t.Fatalf("the queue accepted %d user commands, want minUserCommands", accepted)
	}
	if !queue.Post(Heartbeat, func() {}) {
		t.Fatal("Post refused a heartbeat while the limit of user commands was reached")
	}
	if batch := queue.TakeBatch(); len(batch) != maxUserCommandsPerBatch+1 {
		t.Fatalf("TakeBatch returned %d commands, want maxUserCommandsPerBatch and one heartbeat", len(batch))
	}
}

// Whatever the socket limit is, the queue has room for the heartbeats of every worker that can be connected
// and for messages of the other members. A fixed limit of 4,096 was too small.
func TestQueueLimitsScaleWithSockets(t *testing.T) {
	for _, maxSockets := range []int{900, 3500, 4700, 7100, 20000} {
		queue := New(maxSockets, 2)
		for i := range maxSockets + 2 {
			if !queue.Post(Heartbeat, func() {}) {
				t.Fatalf("with %d sockets, Post refused heartbeat %d, want two more accepted than sockets", maxSockets, i)
			}
		}
		userCommands := 0
		for queue.Post(User, func() {}) {
			userCommands++
		}
		if userCommands < minUserCommands || userCommands < maxSockets/4 {
			t.Errorf("with %d sockets, Post accepted %d user commands, want at least minUserCommands and one per four sockets", maxSockets, userCommands)
		}
	}
}
