package scheduler

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// schedulingCycle is the working state of one plan. What it looks at is bounded by what
// waits and by the machines that have room for some of it: most of a large
// fleet is full most of the time.
type schedulingCycle struct {
	scheduler  *Scheduler
	tracker    *allocation.Tracker
	now        clock.Micros
	machines   []*allocation.Machine // sorted; a machine's SortIndex is its index here
	pools      []*poolView
	minNeed    allocation.Resources     // the component-wise minimum of the needs in the queue
	entitled   map[*allocation.Job]bool // jobs within their team's guaranteed quota
	zoneHealth map[string]*zoneHealth

	// By SortIndex; the first three are the scheduler's buffers.
	reserved     []allocation.Resources // for jobs whose starts are not recorded yet, and gangs
	gangReserved []bool                 // a gang waits here until more of the machine is free
	busySeconds  []float64              // until the last task ends; -1: not worked out
	releasing    []allocation.Resources // used by tasks that are stopping; nil: not worked out
}

// zoneHealth counts a zone's machines that were up, and those of them with a recent heartbeat.
type zoneHealth struct{ upCount, recentCount int }

// isZoneSuspected tells whether fewer than a third of a zone's machines, of three or more,
// have a recent heartbeat: a new one there would probably be unreachable too. Added after
// all machines requested for the replicas of a zone without network came up in that zone,
// as it had the fewest machines left.
func (cycle *schedulingCycle) isZoneSuspected(zone string) bool {
	health := cycle.zoneHealth[zone]
	return health != nil && health.upCount >= 3 && 3*health.recentCount < health.upCount
}

// poolView is what a plan knows of a pool.
type poolView struct {
	pool         Pool
	machineCount int                   // machines that exist, booting ones included
	withRoom     []*allocation.Machine // usable ones with room

	preemptible         []*allocation.Machine // the result of preemptibleMachines
	isPreemptibleListed bool                  // that is worked out
}

// freeResources is what is free on a machine and not reserved.
func (cycle *schedulingCycle) freeResources(machine *allocation.Machine) allocation.Resources {
	return machine.Free().Sub(cycle.reserved[machine.SortIndex])
}

// findOrAddPoolView finds or adds a pool; there are few.
func (cycle *schedulingCycle) findOrAddPoolView(pool Pool) *poolView {
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

// newCycle starts a plan for a queue: it sorts the machines into pools and counts those
// that send heartbeats.
func (scheduler *Scheduler) newCycle(tracker *allocation.Tracker, queue []*queuedJob, now clock.Micros) *schedulingCycle {
	cycle := &schedulingCycle{scheduler: scheduler, tracker: tracker, now: now, machines: tracker.SortedMachines(), minNeed: minNeed(queue), zoneHealth: map[string]*zoneHealth{}}
	buffers := &scheduler.buffers
	buffers.reserved = zeroedSlice(buffers.reserved, len(cycle.machines))
	buffers.gangReserved = zeroedSlice(buffers.gangReserved, len(cycle.machines))
	buffers.busySeconds = zeroedSlice(buffers.busySeconds, len(cycle.machines))
	cycle.reserved, cycle.gangReserved, cycle.busySeconds = buffers.reserved, buffers.gangReserved, buffers.busySeconds
	for i := range cycle.busySeconds {
		cycle.busySeconds[i] = -1
	}
	for _, machine := range cycle.machines {
		view := cycle.findOrAddPoolView(poolOf(machine))
		view.machineCount++
		cycle.updateZoneHealth(machine)
		if len(queue) > 0 && cycle.isUsable(machine) && cycle.minNeed.IsWithin(machine.Free()) {
			view.withRoom = append(view.withRoom, machine)
		}
	}
	return cycle
}

// updateZoneHealth counts a machine for its zone's health. One that an earlier leader requested
// counts as up: nothing else is known.
func (cycle *schedulingCycle) updateZoneHealth(machine *allocation.Machine) {
	if machine.FirstHeartbeatAt == 0 && machine.CreatedAt >= cycle.scheduler.TermStartedAt {
		return
	}
	health := cycle.zoneHealth[machine.Zone]
	if health == nil {
		health = &zoneHealth{}
		cycle.zoneHealth[machine.Zone] = health
	}
	health.upCount++
	if cycle.scheduler.hasRecentHeartbeat(machine, cycle.now) {
		health.recentCount++
	}
}

// isUsable tells whether a machine may get tasks now: it is schedulable, has a recent
// heartbeat, accepts commands, and is not backing off after failed tasks.
func (cycle *schedulingCycle) isUsable(machine *allocation.Machine) bool {
	return machine.IsSchedulable() && cycle.now >= max(machine.UnreachableUntil, machine.BackoffUntil) && cycle.scheduler.hasRecentHeartbeat(machine, cycle.now)
}

// zeroedSlice returns n zeroed elements, in the buffer if that is large enough.
func zeroedSlice[T any](buffer []T, n int) []T {
	if cap(buffer) < n {
		return make([]T, n, n+n/4)
	}
	buffer = buffer[:n]
	clear(buffer)
	return buffer
}
