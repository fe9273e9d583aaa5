package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/hints"
	"firwood.dev/firwood/internal/peer"
)

// storeHints takes the hints of a leader's heartbeat, for the case that this member leads next.
func (controller *Controller) storeHints(heartbeat *peer.Heartbeat, now clock.Micros) {
	maxMachines := 2 * len(controller.view.ScaleOuts) * peer.MaxCachedImageMachines
	controller.hints.Store(heartbeat, maxMachines, now)
}

// restoreHints has a new leader go on with what the last one sent.
func (term *leaderTerm) restoreHints(now clock.Micros) {
	term.environment.Hints.Restore(term.tracker.Machines, term.scheduler, now)
}

// addHints adds what the next leader would have to find out again to a heartbeat.
func (term *leaderTerm) addHints(heartbeat *peer.Heartbeat) {
	term.hints.images.AddImages(heartbeat, term.tracker.SortedMachines(), term.sentHintOf, clock.Now())
	hints.AddForecasts(heartbeat, term.scheduler, term.host.MachineTypes())
}

// sentHintOf returns the hint that was last sent of a machine, nil for a machine that this
// leader doesn't track.
func (term *leaderTerm) sentHintOf(machine string) *hints.Sent {
	if state := term.machines[machine]; state != nil {
		return &state.sentHint
	}
	return nil
}
