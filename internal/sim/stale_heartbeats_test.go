package sim

import (
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// Copies of old heartbeats reach every controller during a failover, and again after the new leader
// has acted. All tasks keep running.
func TestStaleHeartbeatsAtFailover(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
		cluster.MustRun("n0", Array(1, 6, "a"))
		time.Sleep(5 * time.Second)
		staleHeartbeats := cluster.Cloud.LastHeartbeats()
		for cluster.Cloud.KillBusyMachine() && len(cluster.MachinesRunning("req-000001")) > 2 {
		}
		cluster.WaitForRunningTasks("req-000001", 6)
		leader := cluster.Leader()
		cluster.Crash(leader)
		for range 100 {
			cluster.ReplayHeartbeats(staleHeartbeats)
			time.Sleep(100 * time.Millisecond)
		}
		cluster.Start(leader)
		cluster.ReplayHeartbeats(staleHeartbeats)
		cluster.WaitForRunningTasks("req-000001", 6)
		time.Sleep(60 * time.Second)
		cluster.WaitForRunningTasks("req-000001", 6)
	})
}

// A copy of a heartbeat from before some tasks were started reaches the leader that started them.
// The heartbeat does not list the tasks, but that does not mean that they have exited.
func TestStaleHeartbeatsUnderSameLeader(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
		cluster.MustRun("n0", Array(1, 2, "a")) // half a machine
		time.Sleep(5 * time.Second)
		staleHeartbeats := cluster.Cloud.LastHeartbeats()
		cluster.MustRun("n0", Array(2, 2, "a"))
		time.Sleep(5 * time.Second)
		// The service needs more room than there is and has a higher priority. If the leader treated
		// the tasks as exited, it would give their room to the service.
		cluster.MustSubmit("n0", Service(3, 24, "a"))
		for range 30 {
			cluster.ReplayHeartbeats(staleHeartbeats)
			time.Sleep(200 * time.Millisecond)
		}
		cluster.WaitForRunningTasks(JobID(3), 24)
		cluster.WaitForRunningTasks(JobID(2), 2)
	})
}

// A task moves from one machine to another, which then hangs. The first heartbeat that a new leader
// gets from the former machine is a copy from when that machine had the task. The task is missing from
// the machine's next heartbeat. Neither of the two means that the task has exited.
func TestStaleHeartbeatOfMovedTask(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
		moved, filler := Array(1, 1, "a"), Array(2, 1, "a")
		moved.CPUs, filler.CPUs = 8, 8
		cluster.MustRun("n0", moved)
		formerMachine := cluster.MachinesRunning(moved.ID)[0]
		time.Sleep(5 * time.Second)
		staleHeartbeats := cluster.Cloud.LastHeartbeats()
		cluster.Cloud.FailTask(wire.TaskID(moved.ID, 0))
		cluster.MustSubmit("n0", filler)
		cluster.WaitFor("the task has moved", time.Minute, func() bool {
			machines := cluster.MachinesRunning(moved.ID)
			return len(machines) == 1 && machines[0] != formerMachine && len(cluster.MachinesRunning(filler.ID)) == 1
		})
		time.Sleep(5 * time.Second)
		currentMachine := cluster.MachinesRunning(moved.ID)[0]
		cluster.Cloud.SetFault(currentMachine, fake.MachineHanging)
		cluster.MustCancel("n1", filler.ID) // the former machine has room again
		time.Sleep(time.Second)
		// The new leader gets the copies before any other heartbeat of the former machine.
		cluster.Network.Partition("former machine", func(a, b string) bool { return a == formerMachine || b == formerMachine })
		cluster.Restart(cluster.Leader(), 200*time.Millisecond)
		cluster.WaitForLeader(20 * time.Second)
		for range 20 {
			cluster.ReplayHeartbeats(staleHeartbeats)
			time.Sleep(50 * time.Millisecond)
		}
		cluster.Network.Heal("former machine")
		time.Sleep(20 * time.Second)
		cluster.Cloud.SetFault(currentMachine, fake.MachineHealthy)
		time.Sleep(10 * time.Second)
		cluster.WaitForRunningTasks(moved.ID, 1)
	})
}

// Workers get to the command requests of the former leader seconds late, after they have the token of the
// new leader. No task of a cancelled job starts.
func TestLateCommandsOfFormerLeader(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
		cluster.MustRun("n0", Array(1, 2, "a"))
		cluster.SetFaultOnAllMachines(fake.MachineSlow)
		cluster.MustSubmit("n0", Array(2, 4, "a"))
		cluster.MustSubmit("n0", Array(3, 2, "a"))
		time.Sleep(500 * time.Millisecond)
		cluster.MustCancel(cluster.OtherMembers(cluster.Leader())[0], "req-000001")
		formerLeader := cluster.Leader()
		cluster.Restart(formerLeader, 200*time.Millisecond)
		cluster.WaitForLeader(5 * time.Second)
		time.Sleep(2 * time.Second) // by then the workers have the new leader's token
		cluster.MustCancel(cluster.Leader(), "req-000003")
		time.Sleep(10 * time.Second)
		if late := cluster.Checker.LateStarts(); len(late) > 0 {
			t.Errorf("got task starts by commands of the former leader: %v, want none", late)
		}
		cluster.SetFaultOnAllMachines(fake.MachineHealthy)
		cluster.WaitForRunningTasks("req-000002", 4)
		cluster.WaitForNoTasks("req-000001", cluster.options.Workers.CancellationGrace)
	})
}
