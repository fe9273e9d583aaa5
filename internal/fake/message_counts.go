package fake

import "firwood.dev/firwood/wire"

// MessageCounts counts messages of workers that exceed the size that PROTOCOL allows (wire.MaxBodyBytes), what
// follows from them, and copies of command requests. Workers keep to that limit: they refuse larger command requests and don't read larger
// replies.
type MessageCounts struct {
	// LargestHeartbeat is the size in bytes of the largest heartbeat that a worker sent, and OversizedHeartbeats is
	// how many were too large.
	LargestHeartbeat, OversizedHeartbeats int
	// OversizedReplies and RefusedCommandRequests count controllers' messages that workers didn't read. A command
	// request that isn't JSON counts as well.
	OversizedReplies, RefusedCommandRequests int
	// LeasesLostWithTasks is how often a lease expired while tasks were on the machine.
	LeasesLostWithTasks int
	// ExecutedCopies is how many copies of command requests workers have executed, most of them without effect.
	ExecutedCopies int
}

// Messages returns the counts so far.
func (cloud *Cloud) Messages() MessageCounts {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	return cloud.messages
}

// countHeartbeat counts a heartbeat that a worker is about to send.
func (counts *MessageCounts) countHeartbeat(body []byte) {
	counts.LargestHeartbeat = max(counts.LargestHeartbeat, len(body))
	if len(body) > wire.MaxBodyBytes {
		counts.OversizedHeartbeats++
	}
}
