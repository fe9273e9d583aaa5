package health

import (
	"fmt"

	"firwood.dev/firwood/internal/clock"
)

// HandOverReason is why a leader should hand leadership over to another member.
type HandOverReason uint8

const (
	// KeepLeadership is the zero value: there is no reason to hand over.
	KeepLeadership HandOverReason = iota
	// StoreUnreadable means that the key-value store renews the lock but answers no reads.
	StoreUnreadable
	// NoneReachable means that all machines became unreachable at once. The leader doesn't wait until
	// another member reports that workers contact it: a worker that has waited four seconds for a
	// reply, and is then redirected to this leader, would lose a lease of ten seconds.
	NoneReachable
	// OnlyLeaderCutOff means that few machines reach the leader while many contact another member.
	OnlyLeaderCutOff
)

// String returns the reason as it appears in logs.
func (reason HandOverReason) String() string {
	switch reason {
	case KeepLeadership:
		return "none"
	case StoreUnreadable:
		return "store answers no reads"
	case NoneReachable:
		return "no machine is reachable"
	case OnlyLeaderCutOff:
		return "few machines are reachable, others are contacted"
	default:
		return fmt.Sprintf("HandOverReason(%d)", uint8(reason))
	}
}

// LeaderReach is what a leader knows of its connections to the machines, the key-value store and the
// other members.
type LeaderReach struct {
	Fleet Reachability
	// WasMostlyReachable is true if the fleet was mostly reachable (see
	// Reachability.IsMostlyReachable) at some time in this term. A leader that never reached the
	// machines doesn't hand over because none is reachable.
	WasMostlyReachable bool
	// HasCandidate is true if another member that sends heartbeats and reaches the store could
	// become leader.
	HasCandidate bool
	// ReadAge is the time since the newest read that the store has answered was sent, or since the end
	// of the process's last stall if that is later.
	ReadAge clock.Micros
	// LeaderTTL is how long the leader's lock lasts without renewal.
	LeaderTTL clock.Micros
	// HasWaitedForWorkers is true if workers have had enough time to send heartbeats again since
	// the process's last stall.
	HasWaitedForWorkers bool
	// ContactingOther is the largest number of workers that contact any single other member.
	ContactingOther uint32
}

// HandOverReason returns why the leader should hand over, or KeepLeadership. As long as a leader that is
// cut off keeps renewing its lock, no other member can become leader, and the workers' leases expire.
func (reach LeaderReach) HandOverReason() HandOverReason {
	switch {
	case reach.HasCandidate && reach.ReadAge > 2*reach.LeaderTTL:
		return StoreUnreadable
	case reach.WasMostlyReachable && reach.HasCandidate && reach.Fleet.IsFullyUnreachable():
		return NoneReachable
	case reach.HasWaitedForWorkers && reach.Fleet.IsOnlyLeaderCutOff(reach.ContactingOther):
		return OnlyLeaderCutOff
	default:
		return KeepLeadership
	}
}
