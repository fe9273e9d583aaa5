package sim

import (
	"testing"
	"time"
)

// A zone with workers and a controller is cut off for longer than a lease, and jobs
// that run there are cancelled meanwhile.
func TestZonePartitionLongerThanLease(t *testing.T) {
	for _, zone := range []string{"x", "y"} {
		t.Run(zone, func(t *testing.T) {
			Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
				inside, everywhere := Array(1, 4, "a"), Service(2, 4, "a")
				inside.Zone = zone
				cluster.MustSubmit("n0", inside)
				cluster.MustSubmit("n1", everywhere)
				cluster.WaitForRunningTasks(inside.ID, 4)
				cluster.WaitForRunningTasks(everywhere.ID, 4)
				cluster.PartitionZone(zone)
				outside := "n1"
				if zone == "y" {
					outside = "n0"
				}
				time.Sleep(2 * time.Second)
				cluster.MustCancel(outside, inside.ID)
				time.Sleep(cluster.options.Workers.CancellationGrace + time.Second)
				cluster.ReconnectZone(zone)
				cluster.WaitForRunningTasks(everywhere.ID, 4)
			})
		})
	}
}

// A zone is cut off while the cloud's interface is down, so that machines whose leases
// are taken for over can't be deleted: tasks start elsewhere only once nobody in the
// zone can have renewed their leases for long enough.
func TestZonePartitionInCloudOutage(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
		job := Array(1, 2, "a")
		cluster.MustRun("n0", job)
		zone := cluster.Cloud.ZoneOf(cluster.MachinesRunning(job.ID)[0])
		filler := Array(2, 2, "a") // its machine has room for the job
		filler.Zone = "y"
		if zone == "y" {
			filler.Zone = "x"
		}
		cluster.MustRun("n0", filler)
		cluster.Cloud.SetDown(true)
		cluster.PartitionZone(zone)
		time.Sleep(90 * time.Second)
		cluster.WaitForRunningTasks(job.ID, 2)
		cluster.Cloud.SetDown(false)
		cluster.ReconnectZone(zone)
		time.Sleep(20 * time.Second)
		cluster.WaitForRunningTasks(job.ID, 2)
	})
}

// Jobs bound to one zone lose machines, and the leader.
func TestOneZoneJobLosesMachines(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
		job := Array(1, 6, "a")
		job.SingleZone = true
		cluster.MustRun("n0", job)
		for range 3 {
			cluster.Cloud.KillBusyMachine()
			cluster.Restart(cluster.Leader(), time.Second)
			cluster.WaitForRunningTasks(job.ID, 6)
		}
	})
}

// A controller that loses the others and the state service, but not its workers, does not
// send them to a leader that is dead by then: they find the one that leads.
func TestWorkersLeavePartitionedMember(t *testing.T) {
	Run(t, Options{TaskDuration: 15 * time.Second, TaskDurationStep: 300 * time.Millisecond}, func(cluster *Cluster) {
		cluster.runQuotaBoundJob(60)
		leader := cluster.Leader()
		isolated := cluster.nextMember(leader)
		cluster.PartitionFromPeers(isolated)
		cluster.PartitionFromStore(isolated)
		cluster.Crash(leader)
		cluster.waitForNextStart(90 * time.Second)
	})
}
