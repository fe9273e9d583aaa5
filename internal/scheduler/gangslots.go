package scheduler

import (
	"cmp"
	"math"
	"slices"

	"firwood.dev/firwood/internal/allocation"
)

// gangSlot is room for one task of a gang. Times are seconds from now.
type gangSlot struct {
	machine                 *allocation.Machine
	isFree                  bool    // there is room now
	readyInSeconds          float64 // ready, image and all, if what is there ends by itself
	preemptedReadyInSeconds float64 // ready if work is stopped for it
	preemptionLoss          float64 // seconds of a machine's work that are lost by that
	score                   float64
}

// costIfReadyBy is what it costs, in seconds of a machine's work, to have a slot by some time; +Inf
// if that can't be.
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
	// drainMargin is the safety factor on predicted run times, which are means.
	drainMargin = 1.25
	// stopSeconds is how long a task that writes no checkpoint takes to stop.
	stopSeconds = 0.5
	// restartLossSeconds is what a stopped task loses beside its progress: it has to be placed
	// again, mostly with an image fetch.
	restartLossSeconds = 15
)

// gangSlots lists where tasks of a gang could go in a zone, or anywhere if that is empty.
func (cycle *schedulingCycle) gangSlots(queued *queuedJob, zone string) []gangSlot {
	var slots []gangSlot
	for _, machine := range cycle.machines {
		if (zone == "" || machine.Zone == zone) && cycle.isUsable(machine) && !cycle.gangReserved[machine.SortIndex] && allocation.IsEligible(queued.job, machine) {
			slots = cycle.appendMachineSlots(slots, queued, machine)
		}
	}
	return slots
}

func (cycle *schedulingCycle) appendMachineSlots(slots []gangSlot, queued *queuedJob, machine *allocation.Machine) []gangSlot {
	free := cycle.freeResources(machine)
	search := slotSearch{
		cycle: cycle, queued: queued, machine: machine,
		fetchSeconds: cycle.imageReadySeconds(queued.job, machine), score: cycle.placementScore(queued.job, machine),
		freeIfDrained: free, freeIfPreempted: free,
	}
	for range cycle.scheduler.tasksPerMachine(queued.job.Request, machine.Type) {
		slot, ok := search.next()
		if !ok {
			break
		}
		slots = append(slots, slot)
	}
	return slots
}

// slotSearch finds the slots of one machine, one after the other: each by what ends by
// itself, and by what is stopped, beyond what the slots before it need.
type slotSearch struct {
	cycle               *schedulingCycle
	queued              *queuedJob
	machine             *allocation.Machine
	fetchSeconds, score float64
	hasListedPlacements bool // endingPlacements and victims are

	freeIfDrained    allocation.Resources // if nothing is stopped
	endingPlacements []*allocation.Placement
	drainSeconds     float64

	freeIfPreempted allocation.Resources
	victims         []*allocation.Placement
	loss            float64
}

// next returns the next slot; false if the machine has no other.
func (search *slotSearch) next() (gangSlot, bool) {
	request := search.queued.job.Request
	slot := gangSlot{machine: search.machine, isFree: request.IsWithin(search.freeIfDrained), readyInSeconds: math.Inf(1), preemptedReadyInSeconds: math.Inf(1), score: search.score}
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
	search.freeIfDrained, search.freeIfPreempted = search.freeIfDrained.Sub(request), search.freeIfPreempted.Sub(request)
	return slot, true
}

// listPlacements lists, once, what ends by itself and what may be stopped; a machine with
// enough free room needs neither.
func (search *slotSearch) listPlacements() {
	if search.hasListedPlacements {
		return
	}
	search.hasListedPlacements = true
	search.endingPlacements = search.cycle.placementsByEnd(search.machine)
	search.victims = preemptiblePlacements(search.machine, func(placement *allocation.Placement) bool {
		return search.cycle.mayStop(search.queued, placement)
	})
	search.freeIfPreempted = search.cycle.freeAfterStopping(search.machine)
}

// drainUntilFits lets placements end until there is room; false if there never is.
func (search *slotSearch) drainUntilFits(request allocation.Resources) bool {
	for len(search.endingPlacements) > 0 && !request.IsWithin(search.freeIfDrained) {
		ending := search.endingPlacements[0]
		search.drainSeconds = drainMargin * search.cycle.scheduler.remainingSeconds(ending, search.cycle.now)
		search.freeIfDrained = search.freeIfDrained.Add(ending.Job.Request)
		search.endingPlacements = search.endingPlacements[1:]
	}
	return request.IsWithin(search.freeIfDrained)
}

// preemptUntilFits stops placements until there is room; false if there never is.
func (search *slotSearch) preemptUntilFits(request allocation.Resources) bool {
	for len(search.victims) > 0 && !request.IsWithin(search.freeIfPreempted) {
		victim := search.victims[0]
		search.loss += search.cycle.preemptionLoss(victim)
		search.freeIfPreempted = search.freeIfPreempted.Add(victim.Job.Request)
		search.victims = search.victims[1:]
	}
	return request.IsWithin(search.freeIfPreempted)
}

// placementsByEnd lists what will end by itself on a machine, what ends first first.
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

// preemptionLoss is what stopping a task loses, in seconds of a whole machine: its run since
// its last checkpoint, and a new start.
func (cycle *schedulingCycle) preemptionLoss(placement *allocation.Placement) float64 {
	elapsed := cycle.scheduler.elapsedSeconds(placement, cycle.now)
	if checkpointInterval := placement.Job.Spec.CheckpointIntervalSeconds; checkpointInterval > 0 {
		elapsed = min(elapsed, checkpointInterval)
	}
	return (elapsed + restartLossSeconds) * dominantShare(placement.Job.Request, placement.Machine.Capacity)
}

// imageReadySeconds is how long, in seconds, a machine takes until it has a job's image:
// fetches share its rate.
func (cycle *schedulingCycle) imageReadySeconds(job *allocation.Job, machine *allocation.Machine) float64 {
	if _, ok := machine.ImageUsedAt[job.Spec.Image]; ok {
		return 0
	}
	fetchSeconds := cycle.scheduler.imageFetchSeconds(job, machine.Type)
	if machine.IsFetching(job.Spec.Image) {
		return fetchSeconds / 2 // under way since an unknown instant
	}
	return fetchSeconds * float64(1+machine.FetchCount())
}
