package health

import (
	"fmt"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// Verdict is what becomes of a machine.
type Verdict uint8

const (
	// Keep is the zero value: the machine stays.
	Keep Verdict = iota
	// LeaseExpired means: its lease has run out, so its tasks have ended for certain, and it is
	// to be deleted.
	LeaseExpired
	// LeaseExpiredWhileBooting means: no task can be on it, but it stays: it was requested in this
	// term and may yet boot.
	LeaseExpiredWhileBooting
	// NeverBooted means: it has taken too long to boot.
	NeverBooted
	// Suspected means: its heartbeats are missing while most of its zone is reachable.
	Suspected
	// Drained means: it gets no tasks and is empty, or it is cordoned, since a start of a
	// cancelled job may still arrive there.
	Drained
	// ReclaimedIdle means: the cloud reclaims it, and it is empty.
	ReclaimedIdle
	// Reclaimed means: the cloud reclaims it, and it has tasks.
	Reclaimed
)

// String is the verdict as logged.
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

// Term is the part of a leadership term that machines are judged by.
type Term struct {
	StartedAt      clock.Micros
	SuspectTimeout clock.Micros
	Tracker        *allocation.Tracker // only read
	BootTimeout    func(machineType string) clock.Micros
}

// Evidence is what else is known of one machine.
type Evidence struct {
	// Silence is for how long its heartbeats have been missing although they could have arrived.
	// It counts from the last stall of this process, and from the last time that its zone was
	// mostly unreachable, at the earliest.
	Silence clock.Micros
	// IsListedBooting: the cloud's last list said that it boots.
	IsListedBooting bool
	// Zone counts the machines of its zone that have booted.
	Zone Reachability
}

// Judge decides what becomes of a machine, which it only reads.
func (term *Term) Judge(machine *allocation.Machine, evidence Evidence, now clock.Micros) Verdict {
	hasBooted := machine.FirstHeartbeatAt != 0
	isFromEarlierTerm := machine.CreatedAt < term.StartedAt
	switch {
	case term.Tracker.LeaseEndsAt(machine) <= now && (hasBooted || !machine.Reconciled):
		// The lease of a machine that hasn't booted matters only until it is reconciled: then
		// no task can be there.
		if hasBooted || isFromEarlierTerm {
			// A machine that an earlier leader requested, and that was reclaimed meanwhile, is
			// missing from the cloud's list: it would count as booting for ever.
			return LeaseExpired
		}
		return LeaseExpiredWhileBooting
	case !hasBooted && term.isBootOverdue(machine, evidence, now):
		return NeverBooted
	case hasBooted && evidence.Silence > term.SuspectTimeout && evidence.Zone.IsMostlyReachable():
		// Deleting it proves that its tasks have ended, sooner than its lease would. If a
		// whole zone is silent, a network partition is more likely, and its machines come
		// back. Zone was added after a leader that was cut off had deleted half of its fleet.
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

// isBootOverdue reports whether a machine without a heartbeat has taken too long to boot. That
// this leader has had no heartbeat of it is no proof: an earlier leader may have had some. So the
// machine has to have been requested in this term, or be listed as booting. Added after a leader
// had taken a zone that was cut off for machines that never booted, and had deleted it with all
// that ran there (docs/incidents/zone-taken-for-booting.md).
func (term *Term) isBootOverdue(machine *allocation.Machine, evidence Evidence, now clock.Micros) bool {
	isRequestedInTerm := machine.CreatedAt > term.StartedAt
	if !isRequestedInTerm && !evidence.IsListedBooting {
		return false
	}
	return now-machine.CreatedAt > term.BootTimeout(machine.Type) && evidence.Silence > term.SuspectTimeout
}
