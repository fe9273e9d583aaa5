package wire

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// withSpaces returns JSON as encoders write it that put a space after each comma and colon. No string in it has one.
func withSpaces(encoded []byte) string {
	return strings.NewReplacer(",", ", ", ":", ": ").Replace(string(encoded))
}

// Guards against a machine that gets more tasks than its heartbeats can list: MaxTaskBytes is never below the size of a
// task's status or of its stop.
func TestMaxTaskBytesBoundsStatusAndStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		taskID := TaskID("req-123456", rapid.IntRange(0, MaxTasks-1).Draw(t, "task"))
		gracePeriod := rapid.Float64Range(0, 1e9).Draw(t, "grace period")
		attempt := rapid.Uint64().Draw(t, "attempt")
		status := TaskStatus{
			TaskID: taskID, Attempt: attempt, State: rapid.SampledFrom([]string{TaskFetching, TaskWaitingForGang, TaskRunning, TaskCheckpointing, TaskExited}).Draw(t, "state"),
			ExitCause: rapid.SampledFrom([]string{"", ExitDone, ExitStopped, ExitPeerLost, ExitGangIncomplete, ExitError, ExitNoResources, ExitAttemptConflict, ExitUnknownTask}).Draw(t, "cause"),
			Saved:     rapid.Bool().Draw(t, "saved"),
		}
		stop := Command{Action: ActionStop, TaskID: taskID, Attempt: attempt, GracePeriodSeconds: &gracePeriod}
		bound := MaxTaskBytes(taskID, gracePeriod)
		for _, marshal := range []func() ([]byte, error){status.MarshalJSON, stop.MarshalJSON} {
			encoded, err := marshal()
			if err != nil {
				t.Fatal(err)
			}
			if size := len(withSpaces(encoded)) + len(", "); size > bound {
				t.Fatalf("%s takes %d bytes, want at most %d", encoded, size, bound)
			}
		}
		if !rapid.Bool().Draw(t, "has a grace period") {
			stop.GracePeriodSeconds = nil
		}
		if encoded, err := stop.MarshalJSON(); err != nil || stop.EncodedBytes() != len(encoded)+len(",") {
			t.Fatalf("%s: EncodedBytes: got %d, want its size and a comma's", encoded, stop.EncodedBytes())
		}
	})
}
