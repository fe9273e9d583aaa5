package scheduler

import (
	"cmp"
	"math"
	"slices"

	"firwood.dev/firwood/internal/allocation"
)

// gangSlot is room for tasks of a gang on a machine, of which all have the same times and the same cost. Its
// times are in seconds from now and include the image fetch.
type gangSlot struct {
	machine                 *allocation.Machine
	taskCount               int     // how many tasks the slot has room for, at least 1
	isFree                  bool    // whether the room is free now
	readyInSeconds          float64 // when the slot is ready if the current tasks end by themselves; +Inf if never
	preemptedReadyInSeconds float64 // when the slot is ready if work is stopped for it; +Inf if never
	preemptionLoss          float64 // work lost by stopping for each task, in seconds of a machine's work
	score                   float64 // placement score of the machine
}

// costIfReadyBy returns the cost for each task of having the slot ready by the deadline, in seconds of a
// machine's work; +Inf if the slot can't be ready by then.
func (slot *gangSlot) costIfReadyBy(deadline float64) float64 {
	switch {
	case slot.readyInSeconds <= deadline:
		return 0
	case slot.preemptedReadyInSeconds <= deadline:
		return slot.preemptionLoss
	}
	return math.Inf(1)
}

const (
	// drainMargin is a safety factor on predicted run times, because the predictions are means.
	drainMargin = 1.25
	// stopSeconds is how long it takes to stop a task that writes no checkpoint.
	stopSeconds = 0.5
	// restartLossSeconds is what a stopped task loses in addition to its progress: it has to be placed
	// again, mostly with another image fetch.
	restartLossSeconds = 15
)

// gangSlots returns the possible slots for tasks of a gang in a zone, or in all zones if zone is "".
func (cycle *schedulingCycle) gangSlots(queued *queuedJob, zone string) []gangSlot {
	var slots []gangSlot
	for _, machine := range cycle.machines {
		if (zone == "" || machine.Zone == zone) && cycle.isUsable(machine) && !cycle.gangReserved[machine.SortIndex] && allocation.IsEligible(queued.job, machine) {
			slots = cycle.appendMachineSlots(slots, queued, machine)
		}
	}
	return slots
}

// countSlotTasks returns how many tasks slots have room for.
func countSlotTasks(slots []gangSlot) int {
	count := 0
	for i := range slots {
		count += slots[i].taskCount
	}
	return count
}

// appendMachineSlots appends the slots of one machine, with room for at most the tasks that the gang lacks. Tasks
// of the same cost share a slot, so the number of slots follows from the machine's placements. When each task
// had a slot, those of a gang that needs nothing, or little, took all memory
// (docs/incidents/gangs-that-need-nothing.md).
func (cycle *schedulingCycle) appendMachineSlots(slots []gangSlot, queued *queuedJob, machine *allocation.Machine) []gangSlot {
	free := cycle.freeResources(machine)
	search := slotSearch{
		cycle: cycle, queued: queued, machine: machine,
		fetchSeconds: cycle.imageReadySeconds(queued.job, machine), score: cycle.placementScore(queued.job, machine),
		freeNow: free, freeIfDrained: free, freeIfPreempted: free,
	}
	remaining := min(cycle.scheduler.tasksPerMachine(queued.job.Request, machine.Type), len(queued.readyTasks))
	for remaining > 0 {
		slot, ok := search.next(remaining)
		if !ok {
			break
		}
		slots = append(slots, slot)
		remaining -= slot.taskCount
	}
	return slots
}

// slotSearch finds the slots of one machine one after another. It tracks separately which placements
// have ended if the gang waits and which are stopped if it preempts, in both cases for all slots
// found so far.
type slotSearch struct {
	cycle               *schedulingCycle
	queued              *queuedJob
	machine             *allocation.Machine
	fetchSeconds, score float64
	hasListedPlacements bool // whether endingPlacements and victims have been listed

	freeNow allocation.Resources // free resources if nothing ends

	freeIfDrained    allocation.Resources    // free resources if nothing is stopped
	endingPlacements []*allocation.Placement // placements that drainUntilFits has not counted as ended
	drainSeconds     float64                 // seconds until the last placement counted as ended is expected to end

	freeIfPreempted allocation.Resources    // free resources if work is stopped
	victims         []*allocation.Placement // placements that may be stopped and are not counted as stopped
	loss            float64                 // work lost by all stops counted so far, in seconds of a machine's work
}

// next returns the next slot, with room for at most limit tasks, or false if the machine has no further slot.
func (search *slotSearch) next(limit int) (gangSlot, bool) {
	request := search.queued.job.Request
	slot := gangSlot{machine: search.machine, isFree: request.IsWithin(search.freeNow), readyInSeconds: math.Inf(1), preemptedReadyInSeconds: math.Inf(1), score: search.score}
	if !slot.isFree {
		search.listPlacements()
	}
	if search.drainUntilFits(request) {
		slot.readyInSeconds = search.drainSeconds + search.fetchSeconds
	}
	if search.preemptUntilFits(request) {
		slot.preemptedReadyInSeconds, slot.preemptionLoss = stopSeconds+search.fetchSeconds, search.loss
	}
	if math.IsInf(min(slot.readyInSeconds, slot.preemptedReadyInSeconds), 1) {
		return gangSlot{}, false
	}
	slot.taskCount = search.countEqual(&slot, limit)
	search.takeRoom(request.Times(slot.taskCount))
	return slot, true
}

// takeRoom counts room as used by a slot, so that no later slot of the machine counts it again. If nothing ends, the
// room may become negative, which is no room.
func (search *slotSearch) takeRoom(room allocation.Resources) {
	search.freeNow = search.freeNow.Sub(room)
	search.freeIfDrained = search.freeIfDrained.Sub(room)
	search.freeIfPreempted = search.freeIfPreempted.Sub(room)
}

// countEqual returns how many tasks, from 1 to limit, the room found for one task has room for at the same times
// and the same cost.
func (search *slotSearch) countEqual(slot *gangSlot, limit int) int {
	request := search.queued.job.Request
	isPreemptionPossible := !math.IsInf(slot.preemptedReadyInSeconds, 1)
	switch {
	case slot.isFree && isPreemptionPossible:
		return request.CountWithin(search.freeIfPreempted, request.CountWithin(search.freeNow, limit))
	case slot.isFree:
		return request.CountWithin(search.freeNow, limit)
	case math.IsInf(slot.readyInSeconds, 1):
		return request.CountWithin(search.freeIfPreempted, limit)
	}
	return 1
}

// listPlacements lists the placements that end by themselves and those that may be stopped, and counts the room of
// tasks that are being stopped. It does so at most once, and not at all for a machine with enough free room.
func (search *slotSearch) listPlacements() {
	if search.hasListedPlacements {
		return
	}
	search.hasListedPlacements = true
	search.endingPlacements = search.cycle.placementsByEnd(search.machine)
	search.victims = preemptiblePlacements(search.machine, func(placement *allocation.Placement) bool {
		return search.cycle.mayStop(search.queued, placement)
	})
	search.freeIfPreempted = search.freeIfPreempted.Add(*search.cycle.releasingOn(search.machine))
}

// drainUntilFits counts placements as ended, in the order of their ends, until the request fits. It
// reports whether the request fits.
func (search *slotSearch) drainUntilFits(request allocation.Resources) bool {
	for len(search.endingPlacements) > 0 && !request.IsWithin(search.freeIfDrained) {
		ending := search.endingPlacements[0]
		search.drainSeconds = drainMargin * search.cycle.scheduler.remainingSeconds(ending, search.cycle.now)
		search.freeIfDrained = search.freeIfDrained.Add(ending.Job.Request)
		search.endingPlacements = search.endingPlacements[1:]
	}
	return request.IsWithin(search.freeIfDrained)
}

// preemptUntilFits counts placements as stopped until the request fits. It reports whether the
// request fits.
func (search *slotSearch) preemptUntilFits(request allocation.Resources) bool {
	for len(search.victims) > 0 && !request.IsWithin(search.freeIfPreempted) {
		victim := search.victims[0]
		search.loss += search.cycle.preemptionLoss(victim)
		search.freeIfPreempted = search.freeIfPreempted.Add(victim.Job.Request)
		search.victims = search.victims[1:]
	}
	return request.IsWithin(search.freeIfPreempted)
}

// placementsByEnd returns the placements of a machine that end by themselves, the earliest end first.
func (cycle *schedulingCycle) placementsByEnd(machine *allocation.Machine) []*allocation.Placement {
	var placements []*allocation.Placement
	machine.ForEachPlacement(func(placement *allocation.Placement) {
		if !placement.Job.IsService() || placement.IsStopping() {
			placements = append(placements, placement)
		}
	})
	slices.SortFunc(placements, func(a, b *allocation.Placement) int {
		return cmp.Or(cmp.Compare(cycle.scheduler.remainingSeconds(a, cycle.now), cycle.scheduler.remainingSeconds(b, cycle.now)), cmp.Compare(a.TaskIndex, b.TaskIndex))
	})
	return placements
}

// preemptionLoss returns the work lost by stopping a task, in seconds of a whole machine: its run
// since its last checkpoint, and its restart.
func (cycle *schedulingCycle) preemptionLoss(placement *allocation.Placement) float64 {
	elapsed := cycle.scheduler.elapsedSeconds(placement, cycle.now)
	if checkpointInterval := placement.Job.Spec.CheckpointIntervalSeconds; checkpointInterval > 0 {
		elapsed = min(elapsed, checkpointInterval)
	}
	return (elapsed + restartLossSeconds) * dominantShare(placement.Job.Request, placement.Machine.Capacity)
}

// imageReadySeconds returns the seconds until a machine has a job's image. All fetches of a machine
// share its fetch rate.
func (cycle *schedulingCycle) imageReadySeconds(job *allocation.Job, machine *allocation.Machine) float64 {
	if _, ok := machine.ImageUsedAt[job.Spec.Image]; ok {
		return 0
	}
	fetchSeconds := cycle.scheduler.imageFetchSeconds(job, machine.Type)
	if machine.IsFetching(job.Spec.Image) {
		return fetchSeconds / 2 // expected rest of a fetch that began at an unknown time
	}
	return fetchSeconds * float64(1+machine.FetchCount())
}
