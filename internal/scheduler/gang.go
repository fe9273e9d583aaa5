package scheduler

import (
	"cmp"
	"math"
	"slices"

	"firwood.dev/firwood/internal/allocation"
)

// A gang starts with its last task, whole machines are rare where most tasks take a
// part of one, and room that falls free goes to the next small task before enough of
// it is free together. So a gang looks at when each place will be ready, its image
// fetched, and at what work would have to be stopped for that, and claims what costs
// least: nothing behind it in the queue is placed there. A claim lasts one plan; the
// next one makes it anew or drops it.

// cheapestSlots picks the cheapest seats that are ready by some time for all tasks of a
// gang, and of equal ones the best; nil if there are not enough.
func cheapestSlots(queued *queuedJob, slots []gangSlot, readyBy float64) (selected []gangSlot, loss float64) {
	job, taskCount := queued.job, len(queued.readyTasks)
	for _, taskSlot := range slots {
		if !math.IsInf(taskSlot.costBy(readyBy), 1) {
			selected = append(selected, taskSlot)
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
	for _, taskSlot := range selected {
		if len(chosen) == taskCount {
			break
		}
		if job.Spec.SpreadZones && job.CountInZone(taskSlot.machine.Zone)+zones[taskSlot.machine.Zone] >= job.MaxTasksPerZone() {
			continue
		}
		zones[taskSlot.machine.Zone]++
		loss += taskSlot.costBy(readyBy)
		chosen = append(chosen, taskSlot)
	}
	if len(chosen) < taskCount {
		return nil, 0
	}
	return chosen, loss
}

// chooseSlots weighs, for a gang, every second that it waits against the work that is
// stopped to have it wait less.
func (cycle *schedulingCycle) chooseSlots(queued *queuedJob, slots []gangSlot) (best []gangSlot, readyBy, cost float64) {
	taskCount := float64(len(queued.job.Tasks)) // all of them wait
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
	cost = math.Inf(1)
	for _, seconds := range slices.Compact(times) {
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

// maxReservationSeconds bounds, in seconds, how long a gang may keep room from others: as long as
// a machine rented now would take to be ready.
func (cycle *schedulingCycle) maxReservationSeconds(job *allocation.Job, slots []gangSlot) float64 {
	typeName := slots[0].machine.Type
	return cycle.scheduler.BootTime(typeName, medianBoot).Seconds() + cycle.scheduler.imageFetchSeconds(job, typeName)
}

// placeGang places all tasks of a gang, or all that it has lost before it was
// complete, or none. It may claim room instead.
func (cycle *schedulingCycle) placeGang(queued *queuedJob) int {
	job := queued.job
	if len(queued.readyTasks) != job.WaitingCount() || queued.taskLimit < len(queued.readyTasks) {
		return 0
	}
	zones := []string{""}
	if job.Spec.SingleZone {
		zones = cycle.scheduler.Zones
	}
	var best []gangSlot
	bestReadyBy, cost := 0.0, math.Inf(1)
	for _, zone := range zones {
		slots := cycle.gangSlots(queued, zone)
		if len(slots) < len(queued.readyTasks) {
			continue
		}
		if selected, readyBy, selectedCost := cycle.chooseSlots(queued, slots); selectedCost < cost {
			best, bestReadyBy, cost = selected, readyBy, selectedCost
		}
	}
	switch {
	case best == nil:
		return 0
	case !slices.ContainsFunc(best, func(taskSlot gangSlot) bool { return !taskSlot.isFree }):
		return cycle.placeOnSlots(queued, best)
	}
	cycle.reserveSlots(queued, best, bestReadyBy)
	return 0
}

// reserveSlots keeps room for a gang, and stops what has to be stopped to have it by
// then. Nothing is rented for the gang as long as it has a claim.
func (cycle *schedulingCycle) reserveSlots(queued *queuedJob, slots []gangSlot, readyBy float64) {
	queued.hasReservation = true
	need := queued.job.Request
	slotsByMachine := map[*allocation.Machine]int{}
	for _, taskSlot := range slots {
		slotsByMachine[taskSlot.machine]++
	}
	for _, taskSlot := range slots {
		machine := taskSlot.machine
		if cycle.gangReserved[machine.SortIndex] {
			continue
		}
		cycle.gangReserved[machine.SortIndex] = true
		wanted := need.Times(slotsByMachine[machine])
		fetchSeconds := cycle.imageReadySeconds(queued.job, machine)
		available := cycle.freeAfterStopping(machine)
		for _, placement := range cycle.placementsByEnd(machine) {
			if !placement.IsStopping() && drainMargin*cycle.scheduler.remainingSeconds(placement, cycle.now)+fetchSeconds <= readyBy {
				available = available.Add(placement.Job.Request)
			}
		}
		for _, placement := range preemptiblePlacements(machine, func(placement *allocation.Placement) bool {
			return !placement.IsStopping() && cycle.mayPreempt(queued, placement.Job) && drainMargin*cycle.scheduler.remainingSeconds(placement, cycle.now)+fetchSeconds > readyBy
		}) {
			if wanted.IsWithin(available) {
				break
			}
			cycle.stopPlacement(placement)
			available = available.Add(placement.Job.Request)
		}
		free := machine.Free()
		cycle.reserved[machine.SortIndex] = componentMin(wanted, free)
	}
}

// placeOnSlots places a gang on seats that are free.
func (cycle *schedulingCycle) placeOnSlots(queued *queuedJob, slots []gangSlot) int {
	job := queued.job
	if !job.StartsRecorded {
		for _, taskSlot := range slots {
			cycle.reserve(taskSlot.machine, job.Request)
		}
		return len(slots)
	}
	attempt := job.GangAttempt
	if attempt == 0 {
		attempt = cycle.tracker.NextAttempt()
	}
	for index, taskSlot := range slots {
		if cycle.tracker.PlaceTask(job, queued.readyTasks[index], taskSlot.machine, attempt, cycle.now) != nil {
			cycle.tracker.StopJob(job, 0) // cannot start whole; what was decided is undone
			return 0
		}
	}
	return len(slots)
}
