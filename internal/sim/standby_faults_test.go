package sim

import (
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// A follower lags, and loses its way to the state service just as the leader dies: it
// decides nothing and holds nobody up. Once the way is back it follows the new leader, and
// when that dies takes over with a replica which that one has vouched for.
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
			t.Errorf("%s leads without the state service", cluster.Leader())
		}
		cluster.ReconnectToStore(isolated)
		time.Sleep(20 * time.Second)
		cluster.Crash(other)
		cluster.WaitForLeaderToBe(isolated, 12*time.Second)
		if used, _ := failovers.last(); !used {
			t.Error("it has not proved its replica")
		}
		cluster.WaitForState(isolated, "req-000001", wire.JobDone, 6*time.Minute)
	})
}

// The leader and a follower die at once, and the state service is down meanwhile.
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
		time.Sleep(2 * time.Second) // the lock is alive when the service is back
		cluster.Store.SetDown(false)
		last := cluster.OtherMembers(leader)[1]
		cluster.WaitForLeaderToBe(last, 15*time.Second)
		time.Sleep(5 * time.Second)
		cluster.Start(leader)
		cluster.Start(cluster.OtherMembers(leader)[0])
		cluster.WaitForState(last, "req-000001", wire.JobDone, 6*time.Minute)
	})
}

// The lead passes five times in two minutes between versions that keep replicas and one
// that keeps none, while a machine hangs now and then.
func TestFailoversBetweenVersions(t *testing.T) {
	options, _ := quotaBoundOptions(true)
	options.Standby.ExceptFor = []string{"n1"}
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

// Of two followers the one in step gets the lead, also where the other is as quick.
func TestOutOfSyncFollowerYields(t *testing.T) {
	options, _ := quotaBoundOptions(true)
	Run(t, options, func(cluster *Cluster) {
		for round := range 6 {
			cluster.WaitForLeader(30 * time.Second)
			leader := cluster.Leader()
			outOfSync, inSync := cluster.OtherMembers(leader)[0], cluster.OtherMembers(leader)[1]
			time.Sleep(10 * time.Second)
			cluster.Network.Partition("two", fake.LinkBetween(leader, outOfSync))
			cluster.MustSubmit(inSync, Array(round+1, 2, "a")) // what the other one lacks
			time.Sleep(15 * time.Second)
			cluster.Crash(leader)
			cluster.WaitForLeader(15 * time.Second)
			if cluster.Leader() != inSync {
				t.Errorf("%s leads, which was out of step", cluster.Leader())
			}
			cluster.Network.Heal("two")
			cluster.Start(leader)
		}
	})
}

// The account is larger than a message. A follower dies while it takes a snapshot, and
// again; then the leader dies while another takes one.
func TestFollowersCrashDuringSnapshot(t *testing.T) {
	const machines = 160
	options := fleetOptions(machines)
	options.Standby.Enabled = true
	failovers := &failoverRecorder{}
	options.Logger = failovers.logger()
	Run(t, options, func(cluster *Cluster) {
		cluster.MustSubmit("n0", Array(1, machines*4, "a"))
		cluster.WaitFor("all run", 3*time.Minute, func() bool { return cluster.Cloud.RunningTaskCount() == machines*4 })
		time.Sleep(15 * time.Second)
		leader := cluster.Leader()
		follower := cluster.OtherMembers(leader)[0]
		for _, after := range []time.Duration{1100 * time.Millisecond, 1005 * time.Millisecond} {
			cluster.Restart(follower, time.Second)
			time.Sleep(after)
		}
		cluster.Restart(follower, time.Second)
		time.Sleep(1050 * time.Millisecond)
		cluster.Restart(leader, 10*time.Second)
		cluster.WaitForLeader(15 * time.Second)
		cluster.MustRun("n0", Array(2, 4, "a"))
		if running := cluster.Cloud.RunningTaskCount(); running != machines*4+4 {
			t.Errorf("%d tasks run", running)
		}
	})
}

// The leader is back within a moment of its crash, without what it knew: the follower that
// stands by gets the lead all the same.
func TestRestartedLeaderYields(t *testing.T) {
	options, failovers := quotaBoundOptions(true)
	Run(t, options, func(cluster *Cluster) {
		cluster.runQuotaBoundJob(60)
		for range 4 {
			time.Sleep(15 * time.Second)
			_, before := failovers.last()
			leader := cluster.Leader()
			for _, other := range cluster.OtherMembers(leader) {
				cluster.Network.SetExtraLatency(other, 12*time.Millisecond) // it would be the quicker one
			}
			cluster.Network.SetExtraLatency(leader, 0)
			cluster.Crash(leader)
			cluster.Start(leader)
			cluster.WaitFor("somebody takes over", 15*time.Second, func() bool { _, count := failovers.last(); return count > before })
			if used, _ := failovers.last(); !used {
				t.Error("no replica was used")
			}
		}
		cluster.WaitForState("n0", "req-000001", wire.JobDone, 6*time.Minute)
	})
}

// A follower in step falls silent as the state service goes down, so that it can't be left
// out: starts wait for it until the lock ends, as they would a little later anyway. With
// the service back, they go on.
func TestUnresponsiveFollowerInStoreOutage(t *testing.T) {
	run := func(isSilent bool) (starts int, after time.Duration) {
		options, _ := quotaBoundOptions(true)
		options.TaskDuration, options.TaskDurationStep = 3*time.Second, 100*time.Millisecond
		Run(t, options, func(cluster *Cluster) {
			cluster.runQuotaBoundJob(200)
			time.Sleep(6 * time.Second)
			if isSilent {
				cluster.PartitionFromPeers(cluster.OtherMembers(cluster.Leader())[0])
			}
			cluster.Store.SetDown(true)
			before := cluster.Cloud.StartCount()
			time.Sleep(12 * time.Second)
			starts = cluster.Cloud.StartCount() - before
			cluster.Store.SetDown(false)
			after = cluster.waitForNextStart(20 * time.Second)
		})
		return starts, after
	}
	silent, afterSilent := run(true)
	all, after := run(false)
	t.Logf("starts in an outage of 12 s: %d with a silent follower, %d without; the first one after it: %v, %v", silent, all, afterSilent, after)
	if afterSilent > after+3*time.Second {
		t.Errorf("starts go on %v after the outage, %v without a silent follower", afterSilent, after)
	}
}
