package leader

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/hints"
	"firwood.dev/firwood/internal/peer"
)

// restoreHints has a new leader go on with what the last one sent.
func (term *Term) restoreHints(now clock.Micros) {
	term.environment.Hints.Restore(term.tracker.Machines, term.scheduler, now)
}

// addHints adds what the next leader would have to find out again to a heartbeat.
func (term *Term) addHints(heartbeat *peer.Heartbeat) {
	term.hints.images.AddImages(heartbeat, term.tracker.SortedMachines(), term.sentHintOf, clock.Now())
	hints.AddForecasts(heartbeat, term.scheduler, term.host.MachineTypes())
}

// sentHintOf returns the hint that was last sent of a machine, nil for a machine that this
// leader doesn't track.
func (term *Term) sentHintOf(machine string) *hints.Sent {
	if state := term.machines[machine]; state != nil {
		return &state.sentHint
	}
	return nil
}
