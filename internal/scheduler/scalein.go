package scheduler

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// planScaleIn returns machines that have been idle for the wait, but for those
// that the spare target keeps.
func (cycle *schedulingCycle) planScaleIn(spot bool, idleToKeep int, decision *Decision) {
	if cycle.hasUnconfirmedTasks(spot) {
		return
	}
	demand := &cycle.scheduler.ordinaryDemand
	if spot {
		demand = &cycle.scheduler.spotDemand
	}
	var idle []*allocation.Machine
	for _, machine := range cycle.machines {
		if machine.Spot == spot && machine.IsSchedulable() && machine.IsIdle() && cycle.reserved[machine.SortIndex] == (allocation.Resources{}) {
			idle = append(idle, machine)
		}
	}
	slices.SortStableFunc(idle, func(a, b *allocation.Machine) int { return -cmp.Compare(a.BecameIdleAt, b.BecameIdleAt) })
	idleTimeout := cycle.scheduler.Settings.IdleTimeout
	if cycle.fleetSize(spot)/machinesPerSpare > minSpareLimit {
		idleTimeout /= 2 // the spares, which have grown with the fleet, are what is kept
	}
	for i, machine := range idle {
		idle := cycle.now - max(machine.BecameIdleAt, machine.FirstHeartbeatAt)
		timeout := idleTimeout
		if !cycle.scheduler.needsWarmSpares(demand, cycle.scheduler.BootTime(machine.Type, 50)) {
			timeout = min(cycle.scheduler.Settings.RelaxedIdleTimeout, idleTimeout)
		}
		// The first minute is paid whether it is used or not.
		if i >= idleToKeep && idle >= timeout && (cycle.now-machine.CreatedAt >= minChargedDuration || idle >= idleTimeout) {
			decision.ScaleIn = append(decision.ScaleIn, machine)
		}
	}
}

// minChargedDuration is what a deleted machine costs at least; the protocol says so.
const minChargedDuration = 60 * clock.Second

// fleetSize counts the machines of a kind.
func (cycle *schedulingCycle) fleetSize(spot bool) int {
	n := 0
	for _, view := range cycle.pools {
		if view.pool.Spot == spot {
			n += view.machineCount
		}
	}
	return n
}

// hasUnconfirmedTasks tells whether tasks that may use machines of a kind are in doubt. They are
// either found on a machine or have to be started anew, all at once: once a fleet's
// idle machines were given back while two in three of its tasks were in doubt.
func (cycle *schedulingCycle) hasUnconfirmedTasks(spot bool) bool {
	for _, job := range cycle.tracker.Jobs {
		if job.UnconfirmedCount() > 0 && !job.Cancelled && (job.Spec.AllowsSpot || !spot) {
			return true
		}
	}
	return false
}
