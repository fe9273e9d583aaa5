package allocation

import (
	"errors"
	"fmt"
	"math"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Phase is how much is known of a placement.
type Phase uint8

// Phases of a placement.
const (
	// PhaseAssigned: decided, not yet sent.
	PhaseAssigned Phase = iota
	// PhaseSent: the start may or may not have arrived.
	PhaseSent
	// PhaseReported: the worker has reported it.
	PhaseReported
)

// String returns the name that log lines and test messages use.
func (phase Phase) String() string {
	switch phase {
	case PhaseAssigned:
		return "assigned"
	case PhaseSent:
		return "sent"
	case PhaseReported:
		return "reported"
	}
	return fmt.Sprintf("Phase(%d)", uint8(phase))
}

// Placement is a task that is, or may be, on a machine. Its fields are grouped by concern.
type Placement struct {
	Job       *Job
	TaskIndex int
	Attempt   uint64
	Machine   *Machine
	taskID    string
	Phase     Phase
	// Adopted: an earlier leader started it, so when it began is not known.
	Adopted bool
	// ProgressSaved: it was stopped, and its progress is safe.
	ProgressSaved bool
	// Orphaned: not the task's place by the ledger's will; it is to be stopped.
	Orphaned      bool
	ReportedState string // as last reported
	PlacementTimes
	Forecast
	startDelivery
	stopRequest

	lastSeenHeartbeat uint64 // the last report that listed it, by the ledger's count
}

// PlacementTimes are the instants of a placement's life so far.
type PlacementTimes struct {
	CreatedAt clock.Micros // when it was decided or adopted
	StartedAt clock.Micros // when it was first seen with its image
	// RunningAt is when it was first seen running: a gang's task waits for the others.
	RunningAt clock.Micros
}

// Forecast is the planner's to use; this package neither reads nor writes it.
type Forecast struct {
	// ForecastEndAt is when the planner expects it to end, worked out at ForecastMadeAt.
	ForecastEndAt, ForecastMadeAt clock.Micros
}

// startDelivery is how the start of a placement is on its way to the worker.
type startDelivery struct {
	decisionNumber uint64 // the number of the decision that it may begin
	sentInSequence uint64 // seq of the report whose answer carried the start
	startsInFlight int    // direct starts without an answer yet
	mayArriveLate  bool   // a direct start may still arrive
}

// stopRequest is how a placement is to end.
type stopRequest struct {
	isStopping bool
	stopGrace  clock.Micros
	stopSentAt clock.Micros
}

// IsStopping tells whether the placement is to end.
func (placement *Placement) IsStopping() bool { return placement.isStopping }

// key returns what the records of a machine's attempts are kept by.
func (placement *Placement) key() attemptKey { return attemptKey{placement.taskID, placement.Attempt} }

// mayStartArrive tells whether a start sent in a command request may still take effect: no
// answer to it is known.
func (placement *Placement) mayStartArrive() bool {
	return placement.startsInFlight > 0 || placement.mayArriveLate
}

// Errors of Place.
var (
	ErrNotPlaceable          = errors.New("allocation: task or machine is not placeable")
	ErrNotEligible           = errors.New("allocation: job does not allow the machine")
	ErrQuotaExceeded         = errors.New("allocation: quota of the team is exceeded")
	ErrInsufficientResources = errors.New("allocation: machine has too few free resources")
)

// attemptCounterBits is how many low bits of an attempt count the attempts under one token. The
// token stands above them, so that attempts grow over all leaders (invariant 3).
const attemptCounterBits = 20

// NextAttempt returns a number greater than every earlier one.
func (tracker *Tracker) NextAttempt() uint64 {
	tracker.attemptCounter++
	return tracker.currentToken<<attemptCounterBits | tracker.attemptCounter&(1<<attemptCounterBits-1)
}

// PlaceTask decides that a waiting task goes to a machine.
func (tracker *Tracker) PlaceTask(job *Job, taskIndex int, machine *Machine, attempt uint64, now clock.Micros) error {
	if !job.isPlaceable(taskIndex) || !machine.IsSchedulable() || !job.canUseAttempt(attempt) {
		return ErrNotPlaceable
	}
	taskID := wire.TaskID(job.Spec.ID, taskIndex)
	if machine.HasTask(taskID) {
		return ErrNotPlaceable
	}
	if !IsEligible(job, machine) {
		return ErrNotEligible
	}
	if !tracker.isWithinQuota(job.Spec.Team, job.Request) {
		return ErrQuotaExceeded
	}
	if !job.Request.IsWithin(machine.Free()) {
		return ErrInsufficientResources
	}
	if job.IsGang() {
		job.GangAttempt = attempt
	}
	tracker.addPlacement(&Placement{Job: job, TaskIndex: taskIndex, Attempt: attempt, Machine: machine, taskID: taskID, PlacementTimes: PlacementTimes{CreatedAt: now}})
	return nil
}

// isPlaceable tells whether a task waits and is nowhere, and its job may be started.
func (job *Job) isPlaceable(taskIndex int) bool {
	task := &job.Tasks[taskIndex]
	return task.State == TaskWaiting && !task.Unconfirmed && task.Placement == nil && !job.Cancelled && job.StartsRecorded
}

// canUseAttempt tells whether a task may be placed with an attempt: all tasks of a gang have one.
func (job *Job) canUseAttempt(attempt uint64) bool {
	return !job.IsGang() || job.GangAttempt == 0 || job.GangAttempt == attempt && job.CanReplaceLostTasks()
}

// addPlacement books a placement.
func (tracker *Tracker) addPlacement(placement *Placement) {
	job, machine := placement.Job, placement.Machine
	tracker.publishStarted(placement)
	machine.placements[placement.taskID] = placement
	tracker.bookUsage(placement, 1)
	machine.adjustFetchCount(job.Spec.Image, 1)
	tracker.queueDispatch(machine)
	if !placement.Orphaned {
		tracker.assignPlacement(placement)
	}
}

// bookUsage adds what a placement takes to the sums of machine, team and job, or with sign -1
// subtracts it.
func (tracker *Tracker) bookUsage(placement *Placement, sign int) {
	job, machine := placement.Job, placement.Machine
	request := job.Request.Times(sign)
	machine.used = machine.used.Add(request)
	addUsage(tracker.placedUsage, job.Spec.Team, request)
	job.placementsByZone[machine.Zone] += sign
	job.activeCount += sign
	if job.IsService() {
		machine.replicaCount += sign
	}
}

// assignPlacement makes a placement the one of its task.
func (tracker *Tracker) assignPlacement(placement *Placement) {
	job := placement.Job
	task := &job.Tasks[placement.TaskIndex]
	if task.Unconfirmed && task.Placement == nil {
		tracker.addUnconfirmedUsage(job, -1)
	}
	task.Placement = placement
	if task.State == TaskWaiting {
		task.State = TaskPlaced
		job.waitingCount--
	}
}

func (machine *Machine) adjustFetchCount(image string, delta int) {
	if machine.fetchesByImage == nil {
		machine.fetchesByImage = map[string]int{}
	}
	if machine.fetchesByImage[image] += delta; machine.fetchesByImage[image] <= 0 {
		delete(machine.fetchesByImage, image)
	}
}

// endPlacement takes a placement off the books; the caller has the proof.
func (tracker *Tracker) endPlacement(placement *Placement, cause string, now clock.Micros) {
	job, machine := placement.Job, placement.Machine
	if machine.placements[placement.taskID] != placement {
		return
	}
	delete(machine.placements, placement.taskID)
	tracker.bookUsage(placement, -1)
	tracker.releaseMachine(placement, now)
	if cause != wire.ExitDone {
		placement.creditCheckpoint(now)
	}
	if job.Tasks[placement.TaskIndex].Placement == placement {
		tracker.finishTask(placement, cause)
	}
	if job.IsGang() && job.activeCount == 0 {
		job.GangState = GangState{}
	}
	tracker.publishEnded(placement)
	tracker.Exited = append(tracker.Exited, ExitEvent{placement, cause})
}

// releaseMachine records what the end of a placement means for its machine: an image that was
// used or is fetched no more, idleness, and a start that may still arrive.
func (tracker *Tracker) releaseMachine(placement *Placement, now clock.Micros) {
	job, machine := placement.Job, placement.Machine
	if placement.StartedAt != 0 {
		job.StartedCount--
		machine.ImageUsedAt[job.Spec.Image] = now
	} else {
		machine.adjustFetchCount(job.Spec.Image, -1)
	}
	if len(machine.placements) == 0 {
		machine.BecameIdleAt = now
	}
	if placement.mayStartArrive() {
		machine.lateStarts[placement.key()] = true
	}
}

// creditCheckpoint adds to the task's safe progress what a run that did not complete has saved:
// all of it, or all up to its last checkpoint.
func (placement *Placement) creditCheckpoint(now clock.Micros) {
	job := placement.Job
	interval := job.Spec.CheckpointIntervalSeconds
	if placement.RunningAt == 0 || interval <= 0 {
		return
	}
	task := &job.Tasks[placement.TaskIndex]
	task.CheckpointedSeconds += (now - placement.RunningAt).Seconds()
	if !placement.ProgressSaved {
		task.CheckpointedSeconds = math.Floor(task.CheckpointedSeconds/interval) * interval
	}
	job.CheckpointedSeconds = max(job.CheckpointedSeconds, task.CheckpointedSeconds)
}

// finishTask takes the ended placement from its task, which is done or waits again. A gang of
// which a task is lost for good cannot go on.
func (tracker *Tracker) finishTask(placement *Placement, cause string) {
	job := placement.Job
	task := &job.Tasks[placement.TaskIndex]
	tracker.clearPlacement(job, task)
	if cause == wire.ExitDone {
		tracker.recordCompletion(job, placement.TaskIndex)
		return
	}
	endsAttempt := job.GangStarted || cause == wire.ExitPeerLost || cause == wire.ExitError
	if job.IsGang() && task.State != TaskDone && endsAttempt {
		tracker.abortGang(job)
	}
}

// clearPlacement takes a task's place from it.
func (tracker *Tracker) clearPlacement(job *Job, task *Task) {
	task.Placement = nil
	if task.Unconfirmed {
		tracker.addUnconfirmedUsage(job, 1)
	}
	if task.State == TaskPlaced {
		task.State = TaskWaiting
		job.waitingCount++
	}
}
