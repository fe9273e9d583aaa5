package scheduler

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// minConsolidationAge is how long a replica has to run before it may be moved.
const minConsolidationAge = 45 * clock.Second

// chooseConsolidation picks an ordinary machine that is at most half used by replicas
// alone, and whose replicas all fit where there are others and their image is
// at hand: moved there they are away for a moment only, and the machine can be
// given back. The free room that the spare target keeps is not touched.
func (cycle *schedulingCycle) chooseConsolidation(minFreeMachines int) *allocation.Machine {
	var best *allocation.Machine
	var freeMachines float64
	for _, machine := range cycle.machines {
		if machine.Spot {
			continue
		}
		if machine.Draining || !machine.TokenConfirmed {
			return nil // one at a time
		}
		freeMachines += freeFraction(machine.Free(), machine.Capacity)
	}
	for _, machine := range cycle.machines {
		if machine.Spot || !machine.IsSchedulable() || machine.IsIdle() || dominantShare(machine.Used(), machine.Capacity) > 0.5 || freeMachines-1 < float64(minFreeMachines) {
			continue
		}
		if best != nil && dominantShare(best.Used(), best.Capacity) <= dominantShare(machine.Used(), machine.Capacity) {
			continue
		}
		if cycle.areReplicasMovable(machine) {
			best = machine
		}
	}
	return best
}

func (cycle *schedulingCycle) areReplicasMovable(machine *allocation.Machine) bool {
	remainingRoom := map[*allocation.Machine]allocation.Resources{}
	isMovable := true
	machine.ForEachPlacement(func(placement *allocation.Placement) {
		job := placement.Job
		if !isMovable || !job.IsService() || placement.IsStopping() || placement.StartedAt == 0 || cycle.now-placement.StartedAt < minConsolidationAge || job.UnconfirmedCount() > 0 {
			isMovable = false
			return
		}
		hasRoom := false
		for _, other := range cycle.machines {
			if other == machine || other.Spot && !job.Spec.AllowsSpot || !other.IsSchedulable() || other.ReplicaCount() == 0 || dominantShare(other.Used(), other.Capacity) < dominantShare(machine.Used(), machine.Capacity) {
				continue
			}
			// Within a zone nothing changes for the job's wishes; else they
			// have to allow one more.
			if other.Zone != machine.Zone && !allocation.IsEligible(job, other) || other.Type != machine.Type && !allocation.IsEligible(job, other) {
				continue
			}
			free, seen := remainingRoom[other]
			if !seen {
				free = other.Free()
			}
			if !job.Request.IsWithin(free) {
				continue
			}
			// Which of the machines it will be is settled only when it has
			// stopped: each has to have the image, or it is away for a fetch.
			if _, cached := other.ImageUsedAt[job.Spec.Image]; !cached {
				isMovable = false
				return
			}
			if !hasRoom {
				remainingRoom[other] = free.Sub(job.Request)
				hasRoom = true
			}
		}
		isMovable = isMovable && hasRoom
	})
	return isMovable
}
