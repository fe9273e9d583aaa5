package allocation

import "firwood.dev/firwood/internal/clock"

// exitedAttempt is an exited attempt that the worker still lists.
type exitedAttempt struct {
	taskID      string
	attempt     uint64
	job         *Job // nil if it has none that is not over
	taskIndex   int
	isCompleted bool // its exit is the result of its job's task
	isRunning   bool // it has no job, and has not exited
}

// hasPendingResult tells whether it is the completion of a task that is not durable yet.
func (exited *exitedAttempt) hasPendingResult() bool {
	return exited.isCompleted && !exited.job.IsService() && !exited.job.Tasks[exited.taskIndex].CompletionDurable
}

type attemptKey struct {
	taskID  string
	attempt uint64
}

func (exited *exitedAttempt) key() attemptKey { return attemptKey{exited.taskID, exited.attempt} }

// Machine is a machine that exists, or may. Its fields are grouped by concern.
type Machine struct {
	MachineSpec
	HeartbeatState
	MachineRestrictions
	MachineImages
	machineLoad
	dispatchState
	attemptRecords
	leaseState

	// RecordedInStore: the state service names it. Only then may it get tasks.
	RecordedInStore bool
	CreatedAt       clock.Micros // when this leader learnt of it
	BecameIdleAt    clock.Micros // since when it has nothing to do
	// SortIndex is its place in SortedMachines, as of the last call of that.
	SortIndex int
}

// MachineSpec is what a machine was created with.
type MachineSpec struct {
	Name, Type, Zone string
	Spot             bool
	Capacity         Resources
}

// HeartbeatState is what the worker's heartbeats have told.
type HeartbeatState struct {
	Address           string
	Incarnation       uint64
	HeartbeatSequence uint64
	LastHeartbeatAt   clock.Micros // when the last newer report came
	FirstHeartbeatAt  clock.Micros // when it was first heard
	// TokenConfirmed: it has reported under this token.
	TokenConfirmed bool
	// Reconciled: nothing of an earlier leader can be on it unseen.
	Reconciled bool
}

// MachineRestrictions are reasons to give a machine nothing new.
type MachineRestrictions struct {
	// ReclaimAt is when the cloud takes it back, 0 if not announced.
	ReclaimAt clock.Micros
	// UnreachableUntil: a direct message got no answer lately, so until then it is not
	// known that the worker can be told anything, though it may be heard.
	UnreachableUntil clock.Micros
	// BackoffUntil: tasks fail there for a cause that is not its own, so until then it
	// gets nothing new.
	BackoffUntil clock.Micros
	// FailedJobs counts the jobs that failed on it.
	FailedJobs map[string]bool
	// Draining: it gets nothing new.
	Draining bool
}

// MachineImages are the images that a machine has, or fetches.
type MachineImages struct {
	// ImageUsedAt that it has fetched, with when each was last used.
	ImageUsedAt map[string]clock.Micros
	// hintedImages are images that it is said to hold in a session, see Says.
	hintedImages      []string
	hintedIncarnation uint64
	fetchesByImage    map[string]int // placements that have not run yet, by image
}

// machineLoad is what is booked on a machine.
type machineLoad struct {
	used         Resources
	placements   map[string]*Placement
	replicaCount int
}

// dispatchState is where a machine's direct messages stand.
type dispatchState struct {
	isQueued bool // listed in the ledger's outbox
	// isAwaitingReplication: listed among those whose starts wait for followers.
	isAwaitingReplication bool
	commandInFlight       bool // a direct message is out
}

// attemptRecords decide when the worker may forget an attempt.
type attemptRecords struct {
	exitedAttempts []exitedAttempt
	lateStarts     map[attemptKey]bool // attempts that a late direct start may bring back
	// startTokens are the tokens of direct starts, of which copies may come, by attempt;
	// token is the highest that the worker has said it has seen.
	startTokens map[attemptKey]uint64
	seenToken   uint64
}

// leaseState is what bounds the worker's lease.
type leaseState struct {
	leaseRenewedAt clock.Micros // its lease may be counted from here
	// Reports of sessions before this one are void.
	minIncarnation uint64
}

// Used is what its placements take.
func (machine *Machine) Used() Resources { return machine.used }

// Free is what is left for new tasks.
func (machine *Machine) Free() Resources { return machine.Capacity.Sub(machine.used) }

// ReplicaCount is how many tasks of services are, or may be, on it.
func (machine *Machine) ReplicaCount() int { return machine.replicaCount }

// IsFetching tells whether a task that has not run yet waits for the image.
func (machine *Machine) IsFetching(image string) bool { return machine.fetchesByImage[image] > 0 }

// FetchCount is how many images tasks on it wait for; they share its rate.
func (machine *Machine) FetchCount() int { return len(machine.fetchesByImage) }

// PlacementCount is how many placements are on it.
func (machine *Machine) PlacementCount() int { return len(machine.placements) }

// IsIdle tells that nothing is, or may be, on it.
func (machine *Machine) IsIdle() bool { return len(machine.placements) == 0 }

// IsSchedulable tells that it may get tasks.
func (machine *Machine) IsSchedulable() bool {
	return machine.RecordedInStore && machine.TokenConfirmed && !machine.Draining && machine.ReclaimAt == 0
}

// ForEachPlacement calls f for every placement on it.
func (machine *Machine) ForEachPlacement(visit func(*Placement)) {
	for _, placement := range machine.placements {
		visit(placement)
	}
}

// HasTask tells whether the worker still lists some attempt of the task.
func (machine *Machine) HasTask(taskID string) bool {
	if _, ok := machine.placements[taskID]; ok {
		return true
	}
	for i := range machine.exitedAttempts {
		if machine.exitedAttempts[i].taskID == taskID {
			return true
		}
	}
	return false
}

// hasPlacement tells whether an attempt is one of the machine's placements.
func (machine *Machine) hasPlacement(key attemptKey) bool {
	placement := machine.placements[key.taskID]
	return placement != nil && placement.Attempt == key.attempt
}
