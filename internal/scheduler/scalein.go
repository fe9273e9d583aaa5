package scheduler

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// planScaleIn deletes machines of a kind that have been idle for long, but for those that
// the spare target keeps. The ones that have been idle longest go first.
func (cycle *schedulingCycle) planScaleIn(kind machineKind, idleToKeep int, decision *Decision) {
	if cycle.hasUnconfirmedTasks(kind) {
		return
	}
	var idle []*allocation.Machine
	for _, machine := range cycle.machines {
		if machineKind(machine.Spot) == kind && machine.IsSchedulable() && machine.IsIdle() && cycle.reserved[machine.SortIndex] == (allocation.Resources{}) {
			idle = append(idle, machine)
		}
	}
	slices.SortStableFunc(idle, func(a, b *allocation.Machine) int { return -cmp.Compare(a.BecameIdleAt, b.BecameIdleAt) })
	idleTimeout := cycle.scheduler.Settings.IdleTimeout
	if cycle.fleetSize(kind)/machinesPerSpare > minSpareLimit {
		idleTimeout /= 2 // the spares, which have grown with the fleet, are what is kept
	}
	for i, machine := range idle {
		if i >= idleToKeep && cycle.isIdleTooLong(machine, kind, idleTimeout) {
			decision.ScaleIn = append(decision.ScaleIn, machine)
		}
	}
}

// isIdleTooLong tells whether an idle machine is to be deleted. The minimum charge is paid
// whether the machine is used or not, so a younger one is kept, unless it has been idle for
// the full timeout.
func (cycle *schedulingCycle) isIdleTooLong(machine *allocation.Machine, kind machineKind, idleTimeout clock.Micros) bool {
	timeout := idleTimeout
	if !cycle.scheduler.needsWarmSpares(cycle.scheduler.demandForKind(kind), cycle.scheduler.BootTime(machine.Type, medianBootPercentile)) {
		timeout = min(cycle.scheduler.Settings.RelaxedIdleTimeout, idleTimeout)
	}
	idleFor := cycle.now - max(machine.BecameIdleAt, machine.FirstHeartbeatAt)
	return idleFor >= timeout && (cycle.now-machine.CreatedAt >= minChargedDuration || idleFor >= idleTimeout)
}

// minChargedDuration is the least time that a deleted machine is charged for (PROTOCOL, "GET /flavors").
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

// hasUnconfirmedTasks tells whether tasks that may use machines of a kind are unconfirmed.
// They are either found on a machine or have to be started again, all at once. Added after
// a new leader deleted a fleet's idle machines while two in three of its tasks were
// unconfirmed.
func (cycle *schedulingCycle) hasUnconfirmedTasks(kind machineKind) bool {
	for _, job := range cycle.tracker.Jobs {
		if job.UnconfirmedCount() > 0 && !job.Cancelled && (job.Spec.AllowsSpot || kind == onDemandMachines) {
			return true
		}
	}
	return false
}
