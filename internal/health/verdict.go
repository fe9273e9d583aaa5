package health

import (
	"fmt"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// Verdict is the decision about a machine.
type Verdict uint8

const (
	// Keep is the zero value: nothing is done about the machine.
	Keep Verdict = iota
	// LeaseExpired means that the machine's lease has expired, so its tasks have certainly ended, and
	// the machine is to be deleted.
	LeaseExpired
	// LeaseExpiredWhileBooting means that the lease has expired, so no task can be on the machine, but
	// that the machine is kept: it was requested in this term and may still boot.
	LeaseExpiredWhileBooting
	// NeverBooted means that the machine has taken too long to boot.
	NeverBooted
	// Suspected means that the machine's heartbeats are missing while most of its zone is reachable.
	Suspected
	// Drained means that the machine is to be deleted because it is draining and idle, or because a
	// start of a cancelled job may still arrive there and it is too late to fence that start.
	Drained
	// ReclaimedIdle means that the cloud reclaims the machine, which is idle.
	ReclaimedIdle
	// Reclaimed means that the cloud reclaims the machine, which still has tasks.
	Reclaimed
)

// String returns the verdict as it appears in logs.
func (verdict Verdict) String() string {
	names := [...]string{
		Keep: "keep", LeaseExpired: "lease expired", LeaseExpiredWhileBooting: "lease expired while booting", NeverBooted: "did not boot",
		Suspected: "suspected", Drained: "drained", ReclaimedIdle: "reclaimed, idle", Reclaimed: "reclaimed",
	}
	if int(verdict) >= len(names) {
		return fmt.Sprintf("Verdict(%d)", uint8(verdict))
	}
	return names[verdict]
}

// Term holds what decisions about machines need from the current leadership term.
type Term struct {
	StartedAt      clock.Micros
	SuspectTimeout clock.Micros
	Tracker        *allocation.Tracker // never changed by this package
	BootTimeout    func(machineType string) clock.Micros
}

// Evidence is what the leader knows about a machine beyond the fields of allocation.Machine.
type Evidence struct {
	// Silence is how long the machine's heartbeats have been missing although they could have arrived.
	// It starts no earlier than the end of this process's last stall, and no earlier than the last time
	// that the machine's zone was mostly unreachable.
	Silence clock.Micros
	// IsListedBooting is true if the cloud's last list showed the machine as booting.
	IsListedBooting bool
	// Zone counts the booted machines of the machine's zone.
	Zone Reachability
}

// Judge decides what to do about a machine, without changing the machine.
func (term *Term) Judge(machine *allocation.Machine, evidence Evidence, now clock.Micros) Verdict {
	hasBooted := machine.FirstHeartbeatAt != 0
	isFromEarlierTerm := machine.CreatedAt < term.StartedAt
	switch {
	case term.Tracker.LeaseEndsAt(machine) <= now && (hasBooted || !machine.Reconciled):
		// The lease of a machine that hasn't booted matters only until the machine is reconciled:
		// from then on it is known that no task is on it.
		if hasBooted || isFromEarlierTerm {
			// If a machine that an earlier leader requested has been reclaimed meanwhile, it is missing
			// from the cloud's list and would count as booting forever.
			return LeaseExpired
		}
		return LeaseExpiredWhileBooting
	case !hasBooted && term.isBootOverdue(machine, evidence, now):
		return NeverBooted
	case hasBooted && evidence.Silence > term.SuspectTimeout && evidence.Zone.IsMostlyReachable():
		// Deleting the machine proves that its tasks have ended, and does so before its lease expires.
		// If a whole zone is silent, a network partition is more likely, and its machines become
		// reachable again. The condition on the zone was added after a leader that was cut off had
		// deleted half of its fleet.
		return Suspected
	case machine.Draining && machine.IsIdle(), term.Tracker.HasUnfenceableStart(machine, now):
		return Drained
	case machine.ReclaimAt != 0 && machine.IsIdle():
		return ReclaimedIdle
	case machine.ReclaimAt != 0:
		return Reclaimed
	default:
		return Keep
	}
}

// isBootOverdue reports whether a machine without a heartbeat has taken too long to boot. That this leader
// has received no heartbeat from the machine doesn't prove that it never booted, since an earlier leader
// may have received some. So the machine must have been requested in this term or be listed as booting.
// Without this condition, a leader once mistook the machines of a zone that was cut off for machines that
// had never booted, and deleted them with all tasks there (docs/incidents/zone-taken-for-booting.md).
func (term *Term) isBootOverdue(machine *allocation.Machine, evidence Evidence, now clock.Micros) bool {
	isRequestedInTerm := machine.CreatedAt > term.StartedAt
	if !isRequestedInTerm && !evidence.IsListedBooting {
		return false
	}
	return now-machine.CreatedAt > term.BootTimeout(machine.Type) && evidence.Silence > term.SuspectTimeout
}
