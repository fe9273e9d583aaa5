package allocation

import (
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
