package sim

import (
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// A follower is partitioned from the leader, so that its replica lags, and also from the store when the
// leader crashes. The follower decides nothing and delays no other member. After it is reconnected it
// follows the new leader, which records its replica as in sync. When the new leader crashes, the follower
// takes over with that replica.
func TestFollowerPartitionedFromStoreAtLeaderCrash(t *testing.T) {
	options, failovers := quotaBoundOptions(true)
	Run(t, options, func(cluster *Cluster) {
		cluster.runQuotaBoundJob(60)
		time.Sleep(6 * time.Second)
		leader := cluster.Leader()
		isolated := cluster.nextMember(leader)
		other := cluster.nextMember(isolated)
		cluster.PartitionFromPeers(isolated)
		cluster.waitForNextStart(30 * time.Second)
		cluster.PartitionFromStore(isolated)
		cluster.Crash(leader)
		cluster.WaitForLeaderToBe(other, 12*time.Second)
		cluster.waitForNextStart(90 * time.Second)
		cluster.ReconnectToPeers(isolated)
		time.Sleep(5 * time.Second)
		if cluster.Leader() != other {
			t.Errorf("%s is leader, want the other follower, since %s is partitioned from the store", cluster.Leader(), isolated)
		}
		cluster.ReconnectToStore(isolated)
		time.Sleep(20 * time.Second)
		cluster.Crash(other)
		cluster.WaitForLeaderToBe(isolated, 12*time.Second)
		if used, _ := failovers.last(); !used {
			t.Errorf("%s took over without its replica, want the replica to be used", isolated)
		}
		cluster.WaitForState(isolated, "req-000001", wire.JobDone, 6*time.Minute)
	})
}

// The leader and a follower crash together during a store outage. After the outage the remaining follower
// becomes leader, and the job gets done.
func TestTwoMembersCrashInStoreOutage(t *testing.T) {
	options, _ := quotaBoundOptions(true)
	Run(t, options, func(cluster *Cluster) {
		cluster.runQuotaBoundJob(40)
		time.Sleep(8 * time.Second)
		leader := cluster.Leader()
		cluster.Store.SetDown(true)
		time.Sleep(time.Second)
		cluster.Crash(leader)
		cluster.Crash(cluster.OtherMembers(leader)[0])
		time.Sleep(2 * time.Second) // the leader lease has not expired when the store is back
		cluster.Store.SetDown(false)
		remaining := cluster.OtherMembers(leader)[1]
		cluster.WaitForLeaderToBe(remaining, 15*time.Second)
		time.Sleep(5 * time.Second)
		cluster.Start(leader)
		cluster.Start(cluster.OtherMembers(leader)[0])
		cluster.WaitForState(remaining, "req-000001", wire.JobDone, 6*time.Minute)
	})
}

// The leader restarts five times in two minutes while one machine after another hangs. Two members
// keep replicas and one keeps none. All jobs get done.
func TestFailoversWithOneMemberWithoutReplica(t *testing.T) {
	options, _ := quotaBoundOptions(true)
	options.Standby.ExcludedMembers = []string{"n1"}
	Run(t, options, func(cluster *Cluster) {
		cluster.MustSubmit("n0", Array(1, 60, "b"))
		cluster.MustSubmit("n0", Array(2, 20, "a"))
		cluster.WaitForRunningTasks("req-000001", 8)
		for i := range 5 {
			hanging := cluster.Cloud.MachineNames()[i%2]
			cluster.Cloud.SetFault(hanging, fake.MachineHanging)
			if leader := cluster.Leader(); leader != "" {
				cluster.Restart(leader, time.Second)
			}
			time.Sleep(20 * time.Second)
			cluster.Cloud.SetFault(hanging, fake.MachineHealthy)
		}
		cluster.WaitForState("n0", "req-000001", wire.JobDone, 8*time.Minute)
		cluster.WaitForState("n2", "req-000002", wire.JobDone, 8*time.Minute)
	})
}

// Of two followers, only one is in sync with the leader. It becomes the next leader even though the
// other one is as quick.
func TestOutOfSyncFollowerYields(t *testing.T) {
	options, _ := quotaBoundOptions(true)
	Run(t, options, func(cluster *Cluster) {
		for round := range 6 {
			cluster.WaitForLeader(30 * time.Second)
			leader := cluster.Leader()
			outOfSync, inSync := cluster.OtherMembers(leader)[0], cluster.OtherMembers(leader)[1]
			time.Sleep(10 * time.Second)
			cluster.Network.Partition("out of sync", fake.LinkBetween(leader, outOfSync))
			cluster.MustSubmit(inSync, Array(round+1, 2, "a")) // the other follower lacks it
			time.Sleep(15 * time.Second)
			cluster.Crash(leader)
			cluster.WaitForLeader(15 * time.Second)
			if cluster.Leader() != inSync {
				t.Errorf("%s is leader, which was out of sync; want the follower that was in sync", cluster.Leader())
			}
			cluster.Network.Heal("out of sync")
			cluster.Start(leader)
		}
	})
}

// The allocation table is larger than one message. A follower crashes twice, each time while it
// receives a snapshot of the table. Then the leader crashes while the follower receives another one.
// No running task is lost, and a job that is submitted afterwards runs.
func TestFollowersCrashDuringSnapshot(t *testing.T) {
	const machines = 160
	options := fleetOptions(machines)
	options.Standby.Enabled = true
	failovers := &failoverRecorder{}
	options.Logger = failovers.logger()
	Run(t, options, func(cluster *Cluster) {
		cluster.MustSubmit("n0", Array(1, machines*4, "a"))
		cluster.WaitFor("all tasks run", 3*time.Minute, func() bool { return cluster.Cloud.RunningTaskCount() == machines*4 })
		time.Sleep(15 * time.Second)
		leader := cluster.Leader()
		follower := cluster.OtherMembers(leader)[0]
		for _, delay := range []time.Duration{1100 * time.Millisecond, 1005 * time.Millisecond} {
			cluster.Restart(follower, time.Second)
			time.Sleep(delay)
		}
		cluster.Restart(follower, time.Second)
		time.Sleep(1050 * time.Millisecond)
		cluster.Restart(leader, 10*time.Second)
		cluster.WaitForLeader(15 * time.Second)
		cluster.MustRun("n0", Array(2, 4, "a"))
		if running := cluster.Cloud.RunningTaskCount(); running != machines*4+4 {
			t.Errorf("got %d running tasks, want %d", running, machines*4+4)
		}
	})
}

// The leader is back at once after its crash, but without its allocation table. A follower with a
// replica becomes leader although the restarted leader would be quicker.
func TestRestartedLeaderYields(t *testing.T) {
	options, failovers := quotaBoundOptions(true)
	Run(t, options, func(cluster *Cluster) {
		cluster.runQuotaBoundJob(60)
		for range 4 {
			time.Sleep(15 * time.Second)
			_, before := failovers.last()
			leader := cluster.Leader()
			for _, other := range cluster.OtherMembers(leader) {
				cluster.Network.SetExtraLatency(other, 12*time.Millisecond) // without yielding, the restarted leader would be quicker
			}
			cluster.Network.SetExtraLatency(leader, 0)
			cluster.Crash(leader)
			cluster.Start(leader)
			cluster.WaitFor("a failover", 15*time.Second, func() bool { _, count := failovers.last(); return count > before })
			if used, _ := failovers.last(); !used {
				t.Error("the new leader used no replica, want a follower with a replica to become leader")
			}
		}
		cluster.WaitForState("n0", "req-000001", wire.JobDone, 6*time.Minute)
	})
}

// An in-sync follower becomes unresponsive when the store goes down, so that the leader can't record the
// follower as out of sync. Starts wait for the follower until the leader lease ends, and would have to
// stop then in any case. When the store is back, tasks start again.
func TestUnresponsiveFollowerInStoreOutage(t *testing.T) {
	measureStarts := func(isUnresponsive bool) (starts int, resumedAfter time.Duration) {
		options, _ := quotaBoundOptions(true)
		options.TaskDuration, options.TaskDurationStep = 3*time.Second, 100*time.Millisecond
		Run(t, options, func(cluster *Cluster) {
			cluster.runQuotaBoundJob(200)
			time.Sleep(6 * time.Second)
			if isUnresponsive {
				cluster.PartitionFromPeers(cluster.OtherMembers(cluster.Leader())[0])
			}
			cluster.Store.SetDown(true)
			before := cluster.Cloud.StartCount()
			time.Sleep(12 * time.Second)
			starts = cluster.Cloud.StartCount() - before
			cluster.Store.SetDown(false)
			resumedAfter = cluster.waitForNextStart(20 * time.Second)
		})
		return starts, resumedAfter
	}
	startsUnresponsive, resumedAfterUnresponsive := measureStarts(true)
	starts, resumedAfter := measureStarts(false)
	t.Logf("starts in a 12 s outage: %d with an unresponsive follower, %d without; first start after the outage: %v with, %v without", startsUnresponsive, starts, resumedAfterUnresponsive, resumedAfter)
	if resumedAfterUnresponsive > resumedAfter+3*time.Second {
		t.Errorf("starts resume %v after the outage with an unresponsive follower, %v without; want at most 3 s more", resumedAfterUnresponsive, resumedAfter)
	}
}
