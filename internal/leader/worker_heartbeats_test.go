package leader

import (
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// A worker may show a higher token in a heartbeat, in a command response or in the response to a probe. Each
// of them is reported to the host and ends the term.
func TestHigherTokenFromWorkerEndsTerm(t *testing.T) {
	heartbeat := &wire.Heartbeat{MachineID: "i-1", Zone: "x", Incarnation: 1, Sequence: 1, FencingToken: 10}
	for name, show := range map[string]func(*Term, *allocation.Machine, *machineState){
		"heartbeat": func(term *Term, _ *allocation.Machine, _ *machineState) {
			term.HandleHeartbeat(heartbeat, server.NewReply(func(int, []byte, int) {}))
		},
		"command response": func(term *Term, machine *allocation.Machine, machineInfo *machineState) {
			term.handleCommandResponse(machine, machineInfo, nil, allocation.CommandRejected, heartbeat)
		},
		"probe": func(term *Term, machine *allocation.Machine, machineInfo *machineState) {
			term.handleProbeResponse(machine, machineInfo, heartbeat, clock.Now())
		},
	} {
		term := newTestTerm(t, "i-1")
		owner := ownerOf(term)
		owner.term = term
		show(term, term.tracker.Machines["i-1"], term.machines["i-1"])
		if !owner.hasReportedHigherToken || owner.term != nil {
			t.Errorf("%s: got higher token reported %v, term running %v, want true, false", name, owner.hasReportedHigherToken, owner.term != nil)
		}
	}
}
