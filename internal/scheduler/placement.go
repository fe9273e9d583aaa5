package scheduler

import (
	"container/heap"

	"firwood.dev/firwood/internal/allocation"
)

// Points and penalties of the placement score. Failures on the machine outweigh all else. The match of
// spot or on-demand comes next, then the image, then whatever helps other machines to become idle so
// that they can be deleted.
const (
	pointsForSpotMatch         = 100  // a spot machine for a job that allows spot, an on-demand machine for others
	pointsForReplicaColocation = 50   // a replica on a machine that already has replicas
	pointsForImage             = 20   // the machine has the job's image
	pointsForImageReplica      = 60   // the same for a replica, whose start users wait for
	pointsForFetch             = 10   // the machine is fetching the job's image
	penaltyPerFetch            = 10   // for each fetch in flight, if the job's image is neither there nor being fetched
	penaltyPerFetchReplica     = 25   // the same for a replica
	penaltyForFailure          = 1000 // tasks of the job have failed on the machine
	maxPenaltyForExtension     = 8    // limit of the penalty for extending the time that the machine is in use
	halfExtensionSeconds       = 30   // extension that costs half of maxPenaltyForExtension
	maxPointsForFullness       = 5    // points for a machine that is entirely used
)

// placementScore rates a machine for a job; higher is better. It prefers the right choice of spot or
// on-demand, then a machine that has the image, then the fullest machine, so that others become idle
// and can be deleted.
func (cycle *schedulingCycle) placementScore(job *allocation.Job, machine *allocation.Machine) float64 {
	score := 0.0
	if job.Spec.AllowsSpot == machine.Spot {
		score += pointsForSpotMatch
	}
	if job.IsService() && machine.ReplicaCount() > 0 {
		// Replicas run for a long time, and a machine that has one can't be deleted, so replicas are
		// placed together.
		score += pointsForReplicaColocation
	}
	score += imageScore(job, machine)
	if job.FailuresByMachine[machine.Name] > 0 {
		score -= penaltyForFailure
	}
	if !job.IsService() {
		// A machine is paid for until its last task ends, so a task goes where it extends that time
		// the least.
		runSeconds := cycle.scheduler.predictedRunSeconds(job)
		extension := max(runSeconds-cycle.remainingBusySeconds(machine), 0)
		score -= maxPenaltyForExtension * extension / (extension + halfExtensionSeconds)
	}
	score += maxPointsForFullness * dominantShare(machine.Used().Add(cycle.reserved[machine.SortIndex]), machine.Capacity)
	return score
}

// imageScore returns the part of the score that depends on the job's image. All fetches of a machine
// share its fetch rate. The penalties for fetches were added after many replicas that had lost their
// machines filled one machine after another, and each of these machines had to fetch every image.
func imageScore(job *allocation.Job, machine *allocation.Machine) float64 {
	switch _, cached := machine.ImageUsedAt[job.Spec.Image]; {
	case cached && job.IsService():
		return pointsForImageReplica // above pointsForReplicaColocation: having the image matters more
	case cached:
		return pointsForImage
	case machine.IsFetching(job.Spec.Image):
		return pointsForFetch
	case job.IsService():
		// From two fetches on, the penalty is at least pointsForReplicaColocation: a replica is better
		// off on a machine without other replicas for a while than waiting for several fetches.
		return -penaltyPerFetchReplica * float64(machine.FetchCount())
	}
	return -penaltyPerFetch * float64(machine.FetchCount())
}

// remainingBusySeconds returns the seconds until the last present task of a machine ends, +Inf if the
// machine has a replica. The result is computed once per plan.
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

// candidate is a machine on which a task of a job can start.
type candidate struct {
	machine *allocation.Machine
	score   float64
}

// candidateHeap is a heap of candidates with the best one, by score and then by name, at the top. With
// a heap a job of ten tasks need not sort a thousand machines. Push and Pop exist only to satisfy
// heap.Interface.
type candidateHeap []candidate

// Len implements sort.Interface.
func (candidates candidateHeap) Len() int { return len(candidates) }

// Less implements sort.Interface. The better candidate sorts first.
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

// removeBest removes the best candidate.
func (candidates *candidateHeap) removeBest() {
	n := len(*candidates) - 1
	(*candidates)[0] = (*candidates)[n]
	*candidates = (*candidates)[:n]
	if n > 1 {
		heap.Fix(candidates, 0)
	}
}

// forEachCandidate calls visit for each machine with room for a task of the job, pool by pool. It
// removes machines without room for any waiting task from the pool views.
func (cycle *schedulingCycle) forEachCandidate(job *allocation.Job, visit func(*allocation.Machine)) {
	for _, view := range cycle.pools {
		if len(view.withRoom) == 0 || !allocation.IsEligible(job, view.withRoom[0]) {
			continue // eligibility depends only on the pool, so one machine stands for all
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

// placeTasks places independent tasks. If the job's starts are not recorded yet, it only reserves the
// room, because the record has to be durable before any task starts. It returns the number of tasks
// that it placed or reserved room for.
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

// zoneCandidates holds the machines of one zone on which a task of a spread job can start now.
type zoneCandidates struct {
	zone       string
	candidates candidateHeap
	taskCount  int // number of the job's tasks in the zone
}

// placeSpread places the tasks of a spread job one by one, each in the zone that bestZone picks.
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

// bestZone picks the zone for the next task of a spread job, or nil if no zone may have another task.
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

// isBetterZone reports whether zone a is better than zone b for the next task of a spread job. It
// compares the job's zone preference, then the number of the job's tasks there, then the best machine.
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

// isPreferredZone reports whether a job should run in zone a rather than in zone b. Replicas survive
// a network outage of their zone only if a controller inside the zone can renew their leases.
func (cycle *schedulingCycle) isPreferredZone(job *allocation.Job, a, b string) bool {
	return job.IsService() && cycle.scheduler.DelegatedZones[a] && !cycle.scheduler.DelegatedZones[b]
}

func isBetterCandidate(a, b candidate) bool {
	return a.score > b.score || a.score == b.score && a.machine.SortIndex < b.machine.SortIndex
}
