package sim

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// workerTimesCases are the worker times that tests run with: the default ones, and shorter ones.
var workerTimesCases = []WorkerTimes{
	{LeaseTTL: 36 * time.Second, CancellationGrace: 66 * time.Second},
	{LeaseTTL: 14 * time.Second, CancellationGrace: 44 * time.Second},
}

// rejectLeaderRequests makes the store reject only the leader's requests, and returns the leader's name.
func rejectLeaderRequests(cluster *Cluster) string {
	leader := cluster.Leader()
	cluster.Store.SetFault(leader, fake.StoreRequestsRejected)
	return leader
}

// The store rejects only the leader's requests, and another controller confirms a cancellation. Then
// the store is down for all controllers for longer than the cancellation grace, while workers still
// send their heartbeats to the old leader. The old leader learns of the cancellation from its peers,
// and stops the tasks while it holds the leader lease.
func TestPeersForwardCancellationToRejectedLeader(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
		cluster.MustSubmit("n0", Array(1, 4, "a"))
		cluster.MustSubmit("n0", Array(2, 2, "a"))
		cluster.WaitForRunningTasks("req-000001", 4)
		leader := rejectLeaderRequests(cluster)
		time.Sleep(500 * time.Millisecond)
		cluster.MustCancel(cluster.OtherMembers(leader)[0], "req-000001")
		cluster.Store.SetDown(true)
		cluster.WaitForNoTasks("req-000001", 3*time.Second)
		time.Sleep(80 * time.Second)
		cluster.Store.SetFault(leader, fake.StoreHealthy)
		cluster.Store.SetDown(false)
		cluster.WaitForRunningTasks("req-000002", 2)
		time.Sleep(30 * time.Second)
		if late := cluster.Checker.LateStarts(); len(late) > 0 {
			t.Errorf("got task starts after the cancellation was confirmed: %v, want none", late)
		}
	})
}

// As in TestPeersForwardCancellationToRejectedLeader, but the leader is also partitioned from its
// peers, so that it does not learn of the cancellation. The leases of its workers expire in time. The
// end of the outage restarts the TTL of the old leader's leader lease; the old leader reads the store
// before it starts any task.
func TestPartitionedLeaderStartsNothingAfterOutage(t *testing.T) {
	for _, times := range workerTimesCases {
		t.Run(times.LeaseTTL.String(), func(t *testing.T) {
			Run(t, Options{TaskDuration: longTaskDuration, Workers: times}, func(cluster *Cluster) {
				cluster.MustRun("n0", Array(1, 4, "a"))
				leader := rejectLeaderRequests(cluster)
				cluster.PartitionFromPeers(leader)
				cluster.MustCancel(cluster.OtherMembers(leader)[0], "req-000001")
				cluster.Store.SetDown(true)
				time.Sleep(times.CancellationGrace + 20*time.Second)
				cluster.ReconnectToPeers(leader)
				cluster.Store.SetFault(leader, fake.StoreHealthy)
				cluster.Store.SetDown(false)
				time.Sleep(30 * time.Second)
				if late := cluster.Checker.LateStarts(); len(late) > 0 {
					t.Errorf("got task starts after the cancellation was confirmed: %v, want none", late)
				}
			})
		})
	}
}

// The end of an outage restarts the TTL of the old leader's leader lease before the old leader can read
// which jobs were cancelled meanwhile. It starts no task until it has read the store.
func TestNoStartsBetweenLeaseRenewalAndRead(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
		cluster.MustSubmit("n0", Array(1, 4, "a"))
		cluster.MustSubmit("n0", Service(2, 2, "a")) // the leader probes the state of the service's machines
		cluster.WaitForRunningTasks("req-000001", 4)
		cluster.WaitForRunningTasks("req-000002", 2)
		leader := rejectLeaderRequests(cluster)
		cluster.PartitionFromPeers(leader)
		cluster.MustCancel(cluster.OtherMembers(leader)[0], "req-000001")
		cluster.Store.SetDown(true)
		time.Sleep(cluster.options.Workers.CancellationGrace + 20*time.Second)
		cluster.Store.SetFault(leader, fake.StoreReadsRejected)
		cluster.Store.SetDown(false)
		time.Sleep(8 * time.Second)
		cluster.Store.SetFault(leader, fake.StoreHealthy)
		time.Sleep(20 * time.Second)
		if late := cluster.Checker.LateStarts(); len(late) > 0 {
			t.Errorf("got task starts after the cancellation was confirmed: %v, want none", late)
		}
	})
}

// The leader can't renew its leader lease for a while although the store answers its reads. An outage
// then restarts the TTL of the lease, and the leader's reads are rejected. However recent the leader's
// view is, it lacks a cancellation between the last read and the outage, so the leader starts no task.
func TestNoStartsAfterLeaseRenewalWithRecentView(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration, Workers: WorkerTimes{HeartbeatInterval: time.Second / 2}}, func(cluster *Cluster) {
		cluster.MustRun("n0", Array(1, 8, "b"))
		cluster.MustSubmit("n0", Array(2, 2, "b")) // exceeds the team's quota, so its tasks wait
		time.Sleep(time.Second)
		leader := cluster.Leader()
		cluster.PartitionFromPeers(leader)
		cluster.Store.SetFault(leader, fake.StoreRenewalsRejected)
		time.Sleep(4 * time.Second)
		cluster.Store.SetFault(leader, fake.StoreRequestsRejected)
		time.Sleep(100 * time.Millisecond) // by then the store has answered the last read
		cluster.MustCancel(cluster.OtherMembers(leader)[0], JobID(2))
		cluster.Store.SetDown(true)
		time.Sleep(2 * time.Second) // the leader is no longer entitled to act
		cluster.Store.SetFault(leader, fake.StoreReadsRejected)
		cluster.Store.SetDown(false)
		for i := range 8 {
			cluster.Cloud.FailTask(wire.TaskID(JobID(1), i)) // then the quota has room for job 2
			time.Sleep(time.Second / 2)
		}
		cluster.Store.SetFault(leader, fake.StoreHealthy)
		cluster.ReconnectToPeers(leader)
		time.Sleep(20 * time.Second)
		if late := cluster.Checker.LateStarts(); len(late) > 0 {
			t.Errorf("got task starts after the cancellation was confirmed: %v, want none", late)
		}
	})
}

// The leader renews its leader lease, but the store rejects all its reads. If its peers can't inform it
// of cancellations, it answers workers for no longer than the cancellation grace. If they can, and the
// store serves them, it hands over the leadership long before that.
func TestLeaderWithoutReadsHandsOverOrStopsReplying(t *testing.T) {
	for _, peersReachable := range []bool{false, true} {
		t.Run(fmt.Sprint("peers reachable ", peersReachable), func(t *testing.T) {
			Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
				cluster.MustSubmit("n0", Array(1, 4, "a"))
				cluster.MustSubmit("n0", Array(2, 2, "a"))
				cluster.WaitForRunningTasks("req-000001", 4)
				cluster.WaitForRunningTasks("req-000002", 2)
				leader := cluster.Leader()
				if !peersReachable {
					cluster.PartitionFromPeers(leader)
				}
				cluster.Store.SetFault(leader, fake.StoreReadsRejected)
				time.Sleep(time.Second)
				cluster.MustCancel(cluster.OtherMembers(leader)[0], "req-000001")
				if peersReachable {
					cluster.WaitForNewLeader(leader, 20*time.Second)
				}
				time.Sleep(cluster.options.Workers.CancellationGrace + 5*time.Second)
				if machines := cluster.MachinesRunning("req-000002"); peersReachable && len(machines) != 2 {
					t.Errorf("got %d running tasks of the job that was not cancelled, want 2", len(machines))
				}
				cluster.ReconnectToPeers(leader)
				cluster.Store.SetFault(leader, fake.StoreHealthy)
				cluster.WaitForRunningTasks("req-000002", 2)
			})
		})
	}
}

// Jobs are cancelled just when the store begins to reject only the leader's requests. A second later
// the store goes down for longer than the cancellation grace. The cancelled jobs' tasks stop soon after the
// beginning of the outage, and the tasks of another job run after it.
func TestConcurrentCancellationsReachRejectedLeader(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
		for i := 1; i <= 6; i++ {
			cluster.MustSubmit("n0", Array(i, 2, "a"))
		}
		cluster.WaitForRunningTasks("req-000006", 2)
		leader := rejectLeaderRequests(cluster)
		var confirmed [6]atomic.Bool
		for i := 1; i <= 5; i++ {
			go func() {
				confirmed[i].Store(cluster.Cancel(cluster.OtherMembers(leader)[i%2], JobID(i)).JobState() == wire.JobCancelled)
			}()
		}
		time.Sleep(time.Second)
		cluster.Store.SetDown(true)
		for i := 1; i <= 5; i++ {
			if !confirmed[i].Load() {
				t.Errorf("%s is not confirmed as cancelled before the outage", JobID(i))
			}
			// The peers tell the old leader, which stops the tasks while it still holds its lease.
			cluster.WaitForNoTasks(JobID(i), 3*time.Second)
		}
		time.Sleep(75 * time.Second)
		cluster.Store.SetFault(leader, fake.StoreHealthy)
		cluster.Store.SetDown(false)
		cluster.WaitForRunningTasks("req-000006", 2)
	})
}

// The leader is partitioned from the store and its peers, but workers and users still reach it. A job
// is cancelled at the new leader. The old leader no longer answers users, and the tasks of the job end
// within the cancellation grace.
func TestPartitionedLeaderStopsAnsweringUsers(t *testing.T) {
	for _, times := range workerTimesCases {
		t.Run(times.LeaseTTL.String(), func(t *testing.T) {
			Run(t, Options{TaskDuration: longTaskDuration, Workers: times}, func(cluster *Cluster) {
				cluster.MustSubmit("n0", Array(1, 4, "a"))
				cluster.MustSubmit("n0", Service(2, 2, "a"))
				cluster.WaitForRunningTasks(JobID(1), 4)
				cluster.WaitForRunningTasks(JobID(2), 2)
				isolated := cluster.Leader()
				cluster.PartitionFromStore(isolated)
				cluster.PartitionFromPeers(isolated)
				other := cluster.OtherMembers(isolated)[0]
				cluster.WaitForNewLeader(isolated, 30*time.Second)
				cluster.MustCancel(other, JobID(1))
				if response := cluster.GetJob(isolated, JobID(1)); response.JobState() != "" {
					t.Errorf("the partitioned leader answers a read with state %q, want no state", response.JobState())
				}
				cluster.WaitForNoTasks(JobID(1), cluster.options.Workers.CancellationGrace)
				// The new leader knows that the workers' leases have expired, and starts the replicas again.
				time.Sleep(times.LeaseTTL)
				cluster.ReconnectToStore(isolated)
				cluster.ReconnectToPeers(isolated)
				cluster.WaitForState(isolated, JobID(1), wire.JobCancelled, 20*time.Second)
				cluster.WaitForRunningTasks(JobID(2), 2)
			})
		})
	}
}
