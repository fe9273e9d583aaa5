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
	// HeartbeatStale means that it is not newer than one that was accepted, or that its
	// incarnation's lease is over. It was ignored.
	HeartbeatStale HeartbeatResult = iota
	// HeartbeatAccepted means that it was applied.
	HeartbeatAccepted
	// HeartbeatFenced means that the worker has seen a higher token than any of ours: there is a
	// later leader.
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

// heartbeatSource is how a heartbeat arrived.
type heartbeatSource uint8

const (
	// sourceHeartbeatRequest: the worker sent it, so it drops any reply to its earlier ones.
	sourceHeartbeatRequest heartbeatSource = iota
	// sourceCommandResponse: it was in the answer to a command request.
	sourceCommandResponse
)

// RecordLeaseRenewal records that the reply to a heartbeat that arrived now may renew the worker's
// lease. It has to be called before a heartbeat is answered.
func (tracker *Tracker) RecordLeaseRenewal(machine *Machine, now clock.Micros) {
	machine.leaseRenewedAt = max(machine.leaseRenewedAt, now)
}

// RecordHeartbeat applies a heartbeat that the worker sent. By sending it, the worker has given up
// waiting for the reply to its last one.
func (tracker *Tracker) RecordHeartbeat(machine *Machine, heartbeat *wire.Heartbeat, now clock.Micros) HeartbeatResult {
	return tracker.applyHeartbeat(machine, heartbeat, now, sourceHeartbeatRequest)
}

// RecordCommandHeartbeat applies a heartbeat from the answer to a command request. The reply to the
// worker's last own heartbeat may still be on its way to it.
func (tracker *Tracker) RecordCommandHeartbeat(machine *Machine, heartbeat *wire.Heartbeat, now clock.Micros) HeartbeatResult {
	return tracker.applyHeartbeat(machine, heartbeat, now, sourceCommandResponse)
}

// applyHeartbeat applies a heartbeat from either source.
func (tracker *Tracker) applyHeartbeat(machine *Machine, heartbeat *wire.Heartbeat, now clock.Micros, source heartbeatSource) HeartbeatResult {
	if heartbeat.FencingToken > tracker.issuedToken {
		return HeartbeatFenced
	}
	if heartbeat.FencingToken > tracker.currentToken {
		tracker.currentToken = heartbeat.FencingToken // a delegate has sent the issued token before us
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
		return HeartbeatAccepted // it may be a late copy, so what it lacks proves nothing
	}
	tracker.confirmToken(machine)
	if listedCount != len(machine.placements) {
		tracker.handleMissingPlacements(machine, now, source)
	}
	tracker.reconcile(machine)
	return HeartbeatAccepted
}

// isNewHeartbeat tells whether a heartbeat was made after the last one that was accepted, and its
// incarnation isn't known to be over.
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

// recordSeenToken records the token that the worker has seen. It refuses copies of starts that were
// sent under lower tokens, so their records are dropped (invariant 2).
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

// confirmToken records that the worker has sent a heartbeat under this leader's token. The placements
// that this heartbeat lists are confirmed (invariant 4).
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

// SetCachedImages sets an earlier leader's hint of the images that the machine has in an incarnation.
// It is applied once a heartbeat of that incarnation is accepted.
func (machine *Machine) SetCachedImages(incarnation uint64, images []string, now clock.Micros) {
	machine.hintedImages, machine.hintedIncarnation = images, incarnation
	if machine.Incarnation == incarnation {
		machine.applyImageHints(incarnation, now)
	}
}

// applyImageHints uses or drops the hint when an incarnation is first seen.
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

// beginIncarnation ends what was sent to the worker before: its lease ran out, it has killed all its
// tasks, and it refuses commands for the earlier incarnation.
//
// The new incarnation has its own lease, which begins without any reply. Added after an incarnation
// that was first seen in the answer to a probe got tasks, and they were taken to be over when the
// lease of the incarnation before ran out: the tasks ran twice (docs/incidents/session-seen-by-probe.md).
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

// handleMissingPlacement handles a placement that a heartbeat under our token doesn't list.
func (tracker *Tracker) handleMissingPlacement(placement *Placement, now clock.Micros, source heartbeatSource) {
	switch placement.Phase {
	case PhaseReported:
		tracker.endPlacement(placement, CauseVanished, now)
	case PhaseSent:
		if placement.mayStartArrive() {
			return // invariant 2
		}
		if source == sourceHeartbeatRequest && placement.sentInSequence < placement.Machine.HeartbeatSequence {
			// The reply that carried it was lost, or dropped by the worker.
			if placement.isStopping {
				tracker.endPlacement(placement, wire.ExitStopped, now)
			} else {
				placement.Phase = PhaseAssigned
				tracker.queueDispatch(placement.Machine)
			}
		}
	}
}
