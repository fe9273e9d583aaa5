package scheduler

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// schedulingCycle is the working state of one plan. The work of a plan is bounded by the waiting
// jobs and by the machines that have room for some of them, since most machines of a large fleet are
// full most of the time.
type schedulingCycle struct {
	scheduler  *Scheduler
	tracker    *allocation.Tracker
	now        clock.Micros          // monotonic time
	wallNow    clock.Micros          // wall-clock time
	machines   []*allocation.Machine // sorted; a machine's SortIndex is its index in this slice
	pools      []*poolView
	minNeed    allocation.Resources     // component-wise minimum of the queued jobs' requests
	entitled   map[*allocation.Job]bool // jobs within their team's guaranteed quota
	zoneHealth map[string]*zoneHealth

	// These slices are indexed by SortIndex. The first four are the scheduler's reused buffers.
	reserved     []allocation.Resources // room for jobs whose starts are not recorded yet, and for gangs
	gangReserved []bool                 // whether a gang has reserved room that is not all free yet
	heldForGang  []bool                 // whether the machine is idle and a gang that waits for further machines counts on it
	busySeconds  []float64              // seconds until the last task ends; -1 if not computed yet
	releasing    []allocation.Resources // resources of stopping tasks; the slice is nil until computed
}

// zoneHealth counts the machines of a zone that have been up, and how many of them have a recent
// heartbeat.
type zoneHealth struct{ upCount, recentCount int }

// isZoneSuspected reports whether a zone has at least three machines that have been up and fewer
// than a third of them have a recent heartbeat: a new machine there would probably be unreachable
// too. Added after a zone lost its network and all machines requested for its replicas came up in
// that same zone, because it had the fewest machines left.
func (cycle *schedulingCycle) isZoneSuspected(zone string) bool {
	health := cycle.zoneHealth[zone]
	return health != nil && health.upCount >= 3 && 3*health.recentCount < health.upCount
}

// poolView is what a plan knows about a pool.
type poolView struct {
	pool         Pool
	machineCount int                   // existing machines, including booting ones
	withRoom     []*allocation.Machine // usable machines with room for at least minNeed

	preemptible         []*allocation.Machine // result of preemptibleMachines, once computed
	isPreemptibleListed bool                  // whether preemptible has been computed
}

// freeResources returns the resources of a machine that are neither used nor reserved.
func (cycle *schedulingCycle) freeResources(machine *allocation.Machine) allocation.Resources {
	return machine.Free().Sub(cycle.reserved[machine.SortIndex])
}

// poolView returns the view of a pool and adds it if it is missing. The search is linear
// because there are few pools.
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

// newCycle starts a plan for a queue. It groups the machines by pool and counts, for each zone,
// the machines with a recent heartbeat.
func (scheduler *Scheduler) newCycle(tracker *allocation.Tracker, queue []*queuedJob, now clock.Micros) *schedulingCycle {
	cycle := &schedulingCycle{scheduler: scheduler, tracker: tracker, now: now, machines: tracker.SortedMachines(), minNeed: minNeed(queue), zoneHealth: map[string]*zoneHealth{}}
	buffers := &scheduler.buffers
	buffers.reserved = zeroedSlice(buffers.reserved, len(cycle.machines))
	buffers.gangReserved = zeroedSlice(buffers.gangReserved, len(cycle.machines))
	buffers.busySeconds = zeroedSlice(buffers.busySeconds, len(cycle.machines))
	buffers.heldForGang = zeroedSlice(buffers.heldForGang, len(cycle.machines))
	cycle.reserved, cycle.gangReserved, cycle.busySeconds = buffers.reserved, buffers.gangReserved, buffers.busySeconds
	cycle.heldForGang = buffers.heldForGang
	for i := range cycle.busySeconds {
		cycle.busySeconds[i] = -1
	}
	for _, machine := range cycle.machines {
		view := cycle.poolView(poolOf(machine))
		view.machineCount++
		cycle.updateZoneHealth(machine)
		if len(queue) > 0 && cycle.isUsable(machine) && cycle.minNeed.IsWithin(machine.Free()) {
			view.withRoom = append(view.withRoom, machine)
		}
	}
	return cycle
}

// updateZoneHealth counts a machine in its zone's health unless it is still booting. A machine
// requested by an earlier leader counts as having been up, because this leader can't tell.
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

// isUsable reports whether a machine may get tasks now: it is schedulable, has a recent heartbeat,
// can be reached by commands, and is not backing off after task failures.
func (cycle *schedulingCycle) isUsable(machine *allocation.Machine) bool {
	return machine.IsSchedulable() && cycle.now >= max(machine.UnreachableUntil, machine.BackoffUntil) && cycle.scheduler.hasRecentHeartbeat(machine, cycle.now)
}

// zeroedSlice returns a slice of n zeroed elements. It reuses the buffer if that is large enough.
func zeroedSlice[T any](buffer []T, n int) []T {
	if cap(buffer) < n {
		return make([]T, n, n+n/4)
	}
	buffer = buffer[:n]
	clear(buffer)
	return buffer
}
