package sim

import (
	"testing"
	"time"
)

// A zone with workers and one or two controllers is partitioned for longer than a lease. A job that
// runs there is cancelled meanwhile. Its tasks stop within the cancellation grace, and all replicas of a
// service run after the partition.
func TestZonePartitionLongerThanLease(t *testing.T) {
	for _, zone := range []string{"x", "y"} {
		t.Run(zone, func(t *testing.T) {
			Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
				zoneJob, service := Array(1, 4, "a"), Service(2, 4, "a")
				zoneJob.Zone = zone
				cluster.MustSubmit("n0", zoneJob)
				cluster.MustSubmit("n1", service)
				cluster.WaitForRunningTasks(zoneJob.ID, 4)
				cluster.WaitForRunningTasks(service.ID, 4)
				cluster.PartitionZone(zone)
				outsideMember := "n1"
				if zone == "y" {
					outsideMember = "n0"
				}
				time.Sleep(2 * time.Second)
				cluster.MustCancel(outsideMember, zoneJob.ID)
				time.Sleep(cluster.options.Workers.CancellationGrace + time.Second)
				cluster.ReconnectZone(zone)
				cluster.WaitForRunningTasks(service.ID, 4)
			})
		})
	}
}

// A zone is partitioned while the cloud is down, so that machines whose leases are known to have expired
// can't be deleted. Tasks start elsewhere only once it is certain that any renewal of those leases by a
// controller in the zone is long enough ago.
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

// A single-zone job loses a machine and the leader restarts, three times. Each time all its tasks run
// again.
func TestSingleZoneJobSurvivesMachineLoss(t *testing.T) {
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

// A controller is partitioned from its peers and the store, but not from its workers, and the leader
// crashes. The partitioned controller does not redirect its workers to the crashed leader, and they find
// the present leader.
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
