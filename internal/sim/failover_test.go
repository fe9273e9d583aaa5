package sim

import (
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// Users cancel jobs during the seconds of a failover. The tasks of these jobs stop within the cancellation
// grace, and the task of another job keeps running.
func TestJobsCancelledDuringFailoverStop(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
		for i := 1; i <= 8; i++ {
			cluster.MustSubmit("n0", Array(i, 1, "a"))
		}
		cluster.WaitForRunningTasks("req-000008", 1)
		leader := cluster.Leader()
		others := cluster.OtherMembers(leader)
		cluster.Crash(leader)
		for i := 1; i <= 7; i++ {
			go cluster.MustCancel(others[i%2], JobID(i))
			time.Sleep(time.Second)
		}
		cluster.Start(leader)
		for i := 1; i <= 7; i++ {
			id := JobID(i)
			cluster.WaitForNoTasks(id, cluster.options.Workers.CancellationGrace)
		}
		cluster.WaitForRunningTasks("req-000008", 1)
	})
}

// The leader restarts while machines with long tasks hang, are slow, or lose heartbeats or commands. No
// task runs on two machines, and all tasks run once the machines are healthy again.
func TestNoTaskRunsTwiceOnFaultyMachinesAtFailover(t *testing.T) {
	for _, fault := range []fake.MachineFault{fake.MachineHanging, fake.MachineCommandsLost, fake.MachineHeartbeatsLost, fake.MachineSlow} {
		t.Run(fault.String(), func(t *testing.T) {
			Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
				cluster.MustRun("n0", Array(1, 8, "a"))
				machines := cluster.Cloud.MachineNames()
				cluster.MustRun("n0", Array(2, 1, "a")) // on a machine that has room for more tasks
				for _, machine := range machines {
					cluster.Cloud.SetFault(machine, fault)
				}
				cluster.Restart(cluster.Leader(), 10*time.Second)
				time.Sleep(15 * time.Second)
				for _, machine := range machines {
					cluster.Cloud.SetFault(machine, fake.MachineHealthy)
				}
				cluster.WaitForRunningTasks("req-000001", 8)
			})
		})
	}
}

// The leader restarts up to ten times in two minutes, also during a store outage. All jobs get done.
func TestJobsFinishDespiteFrequentFailovers(t *testing.T) {
	Run(t, Options{TaskDuration: 15 * time.Second}, func(cluster *Cluster) {
		for i := 1; i <= 4; i++ {
			cluster.MustSubmit("n0", Array(i, 3, "a"))
		}
		for i := range 10 {
			if leader := cluster.Leader(); leader != "" {
				cluster.Restart(leader, 200*time.Millisecond)
			}
			if i == 5 {
				cluster.Store.SetDown(true)
			}
			if i == 7 {
				cluster.Store.SetDown(false)
			}
			time.Sleep(11 * time.Second)
		}
		for i := 1; i <= 4; i++ {
			cluster.WaitForState("n2", JobID(i), wire.JobDone, 2*time.Minute)
		}
	})
}

// All controllers crash. One of them starts again after less than a second, or after longer than a worker's
// lease, and confirms a cancellation before the others start. The service's tasks run afterwards, and the
// cancelled job's tasks stop.
func TestJobsSurviveCrashOfAllMembers(t *testing.T) {
	for _, downtime := range []time.Duration{300 * time.Millisecond, 45 * time.Second} {
		t.Run(downtime.String(), func(t *testing.T) {
			Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
				cluster.MustSubmit("n0", Array(1, 4, "a"))
				cluster.MustSubmit("n1", Service(2, 2, "a"))
				cluster.WaitForRunningTasks("req-000001", 4)
				cluster.WaitForRunningTasks("req-000002", 2)
				for _, member := range cluster.Members() {
					cluster.Crash(member)
				}
				time.Sleep(downtime)
				cluster.Start("n1")
				cluster.MustCancel("n1", "req-000001")
				cluster.Start("n0")
				cluster.Start("n2")
				cluster.WaitForRunningTasks("req-000002", 2)
				cluster.WaitForNoTasks("req-000001", cluster.options.Workers.CancellationGrace)
			})
		})
	}
}

// The tasks of a job end far apart, across failovers. Tasks that are done are not run again, and no job is
// reported as done before its last task ends.
func TestDoneTasksAreNotRerunAcrossFailovers(t *testing.T) {
	Run(t, Options{TaskDuration: 3 * time.Second, TaskDurationStep: 25 * time.Second}, func(cluster *Cluster) {
		for i := 1; i <= 4; i++ {
			cluster.MustSubmit("n0", Array(i, 2+i%2, "a"))
		}
		cluster.WaitForRunningTasks(JobID(4), 2)
		for range 5 {
			time.Sleep(6 * time.Second)
			cluster.Restart(cluster.Leader(), 500*time.Millisecond)
			for i := 1; i <= 4; i++ {
				go cluster.GetJob("n0", JobID(i))
			}
		}
		for i := 1; i <= 4; i++ {
			cluster.WaitForState("n1", JobID(i), wire.JobDone, 3*time.Minute)
		}
		if reruns := cluster.Checker.Reruns(); len(reruns) > 0 {
			t.Errorf("tasks that were done are started again: got %v, want none", reruns)
		}
	})
}

// The leader is partitioned from its workers and hands over, and then the same happens to its successor.
// A job is cancelled at each of the two during the partition. The cancelled jobs' tasks stop, and the
// tasks of another job keep running.
func TestCancellationsSurviveRepeatedHandovers(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
		for i := 1; i <= 4; i++ {
			cluster.MustSubmit("n0", Array(i, 3, "a"))
		}
		cluster.WaitForRunningTasks(JobID(4), 3)
		for i := 1; i <= 2; i++ {
			leader := cluster.Leader()
			cluster.PartitionFromWorkers(leader)
			time.Sleep(3 * time.Second)
			go cluster.MustCancel(leader, JobID(i))
			cluster.WaitForNewLeader(leader, time.Minute)
			cluster.ReconnectToWorkers(leader)
			time.Sleep(10 * time.Second)
		}
		for i := 1; i <= 2; i++ {
			cluster.WaitForNoTasks(JobID(i), cluster.options.Workers.CancellationGrace)
		}
		cluster.WaitForRunningTasks(JobID(4), 3)
	})
}
