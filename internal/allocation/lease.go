package allocation

import "firwood.dev/firwood/internal/clock"

// SetDelegatedUntil takes until when other controllers may have answered workers in this
// leader's name or an earlier one's, as far as can be known now, and in which
// zones something else is known. No lease ends sooner than one that was renewed
// then.
func (tracker *Tracker) SetDelegatedUntil(until clock.Micros, untilByZone map[string]clock.Micros) {
	tracker.delegatedUntil, tracker.delegatedUntilByZone = until, untilByZone
}

// CapLeaseRenewal takes what an earlier leader has promised: no report of the
// machine was answered after that. It holds as long as this leader answers none.
func (tracker *Tracker) CapLeaseRenewal(machine *Machine, at clock.Micros) {
	machine.leaseRenewedAt = min(machine.leaseRenewedAt, at)
}

// LastRenewalAt is the last instant at which a report of the machine may have been
// answered, by delegates left out.
func (machine *Machine) LastRenewalAt() clock.Micros { return machine.leaseRenewedAt }

// PROTOCOL bounds the drift of two steady clocks against each other by 0.05 %. LeaseEndsAt allows
// one part in leaseDriftDivisor (0.2 %), and leaseSlack for what is rounded or late.
const (
	leaseDriftDivisor = 500
	leaseSlack        = clock.Second
)

// LeaseEndsAt is when the machine's lease has provably run out, if nothing is
// answered to it any more. The slack covers drift of both clocks.
func (tracker *Tracker) LeaseEndsAt(machine *Machine) clock.Micros {
	delegatedUntil, ok := tracker.delegatedUntilByZone[machine.Zone]
	if !ok {
		delegatedUntil = tracker.delegatedUntil
	}
	return max(machine.leaseRenewedAt, delegatedUntil) + tracker.cfg.LeaseTTL + tracker.cfg.LeaseTTL/leaseDriftDivisor + leaseSlack
}

// ExpireLease ends what was on a machine whose lease has run out. The machine has
// to be heard anew before it gets anything.
func (tracker *Tracker) ExpireLease(machine *Machine, now clock.Micros) bool {
	if now < tracker.LeaseEndsAt(machine) {
		return false
	}
	machine.TokenConfirmed = false
	// A report of the session that is over may still come, out of the network.
	machine.minIncarnation = machine.Incarnation + 1
	for _, placement := range machine.placements {
		tracker.endWithLease(placement, now)
	}
	clear(machine.lateStarts)
	clear(machine.startTokens)
	tracker.reconcile(machine)
	return true
}

// endWithLease ends a placement whose machine has lost its lease: no start of it can have an
// effect any more.
func (tracker *Tracker) endWithLease(placement *Placement, now clock.Micros) {
	placement.mayArriveLate, placement.startsInFlight = false, 0
	tracker.endPlacement(placement, CauseVanished, now)
}
