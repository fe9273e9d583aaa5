package allocation

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// BenchmarkReplyEncoding measures the reply to a heartbeat, from the commands to the encoded message, for machines whose
// listed tasks all have to be stopped, or have exited and are reaped.
func BenchmarkReplyEncoding(b *testing.B) {
	for _, taskCount := range []int{8, 128, 500} {
		for _, isStopped := range []bool{true, false} {
			b.Run(fmt.Sprintf("%d tasks, stops %v", taskCount, isStopped), func(b *testing.B) {
				tracker := New(Config{FencingToken: 1, LeaseTTL: testLeaseTTL})
				machine := tracker.AddMachine("i-1", "t", "x", false, Resources{MicroCPU: 64 * Unit, MicroGB: 1 << 50}, 1)
				job := tracker.AddJob(&wire.Job{ID: "req-000001", Kind: wire.KindArray, Team: "a", TaskCount: taskCount, Priority: wire.PriorityNormal}, 0, 1, true, nil)
				heartbeat := &wire.Heartbeat{MachineID: "i-1", Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1, FencingToken: 1}
				for i := range taskCount {
					status := wire.TaskStatus{TaskID: wire.TaskID("req-000001", i), Attempt: 1<<40 + uint64(i), State: wire.TaskRunning}
					if !isStopped {
						status.State, status.ExitCause = wire.TaskExited, wire.ExitStopped
					}
					heartbeat.Tasks = append(heartbeat.Tasks, status)
				}
				tracker.FinishRecovery()
				tracker.RecordLeaseRenewal(machine, 1)
				tracker.RecordHeartbeat(machine, heartbeat, 1)
				tracker.Cancel(job, 2)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					reply := wire.HeartbeatResponse{FencingToken: 1, Commands: tracker.HeartbeatCommands(machine, clock.Micros(3+i))}
					if body, err := reply.MarshalJSON(); err != nil || len(reply.Commands) != taskCount {
						b.Fatalf("got %d commands in %d bytes, error %v, want %d commands", len(reply.Commands), len(body), err, taskCount)
					}
				}
			})
		}
	}
}
