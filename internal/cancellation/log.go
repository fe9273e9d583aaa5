// Package cancellation has the log of recent durable cancellations, which members send each
// other in heartbeats.
//
// The leader learns of cancellations from the key-value store. If only the leader is refused
// there, other members go on confirming cancellations, and an outage for all may follow
// before another leader is elected. So every member forwards the cancellations that it knows
// to be durable until the others' views are as new, and the leader stops those tasks while
// it may still act.
package cancellation

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
)

// MinEarlySendInterval bounds how often news is sent outside of the regular heartbeats.
const MinEarlySendInterval = 100 * clock.Millisecond

// Log holds recent durable cancellations, in the order in which this member learned of them.
type Log struct {
	entries    []entry
	retention  clock.Micros
	maxEntries int // beyond them the older half is dropped
	// nextIndex is where the next message begins, if not all entries fit into one.
	nextIndex int
	// hasUnsentEntry: an entry has come that was not sent yet.
	hasUnsentEntry  bool
	lastEarlySendAt clock.Micros
}

type entry struct {
	peer.Cancellation
	receivedAt clock.Micros
}

// NewLog makes a log that keeps entries for the cancellation timeout: after that no task of a
// cancelled job is left (PROTOCOL, "Rules"). changesPerSecond is the store's limit; each
// cancellation is a change, so no more can become durable within the timeout. The log has room for
// twice as many, since reading all keys again brings those of the last timeout at once.
func NewLog(cancelTimeout clock.Micros, changesPerSecond float64) Log {
	return Log{retention: cancelTimeout, maxEntries: 2 * (int(changesPerSecond*cancelTimeout.Seconds()) + 1)}
}

// Add adds a durable cancellation, unless it is so old that the job's tasks are gone. now is an
// instant of the steady clock; wall is the time of day, which CancelledAt is compared with.
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

// TakeEarlySendRequest reports whether there are entries to be sent without waiting for the next regular
// heartbeat, at most once per MinEarlySendInterval. If so, they count as sent from now on.
func (log *Log) TakeEarlySendRequest(now clock.Micros) bool {
	if !log.hasUnsentEntry || now-log.lastEarlySendAt < MinEarlySendInterval {
		return false
	}
	log.hasUnsentEntry, log.lastEarlySendAt = false, now
	return true
}

// UnknownTo lists the entries that a view of a revision may lack. When they are more than a
// message takes, the next call goes on where this one ended.
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

// expire drops entries that were added longer ago than the retention.
func (log *Log) expire(now clock.Micros) {
	expiredCount := 0
	for expiredCount < len(log.entries) && now-log.entries[expiredCount].receivedAt > log.retention {
		expiredCount++
	}
	log.entries = append(log.entries[:0], log.entries[expiredCount:]...)
}
