package allocation

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Seen: a task of a cancelled job was on its machine 66 s after the cancellation had been confirmed.
//
// How: controllers ended every few seconds. Three leaders in a row replied to one heartbeat of the
// machine each, and ended before the next one. Then the machine was cut off, and its lease, which the
// last reply had renewed, kept the task alive past the cancellation timeout.
//
// Cause: the reply to the first heartbeat that a worker sends under an earlier leader's token renews
// its lease, but carried no stops: commands waited for the second heartbeat, which shows the new token.
//
// Proof: the worker's heartbeats list the task at 65.7, 75.2 and 91.4 s; each got a 200 under another
// token, and the worker executed no command from 34.8 s on.
func TestFirstReplyUnderNewTokenStopsCancelledTasks(t *testing.T) {
	for _, kind := range []string{wire.KindArray, wire.KindGang, wire.KindService} {
		t.Run(kind, func(t *testing.T) {
			tracker, machines, job := newSuccessorTracker(kind)
			now := clock.Second
			tracker.Cancel(job, now)
			if result := tracker.RecordHeartbeat(machines[0], heartbeatListing("i-0", 5, 4, 40, 0, 1), now); result != HeartbeatAccepted {
				t.Fatalf("the heartbeat is %v", result)
			}
			stopped := map[string]bool{}
			for _, command := range tracker.HeartbeatCommands(machines[0], now) {
				if command.Action != wire.ActionStop || command.Attempt != 40 {
					t.Errorf("command %+v to a machine that hasn't confirmed the token", command)
				}
				stopped[command.TaskID] = true
			}
			for i := range job.Tasks {
				if id := wire.TaskID(job.Spec.ID, i); !stopped[id] {
					t.Errorf("the reply renews the lease of a machine that lists %s, and doesn't stop it", id)
				}
			}
		})
	}
}
