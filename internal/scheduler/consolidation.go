package scheduler

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

const (
	// minConsolidationAge is how long a replica has to run before it may be moved.
	minConsolidationAge = 45 * clock.Second
	// maxConsolidatedShare is how much of a machine its replicas may use for it to be emptied.
	maxConsolidatedShare = 0.5
)

// chooseConsolidation picks an ordinary machine that is at most half used, by replicas
// alone, all of which fit on other machines that have their images: moved there they are
// away for a moment only, and the machine can be deleted. The free room that the spare
// target keeps is not touched. While some ordinary machine boots or is drained none is
// picked.
func (cycle *schedulingCycle) chooseConsolidation(minFreeMachines int) *allocation.Machine {
	freeMachines := 0.0
	for _, machine := range cycle.machines {
		if machine.Spot {
			continue
		}
		if machine.Draining || !machine.TokenConfirmed {
			return nil
		}
		freeMachines += freeFraction(machine.Free(), machine.Capacity)
	}
	if freeMachines-1 < float64(minFreeMachines) {
		return nil
	}
	var best *allocation.Machine
	for _, machine := range cycle.machines {
		if machine.Spot || !machine.IsSchedulable() || machine.IsIdle() || dominantUsedShare(machine) > maxConsolidatedShare {
			continue
		}
		if (best == nil || dominantUsedShare(machine) < dominantUsedShare(best)) && cycle.areReplicasMovable(machine) {
			best = machine
		}
	}
	return best
}

// dominantUsedShare is how much of a machine is used, of what is used most of.
func dominantUsedShare(machine *allocation.Machine) float64 {
	return dominantShare(machine.Used(), machine.Capacity)
}

// areReplicasMovable tells whether a machine has nothing but replicas, each of which may be
// moved and has room elsewhere.
func (cycle *schedulingCycle) areReplicasMovable(machine *allocation.Machine) bool {
	remainingRoom := map[*allocation.Machine]allocation.Resources{}
	isMovable := true
	machine.ForEachPlacement(func(placement *allocation.Placement) {
		isMovable = isMovable && cycle.isMovable(placement) && cycle.reserveReplicaRoom(placement, remainingRoom)
	})
	return isMovable
}

func (cycle *schedulingCycle) isMovable(placement *allocation.Placement) bool {
	return placement.Job.IsService() && !placement.IsStopping() && placement.Job.UnconfirmedCount() == 0 &&
		placement.StartedAt != 0 && cycle.now-placement.StartedAt >= minConsolidationAge
}

// reserveReplicaRoom takes room for a replica on another machine; false if there is none. Which of
// the machines with room it will be is decided only when the replica has stopped, so all of
// them have to have its image, or it would be away for a fetch.
func (cycle *schedulingCycle) reserveReplicaRoom(placement *allocation.Placement, remainingRoom map[*allocation.Machine]allocation.Resources) bool {
	job := placement.Job
	hasRoom := false
	for _, other := range cycle.machines {
		if !canMoveReplica(placement, other) {
			continue
		}
		free, seen := remainingRoom[other]
		if !seen {
			free = other.Free()
		}
		if !job.Request.IsWithin(free) {
			continue
		}
		if _, cached := other.ImageUsedAt[job.Spec.Image]; !cached {
			return false
		}
		if !hasRoom {
			remainingRoom[other] = free.Sub(job.Request)
			hasRoom = true
		}
	}
	return hasRoom
}

// canMoveReplica tells whether a replica may be moved to another machine: one that has
// replicas and is fuller, and that its job allows. Within a zone and type nothing changes
// for the job; else it has to allow one more task there.
func canMoveReplica(placement *allocation.Placement, other *allocation.Machine) bool {
	job, machine := placement.Job, placement.Machine
	if other == machine || other.Spot && !job.Spec.AllowsSpot || !other.IsSchedulable() || other.ReplicaCount() == 0 || dominantUsedShare(other) < dominantUsedShare(machine) {
		return false
	}
	return other.Zone == machine.Zone && other.Type == machine.Type || allocation.IsEligible(job, other)
}
