package health

import (
	"fmt"

	"firwood.dev/firwood/internal/clock"
)

// HandOverReason is why a leader should hand leadership over to another member.
type HandOverReason uint8

const (
	// KeepLeadership is the zero value: there is no reason.
	KeepLeadership HandOverReason = iota
	// StoreUnreadable means: the key-value store renews the lock but answers no reads.
	StoreUnreadable
	// NoneReachable means: all machines became unreachable at once. The leader doesn't wait
	// until another member reports that workers contact it: a worker that has waited four
	// seconds for a reply, and is then redirected to this leader, would lose a lease of ten
	// seconds.
	NoneReachable
	// OnlyLeaderCutOff means: few machines reach the leader while many contact another member.
	OnlyLeaderCutOff
)

// String is the reason as logged.
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

// LeaderReach is what a leader knows of its way to the machines, the store and the others.
type LeaderReach struct {
	Fleet Reachability
	// HadMostReachable tells that most machines were reachable at some time in this term. A
	// leader that never reached them doesn't pass leadership on for that.
	HadMostReachable bool
	// HasCandidate tells that another member, which sends heartbeats and reaches the store,
	// could lead.
	HasCandidate bool
	// ReadAge is how long ago the newest read was sent that the store has answered; it counts
	// from the end of the process's last stall at the earliest.
	ReadAge clock.Micros
	// LeaderTTL is how long the lock lasts without renewal.
	LeaderTTL clock.Micros
	// HasWaitedForWorkers tells that workers had the time to come back since the process's last stall.
	HasWaitedForWorkers bool
	// ContactingOther is how many workers contact the member with the most of them.
	ContactingOther uint32
}

// HandOverReason returns why to hand over, or KeepLeadership. As long as a leader that is cut off
// keeps renewing its lock, no other member can lead, and the workers' leases run out.
func (reach LeaderReach) HandOverReason() HandOverReason {
	switch {
	case reach.HasCandidate && reach.ReadAge > 2*reach.LeaderTTL:
		return StoreUnreadable
	case reach.HadMostReachable && reach.HasCandidate && reach.Fleet.IsFullyUnreachable():
		return NoneReachable
	case reach.HasWaitedForWorkers && reach.Fleet.IsOnlyLeaderCutOff(reach.ContactingOther):
		return OnlyLeaderCutOff
	default:
		return KeepLeadership
	}
}
