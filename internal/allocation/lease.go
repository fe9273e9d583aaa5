package allocation

import "firwood.dev/firwood/internal/clock"

// SetDelegatedUntil sets the time until which other controllers may have renewed workers' leases as
// delegates of this leader or an earlier one. untilByZone replaces that time for the zones that it
// lists. The tracker assumes that every lease was renewed at that time.
func (tracker *Tracker) SetDelegatedUntil(until clock.Micros, untilByZone map[string]clock.Micros) {
	tracker.delegatedUntil, tracker.delegatedUntilByZone = until, untilByZone
}

// CapLeaseRenewal records an earlier leader's renewal constraint: that leader answered no heartbeat of
// the machine after latestRenewalAt. The cap holds until this leader answers a heartbeat of the machine.
func (tracker *Tracker) CapLeaseRenewal(machine *Machine, latestRenewalAt clock.Micros) {
	machine.leaseRenewedAt = min(machine.leaseRenewedAt, latestRenewalAt)
}

// LastRenewalAt returns the latest time at which a leader may have renewed the machine's lease. It
// doesn't include renewals by delegates.
func (machine *Machine) LastRenewalAt() clock.Micros { return machine.leaseRenewedAt }

// leaseSlack is the margin that LeaseEndsAt adds to the drift of both clocks, for rounding and for a
// worker that kills its tasks somewhat after the end of its lease.
const leaseSlack = clock.Second

// LeaseEndsAt returns the time on the monotonic clock from which the machine's lease has certainly
// run out, if no further heartbeat of the machine is answered.
func (tracker *Tracker) LeaseEndsAt(machine *Machine) clock.Micros {
	delegatedUntil, ok := tracker.delegatedUntilByZone[machine.Zone]
	if !ok {
		delegatedUntil = tracker.delegatedUntil
	}
	return max(machine.leaseRenewedAt, delegatedUntil) + tracker.cfg.LeaseTTL + clock.MutualDrift(tracker.cfg.LeaseTTL) + leaseSlack
}

// ExpireLease ends the placements of a machine if its lease has certainly run out, and reports whether the
// lease has run out. After that, the machine gets no task before it sends a heartbeat of a new incarnation.
func (tracker *Tracker) ExpireLease(machine *Machine, now clock.Micros) bool {
	if now < tracker.LeaseEndsAt(machine) {
		return false
	}
	machine.TokenConfirmed = false
	// A heartbeat of the ended incarnation may still arrive late.
	machine.minIncarnation = machine.Incarnation + 1
	for _, placement := range machine.placements {
		tracker.endAfterLeaseExpiry(placement, now)
	}
	clear(machine.lateStarts)
	clear(machine.startTokens)
	tracker.markReconciled(machine)
	return true
}

// endAfterLeaseExpiry ends a placement whose machine's lease has ended: the worker has killed the task and
// refuses commands for the incarnation, so no start of the task can have an effect.
func (tracker *Tracker) endAfterLeaseExpiry(placement *Placement, now clock.Micros) {
	placement.mayArriveLate, placement.startsInFlight = false, 0
	tracker.endPlacement(placement, CauseVanished, now)
}
