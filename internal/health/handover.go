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
	// NoneReachable means: all machines became unreachable at once. This doesn't wait for another
	// member to be contacted: a worker that has waited four seconds for a reply, and is
	// then redirected here, loses a lease of ten seconds.
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
	// HasCandidate tells that another member sends heartbeats and reaches the store.
	HasCandidate bool
	// ReadAge is since when the store has answered no read, at most since the process resumed.
	ReadAge clock.Micros
	// LeaderTTL is how long the lock lasts without renewal.
	LeaderTTL clock.Micros
	// HasSettled tells that workers had the time to come back since the process resumed.
	HasSettled bool
	// ContactingOther is how many workers contact the member with the most of them.
	ContactingOther uint32
}

// HandOverReason tells whether to hand over, and why. Until the leader does, it keeps its
// lock while the workers' leases run out.
func (reach LeaderReach) HandOverReason() HandOverReason {
	switch {
	case reach.HasCandidate && reach.ReadAge > 2*reach.LeaderTTL:
		return StoreUnreadable
	case reach.HadMostReachable && reach.HasCandidate && reach.Fleet.IsNoneReachable():
		return NoneReachable
	case reach.HasSettled && reach.Fleet.IsOnlyLeaderCutOff(reach.ContactingOther):
		return OnlyLeaderCutOff
	default:
		return KeepLeadership
	}
}
