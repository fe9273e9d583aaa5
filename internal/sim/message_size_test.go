package sim

import (
	"testing"
	"time"

	"firwood.dev/firwood/wire"
)

// ordinaryStartTarget is the time within which users of a batch class expect nearly all tasks to start.
const ordinaryStartTarget = 25 * time.Second

// checkMessages checks that no message was larger than PROTOCOL allows and that no lease ended with tasks.
func (cluster *Cluster) checkMessages() {
	cluster.t.Helper()
	counts := cluster.Cloud.Messages()
	if counts.OversizedHeartbeats+counts.OversizedReplies+counts.RefusedCommandRequests+counts.LeasesLostWithTasks > 0 {
		cluster.t.Errorf("messages above %d bytes: got %+v, want none, and no lease lost", wire.MaxBodyBytes, counts)
	}
	cluster.t.Logf("the largest heartbeat had %d bytes", counts.LargestHeartbeat)
}

// Guards against messages above the protocol's limit, for which workers lose their leases and all their tasks:
// very many tasks that need next to nothing are spread over machines, in bounded messages, and an ordinary job beside
// them starts within seconds.
func TestManySmallTasksKeepMessagesBounded(t *testing.T) {
	for _, test := range []struct {
		name            string
		taskCount       int
		cpus            float64
		machineCPUs     float64
		duration, until time.Duration
	}{
		{"16000 tasks of 0.01 CPUs", 16000, 0.01, 32, 40 * time.Second, 5 * time.Minute},
		{"many tasks of 0.001 CPUs", tinyTaskCount(), 0.001, 32, 20 * time.Second, 10 * time.Minute},
		{"25000 short tasks of 0.25 CPUs", 25000, 0.25, 32, time.Second, 10 * time.Minute},
	} {
		t.Run(test.name, func(t *testing.T) {
			options := Options{TaskDuration: test.duration, MachineCPUs: test.machineCPUs, Limits: Limits{WriteRPS: 200}, Logger: controllerLogger()}
			Run(t, options, func(cluster *Cluster) {
				cluster.Cloud.SetCapacity(20)
				many := Array(1, test.taskCount, "a")
				many.CPUs, many.MemoryGB, many.EstimatedRunSeconds = test.cpus, 0, test.duration.Seconds()
				cluster.MustSubmit("n0", many)
				time.Sleep(30 * time.Second)
				ordinary := Array(2, 2, "b")
				ordinary.Priority = wire.PriorityHigh
				submittedAt := time.Now()
				cluster.MustRun("n1", ordinary)
				if waited := time.Since(submittedAt); waited > ordinaryStartTarget {
					t.Errorf("the ordinary job started after %v, want at most %v", waited, ordinaryStartTarget)
				}
				cluster.WaitForState("n2", many.ID, wire.JobDone, test.until)
				cluster.checkMessages()
			})
		})
	}
}

// tinyTaskCount returns the number of tasks of the largest array. The race detector takes minutes for all of them.
func tinyTaskCount() int {
	if isRaceDetectorOn {
		return wire.MaxTasks / 5
	}
	return wire.MaxTasks
}
