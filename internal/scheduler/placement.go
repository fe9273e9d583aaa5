package scheduler

import (
	"container/heap"

	"firwood.dev/firwood/internal/allocation"
)

// placementScore orders machines for a job: the kind that it should use, the image at
// hand, then the fullest, so that others run empty and can be given back.
func (cycle *schedulingCycle) placementScore(job *allocation.Job, machine *allocation.Machine) float64 {
	score := 0.0
	if job.Spec.AllowsSpot == machine.Spot {
		score += 100
	}
	if job.IsService() && machine.ReplicaCount() > 0 {
		// Replicas stay for long, and a machine that has one cannot be given
		// back: they go together.
		score += 50
	}
	switch _, ok := machine.ImageUsedAt[job.Spec.Image]; {
	case ok && job.IsService():
		score += 60 // a replica is awaited: rather apart than after a fetch
	case ok:
		score += 20
	case machine.IsFetching(job.Spec.Image):
		score += 10
	default:
		// Fetches share a machine's rate: when many replicas have lost their
		// place, one machine after the other fetched every image there is.
		penaltyPerFetch := 10.0
		if job.IsService() {
			penaltyPerFetch = 25 // rather a machine of its own for a while than a queue of fetches
		}
		score -= penaltyPerFetch * float64(machine.FetchCount())
	}
	if errorCount := job.FailuresByMachine[machine.Name]; errorCount > 0 {
		score -= 1000
	}
	if !job.IsService() {
		// A machine is paid for until its last task ends: a task goes where it
		// prolongs that least.
		runSeconds := cycle.scheduler.predictedRunSeconds(job)
		extension := max(runSeconds-cycle.remainingBusySeconds(machine), 0)
		score -= 8 * extension / (extension + 30)
	}
	score += 5 * dominantShare(machine.Used().Add(cycle.reserved[machine.SortIndex]), machine.Capacity)
	return score
}

// remainingBusySeconds is how long, in seconds, a machine will be busy with what it has.
func (cycle *schedulingCycle) remainingBusySeconds(machine *allocation.Machine) float64 {
	busy := &cycle.busySeconds[machine.SortIndex]
	if *busy < 0 {
		*busy = 0
		machine.ForEachPlacement(func(placement *allocation.Placement) {
			*busy = max(*busy, cycle.scheduler.remainingSeconds(placement, cycle.now))
		})
	}
	return *busy
}

// candidate is a machine that a job may use now.
type candidate struct {
	machine *allocation.Machine
	score   float64
}

// candidateHeap is a heap with the best on top, by score, then by name: a job of ten
// tasks need not sort a thousand machines.
type candidateHeap []candidate

func (candidates candidateHeap) Len() int { return len(candidates) }

func (candidates candidateHeap) Less(a, b int) bool {
	return candidates[a].score > candidates[b].score || candidates[a].score == candidates[b].score && candidates[a].machine.SortIndex < candidates[b].machine.SortIndex
}

func (candidates candidateHeap) Swap(a, b int) {
	candidates[a], candidates[b] = candidates[b], candidates[a]
}

func (candidates *candidateHeap) Push(x any) { *candidates = append(*candidates, x.(candidate)) }

func (candidates *candidateHeap) Pop() any {
	x := (*candidates)[len(*candidates)-1]
	*candidates = (*candidates)[:len(*candidates)-1]
	return x
}

// removeBest takes the best off.
func (candidates *candidateHeap) removeBest() {
	n := len(*candidates) - 1
	(*candidates)[0] = (*candidates)[n]
	*candidates = (*candidates)[:n]
	if n > 1 {
		heap.Fix(candidates, 0)
	}
}

// forEachCandidate lists the machines with room for a task of the job, pool by pool.
// What has no room left for anything that waits is passed over from now on.
func (cycle *schedulingCycle) forEachCandidate(job *allocation.Job, visit func(*allocation.Machine)) {
	for _, view := range cycle.pools {
		if len(view.withRoom) == 0 || !allocation.IsEligible(job, view.withRoom[0]) {
			continue // a job's wishes are for pools, not for single machines
		}
		remaining := view.withRoom[:0]
		for _, machine := range view.withRoom {
			free := cycle.freeResources(machine)
			if !cycle.minNeed.IsWithin(free) {
				continue
			}
			remaining = append(remaining, machine)
			if job.Request.IsWithin(free) {
				visit(machine)
			}
		}
		view.withRoom = remaining
	}
}

func (cycle *schedulingCycle) reserve(machine *allocation.Machine, need allocation.Resources) {
	cycle.reserved[machine.SortIndex] = cycle.reserved[machine.SortIndex].Add(need)
}

// placeTasks places independent tasks.
func (cycle *schedulingCycle) placeTasks(queued *queuedJob) int {
	job := queued.job
	maxTasks := min(len(queued.readyTasks), queued.taskLimit)
	if maxTasks <= 0 {
		return 0
	}
	placed := 0
	place := func(machine *allocation.Machine) bool {
		if !job.Request.IsWithin(cycle.freeResources(machine)) {
			return false
		}
		if !job.StartsRecorded {
			// Its mark has to be durable first; the room is kept until then.
			cycle.reserve(machine, job.Request)
		} else if cycle.tracker.PlaceTask(job, queued.readyTasks[placed], machine, cycle.tracker.NextAttempt(), cycle.now) != nil {
			return false
		}
		placed++
		return true
	}
	if job.Spec.SpreadZones {
		cycle.placeSpread(job, maxTasks, place)
		return placed
	}
	var candidates candidateHeap
	cycle.forEachCandidate(job, func(machine *allocation.Machine) {
		candidates = append(candidates, candidate{machine, cycle.placementScore(job, machine)})
	})
	heap.Init(&candidates)
	for ; len(candidates) > 0 && placed < maxTasks; candidates.removeBest() {
		for placed < maxTasks && place(candidates[0].machine) {
		}
	}
	return placed
}

// placeSpread places tasks one by one, each in the zone that has the fewest.
func (cycle *schedulingCycle) placeSpread(job *allocation.Job, maxTasks int, place func(*allocation.Machine) bool) {
	type zone struct {
		name  string
		c     candidateHeap
		count int
	}
	var zones []*zone
	byName := map[string]*zone{}
	cycle.forEachCandidate(job, func(machine *allocation.Machine) {
		z := byName[machine.Zone]
		if z == nil {
			z = &zone{name: machine.Zone, count: job.CountInZone(machine.Zone)}
			byName[machine.Zone] = z
			zones = append(zones, z)
		}
		z.c = append(z.c, candidate{machine, cycle.placementScore(job, machine)})
	})
	for _, z := range zones {
		heap.Init(&z.c)
	}
	for placed := 0; placed < maxTasks; {
		var best *zone
		for _, z := range zones {
			if len(z.c) == 0 || z.count >= job.MaxTasksPerZone() {
				continue
			}
			if best == nil || cycle.prefersZone(job, z.name, best.name) ||
				!cycle.prefersZone(job, best.name, z.name) && (z.count < best.count || z.count == best.count && isBetterCandidate(z.c[0], best.c[0])) {
				best = z
			}
		}
		if best == nil {
			return
		}
		if place(best.c[0].machine) {
			best.count++
			placed++
		} else {
			best.c.removeBest()
		}
	}
}

// prefersZone tells whether a job is better off in zone a than in b: replicas outlive
// a cut only where a controller inside can keep their leases alive.
func (cycle *schedulingCycle) prefersZone(job *allocation.Job, a, b string) bool {
	return job.IsService() && cycle.scheduler.DelegatedZones[a] && !cycle.scheduler.DelegatedZones[b]
}

func isBetterCandidate(a, b candidate) bool { return candidateHeap{a, b}.Less(0, 1) }
