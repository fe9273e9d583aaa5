package allocation

import (
	"fmt"
	"maps"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// HeartbeatResult is the outcome of applying a heartbeat.
type HeartbeatResult uint8

const (
	// HeartbeatStale means that the heartbeat was ignored: it is not newer than the last accepted one,
	// or the lease of its incarnation is over.
	HeartbeatStale HeartbeatResult = iota
	// HeartbeatAccepted means that the heartbeat was applied.
	HeartbeatAccepted
	// HeartbeatFenced means that the worker has seen a higher token than any that this leader issued,
	// so there is a later leader.
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

// heartbeatSource is the kind of message in which a heartbeat arrived.
type heartbeatSource uint8

const (
	// sourceHeartbeatRequest is a request that the worker sent on its own. The worker then ignores
	// replies to its earlier ones.
	sourceHeartbeatRequest heartbeatSource = iota
	// sourceCommandResponse is the response to a command request.
	sourceCommandResponse
)

// RecordLeaseRenewal records that the reply to a heartbeat that has just arrived may renew the
// worker's lease. The caller has to call it before it answers the heartbeat.
func (tracker *Tracker) RecordLeaseRenewal(machine *Machine, now clock.Micros) {
	machine.leaseRenewedAt = max(machine.leaseRenewedAt, now)
}

// RecordHeartbeat applies a heartbeat that the worker sent on its own. By sending it, the worker has
// given up waiting for the reply to its previous one.
func (tracker *Tracker) RecordHeartbeat(machine *Machine, heartbeat *wire.Heartbeat, now clock.Micros) HeartbeatResult {
	return tracker.applyHeartbeat(machine, heartbeat, now, sourceHeartbeatRequest)
}

// RecordCommandHeartbeat applies a heartbeat from the response to a command request. The reply to the
// last heartbeat that the worker sent on its own may still be in flight.
func (tracker *Tracker) RecordCommandHeartbeat(machine *Machine, heartbeat *wire.Heartbeat, now clock.Micros) HeartbeatResult {
	return tracker.applyHeartbeat(machine, heartbeat, now, sourceCommandResponse)
}

// applyHeartbeat applies a heartbeat from either source.
func (tracker *Tracker) applyHeartbeat(machine *Machine, heartbeat *wire.Heartbeat, now clock.Micros, source heartbeatSource) HeartbeatResult {
	if heartbeat.FencingToken > tracker.issuedToken {
		return HeartbeatFenced
	}
	if heartbeat.FencingToken > tracker.currentToken {
		tracker.currentToken = heartbeat.FencingToken // a delegate has used the issued token before this leader
	}
	if !machine.isNewHeartbeat(heartbeat) {
		return HeartbeatStale
	}
	if heartbeat.Incarnation > machine.Incarnation {
		tracker.beginIncarnation(machine, now)
		machine.applyImageHints(heartbeat.Incarnation, now)
	}
	machine.recordMachineState(heartbeat, now)
	machine.recordSeenToken(heartbeat.FencingToken)
	tokenConfirmed := heartbeat.FencingToken >= tracker.cfg.FencingToken
	listedCount := tracker.applyTaskReports(machine, heartbeat.Tasks, now, tokenConfirmed)
	if !tokenConfirmed {
		return HeartbeatAccepted // the heartbeat may be a late copy, so the absence of a task proves nothing
	}
	tracker.confirmToken(machine)
	if listedCount != len(machine.placements) {
		tracker.handleMissingPlacements(machine, now, source)
	}
	tracker.markReconciled(machine)
	return HeartbeatAccepted
}

// isNewHeartbeat reports whether a heartbeat was made after the last accepted one, and its incarnation
// isn't known to be over.
func (machine *Machine) isNewHeartbeat(heartbeat *wire.Heartbeat) bool {
	return heartbeat.IsNewerThan(machine.Incarnation, machine.HeartbeatSequence) && heartbeat.Incarnation >= machine.minIncarnation
}

// recordMachineState records what a heartbeat says about the machine itself.
func (machine *Machine) recordMachineState(heartbeat *wire.Heartbeat, now clock.Micros) {
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

// recordSeenToken records the token that the worker has seen. The worker refuses copies of starts that
// were sent under lower tokens, so the records of these starts are dropped (invariant 2).
func (machine *Machine) recordSeenToken(token uint64) {
	if token > machine.seenToken {
		machine.seenToken = token
		maps.DeleteFunc(machine.startTokens, func(_ attemptKey, startToken uint64) bool { return startToken < token })
	}
}

// applyTaskReports applies a heartbeat's list of tasks, and returns how many of the machine's
// placements it lists.
func (tracker *Tracker) applyTaskReports(machine *Machine, taskReports []wire.TaskStatus, now clock.Micros, tokenConfirmed bool) int {
	machine.unplacedAttempts, machine.unplacedBytes = machine.unplacedAttempts[:0], 0
	tracker.heartbeatCount++
	listedCount := 0
	for i := range taskReports {
		if tracker.applyTaskReport(machine, &taskReports[i], now, tokenConfirmed) {
			listedCount++
		}
	}
	return listedCount
}

// confirmToken records that the worker has sent a heartbeat under this leader's token. Tasks whose
// placements this heartbeat lists are no longer unconfirmed (invariant 4).
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

// handleMissingPlacements handles the placements that the current heartbeat doesn't list.
func (tracker *Tracker) handleMissingPlacements(machine *Machine, now clock.Micros, source heartbeatSource) {
	for _, placement := range machine.placements {
		if placement.lastSeenHeartbeat != tracker.heartbeatCount {
			tracker.handleMissingPlacement(placement, now, source)
		}
	}
}

// SetCachedImages sets a hint from an earlier leader: the images that the machine had in an incarnation.
// The tracker applies the hint once it has accepted a heartbeat of that incarnation.
func (machine *Machine) SetCachedImages(incarnation uint64, images []string, now clock.Micros) {
	machine.hintedImages, machine.hintedIncarnation = images, incarnation
	if machine.Incarnation == incarnation {
		machine.applyImageHints(incarnation, now)
	}
}

// applyImageHints applies the hint if it is for the given incarnation, and discards it.
func (machine *Machine) applyImageHints(incarnation uint64, now clock.Micros) {
	if machine.hintedIncarnation == incarnation {
		for _, image := range machine.hintedImages {
			if _, ok := machine.ImageUsedAt[image]; !ok {
				machine.ImageUsedAt[image] = now
			}
		}
	}
	machine.hintedImages = nil
}

// beginIncarnation ends the placements whose starts were sent to the worker's earlier incarnation: its
// lease ran out, it has killed all its tasks, and it refuses commands for that incarnation.
//
// The new incarnation has a lease of its own, which begins without any reply. When the tracker didn't
// record that, an incarnation first seen in the response to a probe got tasks, and the tracker ended
// them when the earlier incarnation's lease ran out: they ran twice
// (docs/incidents/session-seen-by-probe.md).
func (tracker *Tracker) beginIncarnation(machine *Machine, now clock.Micros) {
	machine.leaseRenewedAt = max(machine.leaseRenewedAt, now)
	for _, placement := range machine.placements {
		if placement.Phase != PhaseAssigned || placement.mayStartArrive() {
			tracker.endAfterLeaseExpiry(placement, now)
		}
	}
	clear(machine.lateStarts)
	clear(machine.startTokens)
	clear(machine.ImageUsedAt)
}

// handleMissingPlacement handles a placement that a heartbeat under this leader's token doesn't list.
func (tracker *Tracker) handleMissingPlacement(placement *Placement, now clock.Micros, source heartbeatSource) {
	switch placement.Phase {
	case PhaseReported:
		tracker.endPlacement(placement, CauseVanished, now)
	case PhaseSent:
		if placement.mayStartArrive() {
			return // invariant 2
		}
		if source == sourceHeartbeatRequest && placement.sentInSequence < placement.Machine.HeartbeatSequence {
			// The reply with the start was lost, or the worker ignored it.
			if placement.isStopping {
				tracker.endPlacement(placement, wire.ExitStopped, now)
			} else {
				placement.Phase = PhaseAssigned
				tracker.queueDispatch(placement.Machine)
			}
		}
	}
}
