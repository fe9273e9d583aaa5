package sim

import (
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
)

// crashAndStartAllMembers ends all controllers at once and starts them again a second later.
func (cluster *Cluster) crashAndStartAllMembers() {
	for _, member := range cluster.Members() {
		cluster.Crash(member)
	}
	time.Sleep(time.Second)
	for _, member := range cluster.Members() {
		cluster.Start(member)
	}
}

// waitForHigherToken waits until a leader has replied to a machine that had not seen its token.
func (cluster *Cluster) waitForHigherToken(machine string) {
	cluster.t.Helper()
	before := cluster.Cloud.SeenToken(machine)
	cluster.WaitFor(machine+" has seen a higher token", time.Minute, func() bool { return cluster.Cloud.SeenToken(machine) > before })
}

// Seen: tasks of a cancelled job ran on past the cancellation timeout.
//
// How: the leader ended, another member confirmed the cancellation, and then all controllers ended
// again and again, each leader after one reply to the machine. After that the machine heard nothing.
//
// Cause: the reply to the first heartbeat under a new token renewed the lease without stopping the
// tasks, see TestFirstReplyUnderNewTokenStopsCancelledTasks in package allocation.
//
// Proof: with stops in that reply, and nothing else changed, the tasks end with the first leader.
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
