// Package cancellation keeps a log of recent durable cancellations, which members send each other in
// heartbeats.
//
// The leader learns of cancellations from the key-value store. If the store refuses only the leader's
// requests, other members continue to confirm cancellations, and the store may then become unavailable to
// all members before another leader is elected. So every member forwards the cancellations that it knows to
// be durable until the other members' views are as recent, and the leader stops the tasks concerned
// while it may still act.
package cancellation

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
)

// MinEarlySendInterval is the minimum interval between two requests to send new entries ahead of the
// regular heartbeats.
const MinEarlySendInterval = 100 * clock.Millisecond

// Log holds recent durable cancellations, in the order in which this member learned of them.
type Log struct {
	entries    []entry
	retention  clock.Micros // for how long an entry is kept
	maxEntries int          // when the log holds this many, the next Add first drops the older half
	// nextIndex is the index of the first entry of the next message when not all entries fit into one.
	nextIndex int
	// hasUnsentEntry is true if an entry was added since the last early send.
	hasUnsentEntry  bool
	lastEarlySendAt clock.Micros
}

type entry struct {
	peer.Cancellation
	receivedAt clock.Micros
}

// NewLog returns a log that keeps entries for the cancellation timeout, after which no task of a
// cancelled job is left (PROTOCOL, "Rules"). changesPerSecond is the store's limit. Each cancellation is
// a change, so the limit bounds how many can become durable within the timeout. The log has room for
// twice as many, because reading all keys again brings the cancellations of the last timeout at once.
func NewLog(cancelTimeout clock.Micros, changesPerSecond float64) Log {
	return Log{retention: cancelTimeout, maxEntries: 2 * (int(changesPerSecond*cancelTimeout.Seconds()) + 1)}
}

// Add adds a durable cancellation, unless it is so old that the job's tasks are gone. now is a time of
// the monotonic clock. wallTime is the wall-clock time, which is compared with CancelledAt.
func (log *Log) Add(cancellation peer.Cancellation, now, wallTime clock.Micros) {
	if wallTime-cancellation.CancelledAt > log.retention {
		return
	}
	if len(log.entries) >= log.maxEntries {
		log.entries = append(log.entries[:0], log.entries[len(log.entries)/2:]...)
	}
	log.entries = append(log.entries, entry{Cancellation: cancellation, receivedAt: now})
	log.hasUnsentEntry = true
}

// TakeEarlySendRequest reports whether there are entries to send without waiting for the next regular
// heartbeat. It returns true at most once per MinEarlySendInterval, and the entries then count as sent.
func (log *Log) TakeEarlySendRequest(now clock.Micros) bool {
	if !log.hasUnsentEntry || now-log.lastEarlySendAt < MinEarlySendInterval {
		return false
	}
	log.hasUnsentEntry, log.lastEarlySendAt = false, now
	return true
}

// UnknownTo returns the entries that a view of the given revision may lack. If they don't fit into one
// message, it returns as many as fit, and the next call continues with those that follow.
func (log *Log) UnknownTo(revision uint64, now clock.Micros) []peer.Cancellation {
	log.expire(now)
	var unknown []peer.Cancellation
	for _, entry := range log.entries {
		if entry.Revision > revision {
			unknown = append(unknown, entry.Cancellation)
		}
	}
	if len(unknown) <= peer.MaxCancellations {
		return unknown
	}
	from := log.nextIndex % len(unknown)
	log.nextIndex = from + peer.MaxCancellations
	rotated := append(unknown[from:len(unknown):len(unknown)], unknown[:from]...)
	return rotated[:peer.MaxCancellations]
}

// expire drops the entries that were added longer ago than the retention.
func (log *Log) expire(now clock.Micros) {
	expiredCount := 0
	for expiredCount < len(log.entries) && now-log.entries[expiredCount].receivedAt > log.retention {
		expiredCount++
	}
	log.entries = append(log.entries[:0], log.entries[expiredCount:]...)
}
