package scheduler

import (
	"cmp"
	"container/heap"
	"slices"

	"firwood.dev/firwood/internal/allocation"
)

// freeAfterStopping is what a machine will have once the tasks that are stopping are gone.
func (cycle *schedulingCycle) freeAfterStopping(machine *allocation.Machine) allocation.Resources {
	if cycle.releasing == nil {
		cycle.releasing = make([]allocation.Resources, len(cycle.machines))
		for _, machine := range cycle.machines {
			machine.ForEachPlacement(func(placement *allocation.Placement) {
				if placement.IsStopping() {
					cycle.releasing[machine.SortIndex] = cycle.releasing[machine.SortIndex].Add(placement.Job.Request)
				}
			})
		}
	}
	return cycle.freeResources(machine).Add(cycle.releasing[machine.SortIndex])
}

// preemptForQueue stops work to make room for tasks of higher rank, and for those that
// their team's guarantee covers. What loses least goes first. Gangs weigh that
// themselves, see placeGang.
func (cycle *schedulingCycle) preemptForQueue(queue []*queuedJob) {
	var active []*allocation.Job // what may be stopped at all, for somebody
	for _, queued := range queue {
		job := queued.job
		if queued.unplaced <= 0 || job.IsGang() || job.Priority != 0 && !queued.isEntitled {
			continue
		}
		if active == nil {
			active = []*allocation.Job{}
			for _, victim := range cycle.tracker.Jobs {
				if victim.ActiveCount() > 0 && !victim.IsGang() {
					active = append(active, victim)
				}
			}
		}
		if !slices.ContainsFunc(active, func(victim *allocation.Job) bool { return cycle.mayPreempt(queued, victim) }) {
			continue // nobody's work is below this job's
		}
		cycle.preemptForTasks(queued, func(placement *allocation.Placement) bool {
			return !placement.IsStopping() && cycle.mayPreempt(queued, placement.Job)
		})
	}
}

// mayPreempt tells whether work of a job may be stopped for another: it is of lower rank,
// or the other is owed the room and it is not. What a guarantee covers gives way to
// the same team's, to what is owed too, and to the first rank.
func (cycle *schedulingCycle) mayPreempt(queued *queuedJob, victim *allocation.Job) bool {
	job := queued.job
	if victim.IsGang() || victim == job {
		return false
	}
	if victim.Priority > job.Priority {
		return job.Priority == 0 || queued.isEntitled || !cycle.entitled[victim] || victim.Spec.Team == job.Spec.Team
	}
	if victim.StartedByAging {
		// It had waited too long. What guarantees cover once stopped such work as soon
		// as it was placed, and the next plan placed it again, thousands of times.
		return false
	}
	return queued.isEntitled && !cycle.entitled[victim] && victim.Spec.Team != job.Spec.Team && victim.Priority == job.Priority && !victim.IsService()
}

// reserveReleasing books room that is being freed for a job; its tasks are placed there
// when it is.
func (cycle *schedulingCycle) reserveReleasing(machine *allocation.Machine, need allocation.Resources) {
	cycle.releasing[machine.SortIndex] = cycle.releasing[machine.SortIndex].Sub(need)
}

// stopPlacement stops a task and counts what it frees.
func (cycle *schedulingCycle) stopPlacement(placement *allocation.Placement) {
	cycle.releasing[placement.Machine.SortIndex] = cycle.releasing[placement.Machine.SortIndex].Add(placement.Job.Request)
	cycle.tracker.StopPlacement(placement, 0)
}

// preemptibleMachines lists a pool's machines where something may be stopped or is stopping:
// most others are full of replicas, which nothing outranks.
func (cycle *schedulingCycle) preemptibleMachines(view *poolView) []*allocation.Machine {
	if !view.hasPreemptible {
		view.hasPreemptible = true
		hasPreemptibleReplicas := false
		for _, job := range cycle.tracker.Jobs {
			hasPreemptibleReplicas = hasPreemptibleReplicas || job.IsService() && job.Priority > 0
		}
		for _, machine := range cycle.machines {
			if machine.Type == view.pool.Type && machine.Zone == view.pool.Zone && machine.Spot == view.pool.Spot && cycle.isUsable(machine) &&
				(hasPreemptibleReplicas || machine.PlacementCount() > machine.ReplicaCount() || cycle.minNeed.IsWithin(cycle.freeAfterStopping(machine))) {
				view.preemptible = append(view.preemptible, machine)
			}
		}
	}
	return view.preemptible
}

// fetchCost weighs, in lost work, the fetch that a replica would wait for on a
// machine: on a busy day three in four of them got the places of batch work, and
// waited for their image there.
func (cycle *schedulingCycle) fetchCost(job *allocation.Job, machine *allocation.Machine) float64 {
	if _, cached := machine.ImageUsedAt[job.Spec.Image]; cached || !job.IsService() {
		return 0
	}
	fetchSeconds := 1.0
	if machineType := cycle.scheduler.MachineTypes[machine.Type]; machineType.FetchGBPerSecond > 0 {
		fetchSeconds = job.Spec.ImageSizeGB / machineType.FetchGBPerSecond
	}
	return replicaFetchWeight * fetchSeconds * float64(job.Request.MilliCPU)
}

// replicaFetchWeight is how many seconds of batch work a second of a replica's wait is
// worth.
const replicaFetchWeight = 20

// preemptForTasks stops work for independent tasks, each time where it loses
// least.
func (cycle *schedulingCycle) preemptForTasks(queued *queuedJob, mayStop func(*allocation.Placement) bool) {
	job := queued.job
	// What a start on the machine costs in lost work; more is better, as a
	// heap of options has the highest on top.
	weigh := func(machine *allocation.Machine) (candidate, []*allocation.Placement, bool) {
		available := cycle.freeAfterStopping(machine)
		fetchCost := cycle.fetchCost(job, machine)
		if job.Request.IsWithin(available) {
			return candidate{machine, -fetchCost}, nil, true
		}
		if machine.PlacementCount() == 0 {
			return candidate{}, nil, false
		}
		victims := preemptiblePlacements(machine, mayStop)
		cost := 0.0
		victimCount := 0
		for ; victimCount < len(victims) && !job.Request.IsWithin(available); victimCount++ {
			available = available.Add(victims[victimCount].Job.Request)
			cost += cycle.scheduler.elapsedSeconds(victims[victimCount], cycle.now) * float64(victims[victimCount].Job.Request.MilliCPU)
		}
		return candidate{machine, -cost - fetchCost}, victims[:victimCount], job.Request.IsWithin(available)
	}
	var candidates candidateHeap
	for _, view := range cycle.pools {
		if preemptible := cycle.preemptibleMachines(view); len(preemptible) > 0 && allocation.IsEligible(job, preemptible[0]) {
			for _, machine := range preemptible {
				if weighed, _, ok := weigh(machine); ok {
					candidates = append(candidates, weighed)
				}
			}
		}
	}
	heap.Init(&candidates)
	zones := map[string]int{}
	for queued.unplaced > 0 && len(candidates) > 0 {
		machine := candidates[0].machine
		if job.Spec.SpreadZones && job.CountInZone(machine.Zone)+zones[machine.Zone] >= job.MaxTasksPerZone() {
			candidates.removeBest()
			continue
		}
		weighed, victims, ok := weigh(machine)
		if !ok {
			candidates.removeBest()
			continue
		}
		if weighed.score != candidates[0].score {
			candidates[0] = weighed // it has given some before
			heap.Fix(&candidates, 0)
			continue
		}
		for _, placement := range victims {
			cycle.stopPlacement(placement)
		}
		cycle.reserveReleasing(machine, job.Request)
		zones[machine.Zone]++
		queued.unplaced--
	}
}

// preemptiblePlacements lists what may be stopped on a machine, what started last first.
func preemptiblePlacements(machine *allocation.Machine, mayStop func(*allocation.Placement) bool) []*allocation.Placement {
	var victims []*allocation.Placement
	machine.ForEachPlacement(func(placement *allocation.Placement) {
		if mayStop(placement) {
			victims = append(victims, placement)
		}
	})
	slices.SortFunc(victims, func(a, b *allocation.Placement) int {
		return cmp.Or(-cmp.Compare(a.CreatedAt, b.CreatedAt), cmp.Compare(a.TaskIndex, b.TaskIndex))
	})
	return victims
}
