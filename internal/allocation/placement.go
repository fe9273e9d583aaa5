package allocation

import (
	"errors"
	"fmt"
	"math"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Phase is how far the start of a placement is known to have got.
type Phase uint8

// Phases of a placement.
const (
	// PhaseAssigned means that the start was not sent, or certainly did not arrive.
	PhaseAssigned Phase = iota
	// PhaseSent means that the start may or may not have arrived.
	PhaseSent
	// PhaseReported means that the worker has listed the attempt.
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
	// Adopted tells whether it came from a heartbeat, not from PlaceTask: an earlier leader started
	// it, and when it started is unknown.
	Adopted bool
	// ProgressSaved tells whether it has exited with its progress saved.
	ProgressSaved bool
	// Orphaned tells whether it isn't its task's placement, and is to be stopped.
	Orphaned      bool
	ReportedState string // one of wire's task states, "" before PhaseReported
	PlacementTimes
	Forecast
	startDelivery
	stopRequest

	lastSeenHeartbeat uint64 // heartbeatCount of the last heartbeat that listed it
}

// PlacementTimes are instants of the steady clock, 0 before.
type PlacementTimes struct {
	CreatedAt clock.Micros // when it was decided or adopted
	StartedAt clock.Micros // when it was first listed with its image
	// RunningAt is when it was first listed as running. A gang's task waits for the others first.
	RunningAt clock.Micros
}

// Forecast belongs to the scheduler; this package neither reads nor writes it.
type Forecast struct {
	// ForecastEndAt is when the scheduler expects the placement to end, computed at ForecastMadeAt.
	ForecastEndAt, ForecastMadeAt clock.Micros
}

// startDelivery records how the start of a placement was sent to the worker.
type startDelivery struct {
	decisionNumber uint64 // from Replicator.RecordStarted, for MaySendStart
	sentInSequence uint64 // sequence of the heartbeat whose reply carried the start, 0 if none
	startsInFlight int    // starts in command requests without an outcome
	mayArriveLate  bool   // a command request with its start had an unknown outcome
}

// stopRequest is a requested stop.
type stopRequest struct {
	isStopping bool
	stopGrace  clock.Micros // time to save progress
	stopSentAt clock.Micros // 0 if it has to be sent, perhaps again
}

// IsStopping tells whether the placement is to end.
func (placement *Placement) IsStopping() bool { return placement.isStopping }

// IsStopSent tells whether a command request needn't carry its stop again.
func (placement *Placement) IsStopSent() bool { return placement.stopSentAt != 0 }

// TaskID returns the ID of its task.
func (placement *Placement) TaskID() string { return placement.taskID }

// key returns the key of the placement in the machine's attemptRecords.
func (placement *Placement) key() attemptKey { return attemptKey{placement.taskID, placement.Attempt} }

// mayStartArrive tells whether a start sent in a command request may still arrive, as its outcome is
// unknown (invariant 2).
func (placement *Placement) mayStartArrive() bool {
	return placement.startsInFlight > 0 || placement.mayArriveLate
}

// Errors of PlaceTask.
var (
	// ErrNotPlaceable means that the task isn't waiting, its job may not be started, the machine may
	// not get tasks or lists the task already, or the gang has another attempt.
	ErrNotPlaceable = errors.New("allocation: task or machine is not placeable")
	// ErrNotEligible means that the job's spec doesn't allow the machine, see IsEligible.
	ErrNotEligible = errors.New("allocation: job does not allow the machine")
	// ErrQuotaExceeded means that the team's limit doesn't allow the task.
	ErrQuotaExceeded = errors.New("allocation: quota of the team is exceeded")
	// ErrInsufficientResources means that the task doesn't fit on the machine.
	ErrInsufficientResources = errors.New("allocation: machine has too few free resources")
)

// PlaceTask places a waiting task on a machine, with an attempt from NextAttempt. The start is sent
// with the next message to the worker.
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

// isPlaceable tells whether a task waits and can't be running anywhere, and its job may be started.
func (job *Job) isPlaceable(taskIndex int) bool {
	task := &job.Tasks[taskIndex]
	return task.State == TaskWaiting && !task.Unconfirmed && task.Placement == nil && !job.Cancelled && job.StartsRecorded
}

// canUseAttempt tells whether a task may be placed with an attempt. All tasks of a gang share one,
// and only a gang that may replace lost tasks gets more tasks in an attempt that has begun.
func (job *Job) canUseAttempt(attempt uint64) bool {
	return !job.IsGang() || job.GangAttempt == 0 || job.GangAttempt == attempt && job.CanReplaceLostTasks()
}

// addPlacement adds a placement to its machine, job and team, and unless it is an orphan, to its
// task. Standbys are told first.
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

// bookUsage adds a placement to the sums of its machine, team and job, or subtracts it if sign is -1.
func (tracker *Tracker) bookUsage(placement *Placement, sign int) {
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

// assignPlacement makes a placement its task's.
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

// adjustFetchCount changes how many placements wait for an image.
func (machine *Machine) adjustFetchCount(image string, delta int) {
	if machine.fetchesByImage == nil {
		machine.fetchesByImage = map[string]int{}
	}
	if machine.fetchesByImage[image] += delta; machine.fetchesByImage[image] <= 0 {
		delete(machine.fetchesByImage, image)
	}
}

// endPlacement removes a placement, once. The caller has the proof that it is over (invariant 1).
func (tracker *Tracker) endPlacement(placement *Placement, cause string, now clock.Micros) {
	job, machine := placement.Job, placement.Machine
	if machine.placements[placement.taskID] != placement {
		return
	}
	delete(machine.placements, placement.taskID)
	delete(tracker.listedCancelled, placement)
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

// releaseMachine records what the end of a placement means for its machine: when the image was last
// used or that nothing waits for it, whether the machine is idle, and whether a start of the ended
// attempt may still arrive (invariant 2).
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

// creditCheckpoint adds the progress that a run has saved to its task's: all of it, or without a save
// at the end, what its last checkpoint covers. Checkpoints are at multiples of the job's interval
// (PROTOCOL, gangs: failure).
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

// finishTask removes an ended placement from its task, which is done or waits again. A gang whose
// attempt can't go on without the task is aborted.
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

// clearPlacement removes a task's placement from it.
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
