package commandqueue

import (
	"slices"
	"testing"
)

// Heartbeats go before results, results before users' requests, and those are bounded: in
// the queue, and in a batch.
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
		t.Fatalf("order %v", got)
	}
	accepted := 0
	for queue.Post(User, func() {}) {
		accepted++
	}
	if accepted != minUserCommands {
		t.Fatalf("%d user commands queued", accepted)
	}
	if !queue.Post(Heartbeat, func() {}) {
		t.Fatal("a heartbeat is refused because of users' requests")
	}
	if batch := queue.TakeBatch(); len(batch) != maxUserCommandsPerBatch+1 {
		t.Fatalf("a batch of %d", len(batch))
	}
}

// Heartbeats of every worker that can be connected fit, with messages of the other
// members, whatever the limit of sockets is. Added after a queue of 4,096 had been too small.
func TestQueueLimitsScaleWithSockets(t *testing.T) {
	for _, maxSockets := range []int{900, 3500, 4700, 7100, 20000} {
		queue := New(maxSockets, 2)
		for i := range maxSockets + 2 {
			if !queue.Post(Heartbeat, func() {}) {
				t.Fatalf("%d sockets: heartbeat %d is refused", maxSockets, i)
			}
		}
		userCommands := 0
		for queue.Post(User, func() {}) {
			userCommands++
		}
		if userCommands < minUserCommands || userCommands < maxSockets/4 {
			t.Errorf("%d sockets: %d commands of users", maxSockets, userCommands)
		}
	}
}
