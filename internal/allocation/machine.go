package allocation

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// unplacedAttempt is an attempt that the worker lists and that has no placement. Most of them have
// exited. The worker lists an attempt until it is told to forget (reap) it.
type unplacedAttempt struct {
	taskID      string
	attempt     uint64
	job         *Job // nil if the tracker has no such job
	taskIndex   int
	isCompleted bool // it exited as done, so its task's completion must be durable before it is reaped
	isRunning   bool // it has not exited, and the tracker does not have its job or task
}

// needsDurableCompletion reports whether the attempt completed its task and the completion is not
// durable yet.
func (unplaced *unplacedAttempt) needsDurableCompletion() bool {
	return unplaced.isCompleted && !unplaced.job.IsService() && !unplaced.job.Tasks[unplaced.taskIndex].CompletionDurable
}

// attemptKey identifies an attempt of a task.
type attemptKey struct {
	taskID  string
	attempt uint64
}

// reportBytes returns the room that the attempt takes in the machine's heartbeats.
func (unplaced *unplacedAttempt) reportBytes() int64 {
	if unplaced.job != nil {
		return unplaced.job.Request.ReportBytes
	}
	return int64(wire.MaxTaskBytes(unplaced.taskID, 0))
}

// addUnplaced records an attempt that the current heartbeat lists and that has no placement.
func (machine *Machine) addUnplaced(unplaced unplacedAttempt) {
	machine.unplacedAttempts = append(machine.unplacedAttempts, unplaced)
	machine.unplacedBytes += unplaced.reportBytes()
}

func (unplaced *unplacedAttempt) key() attemptKey {
	return attemptKey{unplaced.taskID, unplaced.attempt}
}

// Machine is a machine that exists or may exist. Its fields are grouped by concern.
type Machine struct {
	MachineSpec
	HeartbeatState
	MachineRestrictions
	MachineImages
	machineLoad
	dispatchState
	attemptRecords
	leaseState

	// RecordedInStore is true if the key-value store has a record of the machine. Only
	// then may the machine get tasks.
	RecordedInStore bool
	// CreatedAt is when this leader first learned of the machine. The controller replaces it with the
	// time of the scale-out request.
	CreatedAt clock.Micros
	// BecameIdleAt is when the machine last became free of placements.
	BecameIdleAt clock.Micros
	// SortIndex is the machine's index in the result of the last call of SortedMachines.
	SortIndex int
}

// MachineSpec holds the properties that don't change while a machine exists.
type MachineSpec struct {
	Name, Type, Zone string
	Spot             bool // whether the cloud may reclaim the machine
	Capacity         Resources
}

// HeartbeatState holds what the worker's heartbeats have shown. Times are of this leader's monotonic
// clock.
type HeartbeatState struct {
	Address           string // HOST:PORT to which command requests are sent, "" if unknown
	Incarnation       uint64 // of the last accepted heartbeat
	HeartbeatSequence uint64 // of the last accepted heartbeat
	LastHeartbeatAt   clock.Micros
	FirstHeartbeatAt  clock.Micros // 0 before the first heartbeat
	// TokenConfirmed is true if the worker has sent a heartbeat under this leader's token, and its lease
	// has not run out since.
	TokenConfirmed bool
	// Reconciled is true if this leader knows everything that earlier leaders started on the machine.
	Reconciled bool
}

// MachineRestrictions holds reasons not to place new tasks on a machine.
type MachineRestrictions struct {
	// ReclaimAt is when the cloud reclaims a spot machine, or 0 if no reclaim is announced.
	ReclaimAt clock.Micros
	// UnreachableUntil is set after a command request without a response. Until then commands may not
	// reach the worker, even if its heartbeats arrive.
	UnreachableUntil clock.Micros
	// BackoffUntil is set while tasks fail on the machine for a cause other than the machine itself.
	BackoffUntil clock.Micros
	// FailedJobs is the set of jobs that had a task fail on the machine. The controller pauses or drains
	// the machine when there are several.
	FailedJobs map[string]bool
	// Draining is set while the controller places nothing new on the machine, mostly in order to delete it.
	Draining bool
}

// MachineImages holds the images that a machine has or is fetching.
type MachineImages struct {
	// ImageUsedAt holds, for each image that the machine has fetched, when it was last used.
	ImageUsedAt map[string]clock.Micros
	// hintedImages are the images that the machine is expected to have in hintedIncarnation, see
	// SetCachedImages.
	hintedImages      []string
	hintedIncarnation uint64
	fetchesByImage    map[string]int // number of placements that wait for each image
}

// machineLoad holds what is placed on a machine.
type machineLoad struct {
	used         Resources             // sum of the placements' requests
	placements   map[string]*Placement // by task ID
	replicaCount int                   // number of placements of services
}

// dispatchState is the state of a machine's command requests.
type dispatchState struct {
	isQueued              bool // the machine is in dispatchQueue
	isAwaitingReplication bool // the machine is in awaitingReplication
	hasCommandInFlight    bool // a command request was sent and has no outcome yet
	isConfirmationRequest bool // the request in flight is from BuildConfirmationRequest
}

// attemptRecords decide when the worker may be told to forget (reap) an attempt (invariant 2).
type attemptRecords struct {
	unplacedAttempts []unplacedAttempt   // from the last accepted heartbeat
	unplacedBytes    int64               // room that unplacedAttempts take in the machine's heartbeats
	lateStarts       map[attemptKey]bool // ended attempts whose start may still arrive
	// startTokens holds, for each start that a command request carried, the token of that request. Copies
	// of the request may arrive until the worker has seen a higher token.
	startTokens map[attemptKey]uint64
	seenToken   uint64 // the highest token in an accepted heartbeat
}

// leaseState holds the bounds of the worker's lease.
type leaseState struct {
	leaseRenewedAt clock.Micros // the latest time at which the lease may have been renewed
	minIncarnation uint64       // heartbeats of lower incarnations are stale: their lease has ended
}

// Used returns the resources that the machine's placements take.
func (machine *Machine) Used() Resources { return machine.used }

// Free returns the resources that are left for new tasks. Exited attempts that are not reaped yet take room in the
// machine's heartbeats.
func (machine *Machine) Free() Resources {
	free := machine.Capacity.Sub(machine.used)
	free.ReportBytes -= machine.unplacedBytes
	return free
}

// ReplicaCount returns how many tasks of services are, or may be, on the machine.
func (machine *Machine) ReplicaCount() int { return machine.replicaCount }

// IsFetching reports whether a task on the machine that has not started yet waits for the image.
func (machine *Machine) IsFetching(image string) bool { return machine.fetchesByImage[image] > 0 }

// FetchCount returns how many images the machine's tasks wait for. The fetches share its bandwidth.
func (machine *Machine) FetchCount() int { return len(machine.fetchesByImage) }

// PlacementCount returns how many placements are on the machine.
func (machine *Machine) PlacementCount() int { return len(machine.placements) }

// IsIdle reports whether no task is, or may be, on the machine.
func (machine *Machine) IsIdle() bool { return len(machine.placements) == 0 }

// IsSchedulable reports whether PlaceTask accepts the machine. The scheduler also leaves out machines
// that are suspected, unreachable or backing off.
func (machine *Machine) IsSchedulable() bool {
	return machine.RecordedInStore && machine.TokenConfirmed && !machine.Draining && machine.ReclaimAt == 0
}

// ForEachPlacement calls visit for every placement on the machine, in no particular order.
func (machine *Machine) ForEachPlacement(visit func(*Placement)) {
	for _, placement := range machine.placements {
		visit(placement)
	}
}

// HasTask reports whether an attempt of the task is placed on the machine or still listed by its worker.
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

// hasPlacement reports whether an attempt is one of the machine's placements.
func (machine *Machine) hasPlacement(key attemptKey) bool {
	placement := machine.placements[key.taskID]
	return placement != nil && placement.Attempt == key.attempt
}
