package allocation

import (
	"fmt"
	"testing"
)

// Log lines and test messages show the value of an enum by its name, and a value that has none by
// its number.
func TestEnumsAreShownByName(t *testing.T) {
	for _, c := range []struct {
		value fmt.Stringer
		want  string
	}{
		{TaskWaiting, "waiting"}, {TaskPlaced, "placed"}, {TaskDone, "done"}, {TaskState(3), "TaskState(3)"},
		{PhaseAssigned, "assigned"}, {PhaseSent, "sent"}, {PhaseReported, "reported"}, {Phase(3), "Phase(3)"},
		{HeartbeatStale, "stale"}, {HeartbeatAccepted, "accepted"}, {HeartbeatFenced, "fenced"}, {HeartbeatResult(3), "HeartbeatResult(3)"},
		{CommandNotSent, "not sent"}, {CommandExecuted, "executed"}, {CommandRejected, "rejected"},
		{CommandOutcomeUnknown, "outcome unknown"}, {CommandResult(4), "CommandResult(4)"},
	} {
		if got := c.value.String(); got != c.want {
			t.Errorf("String() of value %d: got %q, want %q", c.value, got, c.want)
		}
	}
}
