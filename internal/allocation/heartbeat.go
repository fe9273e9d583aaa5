package allocation

import (
	"fmt"
	"maps"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// HeartbeatResult says what a report was worth.
type HeartbeatResult uint8

const (
	// HeartbeatStale: an older message than one already taken.
	HeartbeatStale HeartbeatResult = iota
	// HeartbeatAccepted: the report was taken.
	HeartbeatAccepted
	// HeartbeatFenced: the worker has seen a higher token than ours.
	HeartbeatFenced
)

// String returns the name that log lines and test messages use.
func (result HeartbeatResult) String() string {
	switch result {
	case HeartbeatStale:
		return "stale"
	case HeartbeatAccepted:
		return "accepted"
	case HeartbeatFenced:
		return "fenced"
	}
	return fmt.Sprintf("HeartbeatResult(%d)", uint8(result))
}

// heartbeatSource is how a heartbeat came.
type heartbeatSource uint8

const (
	// ownHeartbeat: the worker sent it, and so waits for no earlier answer any more.
	ownHeartbeat heartbeatSource = iota
	// commandResponse: it came in the answer to a command request.
	commandResponse
)

// RecordLeaseRenewal notes that the worker's lease may be renewed by an answer to a report
// that came at `now`. It has to be called before any report is answered.
func (tracker *Tracker) RecordLeaseRenewal(machine *Machine, now clock.Micros) {
	machine.leaseRenewedAt = max(machine.leaseRenewedAt, now)
}

// RecordHeartbeat takes a report that the worker sent. Sending it ends the wait for the
// answer to its last one.
func (tracker *Tracker) RecordHeartbeat(machine *Machine, heartbeat *wire.Heartbeat, now clock.Micros) HeartbeatResult {
	return tracker.applyHeartbeat(machine, heartbeat, now, ownHeartbeat)
}

// RecordCommandHeartbeat takes the report in the answer to a direct message. The answer
// to the worker's last own report may still be on its way then.
func (tracker *Tracker) RecordCommandHeartbeat(machine *Machine, heartbeat *wire.Heartbeat, now clock.Micros) HeartbeatResult {
	return tracker.applyHeartbeat(machine, heartbeat, now, commandResponse)
}

// applyHeartbeat applies a heartbeat that came one way or the other.
func (tracker *Tracker) applyHeartbeat(machine *Machine, heartbeat *wire.Heartbeat, now clock.Micros, source heartbeatSource) HeartbeatResult {
	if heartbeat.FencingToken > tracker.issuedToken {
		return HeartbeatFenced
	}
	if heartbeat.FencingToken > tracker.currentToken {
		tracker.currentToken = heartbeat.FencingToken // a delegate has told it first
	}
	if !machine.isNewHeartbeat(heartbeat) {
		return HeartbeatStale
	}
	if heartbeat.Incarnation > machine.Incarnation {
		tracker.beginIncarnation(machine, now)
		machine.applyImageHints(heartbeat.Incarnation, now)
	}
	machine.recordHeartbeatFacts(heartbeat, now)
	machine.recordSeenToken(heartbeat.FencingToken)
	tokenConfirmed := heartbeat.FencingToken >= tracker.cfg.FencingToken
	listedCount := tracker.applyTaskReports(machine, heartbeat.Tasks, now, tokenConfirmed)
	if !tokenConfirmed {
		return HeartbeatAccepted // it may be a late copy, so what it lacks proves nothing
	}
	tracker.confirmToken(machine)
	if listedCount != len(machine.placements) {
		tracker.handleMissingPlacements(machine, now, source)
	}
	tracker.reconcile(machine)
	return HeartbeatAccepted
}

// isNewHeartbeat tells whether the heartbeat was made after the last one that was accepted, in
// an incarnation that is not known to be over.
func (machine *Machine) isNewHeartbeat(heartbeat *wire.Heartbeat) bool {
	return heartbeat.IsNewerThan(machine.Incarnation, machine.HeartbeatSequence) && heartbeat.Incarnation >= machine.minIncarnation
}

// recordHeartbeatFacts records what a heartbeat says of the machine itself.
func (machine *Machine) recordHeartbeatFacts(heartbeat *wire.Heartbeat, now clock.Micros) {
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
}

// recordSeenToken drops the starts that the worker refuses now: those sent under lower tokens.
func (machine *Machine) recordSeenToken(token uint64) {
	if token > machine.seenToken {
		machine.seenToken = token
		maps.DeleteFunc(machine.startTokens, func(_ attemptKey, startToken uint64) bool { return startToken < token })
	}
}

// applyTaskReports applies a heartbeat's list of tasks, and returns how many of the machine's
// placements it lists.
func (tracker *Tracker) applyTaskReports(machine *Machine, taskReports []wire.TaskStatus, now clock.Micros, tokenConfirmed bool) int {
	machine.exitedAttempts = machine.exitedAttempts[:0]
	tracker.heartbeatCount++
	listedCount := 0
	for i := range taskReports {
		if tracker.applyTaskReport(machine, &taskReports[i], now, tokenConfirmed) {
			listedCount++
		}
	}
	return listedCount
}

// confirmToken records that the worker has reported under this leader's token. The placements
// that the present heartbeat lists are where they are said to be.
func (tracker *Tracker) confirmToken(machine *Machine) {
	if machine.TokenConfirmed {
		return
	}
	machine.TokenConfirmed = true
	tracker.queueDispatch(machine)
	for _, placement := range machine.placements {
		if placement.lastSeenHeartbeat == tracker.heartbeatCount && !placement.Orphaned {
			tracker.clearUnconfirmed(placement.Job, placement.TaskIndex)
		}
	}
}

// handleMissingPlacements handles the placements that the present heartbeat lacks.
func (tracker *Tracker) handleMissingPlacements(machine *Machine, now clock.Micros, source heartbeatSource) {
	for _, placement := range machine.placements {
		if placement.lastSeenHeartbeat != tracker.heartbeatCount {
			tracker.handleMissing(placement, now, source)
		}
	}
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
	for _, placement := range machine.placements {
		if placement.Phase != PhaseAssigned || placement.mayStartArrive() {
			tracker.endWithLease(placement, now)
		}
	}
	clear(machine.lateStarts)
	clear(machine.startTokens)
	clear(machine.ImageUsedAt)
}

// handleMissing: a report under our token lacks a task that we sent.
func (tracker *Tracker) handleMissing(placement *Placement, now clock.Micros, source heartbeatSource) {
	switch placement.Phase {
	case PhaseReported:
		tracker.endPlacement(placement, CauseVanished, now)
	case PhaseSent:
		if placement.mayStartArrive() {
			return // invariant 2
		}
		if source == ownHeartbeat && placement.sentInSequence < placement.Machine.HeartbeatSequence {
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
