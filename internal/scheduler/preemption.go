package scheduler

import (
	"cmp"
	"container/heap"
	"slices"

	"firwood.dev/firwood/internal/allocation"
)

// freeAfterStopping is what will be free on a machine once the tasks that are stopping have
// stopped.
func (cycle *schedulingCycle) freeAfterStopping(machine *allocation.Machine) allocation.Resources {
	return cycle.freeResources(machine).Add(*cycle.releasingOn(machine))
}

// releasingOn returns what tasks that are stopping use on a machine, less what reserveReleasing
// has taken. It is worked out for all machines when a plan first needs it.
func (cycle *schedulingCycle) releasingOn(machine *allocation.Machine) *allocation.Resources {
	if cycle.releasing == nil {
		cycle.releasing = make([]allocation.Resources, len(cycle.machines))
		for i, machine := range cycle.machines {
			machine.ForEachPlacement(func(placement *allocation.Placement) {
				if placement.IsStopping() {
					cycle.releasing[i] = cycle.releasing[i].Add(placement.Job.Request)
				}
			})
		}
	}
	return &cycle.releasing[machine.SortIndex]
}

// preemptForQueue stops work to make room for production jobs, and for those that their
// team's quota entitles to it. What loses least goes first. Gangs weigh that themselves, see
// placeGang.
func (cycle *schedulingCycle) preemptForQueue(queue []*queuedJob) {
	var active []*allocation.Job
	for _, queued := range queue {
		if queued.unplaced <= 0 || queued.job.IsGang() || queued.job.Priority != 0 && !queued.isEntitled {
			continue
		}
		if active == nil {
			active = cycle.activeIndependentJobs()
		}
		if slices.ContainsFunc(active, func(victim *allocation.Job) bool { return cycle.mayPreempt(queued, victim) }) {
			cycle.preemptForTasks(queued)
		}
	}
}

// activeIndependentJobs lists the jobs whose tasks may be stopped at all, for some job; not
// nil.
func (cycle *schedulingCycle) activeIndependentJobs() []*allocation.Job {
	active := []*allocation.Job{}
	for _, job := range cycle.tracker.Jobs {
		if job.ActiveCount() > 0 && !job.IsGang() {
			active = append(active, job)
		}
	}
	return active
}

// mayStop tells whether a placement may be stopped for a job.
func (cycle *schedulingCycle) mayStop(queued *queuedJob, placement *allocation.Placement) bool {
	return !placement.IsStopping() && cycle.mayPreempt(queued, placement.Job)
}

// mayPreempt tells whether tasks of a victim may be stopped for a job; gangs are never. They
// may be stopped for a job of a higher priority, unless the victim is within another team's
// quota; production and entitled jobs ignore that. They may be stopped for an entitled job
// of the same priority and another team, unless the victim is entitled too, a service, or
// was started by aging. Added after entitled jobs stopped such work as soon as it was
// placed, and the next plan placed it again, thousands of times.
func (cycle *schedulingCycle) mayPreempt(queued *queuedJob, victim *allocation.Job) bool {
	job := queued.job
	switch {
	case victim.IsGang() || victim == job:
		return false
	case victim.Priority > job.Priority:
		return job.Priority == 0 || queued.isEntitled || !cycle.entitled[victim] || victim.Spec.Team == job.Spec.Team
	case victim.StartedByAging:
		return false
	}
	return queued.isEntitled && !cycle.entitled[victim] && victim.Spec.Team != job.Spec.Team && victim.Priority == job.Priority && !victim.IsService()
}

// reserveReleasing reserves, within this plan, room that is being freed; a later plan places
// a task there.
func (cycle *schedulingCycle) reserveReleasing(machine *allocation.Machine, need allocation.Resources) {
	releasing := cycle.releasingOn(machine)
	*releasing = releasing.Sub(need)
}

// stopPlacement stops a task that isn't stopping yet, and counts what it frees.
func (cycle *schedulingCycle) stopPlacement(placement *allocation.Placement) {
	releasing := cycle.releasingOn(placement.Machine) // before the stop, or the task would count twice
	*releasing = releasing.Add(placement.Job.Request)
	cycle.tracker.StopPlacement(placement, 0)
}

// preemptibleMachines lists a pool's machines where something may be stopped or is
// stopping; most others are full of production replicas, which nothing may preempt.
func (cycle *schedulingCycle) preemptibleMachines(view *poolView) []*allocation.Machine {
	if view.hasPreemptible {
		return view.preemptible
	}
	view.hasPreemptible = true
	hasPreemptibleReplicas := false
	for _, job := range cycle.tracker.Jobs {
		hasPreemptibleReplicas = hasPreemptibleReplicas || job.IsService() && job.Priority > 0
	}
	for _, machine := range cycle.machines {
		if poolOf(machine) == view.pool && cycle.isUsable(machine) &&
			(hasPreemptibleReplicas || machine.PlacementCount() > machine.ReplicaCount() || cycle.minNeed.IsWithin(cycle.freeAfterStopping(machine))) {
			view.preemptible = append(view.preemptible, machine)
		}
	}
	return view.preemptible
}

// fetchCost weighs the image fetch that a replica would wait for on a machine, in seconds of
// a thousandth of a CPU of lost work. A fetch at an unknown rate counts as 1 s. Added after three in four replicas of a busy day took
// the places of batch work and waited for their image there.
func (cycle *schedulingCycle) fetchCost(job *allocation.Job, machine *allocation.Machine) float64 {
	if _, isCached := machine.ImageUsedAt[job.Spec.Image]; isCached || !job.IsService() {
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

// evaluatePreemption is a machine where a task can start once the victims are stopped.
type preemptionOption struct {
	// candidate has as its score, negated, the lost work that the start costs, in seconds of a
	// thousandth of a CPU.
	candidate
	victims []*allocation.Placement
}

// evaluatePreemption works out what a start of a job's task on a machine costs; false if it
// can't start there.
func (cycle *schedulingCycle) evaluatePreemption(queued *queuedJob, machine *allocation.Machine) (preemptionOption, bool) {
	job := queued.job
	available := cycle.freeAfterStopping(machine)
	fetchCost := cycle.fetchCost(job, machine)
	if job.Request.IsWithin(available) {
		return preemptionOption{candidate: candidate{machine, -fetchCost}}, true
	}
	if machine.PlacementCount() == 0 {
		return preemptionOption{}, false
	}
	victims := preemptiblePlacements(machine, func(placement *allocation.Placement) bool { return cycle.mayStop(queued, placement) })
	cost := 0.0
	victimCount := 0
	for ; victimCount < len(victims) && !job.Request.IsWithin(available); victimCount++ {
		victim := victims[victimCount]
		available = available.Add(victim.Job.Request)
		cost += cycle.scheduler.elapsedSeconds(victim, cycle.now) * float64(victim.Job.Request.MilliCPU)
	}
	return preemptionOption{candidate{machine, -cost - fetchCost}, victims[:victimCount]}, job.Request.IsWithin(available)
}

// preemptionCandidates lists the machines where a task of a job can start, some with work
// stopped for it, as a heap.
func (cycle *schedulingCycle) preemptionCandidates(queued *queuedJob) candidateHeap {
	var candidates candidateHeap
	for _, view := range cycle.pools {
		preemptible := cycle.preemptibleMachines(view)
		if len(preemptible) == 0 || !allocation.IsEligible(queued.job, preemptible[0]) {
			continue
		}
		for _, machine := range preemptible {
			if option, ok := cycle.evaluatePreemption(queued, machine); ok {
				candidates = append(candidates, option.candidate)
			}
		}
	}
	heap.Init(&candidates)
	return candidates
}

// preemptForTasks stops work for independent tasks, each time where it loses least. Options
// are worked out again when their turn comes, as machines may have given room before.
func (cycle *schedulingCycle) preemptForTasks(queued *queuedJob) {
	job := queued.job
	candidates := cycle.preemptionCandidates(queued)
	tasksByZone := map[string]int{}
	for queued.unplaced > 0 && len(candidates) > 0 {
		machine := candidates[0].machine
		if job.Spec.SpreadZones && job.CountInZone(machine.Zone)+tasksByZone[machine.Zone] >= job.MaxTasksPerZone() {
			candidates.removeBest()
			continue
		}
		option, ok := cycle.evaluatePreemption(queued, machine)
		if !ok {
			candidates.removeBest()
			continue
		}
		if option.score != candidates[0].score {
			candidates[0] = option.candidate
			heap.Fix(&candidates, 0)
			continue
		}
		for _, placement := range option.victims {
			cycle.stopPlacement(placement)
		}
		cycle.reserveReleasing(machine, job.Request)
		tasksByZone[machine.Zone]++
		queued.unplaced--
	}
}

// preemptiblePlacements lists what may be stopped on a machine, what was placed last first.
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
