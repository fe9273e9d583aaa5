package allocation

import (
	"errors"
	"fmt"
	"math"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Phase is how far the start of a placement is known to have progressed.
type Phase uint8

// Phases of a placement.
const (
	// PhaseAssigned means that the start was not sent, or certainly did not reach the worker.
	PhaseAssigned Phase = iota
	// PhaseSent means that the start was sent and may have reached the worker.
	PhaseSent
	// PhaseReported means that the worker has listed the attempt.
	PhaseReported
)

// String returns the phase's name for log lines and test messages.
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
	// Adopted is true if the placement came from a heartbeat and not from PlaceTask: an earlier leader
	// started the task, at an unknown time.
	Adopted bool
	// ProgressSaved is true if the task exited with its progress saved.
	ProgressSaved bool
	// Orphaned is true if the placement is not the current one of its task. An orphan has to be stopped.
	Orphaned      bool
	ReportedState string // one of wire's task states, "" before PhaseReported
	PlacementTimes
	Forecast
	startDelivery
	stopRequest

	lastSeenHeartbeat uint64 // heartbeatCount of the last heartbeat that listed the placement
}

// PlacementTimes are times of the monotonic clock, 0 until the event has happened.
type PlacementTimes struct {
	CreatedAt clock.Micros // when the placement was decided or adopted
	StartedAt clock.Micros // when a heartbeat first listed the task as having its image
	// RunningAt is when a heartbeat first listed the task as running. A gang's task first waits for the
	// other tasks of its gang.
	RunningAt clock.Micros
}

// Forecast belongs to the scheduler; this package neither reads nor writes it.
type Forecast struct {
	// ForecastEndAt is when the scheduler expects the placement to end, computed at ForecastMadeAt.
	ForecastEndAt, ForecastMadeAt clock.Micros
}

// startDelivery records how the start of a placement was sent to the worker.
type startDelivery struct {
	decisionNumber uint64 // number from Replicator.RecordStarted, which MaySendStart takes
	sentInSequence uint64 // sequence of the heartbeat whose reply carried the start, 0 if none did
	startsInFlight int    // number of command requests that carry the start and have no outcome yet
	mayArriveLate  bool   // a command request that carried the start has an unknown outcome
}

// stopRequest holds whether the placement has to be stopped, and how.
type stopRequest struct {
	isStopping bool
	stopGrace  clock.Micros // time that the task gets to save its progress
	stopSentAt clock.Micros // when the stop was last sent, 0 if it has to be sent or sent again
}

// IsStopping reports whether the placement has to be stopped.
func (placement *Placement) IsStopping() bool { return placement.isStopping }

// IsStopSent reports whether the stop was sent, so that a command request need not carry it again.
func (placement *Placement) IsStopSent() bool { return placement.stopSentAt != 0 }

// TaskID returns the ID of the placement's task.
func (placement *Placement) TaskID() string { return placement.taskID }

// key returns the key of the placement in the machine's attemptRecords.
func (placement *Placement) key() attemptKey { return attemptKey{placement.taskID, placement.Attempt} }

// mayStartArrive reports whether the placement's start may still arrive in a command request, because
// the request is in flight or its outcome is unknown (invariant 2).
func (placement *Placement) mayStartArrive() bool {
	return placement.startsInFlight > 0 || placement.mayArriveLate
}

// Errors that PlaceTask returns.
var (
	// ErrNotPlaceable means that the task isn't waiting, its job may not be started, the machine may not
	// get tasks or already lists the task, or the task's gang runs under another attempt.
	ErrNotPlaceable = errors.New("allocation: task or machine is not placeable")
	// ErrNotEligible means that the job's spec doesn't allow the machine. See IsEligible.
	ErrNotEligible = errors.New("allocation: job does not allow the machine")
	// ErrQuotaExceeded means that the task would exceed the team's limit.
	ErrQuotaExceeded = errors.New("allocation: quota of the team is exceeded")
	// ErrInsufficientResources means that the task needs more than the machine's free resources.
	ErrInsufficientResources = errors.New("allocation: machine has too few free resources")
)

// PlaceTask places a waiting task on a machine, with an attempt number from NextAttempt. The next
// message to the worker carries the start.
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

// isPlaceable reports whether a task waits and can't be running anywhere, and its job may be started.
func (job *Job) isPlaceable(taskIndex int) bool {
	task := &job.Tasks[taskIndex]
	return task.State == TaskWaiting && !task.Unconfirmed && task.Placement == nil && !job.Cancelled && job.StartsRecorded && job.IsReleased()
}

// canUseAttempt reports whether a task may be placed under an attempt. All tasks of a gang share one
// attempt. Once a gang has one, its tasks are placed only under that attempt and only while
// CanReplaceLostTasks returns true.
func (job *Job) canUseAttempt(attempt uint64) bool {
	return !job.IsGang() || job.GangAttempt == 0 || job.GangAttempt == attempt && job.CanReplaceLostTasks()
}

// addPlacement adds a placement to its machine, job and team and, unless it is an orphan, to its task.
// The placement is first published to the standbys.
func (tracker *Tracker) addPlacement(placement *Placement) {
	job, machine := placement.Job, placement.Machine
	tracker.publishStarted(placement)
	machine.placements[placement.taskID] = placement
	tracker.adjustUsage(placement, 1)
	machine.adjustFetchCount(job.Spec.Image, 1)
	tracker.queueDispatch(machine)
	if !placement.Orphaned {
		tracker.assignPlacement(placement)
	}
}

// adjustUsage adds a placement to the sums of its machine, team and job if sign is 1, or subtracts it
// from them if sign is -1.
func (tracker *Tracker) adjustUsage(placement *Placement, sign int) {
	job, machine := placement.Job, placement.Machine
	request := job.Request.Times(sign)
	machine.used = machine.used.Add(request)
	addUsage(tracker.placedUsage, job.Spec.Team, request)
	job.placementCountByZone[machine.Zone] += sign
	job.activeCount += sign
	if job.IsService() {
		machine.replicaCount += sign
	}
}

// assignPlacement makes a placement the current one of its task.
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

// adjustFetchCount adds delta to the number of placements that wait for an image.
func (machine *Machine) adjustFetchCount(image string, delta int) {
	if machine.fetchesByImage == nil {
		machine.fetchesByImage = map[string]int{}
	}
	if machine.fetchesByImage[image] += delta; machine.fetchesByImage[image] <= 0 {
		delete(machine.fetchesByImage, image)
	}
}

// endPlacement removes a placement, and does nothing if it is removed already. The caller must have
// proof that the placement is over (invariant 1).
func (tracker *Tracker) endPlacement(placement *Placement, cause string, now clock.Micros) {
	job, machine := placement.Job, placement.Machine
	if machine.placements[placement.taskID] != placement {
		return
	}
	delete(machine.placements, placement.taskID)
	delete(tracker.listedCancelled, placement)
	tracker.adjustUsage(placement, -1)
	tracker.updateMachineAfterPlacement(placement, now)
	if cause != wire.ExitDone {
		placement.addCheckpointedProgress(now)
	}
	if job.Tasks[placement.TaskIndex].Placement == placement {
		job.Tasks[placement.TaskIndex].WaitsSince = now
		tracker.updateTaskAfterPlacement(placement, cause)
	}
	if job.IsGang() && job.activeCount == 0 {
		job.GangState = GangState{}
	}
	tracker.publishEnded(placement)
	tracker.Exited = append(tracker.Exited, ExitEvent{placement, cause})
}

// updateMachineAfterPlacement updates the machine of an ended placement: when the image was last used,
// or that the task no longer waits for it; whether the machine is idle; and whether a start of the
// ended attempt may still arrive (invariant 2).
func (tracker *Tracker) updateMachineAfterPlacement(placement *Placement, now clock.Micros) {
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

// addCheckpointedProgress adds the progress that a run has saved to its task's CheckpointedSeconds: the
// whole run if it was saved at the end, otherwise the part that the last checkpoint covers. Checkpoints
// are taken at multiples of the job's interval (PROTOCOL, gangs: failure).
func (placement *Placement) addCheckpointedProgress(now clock.Micros) {
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

// updateTaskAfterPlacement removes an ended placement from its task, which then is done or waits again.
// If the task's gang can't continue its attempt without the task, the attempt is aborted.
func (tracker *Tracker) updateTaskAfterPlacement(placement *Placement, cause string) {
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

// clearPlacement removes the placement from a task. A task that is not done waits again.
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
