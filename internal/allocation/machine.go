package allocation

import "firwood.dev/firwood/internal/clock"

// unplacedAttempt is an attempt without a placement that the worker lists, mostly an exited one. It is
// listed until the worker is told to forget (reap) it.
type unplacedAttempt struct {
	taskID      string
	attempt     uint64
	job         *Job // nil if the tracker has no such job
	taskIndex   int
	isCompleted bool // it exited as done, so its task's completion has to be durable first
	isRunning   bool // it has not exited and its job is nil
}

// needsDurableCompletion tells whether it is the completion of a task that is not durable yet.
func (exited *unplacedAttempt) needsDurableCompletion() bool {
	return exited.isCompleted && !exited.job.IsService() && !exited.job.Tasks[exited.taskIndex].CompletionDurable
}

// attemptKey identifies an attempt of a task.
type attemptKey struct {
	taskID  string
	attempt uint64
}

func (exited *unplacedAttempt) key() attemptKey { return attemptKey{exited.taskID, exited.attempt} }

// Machine is a machine that exists, or may exist. Its fields are grouped by concern.
type Machine struct {
	MachineSpec
	HeartbeatState
	MachineRestrictions
	MachineImages
	machineLoad
	dispatchState
	attemptRecords
	leaseState

	// RecordedInStore tells whether the key-value store has it. Only then may it get tasks.
	RecordedInStore bool
	// CreatedAt is when this leader first knew of it; the controller replaces it by the time of
	// the scale-out request.
	CreatedAt    clock.Micros
	BecameIdleAt clock.Micros // since when it has had no placement
	// SortIndex is its index in SortedMachines, as of the last call of that.
	SortIndex int
}

// MachineSpec is what doesn't change while a machine exists.
type MachineSpec struct {
	Name, Type, Zone string
	Spot             bool // the cloud may reclaim it
	Capacity         Resources
}

// HeartbeatState is what is known from the worker's heartbeats. Instants are of this leader's steady
// clock.
type HeartbeatState struct {
	Address           string // HOST:PORT for command requests, "" if unknown
	Incarnation       uint64 // of the last accepted heartbeat
	HeartbeatSequence uint64 // of the last accepted heartbeat
	LastHeartbeatAt   clock.Micros
	FirstHeartbeatAt  clock.Micros // 0 before the first
	// TokenConfirmed tells whether a heartbeat was made under this leader's token, and the lease has
	// not run out since.
	TokenConfirmed bool
	// Reconciled tells whether nothing that an earlier leader started can be on it unseen.
	Reconciled bool
}

// MachineRestrictions are reasons to give a machine nothing new.
type MachineRestrictions struct {
	// ReclaimAt is when the cloud reclaims a spot machine, 0 if it isn't announced.
	ReclaimAt clock.Micros
	// UnreachableUntil is set after a command request without an answer: until then commands may
	// not reach the worker, even if its heartbeats arrive.
	UnreachableUntil clock.Micros
	// BackoffUntil is set while tasks fail on it for a cause that isn't the machine's own.
	BackoffUntil clock.Micros
	// FailedJobs is the set of jobs of which a task failed on it. The controller pauses or drains
	// the machine when there are several.
	FailedJobs map[string]bool
	// Draining is set while the controller places nothing new on it, mostly to delete it.
	Draining bool
}

// MachineImages are the images that a machine has, or fetches.
type MachineImages struct {
	// ImageUsedAt holds, by image that the machine has fetched, when it was last used.
	ImageUsedAt map[string]clock.Micros
	// hintedImages are images that it is expected to have in hintedIncarnation, see SetCachedImages.
	hintedImages      []string
	hintedIncarnation uint64
	fetchesByImage    map[string]int // number of placements that wait for an image
}

// machineLoad is what is placed on a machine.
type machineLoad struct {
	used         Resources             // sum of the placements' requests
	placements   map[string]*Placement // by task ID
	replicaCount int                   // placements of services
}

// dispatchState is the state of a machine's command requests.
type dispatchState struct {
	isQueued              bool // it is in dispatchQueue
	isAwaitingReplication bool // it is in awaitingReplication
	hasCommandInFlight    bool // a command request has no outcome yet
	isConfirmationRequest bool // that request is from BuildConfirmationRequest
}

// attemptRecords decide when the worker may be told to forget (reap) an attempt (invariant 2).
type attemptRecords struct {
	unplacedAttempts []unplacedAttempt   // from the last accepted heartbeat
	lateStarts       map[attemptKey]bool // ended attempts of which a start may still arrive
	// startTokens holds the tokens of starts in command requests, of which copies may arrive until
	// the worker has seen a higher token.
	startTokens map[attemptKey]uint64
	seenToken   uint64 // the highest token in an accepted heartbeat
}

// leaseState bounds the worker's lease.
type leaseState struct {
	leaseRenewedAt clock.Micros // the last instant at which the lease may have been renewed
	minIncarnation uint64       // heartbeats of lower incarnations are stale: their lease is over
}

// Used returns what its placements take.
func (machine *Machine) Used() Resources { return machine.used }

// Free returns what is left for new tasks.
func (machine *Machine) Free() Resources { return machine.Capacity.Sub(machine.used) }

// ReplicaCount returns how many tasks of services are, or may be, on it.
func (machine *Machine) ReplicaCount() int { return machine.replicaCount }

// IsFetching tells whether a task that has not run yet waits for the image.
func (machine *Machine) IsFetching(image string) bool { return machine.fetchesByImage[image] > 0 }

// FetchCount returns how many images its tasks wait for; the fetches share its bandwidth.
func (machine *Machine) FetchCount() int { return len(machine.fetchesByImage) }

// PlacementCount returns how many placements are on it.
func (machine *Machine) PlacementCount() int { return len(machine.placements) }

// IsIdle tells whether no task is, or may be, on it.
func (machine *Machine) IsIdle() bool { return len(machine.placements) == 0 }

// IsSchedulable tells whether PlaceTask accepts it. The scheduler also leaves out machines that are
// suspected, unreachable or backing off.
func (machine *Machine) IsSchedulable() bool {
	return machine.RecordedInStore && machine.TokenConfirmed && !machine.Draining && machine.ReclaimAt == 0
}

// ForEachPlacement calls visit for every placement on it, in no order.
func (machine *Machine) ForEachPlacement(visit func(*Placement)) {
	for _, placement := range machine.placements {
		visit(placement)
	}
}

// HasTask tells whether an attempt of the task is placed on it, or still listed by its worker.
func (machine *Machine) HasTask(taskID string) bool {
	if _, ok := machine.placements[taskID]; ok {
		return true
	}
	for i := range machine.unplacedAttempts {
		if machine.unplacedAttempts[i].taskID == taskID {
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
