package sim

import (
	"flag"
	"slices"
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// secondFailoverRounds is how many times a second death is played.
var secondFailoverRounds = flag.Int("second-deaths", 1, "how many times a leader ends before its own doubt has")

// failOver ends the leader, has it come back a second later, and waits until another
// one leads and others stand by.
func (cluster *Cluster) failOver() string {
	cluster.t.Helper()
	before := cluster.Leader()
	cluster.Restart(before, time.Second)
	cluster.WaitForNewLeader(before, 15*time.Second)
	return cluster.Leader()
}

// A leader ends while a machine hangs, and the next one three seconds after it took over,
// in doubt of what is on that machine. The third one's doubt is no more than that, so that
// what is owed a start begins when tasks elsewhere end.
func TestSecondLeaderCrash(t *testing.T) {
	var durations []time.Duration
	for i := range *secondFailoverRounds {
		options, failovers := quotaBoundOptions(true)
		options.TaskDuration += time.Duration(i) * 700 * time.Millisecond
		Run(t, options, func(cluster *Cluster) {
			cluster.hangOneMachine()
			cluster.failOver()
			time.Sleep(3 * time.Second)
			cluster.Crash(cluster.Leader())
			first := cluster.waitForNextStart(2 * time.Minute)
			durations = append(durations, first.Round(100*time.Millisecond))
			if replicaUsed, _ := failovers.last(); !replicaUsed {
				t.Error("the third leader had no replica that it could use")
			}
			if longest := 10*time.Second + options.TaskDuration - 15*time.Second; first > longest {
				t.Errorf("the first start took %v", first)
			}
			cluster.WaitForState(cluster.Leader(), "req-000001", wire.JobDone, 8*time.Minute)
		})
	}
	slices.Sort(durations)
	t.Logf("from the second death to the first start owed: %v", durations)
}

// Five leaders end in a row, each before its doubt has: a machine hangs, can't be told
// anything or can't tell, or is back in a new session in between. All use their replicas,
// and are in doubt of no more than what runs.
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
				// Eight run at a time, and of eight the end may not be durable yet.
				cluster.checkReplicasUsed(failovers.records()[1:], 16)
				time.Sleep(20 * time.Second) // its lease ends, and with it its session
				cluster.Cloud.SetFault(faulty, fake.MachineHealthy)
				cluster.failOver()
				cluster.WaitForState(cluster.Leader(), "req-000001", wire.JobDone, 8*time.Minute)
			})
		})
	}
}

// checkReplicasUsed checks that take-overs used their replicas, and how many tasks were in
// doubt at most.
func (cluster *Cluster) checkReplicasUsed(failovers []failoverRecord, maxUnconfirmed int64) {
	cluster.t.Helper()
	for i, failover := range failovers {
		if !failover.isReplicaUsed || failover.unconfirmed > maxUnconfirmed {
			cluster.t.Errorf("take-over %d: %+v", i, failover)
		}
	}
}

// Leaders end one after another while jobs are cancelled, jobs wait for others, and copies
// of reports from two leaders ago reach the newest one.
func TestSuccessiveFailoversWithStaleHeartbeats(t *testing.T) {
	options, failovers := quotaBoundOptions(true)
	Run(t, options, func(cluster *Cluster) {
		cluster.hangOneMachine()
		var copies [][][]byte
		for i := range 5 {
			first, after, cancelled := Array(10*i+2, 2, "a"), Array(10*i+3, 2, "a"), Array(10*i+4, 30, "a")
			after.DependsOn = []string{first.ID}
			for _, job := range []*wire.Job{first, after, cancelled} {
				cluster.MustSubmit(cluster.Leader(), job)
			}
			copies = append(copies, cluster.Cloud.LastHeartbeats())
			leader := cluster.failOver()
			go cluster.MustCancel(cluster.OtherMembers(leader)[0], cancelled.ID)
			time.Sleep(time.Second)
			if i >= 2 {
				cluster.ReplayHeartbeats(copies[i-2])
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

// A controller that keeps no replicas leads in the middle of a chain: the one after it
// begins with everything in doubt, and the chain goes on from there.
func TestSuccessiveFailoversThroughLeaderWithoutReplica(t *testing.T) {
	options, failovers := quotaBoundOptions(true)
	options.Standby.ExceptFor = []string{"n2"}
	Run(t, options, func(cluster *Cluster) {
		cluster.makeLeader("n0")
		cluster.hangOneMachine()
		cluster.failOverPast("n0", "n1", "n2")
		cluster.Start("n0")
		time.Sleep(3 * time.Second)
		cluster.Crash("n2")
		cluster.WaitForLeader(time.Minute)
		if used, _ := failovers.last(); used {
			t.Error("a replica of before n2 led was used")
		}
		time.Sleep(3 * time.Second)
		cluster.failOver()
		if used, _ := failovers.last(); !used {
			t.Error("the chain does not go on")
		}
		cluster.Start("n2")
		cluster.WaitForState(cluster.Leader(), "req-000001", wire.JobDone, 8*time.Minute)
	})
}
