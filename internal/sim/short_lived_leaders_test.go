package sim

import (
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
)

// crashAndStartAllMembers crashes all controllers at once and starts them again a second later.
func (cluster *Cluster) crashAndStartAllMembers() {
	for _, member := range cluster.Members() {
		cluster.Crash(member)
	}
	time.Sleep(time.Second)
	for _, member := range cluster.Members() {
		cluster.Start(member)
	}
}

// waitForHigherToken waits until some leader has replied to a machine that had not seen its token.
func (cluster *Cluster) waitForHigherToken(machine string) {
	cluster.t.Helper()
	before := cluster.Cloud.SeenToken(machine)
	cluster.WaitFor(machine+" has seen a higher token", time.Minute, func() bool { return cluster.Cloud.SeenToken(machine) > before })
}

// Tasks of a cancelled job must not keep running past the cancellation grace when leaders live only briefly.
//
// The leader crashes, and another member confirms the cancellation. Then all controllers crash again
// and again, each leader after one reply to the machine. After that the machine gets no replies.
//
// Tasks kept running when the reply to the first heartbeat under a new token renewed the worker's lease
// without stopping the tasks; see TestFirstReplyUnderNewTokenStopsCancelledTasks in package allocation.
// With stops in that reply, and no other change, the tasks end under the first leader.
func TestShortLivedLeadersStopCancelledTasks(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration, Workers: WorkerTimes{HeartbeatInterval: 6 * time.Second}}, func(cluster *Cluster) {
		cluster.MustRun("n0", Array(1, 4, "a"))
		machine := cluster.MachinesRunning(JobID(1))[0]
		time.Sleep(cluster.options.Workers.HeartbeatInterval)
		leader := cluster.Leader()
		cluster.Crash(leader)
		cluster.MustCancel(cluster.OtherMembers(leader)[0], JobID(1))
		cancelledAt := time.Now()
		cluster.Start(leader)
		workers := cluster.options.Workers
		for time.Since(cancelledAt) < workers.CancellationGrace-workers.LeaseTTL+5*time.Second {
			cluster.waitForHigherToken(machine)
			cluster.crashAndStartAllMembers()
		}
		cluster.SetFaultOnAllMachines(fake.MachineCommandsLost)
		time.Sleep(workers.LeaseTTL + time.Second)
		cluster.SetFaultOnAllMachines(fake.MachineHealthy)
		cluster.WaitForNoTasks(JobID(1), time.Minute)
	})
}
