package standby

import (
	"fmt"
	"iter"
	"maps"
	"slices"

	"firwood.dev/firwood/wire"
)

const (
	jobCount, tasksPerJob = 4, 10
	// maxUnconfirmedTaskEntries bounds the entries for single tasks that replace a job's unconfirmed
	// entry. The leader replaces it once no more tasks of the job than this are still unconfirmed.
	maxUnconfirmedTaskEntries = 3
)

// leaderState is what the simulated leader has in memory.
type leaderState struct {
	leaderName string // the leader's name, or empty if no member leads
	publisher  *Publisher
	inSyncSet  *InSyncSet
	// knownPlacements are the placements that the leader has learned of, ended ones included.
	knownPlacements map[Placement]bool
	// unconfirmedTasks are the tasks that may be running on an unknown machine.
	unconfirmedTasks map[string]bool
	// unconfirmedJobs are the jobs for which the leader has published one unconfirmed entry.
	unconfirmedJobs map[string]bool
	// pendingStarts are the starts that wait for the followers, by sequence number.
	pendingStarts map[uint64]Placement
}

func (state *leaderState) hasLeader() bool { return state.leaderName != "" }

// statistics counts the cases that the generated histories have covered.
type statistics struct {
	trustedFailovers         int // failovers to a member with a trusted replica
	failoversWithUnconfirmed int // trusted failovers after a leader that still had unconfirmed tasks
	earlierReplicaFailovers  int // trusted failovers with the replica of a leader before the last one
	sentStarts               int
}

func (total *statistics) add(other statistics) {
	total.trustedFailovers += other.trustedFailovers
	total.failoversWithUnconfirmed += other.failoversWithUnconfirmed
	total.earlierReplicaFailovers += other.earlierReplicaFailovers
	total.sentStarts += other.sentStarts
}

func jobID(job int) string { return fmt.Sprintf("req-%06d", job) }

// chooseSuccessor returns the name of the next leader. About half the time it prefers members with a
// trusted replica.
func (sim *simulation) chooseSuccessor() string {
	start := sim.rng.IntN(len(sim.memberNames))
	if sim.rng.IntN(2) == 0 {
		for i := range sim.memberNames {
			name := sim.memberNames[(start+i)%len(sim.memberNames)]
			if _, ok := sim.trustedPredicate(name); ok {
				return name
			}
		}
	}
	return sim.memberNames[start]
}

// changeLockHolder starts a new term of the lock, which every member observes.
func (sim *simulation) changeLockHolder(isRecordFirst bool) {
	sim.lockToken += 1 + uint64(sim.rng.IntN(3))
	sim.isRecordFirst = isRecordFirst
	for _, name := range sim.memberNames {
		sim.termHistories[name].ObserveTerm(sim.lockToken, isRecordFirst)
	}
}

// electLeader has a member win the lock. The new leader treats as unconfirmed every task that may be
// running according to its trusted replica, or every task if it has none.
func (sim *simulation) electLeader(name string) {
	mayBeRunning, ok := sim.trustedPredicate(name)
	if ok {
		sim.trustedFailovers++
		if len(sim.unconfirmedTasks) > 0 {
			sim.failoversWithUnconfirmed++
		}
		if sim.record.Token != sim.lockToken {
			sim.earlierReplicaFailovers++
		}
	} else {
		mayBeRunning = func(string) bool { return true }
	}
	sim.changeLockHolder(!sim.isFirstVersion[name])
	sim.leaderName = name
	others := slices.DeleteFunc(slices.Clone(sim.memberNames), func(other string) bool { return other == name })
	sim.publisher = NewPublisher(sim.lockToken, others)
	sim.inSyncSet = NewInSyncSet(sim.publisher, sim.record, sim.recordVersion, others, sim.now)
	sim.pendingStarts, sim.knownPlacements, sim.unconfirmedTasks, sim.unconfirmedJobs = map[uint64]Placement{}, map[Placement]bool{}, map[string]bool{}, map[string]bool{}
	for job := range jobCount {
		sim.addUnconfirmedTasks(job, mayBeRunning)
	}
}

// addUnconfirmedTasks has a new leader publish which tasks of a job may be running.
func (sim *simulation) addUnconfirmedTasks(job int, mayBeRunning func(task string) bool) {
	var tasks []string
	for i := range tasksPerJob {
		if task := wire.TaskID(jobID(job), i); mayBeRunning(task) {
			tasks = append(tasks, task)
			sim.unconfirmedTasks[task] = true
		}
	}
	if len(tasks) == tasksPerJob {
		sim.unconfirmedJobs[jobID(job)] = true
		sim.publishUnconfirmed(Started, jobID(job))
		return
	}
	for _, task := range tasks {
		sim.publishUnconfirmed(Started, task)
	}
}

// publishUnconfirmed publishes a decision about an unconfirmed entry. A leader of the first protocol
// version publishes nothing, as it has no such entries.
func (sim *simulation) publishUnconfirmed(kind DecisionKind, id string) {
	if !sim.isFirstVersion[sim.leaderName] {
		sim.publisher.AppendDecision(Decision{kind, UnconfirmedPlacement(id)})
	}
}

// observeRunning has the leader learn from a heartbeat that a placement is running.
func (sim *simulation) observeRunning(placement Placement) {
	if sim.knownPlacements[placement] {
		return
	}
	sim.knownPlacements[placement] = true
	sim.publisher.AppendDecision(Decision{Started, placement})
	sim.resolveUnconfirmed(placement.Task)
}

// resolveUnconfirmed ends the uncertainty about a task: the leader has proof of where the task runs,
// or that it runs nowhere.
func (sim *simulation) resolveUnconfirmed(task string) {
	if !sim.unconfirmedTasks[task] {
		return
	}
	delete(sim.unconfirmedTasks, task)
	job := jobOfTask(task)
	if !sim.unconfirmedJobs[job] {
		sim.publishUnconfirmed(Ended, task)
		return
	}
	var remaining []string
	for other := range sim.unconfirmedTasks {
		if jobOfTask(other) == job {
			remaining = append(remaining, other)
		}
	}
	if len(remaining) > maxUnconfirmedTaskEntries {
		return
	}
	delete(sim.unconfirmedJobs, job)
	for _, other := range remaining {
		sim.publishUnconfirmed(Started, other)
	}
	sim.publishUnconfirmed(Ended, job)
}

// reconcileMachines has every machine report its placements. A task that no machine reports is not
// running.
func (sim *simulation) reconcileMachines() {
	for placement := range sim.runningPlacements {
		sim.observeRunning(placement)
	}
	for task := range sim.unconfirmedTasks {
		sim.resolveUnconfirmed(task)
	}
}

// makeDecision has the leader learn of an end or of a running placement, or decide on a start.
func (sim *simulation) makeDecision() {
	switch sim.rng.IntN(8) {
	case 0, 1:
		for placement := range sim.runningPlacements {
			if sim.rng.IntN(4) == 0 && !sim.knownPlacements[placement] {
				delete(sim.runningPlacements, placement) // ends with its machine, before the leader has learned of it
			} else if sim.knownPlacements[placement] {
				delete(sim.runningPlacements, placement)
				sim.publisher.AppendDecision(Decision{Ended, placement})
			}
			return
		}
	case 2, 3:
		for placement := range sim.runningPlacements {
			sim.observeRunning(placement)
			return
		}
	case 4:
		if sim.rng.IntN(10) == 0 {
			sim.reconcileMachines()
		}
	default:
		sim.placeTask()
	}
}

// placeTask decides on a start of a random task, unless the task may be running as far as the leader
// knows.
func (sim *simulation) placeTask() {
	task := wire.TaskID(jobID(sim.rng.IntN(jobCount)), sim.rng.IntN(tasksPerJob))
	if sim.unconfirmedTasks[task] {
		return
	}
	for _, placements := range []iter.Seq[Placement]{maps.Keys(sim.knownPlacements), maps.Values(sim.pendingStarts)} {
		for placement := range placements {
			if placement.Task == task && (!sim.knownPlacements[placement] || sim.runningPlacements[placement]) {
				return
			}
		}
	}
	sim.lastAttempt++
	placement := Placement{Task: task, Attempt: uint64(sim.lastAttempt), Machine: fmt.Sprint("m", sim.rng.IntN(9))}
	sim.pendingStarts[sim.publisher.AppendDecision(Decision{Started, placement})] = placement
}

// sendStarts sends the pending starts that the in-sync set allows.
func (sim *simulation) sendStarts() {
	for sequence, placement := range sim.pendingStarts {
		if !sim.inSyncSet.MaySendStart(sequence) {
			continue
		}
		delete(sim.pendingStarts, sequence)
		for other := range sim.runningPlacements {
			if other.Task == placement.Task {
				sim.t.Fatalf("start of %s sent for %s while the task runs on %s; want at most one running attempt", placement.Task, placement.Machine, other.Machine)
			}
		}
		sim.runningPlacements[placement], sim.knownPlacements[placement] = true, true
		sim.sentStarts++
	}
}

// leadWithoutReplicas has a controller of a version without replicas lead for a short time. It starts
// tasks that it knows are not running, publishes nothing, and leaves the in-sync record unchanged.
func (sim *simulation) leadWithoutReplicas() {
	sim.changeLockHolder(false)
	sim.leaderName, sim.unconfirmedTasks = "", nil
	for range sim.rng.IntN(4) {
		task := wire.TaskID(jobID(sim.rng.IntN(jobCount)), sim.rng.IntN(tasksPerJob))
		isRunning := false
		for placement := range sim.runningPlacements {
			isRunning = isRunning || placement.Task == task
		}
		if !isRunning {
			sim.lastAttempt++
			sim.runningPlacements[Placement{Task: task, Attempt: uint64(sim.lastAttempt), Machine: "m"}] = true
		}
	}
}
