package scheduler

import (
	"cmp"
	"math"
	"slices"

	"firwood.dev/firwood/internal/allocation"
)

// The tasks of a gang start together, so the gang waits until its last task has a place. Few machines
// are entirely free, since most tasks use only part of one, and room that becomes free would go to
// the next small task before enough of it is free at the same time. The scheduler therefore works
// out, for each possible slot, when the slot will be ready with the gang's image fetched and which
// work would have to be stopped for that, and reserves the cheapest slots. Jobs later in the queue
// can't use the reserved amount, and other gangs skip the machine altogether. A reservation lasts for
// one plan; the next plan renews or drops it. See docs/design.md, "Gangs".

// cheapestSlots selects, for all tasks of a gang, the cheapest slots that are ready within readyBy
// seconds, and among equally cheap ones those with the highest score. It returns the slots and the
// work lost for them, in seconds of a machine's work. It returns nil if there are not enough slots.
func cheapestSlots(queued *queuedJob, slots []gangSlot, readyBy float64) (selected []gangSlot, loss float64) {
	job, taskCount := queued.job, len(queued.readyTasks)
	for _, slot := range slots {
		if !math.IsInf(slot.costIfReadyBy(readyBy), 1) {
			selected = append(selected, slot)
		}
	}
	if countSlotTasks(selected) < taskCount {
		return nil, 0
	}
	slices.SortFunc(selected, func(a, b gangSlot) int {
		return cmp.Or(cmp.Compare(a.costIfReadyBy(readyBy), b.costIfReadyBy(readyBy)), -cmp.Compare(a.score, b.score), cmp.Compare(a.machine.SortIndex, b.machine.SortIndex))
	})
	zones := map[string]int{}
	chosen := selected[:0]
	remaining := taskCount
	for _, slot := range selected {
		zone := slot.machine.Zone
		slot.taskCount = min(slot.taskCount, remaining)
		if job.Spec.SpreadZones {
			slot.taskCount = min(slot.taskCount, job.MaxTasksPerZone()-job.CountInZone(zone)-zones[zone])
		}
		if slot.taskCount <= 0 {
			continue
		}
		zones[zone] += slot.taskCount
		remaining -= slot.taskCount
		loss += float64(slot.taskCount) * slot.costIfReadyBy(readyBy)
		chosen = append(chosen, slot)
	}
	if remaining > 0 {
		return nil, 0
	}
	return chosen, loss
}

// chooseSlots chooses the slots of a gang so that the cost of waiting and the cost of stopped work
// are lowest in total: every second of waiting costs GangWaitWeight for each task. It returns the
// slots, the seconds until the last of them is ready, and the cost. It returns nil slots and a cost
// of +Inf if there are not enough.
func (cycle *schedulingCycle) chooseSlots(queued *queuedJob, slots []gangSlot) (best []gangSlot, readyBy, cost float64) {
	taskCount := float64(len(queued.job.Tasks)) // all tasks of the gang wait, not only the unplaced ones
	cost = math.Inf(1)
	for _, seconds := range cycle.candidateTimes(queued, slots) {
		wait := cycle.scheduler.Settings.GangWaitWeight * taskCount * seconds
		if wait >= cost {
			break // all later times cost more, even if no work is stopped for them
		}
		if selected, loss := cheapestSlots(queued, slots, seconds); selected != nil && wait+loss < cost {
			best, readyBy, cost = selected, seconds, wait+loss
		}
	}
	return best, readyBy, cost
}

// candidateTimes returns the times at which some slot will be ready, rounded up to whole seconds, in
// ascending order. It leaves out times beyond maxReservationSeconds, unless the gang is aged.
func (cycle *schedulingCycle) candidateTimes(queued *queuedJob, slots []gangSlot) []float64 {
	maxSeconds := cycle.maxReservationSeconds(queued.job, slots)
	var times []float64
	for i := range slots {
		for _, seconds := range []float64{slots[i].readyInSeconds, slots[i].preemptedReadyInSeconds} {
			if seconds <= maxSeconds || queued.isAged && !math.IsInf(seconds, 1) {
				times = append(times, math.Ceil(seconds))
			}
		}
	}
	slices.Sort(times)
	return slices.Compact(times)
}

// maxReservationSeconds returns the longest time for which a gang may reserve room, which is as long
// as a machine requested now would take to boot and fetch the image. The machine type of the first
// slot stands for all types.
func (cycle *schedulingCycle) maxReservationSeconds(job *allocation.Job, slots []gangSlot) float64 {
	typeName := slots[0].machine.Type
	return cycle.scheduler.BootTime(typeName, medianBootPercentile).Seconds() + cycle.scheduler.imageFetchSeconds(job, typeName)
}

// placeGang places either all waiting tasks of a gang or none. In a gang that is partly placed these
// are the tasks that it lost before it was complete. If the best slots are not all free yet, it
// reserves them instead. No machines are requested for the gang while they would not be ready sooner than its reserved
// room: an aged gang may wait for a task that runs for hours. It returns the number of tasks that placeOnSlots placed or reserved room for,
// or 0 if placeOnSlots was not called.
func (cycle *schedulingCycle) placeGang(queued *queuedJob) int {
	if len(queued.readyTasks) != queued.job.WaitingCount() || queued.taskLimit < len(queued.readyTasks) {
		return 0
	}
	slots, readyBy := cycle.bestSlots(queued)
	switch {
	case slots == nil:
		return 0
	case slices.ContainsFunc(slots, func(slot gangSlot) bool { return !slot.isFree }):
		cycle.reserveSlots(queued, slots, readyBy)
		queued.hasReservation = readyBy <= cycle.maxReservationSeconds(queued.job, slots)
		if !queued.hasReservation {
			queued.countReserved(slots)
		}
		return 0
	}
	return cycle.placeOnSlots(queued, slots)
}

// bestSlots chooses the slots of a gang and returns them with the seconds until all are ready. For
// a gang that needs all its tasks in one zone it chooses the cheapest zone.
func (cycle *schedulingCycle) bestSlots(queued *queuedJob) (best []gangSlot, bestReadyBy float64) {
	zones := []string{""}
	if queued.job.Spec.SingleZone {
		zones = cycle.scheduler.Zones
	}
	cost := math.Inf(1)
	for _, zone := range zones {
		slots := cycle.gangSlots(queued, zone)
		if countSlotTasks(slots) < len(queued.readyTasks) {
			continue
		}
		if selected, readyBy, selectedCost := cycle.chooseSlots(queued, slots); selectedCost < cost {
			best, bestReadyBy, cost = selected, readyBy, selectedCost
		}
	}
	return best, bestReadyBy
}

// countReserved counts the tasks of a gang for which room that is free now is reserved, so that machines are requested
// only for the others. A gang that needs one zone may find its machines in another, so nothing is counted for it.
func (queued *queuedJob) countReserved(slots []gangSlot) {
	if queued.job.Spec.SingleZone {
		return
	}
	queued.reservedByZone = map[string]int{}
	for _, slot := range slots {
		if slot.isFree {
			queued.reservedByZone[slot.machine.Zone] += slot.taskCount
		}
	}
}

// reserveSlots reserves room for a gang and stops the work that has to be stopped for the room to be
// free in time.
func (cycle *schedulingCycle) reserveSlots(queued *queuedJob, slots []gangSlot, readyBy float64) {
	tasksByMachine := map[*allocation.Machine]int{}
	for _, slot := range slots {
		tasksByMachine[slot.machine] += slot.taskCount
	}
	for _, slot := range slots {
		if !cycle.gangReserved[slot.machine.SortIndex] {
			cycle.reserveForGang(queued, slot.machine, queued.job.Request.Times(tasksByMachine[slot.machine]), readyBy)
		}
	}
}

// reserveForGang reserves room on one machine. It stops placements that would not end in time by
// themselves, but only as many as the room requires.
func (cycle *schedulingCycle) reserveForGang(queued *queuedJob, machine *allocation.Machine, wanted allocation.Resources, readyBy float64) {
	cycle.gangReserved[machine.SortIndex] = true
	fetchSeconds := cycle.imageReadySeconds(queued.job, machine)
	isEndingInTime := func(placement *allocation.Placement) bool {
		return drainMargin*cycle.scheduler.remainingSeconds(placement, cycle.now)+fetchSeconds <= readyBy
	}
	available := cycle.freeAfterStopping(machine)
	for _, placement := range cycle.placementsByEnd(machine) {
		if !placement.IsStopping() && isEndingInTime(placement) {
			available = available.Add(placement.Job.Request)
		}
	}
	victims := preemptiblePlacements(machine, func(placement *allocation.Placement) bool {
		return cycle.mayStop(queued, placement) && !isEndingInTime(placement)
	})
	for _, placement := range victims {
		if wanted.IsWithin(available) {
			break
		}
		cycle.stopPlacement(placement)
		available = available.Add(placement.Job.Request)
	}
	// The amounts can be negative, which reserves nothing: another version may have placed more than fits.
	unreserved := componentMax(cycle.freeResources(machine), allocation.Resources{})
	cycle.reserve(machine, componentMin(wanted, unreserved))
}

// placeOnSlots places a gang on slots that are free. If the job's starts are not recorded yet, it
// only reserves the room. It returns the number of tasks that it placed or reserved room for.
func (cycle *schedulingCycle) placeOnSlots(queued *queuedJob, slots []gangSlot) int {
	job := queued.job
	if !job.StartsRecorded {
		for _, slot := range slots {
			cycle.reserve(slot.machine, job.Request.Times(slot.taskCount))
		}
		return len(queued.readyTasks)
	}
	attempt, isReplacement := job.GangAttempt, job.GangAttempt != 0
	if !isReplacement {
		attempt = cycle.tracker.NextAttempt()
	}
	unplaced, placed := queued.readyTasks, 0
	for _, slot := range slots {
		for _, taskIndex := range unplaced[:slot.taskCount] {
			switch {
			case cycle.tracker.PlaceTask(job, taskIndex, slot.machine, attempt, cycle.now) == nil:
				placed++
			case isReplacement:
				// The tasks that wait keep what they have fetched; a later plan places the replacement.
			default:
				cycle.tracker.StopJob(job, 0) // the gang can't start whole, so stop the tasks placed in this attempt
				return 0
			}
		}
		unplaced = unplaced[slot.taskCount:]
	}
	return placed
}
