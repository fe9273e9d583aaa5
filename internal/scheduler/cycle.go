package scheduler

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// schedulingCycle is the working state of one plan. What it looks at is bounded by what
// waits and by the machines that have room for some of it: most of a large
// fleet is full most of the time.
type schedulingCycle struct {
	scheduler    *Scheduler
	tracker      *allocation.Tracker
	now          clock.Micros
	machines     []*allocation.Machine
	pools        []*poolView
	minNeed      allocation.Resources   // the least of what waits, in each dimension
	reserved     []allocation.Resources // promised to jobs not yet marked, by rank
	gangReserved []bool                 // kept for a gang until more of it is free, by rank
	busySeconds  []float64              // seconds until the last task ends, by rank; -1: not worked out
	releasing    []allocation.Resources // taken by tasks that are stopping, by rank; nil: not worked out
	zoneHealth   map[string]*zoneHealth
	entitled     map[*allocation.Job]bool // what guarantees cover
}

// zoneHealth counts a zone's machines that were up, and those of them heard.
type zoneHealth struct{ upCount, recentCount int }

// isZoneSuspected tells that hardly any machine of a zone is heard: a new one there would
// not be either. Once all that was rented for the replicas of a zone that was
// cut off came up in that zone, which had the fewest machines left.
func (cycle *schedulingCycle) isZoneSuspected(zone string) bool {
	health := cycle.zoneHealth[zone]
	return health != nil && health.upCount >= 3 && 3*health.recentCount < health.upCount
}

// poolView is what a round knows of a pool.
type poolView struct {
	pool         Pool
	machineCount int                   // machines that are, or boot
	withRoom     []*allocation.Machine // usable ones with room

	preemptible    []*allocation.Machine // see there
	hasPreemptible bool
}

func (cycle *schedulingCycle) freeResources(machine *allocation.Machine) allocation.Resources {
	return machine.Free().Sub(cycle.reserved[machine.SortIndex])
}

// poolView finds a pool; there are few.
func (cycle *schedulingCycle) poolView(pool Pool) *poolView {
	for _, view := range cycle.pools {
		if view.pool == pool {
			return view
		}
	}
	view := &poolView{pool: pool}
	cycle.pools = append(cycle.pools, view)
	return view
}

func (cycle *schedulingCycle) machineCount(pool Pool) int {
	for _, view := range cycle.pools {
		if view.pool == pool {
			return view.machineCount
		}
	}
	return 0
}

func (scheduler *Scheduler) newCycle(tracker *allocation.Tracker, queue []*queuedJob, now clock.Micros) *schedulingCycle {
	cycle := &schedulingCycle{scheduler: scheduler, tracker: tracker, now: now, machines: tracker.SortedMachines(), minNeed: minNeed(queue), zoneHealth: map[string]*zoneHealth{}}
	scheduler.reservedBuffer = zeroedSlice(scheduler.reservedBuffer, len(cycle.machines))
	scheduler.busyBuffer = zeroedSlice(scheduler.busyBuffer, len(cycle.machines))
	scheduler.gangReservedBuffer = zeroedSlice(scheduler.gangReservedBuffer, len(cycle.machines))
	cycle.reserved, cycle.busySeconds, cycle.gangReserved = scheduler.reservedBuffer, scheduler.busyBuffer, scheduler.gangReservedBuffer
	for i := range cycle.busySeconds {
		cycle.busySeconds[i] = -1
	}
	for _, machine := range cycle.machines {
		view := cycle.poolView(poolOf(machine))
		view.machineCount++
		// What an earlier leader rented is up for all that is known.
		if machine.FirstHeartbeatAt != 0 || machine.CreatedAt < scheduler.TermStartedAt {
			health := cycle.zoneHealth[machine.Zone]
			if health == nil {
				health = &zoneHealth{}
				cycle.zoneHealth[machine.Zone] = health
			}
			health.upCount++
			if scheduler.hasRecentHeartbeat(machine, now) {
				health.recentCount++
			}
		}
		if len(queue) > 0 && cycle.isUsable(machine) && cycle.minNeed.IsWithin(machine.Free()) {
			view.withRoom = append(view.withRoom, machine)
		}
	}
	return cycle
}

// isUsable tells whether a machine may get tasks now: it is heard, and nothing
// speaks against its being told.
func (cycle *schedulingCycle) isUsable(machine *allocation.Machine) bool {
	return machine.IsSchedulable() && cycle.now >= max(machine.UnreachableUntil, machine.BackoffUntil) && cycle.scheduler.hasRecentHeartbeat(machine, cycle.now)
}

// zeroedSlice returns n zeroed elements, in the given memory if that is enough.
func zeroedSlice[T any](buffer []T, n int) []T {
	if cap(buffer) < n {
		return make([]T, n, n+n/4)
	}
	buffer = buffer[:n]
	clear(buffer)
	return buffer
}
