package allocation

import (
	"maps"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// HeartbeatResult says what a report was worth.
type HeartbeatResult uint8

// RecordLeaseRenewal notes that the worker's lease may be renewed by an answer to a report
// that came at `now`. It has to be called before any report is answered.
func (tracker *Tracker) RecordLeaseRenewal(machine *Machine, now clock.Micros) {
	machine.leaseRenewedAt = max(machine.leaseRenewedAt, now)
}

// RecordHeartbeat takes a report that the worker sent. Sending it ends the wait for the
// answer to its last one.
func (tracker *Tracker) RecordHeartbeat(machine *Machine, heartbeat *wire.Heartbeat, now clock.Micros) HeartbeatResult {
	return tracker.applyHeartbeat(machine, heartbeat, now, true)
}

// RecordCommandHeartbeat takes the report in the answer to a direct message. The answer
// to the worker's last own report may still be on its way then.
func (tracker *Tracker) RecordCommandHeartbeat(machine *Machine, heartbeat *wire.Heartbeat, now clock.Micros) HeartbeatResult {
	return tracker.applyHeartbeat(machine, heartbeat, now, false)
}

func (tracker *Tracker) applyHeartbeat(machine *Machine, heartbeat *wire.Heartbeat, now clock.Micros, isOwnHeartbeat bool) HeartbeatResult {
	if heartbeat.FencingToken > tracker.issuedToken {
		return HeartbeatFenced
	}
	if heartbeat.FencingToken > tracker.currentToken {
		tracker.currentToken = heartbeat.FencingToken // a delegate has told it first
	}
	if !heartbeat.IsNewerThan(machine.Incarnation, machine.HeartbeatSequence) || heartbeat.Incarnation < machine.minIncarnation {
		return HeartbeatStale
	}
	if heartbeat.Incarnation > machine.Incarnation {
		tracker.beginIncarnation(machine, now)
		machine.applyImageHints(heartbeat.Incarnation, now)
	}
	machine.Incarnation, machine.HeartbeatSequence, machine.LastHeartbeatAt = heartbeat.Incarnation, heartbeat.Sequence, now
	if machine.FirstHeartbeatAt == 0 {
		machine.FirstHeartbeatAt = now
	}
	if heartbeat.Address != "" {
		machine.Address = heartbeat.Address
	}
	if heartbeat.ReclaimInSeconds != nil {
		machine.ReclaimAt = now + max(clock.FromSeconds(*heartbeat.ReclaimInSeconds), 1)
	}
	tokenConfirmed := heartbeat.FencingToken >= tracker.cfg.FencingToken
	if heartbeat.FencingToken > machine.seenToken {
		machine.seenToken = heartbeat.FencingToken
		maps.DeleteFunc(machine.startTokens, func(_ attemptKey, t uint64) bool { return t < machine.seenToken })
	}
	machine.exitedAttempts = machine.exitedAttempts[:0]
	tracker.heartbeatCount++
	listed := 0
	for i := range heartbeat.Tasks {
		if tracker.applyTaskReport(machine, &heartbeat.Tasks[i], now, tokenConfirmed) {
			listed++
		}
	}
	if !tokenConfirmed {
		return HeartbeatAccepted
	}
	if !machine.TokenConfirmed {
		machine.TokenConfirmed = true
		tracker.queueDispatch(machine)
		for _, placement := range machine.placements {
			if placement.lastSeenHeartbeat == tracker.heartbeatCount && !placement.Orphaned {
				tracker.clearUnconfirmed(placement.Job, placement.TaskIndex)
			}
		}
	}
	if listed != len(machine.placements) {
		for _, placement := range machine.placements {
			if placement.lastSeenHeartbeat != tracker.heartbeatCount {
				tracker.handleMissing(placement, now, isOwnHeartbeat)
			}
		}
	}
	tracker.reconcile(machine)
	return HeartbeatAccepted
}

// SetCachedImages takes an earlier leader's word of the images that a machine holds in a session.
// It is believed once the machine reports in that session.
func (machine *Machine) SetCachedImages(incarnation uint64, images []string, now clock.Micros) {
	machine.hintedImages, machine.hintedIncarnation = images, incarnation
	if machine.Incarnation == incarnation {
		machine.applyImageHints(incarnation, now)
	}
}

func (machine *Machine) applyImageHints(incarnation uint64, now clock.Micros) {
	if machine.hintedIncarnation == incarnation {
		for _, i := range machine.hintedImages {
			if _, ok := machine.ImageUsedAt[i]; !ok {
				machine.ImageUsedAt[i] = now
			}
		}
	}
	machine.hintedImages = nil
}

// beginIncarnation: the worker's lease ran out and everything it had is gone, and
// commands for the session before are refused from now on.
//
// The new session has a lease of its own, from its beginning on, which nobody
// needs to have answered: once a session was first seen in the answer to a probe,
// got tasks, and was taken for over with the lease of the one before. The tasks
// ran twice.
func (tracker *Tracker) beginIncarnation(machine *Machine, now clock.Micros) {
	machine.leaseRenewedAt = max(machine.leaseRenewedAt, now)
	clear(machine.lateStarts)
	for _, placement := range machine.placements {
		if placement.Phase != PhaseAssigned || placement.mayArriveLate || placement.startsInFlight > 0 {
			placement.mayArriveLate, placement.startsInFlight = false, 0
			tracker.endPlacement(placement, CauseVanished, now)
		}
	}
	clear(machine.lateStarts)
	clear(machine.startTokens)
	clear(machine.ImageUsedAt)
}

// applyTaskReport takes one line of a report; true means that it lists a placement
// that no line before did.
func (tracker *Tracker) applyTaskReport(machine *Machine, taskReport *wire.TaskStatus, now clock.Micros, tokenConfirmed bool) bool {
	placement := machine.placements[taskReport.TaskID]
	if placement != nil && placement.Attempt == taskReport.Attempt && placement.Phase == PhaseReported && placement.ReportedState == taskReport.State && tracker.Jobs[placement.Job.Spec.ID] == placement.Job {
		return tracker.recordSeen(placement) // nothing new, as in most lines of most reports
	}
	jobID, taskIndex, ok := wire.ParseTaskID(taskReport.TaskID)
	job := tracker.Jobs[jobID]
	if !ok || job == nil || taskIndex >= len(job.Tasks) {
		// No job that is not over: it can only be told to go.
		machine.exitedAttempts = append(machine.exitedAttempts, exitedAttempt{taskID: taskReport.TaskID, attempt: taskReport.Attempt, completedOrAlive: taskReport.State != wire.TaskExited})
		return false
	}
	if placement != nil && placement.Attempt != taskReport.Attempt {
		if taskReport.State == wire.TaskExited {
			machine.exitedAttempts = append(machine.exitedAttempts, exitedAttempt{taskID: taskReport.TaskID, attempt: taskReport.Attempt, job: job, taskIndex: taskIndex})
			return false
		}
		if placement.Phase == PhaseReported && taskReport.Attempt < placement.Attempt {
			return tracker.recordSeen(placement) // an older attempt beside a newer one; the worker has one only
		}
		// The worker has another attempt than the one on its way, which it will
		// refuse, or than a late copy told of: what is there counts.
		if job.Tasks[taskIndex].Placement == placement && job.Tasks[taskIndex].Unconfirmed {
			tracker.orphanPlacement(placement)
		}
		tracker.endPlacement(placement, CauseVanished, now)
		placement = nil
	}
	if taskReport.State == wire.TaskExited {
		if placement != nil {
			placement.ProgressSaved = taskReport.Saved
			tracker.recordExit(placement, taskReport.ExitCause, now)
		} else if taskReport.ExitCause == wire.ExitDone && !job.IsService() {
			tracker.recordCompletion(job, taskIndex)
		}
		machine.exitedAttempts = append(machine.exitedAttempts, exitedAttempt{taskID: taskReport.TaskID, attempt: taskReport.Attempt, job: job, taskIndex: taskIndex, completedOrAlive: taskReport.ExitCause == wire.ExitDone})
		return false
	}
	if placement == nil {
		placement = tracker.adoptPlacement(machine, job, taskIndex, taskReport, now, tokenConfirmed)
	}
	if placement.isStopping {
		tracker.queueDispatch(machine)
	}
	if placement.Phase == PhaseSent && placement.startsInFlight == 0 && !placement.mayArriveLate {
		machine.UnreachableUntil = 0 // a start in an answer has reached it
	}
	placement.Phase = PhaseReported
	placement.ReportedState = taskReport.State
	if placement.RunningAt == 0 && taskReport.State == wire.TaskRunning {
		placement.RunningAt = now
		job.GangStarted = job.IsGang() && !placement.Orphaned || job.GangStarted
	}
	if placement.StartedAt == 0 && (taskReport.State == wire.TaskRunning || taskReport.State == wire.TaskWaitingForGang) {
		placement.StartedAt = now
		job.StartedCount++
		machine.adjustFetchCount(job.Spec.Image, -1)
		machine.ImageUsedAt[job.Spec.Image] = now
		tracker.Started = append(tracker.Started, placement)
	}
	return tracker.recordSeen(placement)
}

// recordSeen notes that the present report lists the placement.
func (tracker *Tracker) recordSeen(placement *Placement) bool {
	first := placement.lastSeenHeartbeat != tracker.heartbeatCount
	placement.lastSeenHeartbeat = tracker.heartbeatCount
	return first
}

// adoptPlacement books a task that a worker has and the ledger did not expect there:
// after a take-over, or as a stray that has to go.
//
// A report from before the token may be a late copy, and the task elsewhere by now. So
// it ends no doubt about the task, and of two places the one with the later attempt
// is the true one: attempts only grow, and a new one begins when the last is over.
func (tracker *Tracker) adoptPlacement(machine *Machine, job *Job, taskIndex int, taskReport *wire.TaskStatus, now clock.Micros, tokenConfirmed bool) *Placement {
	task := &job.Tasks[taskIndex]
	placement := &Placement{Job: job, TaskIndex: taskIndex, Attempt: taskReport.Attempt, Machine: machine, CreatedAt: now, Adopted: true, taskID: taskReport.TaskID}
	hasConflict := false
	if job.IsGang() {
		hasConflict = tracker.supersedeGang(job, taskReport.Attempt)
		placement.Orphaned = taskReport.Attempt < job.GangAttempt && !tokenConfirmed
	} else if old := task.Placement; old != nil && task.Unconfirmed && old.Attempt < taskReport.Attempt {
		tracker.orphanPlacement(old)
	}
	placement.Orphaned = placement.Orphaned || task.Placement != nil || task.State == TaskDone
	tracker.addPlacement(placement)
	if tokenConfirmed {
		tracker.clearUnconfirmed(job, taskIndex) // after the place is told of, see publishResolved
	}
	if job.IsGang() && !placement.Orphaned {
		if hasConflict || job.GangAttempt != 0 && job.GangAttempt != taskReport.Attempt {
			tracker.StopJob(job, 0)
		} else {
			job.GangAttempt = taskReport.Attempt
		}
	}
	if placement.Orphaned || job.Cancelled || job.GangAborting {
		placement.isStopping = true
	}
	return placement
}

// supersedeGang takes the places of earlier attempts of a gang for what they are, late
// copies; it tells whether one of them is not.
func (tracker *Tracker) supersedeGang(job *Job, attempt uint64) (hasConflict bool) {
	if job.GangAttempt == 0 || attempt <= job.GangAttempt {
		return false
	}
	for i := range job.Tasks {
		if job.Tasks[i].Placement != nil && !job.Tasks[i].Unconfirmed {
			return true
		}
	}
	for i := range job.Tasks {
		if placement := job.Tasks[i].Placement; placement != nil {
			tracker.orphanPlacement(placement)
		}
	}
	job.GangAttempt, job.GangAborting, job.GangStarted = 0, false, false
	return false
}

// orphanPlacement makes a stray of a place that a late copy has told of.
func (tracker *Tracker) orphanPlacement(placement *Placement) {
	tracker.clearPlacement(placement.Job, &placement.Job.Tasks[placement.TaskIndex])
	placement.Orphaned = true
	tracker.StopPlacement(placement, 0)
}

func (tracker *Tracker) recordExit(placement *Placement, cause string, now clock.Micros) {
	job, machine := placement.Job, placement.Machine
	task := &job.Tasks[placement.TaskIndex]
	if cause == wire.ExitDone && job.IsService() {
		cause = wire.ExitStopped // a replica never completes
	}
	if cause == wire.ExitError && !placement.isStopping {
		job.FailureCount++
		if task.FailureCount < 255 {
			task.FailureCount++
		}
		if job.FailuresByMachine == nil {
			job.FailuresByMachine = map[string]int{}
		}
		job.FailuresByMachine[machine.Name]++
		machine.FailedJobs[job.Spec.ID] = true
	}
	tracker.endPlacement(placement, cause, now)
}

// handleMissing: a report under our token lacks a task that we sent.
func (tracker *Tracker) handleMissing(placement *Placement, now clock.Micros, isOwnHeartbeat bool) {
	switch placement.Phase {
	case PhaseReported:
		tracker.endPlacement(placement, CauseVanished, now)
	case PhaseSent:
		if placement.startsInFlight > 0 || placement.mayArriveLate {
			return // invariant 2
		}
		if isOwnHeartbeat && placement.sentInSequence < placement.Machine.HeartbeatSequence {
			// The answer that carried it was lost, or dropped as too late.
			if placement.isStopping {
				tracker.endPlacement(placement, wire.ExitStopped, now)
			} else {
				placement.Phase = PhaseAssigned
				tracker.queueDispatch(placement.Machine)
			}
		}
	}
}
