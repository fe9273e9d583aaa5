package controller

import (
	"strings"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// The log says whether a term ended because a worker reported a higher token or because a write was fenced.
func TestTermEndLogNamesReason(t *testing.T) {
	for _, test := range []struct {
		reason string
		end    func(*Controller)
	}{
		{"a write was fenced", func(controller *Controller) { termHost{controller}.HandleFenced(9) }},
		{"a worker reported a higher token", func(controller *Controller) {
			heartbeat := &wire.Heartbeat{MachineID: "i-1", Zone: "x", Incarnation: 1, Sequence: 1, FencingToken: 10}
			controller.term.HandleHeartbeat(heartbeat, server.NewReply(func(int, []byte, int) {}))
		}},
	} {
		controller := newTestController(t, "i-1")
		makeEntitled(t, controller, 9)
		controller.term = controller.newTerm(9, clock.Now())
		log := captureLog(controller)
		test.end(controller)
		if controller.term != nil {
			t.Errorf("%s: the term has not ended", test.reason)
		}
		if want := `msg="leadership term ended" reason="` + test.reason + `" token=9`; !strings.Contains(log.String(), want) {
			t.Errorf("the log is\n%swant a line with %s", log, want)
		}
	}
}
