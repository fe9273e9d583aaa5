package scheduler

import (
	"container/heap"

	"firwood.dev/firwood/internal/allocation"
)

// Points of the placement score. The kind of machine comes first, then the image, then
// what keeps machines free to be deleted.
const (
	pointsForSpotMatch         = 100  // spot for jobs that may use it, ordinary for others
	pointsForReplicaColocation = 50   // a replica, where there are others
	pointsForImage             = 20   // the image is there
	pointsForImageReplica      = 60   // the same for a replica, which users wait for
	pointsForFetch             = 10   // the image is being fetched
	penaltyPerFetch            = 10   // taken off for each other fetch under way
	penaltyPerFetchReplica     = 25   // the same for a replica
	penaltyForFailure          = 1000 // taken off where tasks of the job have failed
	maxPenaltyForExtension     = 8    // taken off, at most, for prolonging a machine's use
	halfExtensionSeconds       = 30   // the prolongation for which half of maxPenaltyForExtension are taken off
	maxPointsForFullness       = 5    // at most
)

// placementScore orders machines for a job, the higher the better: the kind that it should
// use, the image there, then the fullest, so that others become idle and can be deleted.
func (cycle *schedulingCycle) placementScore(job *allocation.Job, machine *allocation.Machine) float64 {
	score := 0.0
	if job.Spec.AllowsSpot == machine.Spot {
		score += pointsForSpotMatch
	}
	if job.IsService() && machine.ReplicaCount() > 0 {
		// Replicas stay for long, and a machine that has one cannot be deleted: they go
		// together.
		score += pointsForReplicaColocation
	}
	score += imageScore(job, machine)
	if job.FailuresByMachine[machine.Name] > 0 {
		score -= penaltyForFailure
	}
	if !job.IsService() {
		// A machine is paid for until its last task ends: a task goes where it
		// prolongs that least.
		runSeconds := cycle.scheduler.predictedRunSeconds(job)
		extension := max(runSeconds-cycle.remainingBusySeconds(machine), 0)
		score -= maxPenaltyForExtension * extension / (extension + halfExtensionSeconds)
	}
	score += maxPointsForFullness * dominantShare(machine.Used().Add(cycle.reserved[machine.SortIndex]), machine.Capacity)
	return score
}

// imageScore is the part of the score for the job's image. Fetches share a machine's rate.
// Added after many replicas that had lost their machines went to one machine after the
// other, where each fetched every image there is.
func imageScore(job *allocation.Job, machine *allocation.Machine) float64 {
	switch _, cached := machine.ImageUsedAt[job.Spec.Image]; {
	case cached && job.IsService():
		return pointsForImageReplica // more than pointsForReplicaColocation: the image counts before the company
	case cached:
		return pointsForImage
	case machine.IsFetching(job.Spec.Image):
		return pointsForFetch
	case job.IsService():
		// From two fetches on this outweighs pointsForReplicaColocation: a replica rather goes to a
		// machine of its own for a while than wait for several fetches.
		return -penaltyPerFetchReplica * float64(machine.FetchCount())
	}
	return -penaltyPerFetch * float64(machine.FetchCount())
}

// remainingBusySeconds is how long, in seconds, the present tasks of a machine will run;
// worked out once in a plan.
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

// candidateHeap is a heap with the best on top, by score, then by name: a job of ten tasks
// need not sort a thousand machines. Push and Pop are there for heap.Interface alone.
type candidateHeap []candidate

// Len implements sort.Interface.
func (candidates candidateHeap) Len() int { return len(candidates) }

// Less implements sort.Interface; the better candidate comes first.
func (candidates candidateHeap) Less(a, b int) bool {
	return isBetterCandidate(candidates[a], candidates[b])
}

// Swap implements sort.Interface.
func (candidates candidateHeap) Swap(a, b int) {
	candidates[a], candidates[b] = candidates[b], candidates[a]
}

// Push implements heap.Interface.
func (candidates *candidateHeap) Push(x any) { *candidates = append(*candidates, x.(candidate)) }

// Pop implements heap.Interface.
func (candidates *candidateHeap) Pop() any {
	x := (*candidates)[len(*candidates)-1]
	*candidates = (*candidates)[:len(*candidates)-1]
	return x
}

// removeBest drops the best one.
func (candidates *candidateHeap) removeBest() {
	n := len(*candidates) - 1
	(*candidates)[0] = (*candidates)[n]
	*candidates = (*candidates)[:n]
	if n > 1 {
		heap.Fix(candidates, 0)
	}
}

// forEachCandidate visits the machines with room for a task of the job, pool by pool.
// Machines with no room left for anything that waits are dropped from the plan's lists.
func (cycle *schedulingCycle) forEachCandidate(job *allocation.Job, visit func(*allocation.Machine)) {
	for _, view := range cycle.pools {
		if len(view.withRoom) == 0 || !allocation.IsEligible(job, view.withRoom[0]) {
			continue // what a job allows depends on the pool alone
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

// placeTasks places independent tasks. Until the job's starts are recorded it only reserves
// the room: the record has to be durable first. It returns the number of tasks that it has
// placed or has reserved room for.
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

// zoneCandidates are the machines of one zone that a spread job may use now.
type zoneCandidates struct {
	zone       string
	candidates candidateHeap
	taskCount  int // tasks of the job in the zone
}

// placeSpread places tasks one by one, each in the zone that has the fewest.
func (cycle *schedulingCycle) placeSpread(job *allocation.Job, maxTasks int, place func(*allocation.Machine) bool) {
	zones := cycle.candidatesByZone(job)
	for placed := 0; placed < maxTasks; {
		best := cycle.bestZone(job, zones)
		if best == nil {
			return
		}
		if place(best.candidates[0].machine) {
			best.taskCount++
			placed++
		} else {
			best.candidates.removeBest()
		}
	}
}

func (cycle *schedulingCycle) candidatesByZone(job *allocation.Job) []*zoneCandidates {
	var zones []*zoneCandidates
	byName := map[string]*zoneCandidates{}
	cycle.forEachCandidate(job, func(machine *allocation.Machine) {
		zone := byName[machine.Zone]
		if zone == nil {
			zone = &zoneCandidates{zone: machine.Zone, taskCount: job.CountInZone(machine.Zone)}
			byName[machine.Zone] = zone
			zones = append(zones, zone)
		}
		zone.candidates = append(zone.candidates, candidate{machine, cycle.placementScore(job, machine)})
	})
	for _, zone := range zones {
		heap.Init(&zone.candidates)
	}
	return zones
}

// bestZone picks the zone for the next task of a spread job; nil if none may have another.
func (cycle *schedulingCycle) bestZone(job *allocation.Job, zones []*zoneCandidates) *zoneCandidates {
	var best *zoneCandidates
	for _, zone := range zones {
		if len(zone.candidates) == 0 || zone.taskCount >= job.MaxTasksPerZone() {
			continue
		}
		if best == nil || cycle.isBetterZone(job, zone, best) {
			best = zone
		}
	}
	return best
}

// isBetterZone compares by the job's preference, then by its tasks there, then by the best
// machine.
func (cycle *schedulingCycle) isBetterZone(job *allocation.Job, a, b *zoneCandidates) bool {
	switch {
	case cycle.isPreferredZone(job, a.zone, b.zone):
		return true
	case cycle.isPreferredZone(job, b.zone, a.zone):
		return false
	case a.taskCount != b.taskCount:
		return a.taskCount < b.taskCount
	}
	return isBetterCandidate(a.candidates[0], b.candidates[0])
}

// isPreferredZone tells whether a job is better off in zone a than in b: replicas outlive the
// loss of a zone's network only where a controller inside can renew their leases.
func (cycle *schedulingCycle) isPreferredZone(job *allocation.Job, a, b string) bool {
	return job.IsService() && cycle.scheduler.DelegatedZones[a] && !cycle.scheduler.DelegatedZones[b]
}

func isBetterCandidate(a, b candidate) bool {
	return a.score > b.score || a.score == b.score && a.machine.SortIndex < b.machine.SortIndex
}
