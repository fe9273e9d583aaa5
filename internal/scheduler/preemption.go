package scheduler

import (
	"cmp"
	"container/heap"
	"slices"

	"firwood.dev/firwood/internal/allocation"
)

// freeAfterStopping is what will be free on a machine once the tasks that are being stopped have
// exited.
func (cycle *schedulingCycle) freeAfterStopping(machine *allocation.Machine) allocation.Resources {
	return cycle.freeResources(machine).Add(*cycle.releasingOn(machine))
}

// releasingOn returns the resources used by tasks that are being stopped on a machine, less what
// reserveReleasing has reserved. The first call in a plan computes them for all machines.
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

// preemptForQueue stops tasks to make room for production jobs and for jobs entitled by their
// team's quota. It stops the tasks whose loss costs least. Gangs are left out, since placeGang
// weighs preemption for them.
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

// activeIndependentJobs lists the jobs, other than gangs, that have active tasks. Only their tasks are
// ever stopped to make room for a job. The result is never nil.
func (cycle *schedulingCycle) activeIndependentJobs() []*allocation.Job {
	active := []*allocation.Job{}
	for _, job := range cycle.tracker.Jobs {
		if job.ActiveCount() > 0 && !job.IsGang() {
			active = append(active, job)
		}
	}
	return active
}

// mayStop reports whether a placement may be stopped to make room for a job.
func (cycle *schedulingCycle) mayStop(queued *queuedJob, placement *allocation.Placement) bool {
	return !placement.IsStopping() && cycle.mayPreempt(queued, placement.Job)
}

// mayPreempt reports whether tasks of the victim may be stopped to make room for a job. Tasks of a
// gang are never stopped. A job of a higher priority may preempt the victim, unless the victim is
// within the guaranteed quota of another team; production jobs and entitled jobs may preempt it
// even then. An entitled job may also preempt a victim of the same priority and another team,
// unless the victim is entitled too, is a service, or was started by aging. Without the exception
// for aging, an entitled job stops aged work as soon as that work is placed, and the next plan places
// the work again; this has repeated thousands of times.
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

// reserveReleasing reserves, within this plan, room on a machine that tasks being stopped will
// release. A later plan places a task there.
func (cycle *schedulingCycle) reserveReleasing(machine *allocation.Machine, need allocation.Resources) {
	releasing := cycle.releasingOn(machine)
	*releasing = releasing.Sub(need)
}

// stopPlacement stops a task that is not being stopped yet, and counts its resources as releasing.
func (cycle *schedulingCycle) stopPlacement(placement *allocation.Placement) {
	releasing := cycle.releasingOn(placement.Machine) // read before the stop, or the task would count twice
	*releasing = releasing.Add(placement.Job.Request)
	cycle.tracker.StopPlacement(placement, 0)
}

// preemptibleMachines lists the usable machines of a pool on which tasks may be preempted, or on
// which the smallest need in the queue fits once the tasks being stopped have exited. Most other
// machines are full of production replicas, which nothing may preempt.
func (cycle *schedulingCycle) preemptibleMachines(view *poolView) []*allocation.Machine {
	if view.isPreemptibleListed {
		return view.preemptible
	}
	view.isPreemptibleListed = true
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

// fetchCost is the cost of the image fetch that a replica would have to wait for on a machine, in
// millionths of a CPU-second of lost work. It is 0 if the image is cached, and for jobs other than services.
// A fetch at an unknown rate counts as 1 s. Without this cost, three in four replicas of a busy day
// replaced batch work on machines without their image and had to wait for the fetch.
func (cycle *schedulingCycle) fetchCost(job *allocation.Job, machine *allocation.Machine) float64 {
	if _, isCached := machine.ImageUsedAt[job.Spec.Image]; isCached || !job.IsService() {
		return 0
	}
	fetchSeconds := 1.0
	if machineType := cycle.scheduler.MachineTypes[machine.Type]; machineType.FetchGBPerSecond > 0 {
		fetchSeconds = job.Spec.ImageSizeGB / machineType.FetchGBPerSecond
	}
	return replicaFetchWeight * fetchSeconds * float64(job.Request.MicroCPU)
}

// replicaFetchWeight is how many seconds of lost batch work one second of a replica's wait for its
// image is worth.
const replicaFetchWeight = 20

// preemptionOption is a machine where a task can start once the victims are stopped.
type preemptionOption struct {
	// candidate's score is the negated cost of the start: the lost work and the weighted image
	// fetch, in millionths of a CPU-second.
	candidate
	victims []*allocation.Placement
}

// evaluatePreemption computes the cost of starting a task of a job on a machine. It returns false
// if the task cannot start there.
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
		cost += cycle.scheduler.elapsedSeconds(victim, cycle.now) * float64(victim.Job.Request.MicroCPU)
	}
	return preemptionOption{candidate{machine, -cost - fetchCost}, victims[:victimCount]}, job.Request.IsWithin(available)
}

// preemptionCandidates returns a heap of the machines where a task of a job can start, with or
// without stopping other tasks.
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

// preemptForTasks stops tasks to make room for the independent tasks of a job, each time on the
// machine where that costs least. A candidate's cost is computed again when it reaches the top of
// the heap, since earlier reservations and stops may have changed it.
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

// preemptiblePlacements lists the placements on a machine that may be stopped, the latest first.
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
