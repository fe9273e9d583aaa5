package allocation

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// A leader's first reply to a worker renews the worker's lease, so it must also carry the stops of cancelled
// tasks, although the heartbeat still shows the token of an earlier leader. When stops waited for the
// second heartbeat, which shows the new token, controllers that ended every few seconds left a cancelled
// task running: three leaders in a row replied to one heartbeat each, without stops, and ended before the
// next one. The machine was then cut off, and the lease that the last reply had renewed kept the task on its
// machine until 66 s after the confirmation of the cancellation, beyond the cancellation timeout.
func TestFirstReplyUnderNewTokenStopsCancelledTasks(t *testing.T) {
	for _, kind := range []string{wire.KindArray, wire.KindGang, wire.KindService} {
		t.Run(kind, func(t *testing.T) {
			tracker, machines, job := newSuccessorTracker(kind)
			now := clock.Second
			tracker.Cancel(job, now)
			if result := tracker.RecordHeartbeat(machines[0], heartbeatListing("i-0", 5, 4, 40, 0, 1), now); result != HeartbeatAccepted {
				t.Fatalf("RecordHeartbeat of the first heartbeat = %v, want it accepted", result)
			}
			stopped := map[string]bool{}
			for _, command := range tracker.HeartbeatCommands(machines[0], now) {
				if command.Action != wire.ActionStop || command.Attempt != 40 {
					t.Errorf("got command %+v for a machine that hasn't confirmed the token, want only stops of attempt 40", command)
				}
				stopped[command.TaskID] = true
			}
			for i := range job.Tasks {
				if id := wire.TaskID(job.Spec.ID, i); !stopped[id] {
					t.Errorf("the reply renews the lease of a machine that lists %s, got no stop of the task, want one", id)
				}
			}
		})
	}
}
