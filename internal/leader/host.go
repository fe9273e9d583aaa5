package leader

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/jobreport"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a member to the others.
	HeartbeatInterval = clock.Second
	// MemberTimeout is after how long without a heartbeat a member counts as unreachable.
	MemberTimeout = 3 * HeartbeatInterval
)

// Host is what a term needs of the controller that it belongs to: what the controller alone can
// do, and what it alone knows. All methods but PostResult are for the controller's goroutine.
type Host interface {
	// PostResult queues a command for the controller's goroutine. It may be called on any goroutine.
	PostResult(command func())

	// IsEntitled tells whether this process may act as leader now; EntitledUntil is the end of
	// the lock's lease as known.
	IsEntitled() bool
	EntitledUntil() clock.Micros
	// HandleFenced reports that a write has proven the term's token to be outdated, which ends
	// the term; HandleHigherToken reports the same of a worker, which has shown a higher one.
	HandleFenced(token uint64)
	HandleHigherToken(token uint64)
	// HandOver ends the term, and stays out of elections for a while.
	HandOver(now, backoff clock.Micros)

	// Heartbeats are the other members' last heartbeats, Timestamps their newest timestamps, and
	// WorkerContacts what they wrote of workers that contact them; all by member.
	Heartbeats() map[string]*ReceivedHeartbeat
	Timestamps() map[string]delegation.Timestamp
	WorkerContacts() map[string]WorkerContact
	// SendHeartbeatNow has heartbeats sent to the other members with the next tick.
	SendHeartbeatNow()
	// SendStreamMessage sends a message of the standby stream to a member.
	SendStreamMessage(member string, heartbeat *peer.Heartbeat)

	// MachineTypes are what the cloud offers.
	MachineTypes() []wire.MachineType
	// LookUpIfEvicted fetches a job's record from the store if it may have been evicted from
	// the view.
	LookUpIfEvicted(id string)
	// ProblemOf returns a job's line in the job report, and whether it belongs there; wall is
	// the time of day.
	ProblemOf(id string, record *storeview.Job, wall int64) (problem jobreport.Problem, isProblem bool)
	// AdjustRateShare lets this member use what the others leave of the store's rate of changes.
	AdjustRateShare(now clock.Micros)
	// LogDropped logs, at a rate that is bounded for each message, something that is malformed or
	// exceeds a limit.
	LogDropped(message string, args ...any)
}

// ReceivedHeartbeat is the last heartbeat of another member.
type ReceivedHeartbeat struct {
	Heartbeat  *peer.Heartbeat
	ReceivedAt clock.Micros
}

// WorkerContact is how many workers contacted a member lately, and when it said so.
type WorkerContact struct {
	Workers    uint32
	ReportedAt clock.Micros
}
