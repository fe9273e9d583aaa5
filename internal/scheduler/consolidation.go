package scheduler

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

const (
	// minConsolidationAge is how long a replica must have run before it may be moved.
	minConsolidationAge = 45 * clock.Second
	// maxConsolidatedShare is the largest used share of a machine that may be emptied by moving its
	// replicas.
	maxConsolidatedShare = 0.5
)

// chooseConsolidation picks an on-demand machine to empty, or returns nil. The machine is at most
// half used and runs only replicas, all of which fit on other machines that have their images, so
// that each is down only briefly while it moves. The emptied machine can be deleted. The free
// capacity that remains after the deletion must cover minFreeMachines, the spare target. No machine
// is picked while any on-demand machine is draining or has not confirmed the fencing token, for
// example because it is booting.
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

// dominantUsedShare returns the used share of a machine's most heavily used resource.
func dominantUsedShare(machine *allocation.Machine) float64 {
	return dominantShare(machine.Used(), machine.Capacity)
}

// areReplicasMovable reports whether a machine runs nothing but replicas, each of which may be
// moved and fits on another machine.
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

// reserveReplicaRoom reserves room for a replica on another machine and reports whether there is
// room. The replica's new machine is chosen only after the replica has stopped, and can be any of
// the machines with room. All of them must therefore have its image: otherwise the replica could be
// down for as long as an image fetch takes.
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

// canMoveReplica reports whether a replica may move to another machine. That machine must be
// schedulable, run replicas already, be at least as full, and be allowed by the job. A move within
// the same zone and machine type always satisfies the job's constraints; otherwise the job must
// allow one more task on the other machine.
func canMoveReplica(placement *allocation.Placement, other *allocation.Machine) bool {
	job, machine := placement.Job, placement.Machine
	if other == machine || other.Spot && !job.Spec.AllowsSpot || !other.IsSchedulable() || other.ReplicaCount() == 0 || dominantUsedShare(other) < dominantUsedShare(machine) {
		return false
	}
	return other.Zone == machine.Zone && other.Type == machine.Type || allocation.IsEligible(job, other)
}
