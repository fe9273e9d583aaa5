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
	// MemberTimeout is the time without a heartbeat after which a member counts as unreachable.
	MemberTimeout = 3 * HeartbeatInterval
)

// Host is the part of the controller that its term uses: actions that only the controller can perform
// and facts that only it knows. All methods but PostResult are for the controller's goroutine.
type Host interface {
	// PostResult queues a command for the controller's goroutine. It may be called on any goroutine.
	PostResult(command func())

	// IsEntitled reports whether this process may act as leader now. EntitledUntil returns the end of
	// the lock's lease, as far as this process knows.
	IsEntitled() bool
	EntitledUntil() clock.Micros
	// HandleFenced ends the term that has this token, since a write has shown that the token is stale.
	// HandleHigherToken does the same, since a worker has shown a higher token.
	HandleFenced(token uint64)
	HandleHigherToken(token uint64)
	// HandOver ends the term, and keeps this member out of elections for the duration of the backoff.
	HandOver(now, backoff clock.Micros)

	// Heartbeats returns the other members' last heartbeats, Timestamps their newest timestamps, and
	// WorkerContacts their reports of how many workers contact them. All are keyed by member.
	Heartbeats() map[string]*ReceivedHeartbeat
	Timestamps() map[string]delegation.Timestamp
	WorkerContacts() map[string]WorkerContact
	// SendHeartbeatNow makes the next tick send heartbeats to the other members.
	SendHeartbeatNow()
	// SendStreamMessage sends a message of the standby stream to a member.
	SendStreamMessage(member string, heartbeat *peer.Heartbeat)

	// MachineTypes returns the machine types that the cloud offers.
	MachineTypes() []wire.MachineType
	// LookUpIfEvicted fetches a job's record from the store if it may have been evicted from
	// the view.
	LookUpIfEvicted(id string)
	// ProblemOf returns a job's line in the job report, and whether the job belongs there. wall is the
	// wall-clock time.
	ProblemOf(id string, record *storeview.Job, wall int64) (problem jobreport.Problem, isProblem bool)
	// AdjustRateShare lets this member use the part of the store's write rate that the others leave.
	AdjustRateShare(now clock.Micros)
	// LogDropped logs something that is malformed or exceeds a limit. The rate is bounded separately for
	// each message.
	LogDropped(message string, args ...any)
}

// ReceivedHeartbeat is the last heartbeat of another member.
type ReceivedHeartbeat struct {
	Heartbeat  *peer.Heartbeat
	ReceivedAt clock.Micros
}

// WorkerContact is how many workers have recently contacted a member, and when the member reported that.
type WorkerContact struct {
	Workers    uint32
	ReportedAt clock.Micros
}
