package scheduler

import (
	"cmp"
	"math"
	"slices"

	"firwood.dev/firwood/internal/allocation"
)

// gangSlot is a place for one task of a gang. Times are seconds from now.
type gangSlot struct {
	machine                 *allocation.Machine
	isFree                  bool    // there is room now
	readyInSeconds          float64 // ready, image and all, if what is there ends by itself
	preemptedReadyInSeconds float64 // ready if work is stopped for it
	preemptionLoss          float64 // seconds of a machine's work that are lost by that
	score                   float64
}

// costBy is what it costs to have a seat by some time.
func (taskSlot *gangSlot) costBy(deadline float64) float64 {
	switch {
	case taskSlot.readyInSeconds <= deadline:
		return 0
	case taskSlot.preemptedReadyInSeconds <= deadline:
		return taskSlot.preemptionLoss
	}
	return math.Inf(1)
}

const (
	// drainMargin is what forecasts of room are stretched by: they are means.
	drainMargin = 1.25
	// stopSeconds is how long, in seconds, a task takes to be gone that saves nothing.
	stopSeconds = 0.5
	// restartLossSeconds is what a stopped task loses beside its progress: it has to be placed
	// anew, mostly with a fetch.
	restartLossSeconds = 15
)

// gangSlots lists where tasks of a gang could go in a zone, or anywhere.
func (cycle *schedulingCycle) gangSlots(queued *queuedJob, zone string) []gangSlot {
	job := queued.job
	var slots []gangSlot
	for _, machine := range cycle.machines {
		if zone != "" && machine.Zone != zone || !cycle.isUsable(machine) || cycle.gangReserved[machine.SortIndex] || !allocation.IsEligible(job, machine) {
			continue
		}
		fetchSeconds, score := cycle.imageReadySeconds(job, machine), cycle.placementScore(job, machine)
		freeIfDrained := cycle.freeResources(machine) // if nothing is stopped
		var endingPlacements, victims []*allocation.Placement
		isListed := false
		drainSeconds, loss, freeIfPreempted := 0.0, 0.0, cycle.freeResources(machine)
		for range cycle.scheduler.tasksPerMachine(job.Request, machine.Type) {
			taskSlot := gangSlot{machine: machine, isFree: job.Request.IsWithin(freeIfDrained), readyInSeconds: fetchSeconds, preemptedReadyInSeconds: math.Inf(1), score: score}
			if !taskSlot.isFree && !isListed {
				isListed = true
				endingPlacements, victims = cycle.placementsByEnd(machine), preemptiblePlacements(machine, func(placement *allocation.Placement) bool {
					return !placement.IsStopping() && cycle.mayPreempt(queued, placement.Job)
				})
				freeIfPreempted = cycle.freeAfterStopping(machine)
			}
			for len(endingPlacements) > 0 && !job.Request.IsWithin(freeIfDrained) {
				drainSeconds = drainMargin * cycle.scheduler.remainingSeconds(endingPlacements[0], cycle.now)
				freeIfDrained = freeIfDrained.Add(endingPlacements[0].Job.Request)
				endingPlacements = endingPlacements[1:]
			}
			taskSlot.readyInSeconds = drainSeconds + fetchSeconds
			if !job.Request.IsWithin(freeIfDrained) {
				taskSlot.readyInSeconds = math.Inf(1)
			}
			for len(victims) > 0 && !job.Request.IsWithin(freeIfPreempted) {
				loss += cycle.preemptionLoss(victims[0])
				freeIfPreempted = freeIfPreempted.Add(victims[0].Job.Request)
				victims = victims[1:]
			}
			if job.Request.IsWithin(freeIfPreempted) {
				taskSlot.preemptedReadyInSeconds, taskSlot.preemptionLoss = stopSeconds+fetchSeconds, loss
			}
			if math.IsInf(min(taskSlot.readyInSeconds, taskSlot.preemptedReadyInSeconds), 1) {
				break
			}
			freeIfDrained, freeIfPreempted = freeIfDrained.Sub(job.Request), freeIfPreempted.Sub(job.Request)
			slots = append(slots, taskSlot)
		}
	}
	return slots
}

// placementsByEnd lists what is on a machine, what ends first first.
func (cycle *schedulingCycle) placementsByEnd(machine *allocation.Machine) []*allocation.Placement {
	var out []*allocation.Placement
	machine.ForEachPlacement(func(placement *allocation.Placement) {
		if !placement.Job.IsService() || placement.IsStopping() {
			out = append(out, placement)
		}
	})
	slices.SortFunc(out, func(a, b *allocation.Placement) int {
		return cmp.Or(cmp.Compare(cycle.scheduler.remainingSeconds(a, cycle.now), cycle.scheduler.remainingSeconds(b, cycle.now)), cmp.Compare(a.TaskIndex, b.TaskIndex))
	})
	return out
}

// preemptionLoss is what stopping a task loses, in seconds of its machine: its run since the
// last checkpoint, and a new start.
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
		return fetchSeconds / 2 // under way, for how long is not known
	}
	return fetchSeconds * float64(1+machine.FetchCount())
}
