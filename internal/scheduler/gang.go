package scheduler

import (
	"cmp"
	"math"
	"slices"

	"firwood.dev/firwood/internal/allocation"
)

// A gang starts with its last task, whole machines are rare where most tasks take a part of
// one, and room that becomes free would go to the next small task before enough of it is
// free together. So for each place it is worked out when it will be ready, its image
// fetched, and what work would have to be stopped for that, and what costs least is
// reserved. The reserved amount is withheld from jobs later in the queue; other gangs skip
// the machine. A reservation lasts one plan; the next one makes it again or drops it. See
// docs/design.md, "Gangs".

// cheapestSlots picks the cheapest slots that are ready by some time for all tasks of a
// gang, and of equal ones the best, with the work that is lost for them; nil if there are
// not enough.
func cheapestSlots(queued *queuedJob, slots []gangSlot, readyBy float64) (selected []gangSlot, loss float64) {
	job, taskCount := queued.job, len(queued.readyTasks)
	for _, slot := range slots {
		if !math.IsInf(slot.costBy(readyBy), 1) {
			selected = append(selected, slot)
		}
	}
	if len(selected) < taskCount {
		return nil, 0
	}
	slices.SortFunc(selected, func(a, b gangSlot) int {
		return cmp.Or(cmp.Compare(a.costBy(readyBy), b.costBy(readyBy)), -cmp.Compare(a.score, b.score), cmp.Compare(a.machine.SortIndex, b.machine.SortIndex))
	})
	zones := map[string]int{}
	chosen := selected[:0]
	for _, slot := range selected {
		if len(chosen) == taskCount {
			break
		}
		if job.Spec.SpreadZones && job.CountInZone(slot.machine.Zone)+zones[slot.machine.Zone] >= job.MaxTasksPerZone() {
			continue
		}
		zones[slot.machine.Zone]++
		loss += slot.costBy(readyBy)
		chosen = append(chosen, slot)
	}
	if len(chosen) < taskCount {
		return nil, 0
	}
	return chosen, loss
}

// chooseSlots weighs, for a gang, every second that it waits against the work that is
// stopped to have it wait less. It returns the slots, when the last of them is ready, in
// seconds, and what they cost; nil and +Inf if there are not enough.
func (cycle *schedulingCycle) chooseSlots(queued *queuedJob, slots []gangSlot) (best []gangSlot, readyBy, cost float64) {
	taskCount := float64(len(queued.job.Tasks)) // all of them wait
	cost = math.Inf(1)
	for _, seconds := range cycle.candidateTimes(queued, slots) {
		wait := cycle.scheduler.Settings.GangWaitWeight * taskCount * seconds
		if wait >= cost {
			break // later is dearer, whatever is stopped
		}
		if selected, loss := cheapestSlots(queued, slots, seconds); selected != nil && wait+loss < cost {
			best, readyBy, cost = selected, seconds, wait+loss
		}
	}
	return best, readyBy, cost
}

// candidateTimes lists the whole seconds at which some slot will be ready, soonest first, as
// far as a gang may reserve room for so long; an aged one may for any time.
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

// maxReservationSeconds bounds how long a gang may keep room from others: as long as a
// machine requested now would take to be ready. The type of the first slot stands for all.
func (cycle *schedulingCycle) maxReservationSeconds(job *allocation.Job, slots []gangSlot) float64 {
	typeName := slots[0].machine.Type
	return cycle.scheduler.BootTime(typeName, medianBootPercentile).Seconds() + cycle.scheduler.imageFetchSeconds(job, typeName)
}

// placeGang places all tasks of a gang, or all that it has lost before it was complete, or
// none. It may reserve room that is not free yet instead. It returns what placeOnSlots does,
// or 0.
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
		return 0
	}
	return cycle.placeOnSlots(queued, slots)
}

// bestSlots chooses slots for a gang, in the best zone if it has to have all its tasks in
// one, and when they are ready, in seconds.
func (cycle *schedulingCycle) bestSlots(queued *queuedJob) (best []gangSlot, bestReadyBy float64) {
	zones := []string{""}
	if queued.job.Spec.SingleZone {
		zones = cycle.scheduler.Zones
	}
	cost := math.Inf(1)
	for _, zone := range zones {
		slots := cycle.gangSlots(queued, zone)
		if len(slots) < len(queued.readyTasks) {
			continue
		}
		if selected, readyBy, selectedCost := cycle.chooseSlots(queued, slots); selectedCost < cost {
			best, bestReadyBy, cost = selected, readyBy, selectedCost
		}
	}
	return best, bestReadyBy
}

// reserveSlots keeps room for a gang, and stops what has to be stopped to have it by
// then. Nothing is requested for the gang as long as it has a reservation.
func (cycle *schedulingCycle) reserveSlots(queued *queuedJob, slots []gangSlot, readyBy float64) {
	queued.hasReservation = true
	slotsByMachine := map[*allocation.Machine]int{}
	for _, slot := range slots {
		slotsByMachine[slot.machine]++
	}
	for _, slot := range slots {
		if !cycle.gangReserved[slot.machine.SortIndex] {
			cycle.reserveForGang(queued, slot.machine, queued.job.Request.Times(slotsByMachine[slot.machine]), readyBy)
		}
	}
}

// reserveForGang keeps room on one machine, and stops what would not end in time by itself,
// as far as the room needs it.
func (cycle *schedulingCycle) reserveForGang(queued *queuedJob, machine *allocation.Machine, wanted allocation.Resources, readyBy float64) {
	cycle.gangReserved[machine.SortIndex] = true
	fetchSeconds := cycle.imageReadySeconds(queued.job, machine)
	endsInTime := func(placement *allocation.Placement) bool {
		return drainMargin*cycle.scheduler.remainingSeconds(placement, cycle.now)+fetchSeconds <= readyBy
	}
	available := cycle.freeAfterStopping(machine)
	for _, placement := range cycle.placementsByEnd(machine) {
		if !placement.IsStopping() && endsInTime(placement) {
			available = available.Add(placement.Job.Request)
		}
	}
	victims := preemptiblePlacements(machine, func(placement *allocation.Placement) bool {
		return cycle.mayStop(queued, placement) && !endsInTime(placement)
	})
	for _, placement := range victims {
		if wanted.IsWithin(available) {
			break
		}
		cycle.stopPlacement(placement)
		available = available.Add(placement.Job.Request)
	}
	cycle.reserved[machine.SortIndex] = componentMin(wanted, machine.Free())
}

// placeOnSlots places a gang on slots that are free. Until its starts are recorded it only
// reserves the room. It returns the number of tasks that it has placed or has reserved room
// for.
func (cycle *schedulingCycle) placeOnSlots(queued *queuedJob, slots []gangSlot) int {
	job := queued.job
	if !job.StartsRecorded {
		for _, slot := range slots {
			cycle.reserve(slot.machine, job.Request)
		}
		return len(slots)
	}
	attempt := job.GangAttempt
	if attempt == 0 {
		attempt = cycle.tracker.NextAttempt()
	}
	for index, slot := range slots {
		if cycle.tracker.PlaceTask(job, queued.readyTasks[index], slot.machine, attempt, cycle.now) != nil {
			cycle.tracker.StopJob(job, 0) // it cannot start whole: end what this attempt has
			return 0
		}
	}
	return len(slots)
}
