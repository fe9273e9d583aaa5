package scheduler

import (
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/forecast"
)

// PendingScaleOut is a rental under way: asked for, no names yet.
type PendingScaleOut struct {
	Pool  Pool
	Count int
}

// ScaleOutRequest is a decision to rent.
type ScaleOutRequest struct {
	Pool  Pool
	Count int
}

// Decision is what a plan wants done; placements are already in the ledger.
type Decision struct {
	RecordStarts []*allocation.Job
	ScaleOut     []ScaleOutRequest
	ScaleIn      []*allocation.Machine
	// Drain is a machine whose replicas go to others, nil if none.
	Drain *allocation.Machine
	// SpotSpares and Ordinary tell how the spare targets came about.
	SpotSpares, OrdinarySpares SpareReport
}

// SpareReport is the record of one choice of a spare target.
type SpareReport struct {
	ArrivalScreen, RunTimeScreen forecast.ScreenResult
	IsEnabled                    bool // the screen passed, the queue is empty, an arrival is recent
	Cost                         forecast.SpareCost
}

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
	cycle := &schedulingCycle{scheduler: scheduler, tracker: tracker, now: now, machines: tracker.SortedMachines(), zoneHealth: map[string]*zoneHealth{}}
	scheduler.reservedBuffer = zeroedSlice(scheduler.reservedBuffer, len(cycle.machines))
	scheduler.busyBuffer = zeroedSlice(scheduler.busyBuffer, len(cycle.machines))
	scheduler.gangReservedBuffer = zeroedSlice(scheduler.gangReservedBuffer, len(cycle.machines))
	cycle.reserved, cycle.busySeconds, cycle.gangReserved = scheduler.reservedBuffer, scheduler.busyBuffer, scheduler.gangReservedBuffer
	for i := range cycle.busySeconds {
		cycle.busySeconds[i] = -1
	}
	for i, queued := range queue {
		need := queued.job.Request
		if i == 0 {
			cycle.minNeed = need
		}
		cycle.minNeed = allocation.Resources{MilliCPU: min(cycle.minNeed.MilliCPU, need.MilliCPU), MilliGPU: min(cycle.minNeed.MilliGPU, need.MilliGPU), MemoryMB: min(cycle.minNeed.MemoryMB, need.MemoryMB)}
	}
	for _, machine := range cycle.machines {
		view := cycle.poolView(Pool{machine.Type, machine.Zone, machine.Spot})
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

// Plan places what fits, and works out what to rent and to give back; wall is
// the time of day, which deadlines are reckoned in.
func (scheduler *Scheduler) Plan(tracker *allocation.Tracker, now, wall clock.Micros, pendingScaleOuts []PendingScaleOut) Decision {
	var decision Decision
	entitled := scheduler.quotaEntitlements(tracker)
	queue := scheduler.buildQueue(tracker, entitled, now, wall)
	cycle := scheduler.newCycle(tracker, queue, now)
	cycle.entitled = entitled
	for _, queued := range queue {
		queued.taskLimit = cycle.quotaAllowance(queued.job)
		var placed int
		if queued.job.IsGang() {
			placed = cycle.placeGang(queued)
		} else {
			placed = cycle.placeTasks(queued)
		}
		queued.job.StartedByAging = queued.job.StartedByAging || placed > 0 && queued.isAged && !queued.isEntitled
		if placed > 0 && !queued.job.StartsRecorded {
			decision.RecordStarts = append(decision.RecordStarts, queued.job)
		}
		queued.unplaced = min(queued.unplaced, queued.taskLimit) - placed
	}
	queue = slices.DeleteFunc(queue, func(queued *queuedJob) bool { return queued.hasReservation })
	cycle.preemptForQueue(queue)
	cycle.planScaleOut(queue, pendingScaleOuts, &decision)
	cycle.planSpares(queue, pendingScaleOuts, &decision)
	return decision
}

// quotaAllowance is how many more tasks of a job its team's limit allows.
func (cycle *schedulingCycle) quotaAllowance(job *allocation.Job) int {
	quota := cycle.scheduler.Teams[job.Spec.Team]
	usage := cycle.tracker.TeamUsage(job.Spec.Team)
	n := len(job.Tasks)
	if quota.MaxMilliCPU > 0 && job.Request.MilliCPU > 0 {
		n = min(n, int((quota.MaxMilliCPU-usage.MilliCPU)/job.Request.MilliCPU))
	}
	if quota.MaxMilliGPU > 0 && job.Request.MilliGPU > 0 {
		n = min(n, int((quota.MaxMilliGPU-usage.MilliGPU)/job.Request.MilliGPU))
	}
	n = max(n, 0)
	if job.IsGang() && n < job.WaitingCount() {
		return 0
	}
	return n
}
