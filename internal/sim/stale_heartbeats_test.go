package sim

import (
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// An old report reaches every controller just as a new leader begins, and a report
// held back until a new leader has acted arrives there.
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

// A report from before tasks were started comes again under the leader that started
// them: that it lacks them says nothing.
func TestStaleHeartbeatsUnderSameLeader(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
		cluster.MustRun("n0", Array(1, 2, "a")) // half a machine
		time.Sleep(5 * time.Second)
		staleHeartbeats := cluster.Cloud.LastHeartbeats()
		cluster.MustRun("n0", Array(2, 2, "a"))
		time.Sleep(5 * time.Second)
		// More than there is room for, and it goes first: were the tasks taken for gone,
		// their room would be given away.
		cluster.MustSubmit("n0", Service(3, 24, "a"))
		for range 30 {
			cluster.ReplayHeartbeats(staleHeartbeats)
			time.Sleep(200 * time.Millisecond)
		}
		cluster.WaitForRunningTasks(JobID(3), 24)
		cluster.WaitForRunningTasks(JobID(2), 2)
	})
}

// A task goes from one machine to another, which then can't be reached; a new leader
// hears first a copy of a report from before, of the machine that had the task. Neither
// that copy, nor that the machine's next report lacks the task, says that it is over.
func TestStaleHeartbeatOfMovedTask(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
		moved, filler := Array(1, 1, "a"), Array(2, 1, "a")
		moved.CPUs, filler.CPUs = 8, 8
		cluster.MustRun("n0", moved)
		previousMachine := cluster.MachinesRunning(moved.ID)[0]
		time.Sleep(5 * time.Second)
		staleHeartbeats := cluster.Cloud.LastHeartbeats()
		cluster.Cloud.Fail(wire.TaskID(moved.ID, 0))
		cluster.MustSubmit("n0", filler)
		cluster.WaitFor("the task has moved", time.Minute, func() bool {
			on := cluster.MachinesRunning(moved.ID)
			return len(on) == 1 && on[0] != previousMachine && len(cluster.MachinesRunning(filler.ID)) == 1
		})
		time.Sleep(5 * time.Second)
		currentMachine := cluster.MachinesRunning(moved.ID)[0]
		cluster.Cloud.SetFault(currentMachine, fake.MachineHanging)
		cluster.MustCancel("n1", filler.ID) // where the task was there is room again
		time.Sleep(time.Second)
		// The copies are what the new leader hears first of that machine.
		cluster.Network.Partition("copies first", func(a, b string) bool { return a == previousMachine || b == previousMachine })
		cluster.Restart(cluster.Leader(), 200*time.Millisecond)
		cluster.WaitForLeader(20 * time.Second)
		for range 20 {
			cluster.ReplayHeartbeats(staleHeartbeats)
			time.Sleep(50 * time.Millisecond)
		}
		cluster.Network.Heal("copies first")
		time.Sleep(20 * time.Second)
		cluster.Cloud.SetFault(currentMachine, fake.MachineHealthy)
		time.Sleep(10 * time.Second)
		cluster.WaitForRunningTasks(moved.ID, 1)
	})
}

// A command that is held up for seconds is carried out after the new leader's.
func TestLateCommandsOfFormerLeader(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
		cluster.MustRun("n0", Array(1, 2, "a"))
		cluster.SetFaultOnAllMachines(fake.MachineSlow)
		cluster.MustSubmit("n0", Array(2, 4, "a"))
		cluster.MustSubmit("n0", Array(3, 2, "a"))
		time.Sleep(500 * time.Millisecond)
		cluster.MustCancel(cluster.OtherMembers(cluster.Leader())[0], "req-000001")
		old := cluster.Leader()
		cluster.Restart(old, 200*time.Millisecond)
		cluster.WaitForLeader(5 * time.Second)
		time.Sleep(2 * time.Second) // the workers have heard of the new leader
		cluster.MustCancel(cluster.Leader(), "req-000003")
		time.Sleep(10 * time.Second)
		if late := cluster.Checker.LateStarts(); len(late) > 0 {
			t.Errorf("started by a command of the ended leader: %v", late)
		}
		cluster.SetFaultOnAllMachines(fake.MachineHealthy)
		cluster.WaitForRunningTasks("req-000002", 4)
		cluster.WaitForNoTasks("req-000001", cluster.options.Workers.CancellationGrace)
	})
}
