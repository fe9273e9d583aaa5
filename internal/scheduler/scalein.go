package scheduler

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// planScaleIn deletes machines of a kind that have been idle for too long, except for those that a waiting
// gang counts on and the idleToKeep machines that became idle last, which the spare target keeps.
func (cycle *schedulingCycle) planScaleIn(kind machineKind, idleToKeep int, decision *Decision) {
	if cycle.hasUnconfirmedTasks(kind) {
		return
	}
	var idle []*allocation.Machine
	for _, machine := range cycle.machines {
		if machineKind(machine.Spot) == kind && machine.IsSchedulable() && machine.IsIdle() && !cycle.heldForGang[machine.SortIndex] && cycle.reserved[machine.SortIndex] == (allocation.Resources{}) {
			idle = append(idle, machine)
		}
	}
	slices.SortStableFunc(idle, func(a, b *allocation.Machine) int { return -cmp.Compare(a.BecameIdleAt, b.BecameIdleAt) })
	idleTimeout := cycle.scheduler.Settings.IdleTimeout
	if cycle.fleetSize(kind)/machinesPerSpare > minSpareLimit {
		idleTimeout /= 2 // the spare target, which grows with the fleet, keeps enough idle machines
	}
	for i, machine := range idle {
		if i >= idleToKeep && cycle.isIdleTooLong(machine, kind, idleTimeout) {
			decision.ScaleIn = append(decision.ScaleIn, machine)
		}
	}
}

// isIdleTooLong reports whether an idle machine is to be deleted. A machine younger than
// minChargedDuration is paid for until it reaches that age in any case, so it is kept unless it has
// been idle for the whole of idleTimeout.
func (cycle *schedulingCycle) isIdleTooLong(machine *allocation.Machine, kind machineKind, idleTimeout clock.Micros) bool {
	timeout := idleTimeout
	if !cycle.scheduler.needsWarmSpares(cycle.scheduler.demandForKind(kind), cycle.scheduler.BootTime(machine.Type, medianBootPercentile)) {
		timeout = min(cycle.scheduler.Settings.RelaxedIdleTimeout, idleTimeout)
	}
	idleFor := cycle.now - max(machine.BecameIdleAt, machine.FirstHeartbeatAt)
	return idleFor >= timeout && (cycle.now-machine.CreatedAt >= minChargedDuration || idleFor >= idleTimeout)
}

// minChargedDuration is the shortest time that the cloud charges for a machine, even if it is
// deleted earlier (PROTOCOL, "GET /flavors").
const minChargedDuration = 60 * clock.Second

// fleetSize counts the machines of a kind.
func (cycle *schedulingCycle) fleetSize(kind machineKind) int {
	n := 0
	for _, view := range cycle.pools {
		if machineKind(view.pool.Spot) == kind {
			n += view.machineCount
		}
	}
	return n
}

// hasUnconfirmedTasks reports whether there are unconfirmed tasks that may use machines of a kind.
// Idle machines are kept for them: each task will either be found on a machine or has to be started
// again, possibly all of them at once. Without this check a new leader deleted a fleet's idle machines
// while two in three of its tasks were unconfirmed.
func (cycle *schedulingCycle) hasUnconfirmedTasks(kind machineKind) bool {
	for _, job := range cycle.tracker.Jobs {
		if job.UnconfirmedCount() > 0 && !job.Cancelled && (job.Spec.AllowsSpot || kind == onDemandMachines) {
			return true
		}
	}
	return false
}
