package sim

import (
	"flag"
	"slices"
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// secondFailoverRounds is how many times TestSecondLeaderCrash runs its failovers.
var secondFailoverRounds = flag.Int("second-deaths", 1, "how many times TestSecondLeaderCrash crashes a leader that still has unconfirmed tasks")

// failOver crashes the leader, starts it again a second later, waits until another member is leader,
// and returns the new leader's name.
func (cluster *Cluster) failOver() string {
	cluster.t.Helper()
	previous := cluster.Leader()
	cluster.Restart(previous, time.Second)
	cluster.WaitForNewLeader(previous, 15*time.Second)
	return cluster.Leader()
}

// A leader crashes while a machine hangs. The next leader crashes three seconds after its failover,
// while that machine's tasks are unconfirmed. This adds no unconfirmed tasks for the third leader, so
// that the job's next tasks start when tasks elsewhere end.
func TestSecondLeaderCrash(t *testing.T) {
	var durations []time.Duration
	for i := range *secondFailoverRounds {
		options, failovers := quotaBoundOptions(true)
		options.TaskDuration += time.Duration(i) * 700 * time.Millisecond
		Run(t, options, func(cluster *Cluster) {
			cluster.runJobWithHangingMachine()
			cluster.failOver()
			time.Sleep(3 * time.Second)
			cluster.Crash(cluster.Leader())
			firstStart := cluster.waitForNextStart(2 * time.Minute)
			durations = append(durations, firstStart.Round(100*time.Millisecond))
			if replicaUsed, _ := failovers.last(); !replicaUsed {
				t.Error("the third leader used no replica")
			}
			if maxWait := 10*time.Second + options.TaskDuration - 15*time.Second; firstStart > maxWait {
				t.Errorf("the first start took %v, want at most 10 s plus the extra duration of tasks", firstStart)
			}
			cluster.WaitForState(cluster.Leader(), "req-000001", wire.JobDone, 8*time.Minute)
		})
	}
	slices.Sort(durations)
	t.Logf("from the second crash to the first start: %v", durations)
}

// Five leaders restart in a row, each while tasks are unconfirmed because a machine hangs, or loses
// commands or heartbeats. Finally the machine is back in a new incarnation. All new leaders use their
// replicas, and have no more unconfirmed tasks than may be running.
func TestSuccessiveFailoversWithUnconfirmedTasks(t *testing.T) {
	for _, fault := range []fake.MachineFault{fake.MachineHanging, fake.MachineCommandsLost, fake.MachineHeartbeatsLost} {
		t.Run(fault.String(), func(t *testing.T) {
			options, failovers := quotaBoundOptions(true)
			Run(t, options, func(cluster *Cluster) {
				cluster.runQuotaBoundJob(60)
				time.Sleep(9 * time.Second)
				faulty := cluster.MachinesRunning("req-000001")[0]
				cluster.Cloud.SetFault(faulty, fault)
				for range 5 {
					cluster.failOver()
					time.Sleep(3 * time.Second)
				}
				// Eight tasks run at a time, and the ends of eight more may not be durable yet.
				cluster.checkReplicasUsed(failovers.records()[1:], 16)
				time.Sleep(20 * time.Second) // the worker's lease expires, and its incarnation ends
				cluster.Cloud.SetFault(faulty, fake.MachineHealthy)
				cluster.failOver()
				cluster.WaitForState(cluster.Leader(), "req-000001", wire.JobDone, 8*time.Minute)
			})
		})
	}
}

// checkReplicasUsed checks that each failover used a replica and left at most maxUnconfirmed tasks
// unconfirmed.
func (cluster *Cluster) checkReplicasUsed(failovers []failoverRecord, maxUnconfirmed int64) {
	cluster.t.Helper()
	for i, failover := range failovers {
		if !failover.isReplicaUsed || failover.unconfirmed > maxUnconfirmed {
			cluster.t.Errorf("failover %d: got %+v, want a replica used and at most %d unconfirmed tasks", i, failover, maxUnconfirmed)
		}
	}
}

// Leaders restart one after another while jobs are cancelled and jobs wait for dependencies. Copies of
// heartbeats from two leaders ago reach the newest leader. Every new leader uses its replica, cancelled
// jobs stop, and the other jobs get done.
func TestSuccessiveFailoversWithStaleHeartbeats(t *testing.T) {
	options, failovers := quotaBoundOptions(true)
	Run(t, options, func(cluster *Cluster) {
		cluster.runJobWithHangingMachine()
		var heartbeatCopies [][][]byte
		for i := range 5 {
			dependency, dependent, cancelled := Array(10*i+2, 2, "a"), Array(10*i+3, 2, "a"), Array(10*i+4, 30, "a")
			dependent.DependsOn = []string{dependency.ID}
			for _, job := range []*wire.Job{dependency, dependent, cancelled} {
				cluster.MustSubmit(cluster.Leader(), job)
			}
			heartbeatCopies = append(heartbeatCopies, cluster.Cloud.LastHeartbeats())
			leader := cluster.failOver()
			go cluster.MustCancel(cluster.OtherMembers(leader)[0], cancelled.ID)
			time.Sleep(time.Second)
			if i >= 2 {
				cluster.ReplayHeartbeats(heartbeatCopies[i-2])
			}
			time.Sleep(2 * time.Second)
		}
		cluster.checkReplicasUsed(failovers.records()[1:], 100)
		for i := range 5 {
			cluster.WaitForState("n1", Array(10*i+3, 2, "a").ID, wire.JobDone, 3*time.Minute)
			cancelled := Array(10*i+4, 30, "a").ID
			cluster.WaitForNoTasks(cancelled, time.Minute)
		}
		cluster.WaitForState(cluster.Leader(), "req-000001", wire.JobDone, 8*time.Minute)
	})
}

// A member that keeps no replica leads in the middle of a series of failovers. The leader after it begins
// with all tasks unconfirmed, and the one after that uses its replica again.
func TestSuccessiveFailoversThroughLeaderWithoutReplica(t *testing.T) {
	options, failovers := quotaBoundOptions(true)
	options.Standby.ExcludedMembers = []string{"n2"}
	Run(t, options, func(cluster *Cluster) {
		cluster.makeLeader("n0")
		cluster.runJobWithHangingMachine()
		cluster.failOverSkipping("n0", "n1", "n2")
		cluster.Start("n0")
		time.Sleep(3 * time.Second)
		cluster.Crash("n2")
		cluster.WaitForLeader(time.Minute)
		if used, _ := failovers.last(); used {
			t.Error("the new leader used a replica from before n2 was leader, want no replica used")
		}
		time.Sleep(3 * time.Second)
		cluster.failOver()
		if used, _ := failovers.last(); !used {
			t.Error("the second leader after n2 used no replica, want its replica used")
		}
		cluster.Start("n2")
		cluster.WaitForState(cluster.Leader(), "req-000001", wire.JobDone, 8*time.Minute)
	})
}
