package leader

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/hints"
	"firwood.dev/firwood/internal/peer"
)

// restoreHints applies the previous leader's hints to the machines and the scheduler of a new leader.
func (term *Term) restoreHints(now clock.Micros) {
	term.environment.Hints.Restore(term.tracker.Machines, term.scheduler, now)
}

// addHints adds to a heartbeat what the next leader would otherwise have to find out again.
func (term *Term) addHints(heartbeat *peer.Heartbeat) {
	term.hints.images.AddImages(heartbeat, term.tracker.SortedMachines(), term.sentHintOf, clock.Now())
	hints.AddForecasts(heartbeat, term.scheduler, term.host.MachineTypes())
}

// sentHintOf returns the hint last sent for a machine, or nil for a machine that this leader doesn't
// track.
func (term *Term) sentHintOf(machine string) *hints.SentImages {
	if state := term.machines[machine]; state != nil {
		return &state.sentHint
	}
	return nil
}
