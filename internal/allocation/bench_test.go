package allocation

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// newBusyTracker returns a tracker with a machine of running tasks, and a heartbeat that lists them.
func newBusyTracker(tb testing.TB, taskCount int) (*Tracker, *Machine, *wire.Heartbeat) {
	tb.Helper()
	tracker := New(Config{FencingToken: 7, LeaseTTL: testLeaseTTL, CancelFenceWindow: 20 * clock.Second})
	tracker.FinishRecovery()
	machine := tracker.AddMachine("i-000001", "t", "x", false, Resources{MicroCPU: int64(taskCount) * Unit, MicroGB: 1 << 50}, 1)
	machine.RecordedInStore = true
	job := tracker.AddJob(&wire.Job{ID: "req-000001", Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: taskCount, CPUs: 1, Team: "a"}, 0, 1, true, nil)
	heartbeat := newHeartbeat(machine, 1, 1, 7)
	tracker.RecordHeartbeat(machine, heartbeat, 1)
	for i := 0; i < taskCount; i++ {
		if err := tracker.PlaceTask(job, i, machine, tracker.NextAttempt(), 1); err != nil {
			tb.Fatal(err)
		}
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{TaskID: wire.TaskID(job.Spec.ID, i), Attempt: job.Tasks[i].Placement.Attempt, State: wire.TaskRunning})
	}
	tracker.HeartbeatCommands(machine, 1)
	heartbeat.Sequence++
	tracker.RecordHeartbeat(machine, heartbeat, 2)
	return tracker, machine, heartbeat
}

// Applying and answering a heartbeat in which nothing has changed makes no memory allocations,
// however many tasks the heartbeat lists.
func TestUnchangedHeartbeatDoesNotAllocate(t *testing.T) {
	for _, taskCount := range []int{1, 32, 200} {
		tracker, machine, heartbeat := newBusyTracker(t, taskCount)
		if got := testing.AllocsPerRun(50, func() {
			heartbeat.Sequence++
			if tracker.RecordHeartbeat(machine, heartbeat, 3) != HeartbeatAccepted || len(tracker.HeartbeatCommands(machine, 3)) != 0 {
				t.Fatal("the unchanged heartbeat was not accepted, or was answered with commands")
			}
		}); got > 0 {
			t.Errorf("%d tasks: got %v memory allocations for each heartbeat, want 0", taskCount, got)
		}
		if tracker.Jobs["req-000001"].StartedCount != taskCount {
			t.Fatal("the job's StartedCount differs from the number of tasks that the heartbeats list")
		}
	}
}

// BenchmarkHeartbeat measures the time from a heartbeat's encoding to the encoding of its reply.
func BenchmarkHeartbeat(b *testing.B) {
	for _, taskCount := range []int{0, 4, 8, 32} {
		b.Run(fmt.Sprint(taskCount), func(b *testing.B) {
			tracker, machine, heartbeat := newBusyTracker(b, taskCount)
			b.ReportAllocs()
			for b.Loop() {
				heartbeat.Sequence++
				encoded, err := heartbeat.MarshalJSON()
				if err != nil {
					b.Fatal(err)
				}
				var decoded wire.Heartbeat
				if err := decoded.UnmarshalJSON(encoded); err != nil {
					b.Fatal(err)
				}
				tracker.RecordHeartbeat(machine, &decoded, 3)
				if _, err := (wire.HeartbeatResponse{FencingToken: 7, Commands: tracker.HeartbeatCommands(machine, 3)}).MarshalJSON(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
