package allocation

import (
	"errors"
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
	decisionSequence uint64 // the number of the decision that it may begin
	sentInSequence   uint64 // seq of the report whose answer carried the start
	startsInFlight   int    // direct starts without an answer yet
	mayArriveLate    bool   // a direct start may still arrive
}

// stopRequest is how a placement is to end.
type stopRequest struct {
	isStopping bool
	stopGrace  clock.Micros
	stopSentAt clock.Micros
}

// IsStopping tells whether the placement is to end.
func (placement *Placement) IsStopping() bool { return placement.isStopping }

// mayStartArrive tells whether a start sent in a command request may still take effect: no
// answer to it is known.
func (placement *Placement) mayStartArrive() bool {
	return placement.startsInFlight > 0 || placement.mayArriveLate
}

// Errors of Place.
var (
	ErrNotPlaceable          = errors.New("ledger: the task or machine is not free for this")
	ErrNotEligible           = errors.New("ledger: the job does not allow this place")
	ErrQuotaExceeded         = errors.New("ledger: the team's limit does not allow it")
	ErrInsufficientResources = errors.New("ledger: the machine has no room")
)

// NextAttempt returns a number greater than every earlier one.
func (tracker *Tracker) NextAttempt() uint64 {
	tracker.attemptCounter++
	return tracker.currentToken<<20 | tracker.attemptCounter&(1<<20-1)
}

// PlaceTask decides that a waiting task goes to a machine.
func (tracker *Tracker) PlaceTask(job *Job, taskIndex int, machine *Machine, attempt uint64, now clock.Micros) error {
	task := &job.Tasks[taskIndex]
	if task.State != TaskWaiting || task.Unconfirmed || task.Placement != nil || job.Cancelled || !job.StartsRecorded || !machine.IsSchedulable() {
		return ErrNotPlaceable
	}
	if job.IsGang() && job.GangAttempt != 0 && (job.GangAttempt != attempt || !job.CanReplaceLostTasks()) {
		return ErrNotPlaceable
	}
	taskID := wire.TaskID(job.Spec.ID, taskIndex)
	if machine.HasTask(taskID) {
		return ErrNotPlaceable
	}
	if !IsEligible(job, machine) {
		return ErrNotEligible
	}
	if !tracker.IsWithinQuota(job.Spec.Team, job.Request) {
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

// addPlacement books a placement.
func (tracker *Tracker) addPlacement(placement *Placement) {
	job, machine := placement.Job, placement.Machine
	tracker.publishStarted(placement)
	machine.placements[placement.taskID] = placement
	machine.used = machine.used.Add(job.Request)
	usage := tracker.usageOf(tracker.placedUsage, job.Spec.Team)
	*usage = usage.Add(job.Request)
	job.placementsByZone[machine.Zone]++
	job.activeCount++
	if job.IsService() {
		machine.replicaCount++
	}
	machine.adjustFetchCount(job.Spec.Image, 1)
	tracker.queueDispatch(machine)
	if !placement.Orphaned {
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
	machine.used = machine.used.Sub(job.Request)
	usage := tracker.usageOf(tracker.placedUsage, job.Spec.Team)
	*usage = usage.Sub(job.Request)
	job.placementsByZone[machine.Zone]--
	job.activeCount--
	if job.IsService() {
		machine.replicaCount--
	}
	if placement.StartedAt != 0 {
		job.StartedCount--
		machine.ImageUsedAt[job.Spec.Image] = now
	} else {
		machine.adjustFetchCount(job.Spec.Image, -1)
	}
	if len(machine.placements) == 0 {
		machine.BecameIdleAt = now
	}
	if placement.mayArriveLate || placement.startsInFlight > 0 {
		machine.lateStarts[attemptKey{placement.taskID, placement.Attempt}] = true
	}
	task := &job.Tasks[placement.TaskIndex]
	if cause != wire.ExitDone && placement.RunningAt != 0 && job.Spec.CheckpointIntervalSeconds > 0 {
		task.CheckpointedSeconds += (now - placement.RunningAt).Seconds()
		if !placement.ProgressSaved {
			task.CheckpointedSeconds = math.Floor(task.CheckpointedSeconds/job.Spec.CheckpointIntervalSeconds) * job.Spec.CheckpointIntervalSeconds
		}
		job.CheckpointedSeconds = max(job.CheckpointedSeconds, task.CheckpointedSeconds)
	}
	if task.Placement == placement {
		tracker.clearPlacement(job, task)
		if cause == wire.ExitDone {
			tracker.recordCompletion(job, placement.TaskIndex)
		} else if job.IsGang() && task.State != TaskDone && (job.GangStarted || cause == wire.ExitPeerLost || cause == wire.ExitError) {
			tracker.abortGang(job)
		}
	}
	if job.IsGang() && job.activeCount == 0 {
		job.GangAttempt, job.GangAborting, job.GangStarted = 0, false, false
	}
	tracker.publishEnded(placement)
	tracker.Exited = append(tracker.Exited, ExitEvent{placement, cause})
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
