package sim

import (
	"context"
	"flag"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// failoverRounds is how many failovers TestReplicaConfirmsTasks runs with replicas and without.
var failoverRounds = flag.Int("take-over-plays", 1, "how many failovers TestReplicaConfirmsTasks plays with replicas and without")

// failoverRecord is what a new leader logged about its rebuilt allocation table.
type failoverRecord struct {
	isReplicaUsed bool
	unconfirmed   int64 // number of unconfirmed tasks
}

// failoverRecorder is a slog.Handler that records failovers from the controllers' logs.
type failoverRecorder struct {
	mu       sync.Mutex
	recorded []failoverRecord
}

func (recorder *failoverRecorder) Enabled(context.Context, slog.Level) bool { return true }
func (recorder *failoverRecorder) WithAttrs([]slog.Attr) slog.Handler       { return recorder }
func (recorder *failoverRecorder) WithGroup(string) slog.Handler            { return recorder }

func (recorder *failoverRecorder) Handle(_ context.Context, record slog.Record) error {
	if record.Message != "allocation table rebuilt" {
		return nil
	}
	var failover failoverRecord
	record.Attrs(func(attr slog.Attr) bool {
		switch attr.Key {
		case "replica_used":
			failover.isReplicaUsed = attr.Value.Bool()
		case "unconfirmed":
			failover.unconfirmed = attr.Value.Int64()
		}
		return true
	})
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.recorded = append(recorder.recorded, failover)
	return nil
}

func (recorder *failoverRecorder) logger() *slog.Logger { return slog.New(recorder) }

// records returns the failovers so far, including the election of the first leader.
func (recorder *failoverRecorder) records() []failoverRecord {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return slices.Clone(recorder.recorded)
}

// last returns whether the last failover used a replica, and the number of failovers so far.
func (recorder *failoverRecorder) last() (replicaUsed bool, count int) {
	all := recorder.records()
	if len(all) == 0 {
		return false, 0
	}
	return all[len(all)-1].isReplicaUsed, len(all)
}

// quotaBoundTasks is how many tasks of a quota-bound job run at a time. It follows from team b's quota.
const quotaBoundTasks = 8

// quotaBoundOptions returns options for jobs that have more tasks than their team's quota allows at a
// time, so that a task can start whenever another one ends. The returned recorder records the failovers.
func quotaBoundOptions(standby bool) (Options, *failoverRecorder) {
	failovers := &failoverRecorder{}
	return Options{Standby: StandbyOptions{Enabled: standby}, TaskDuration: 15 * time.Second, TaskDurationStep: 300 * time.Millisecond, Logger: failovers.logger()}, failovers
}

// runQuotaBoundJob submits job 1 of team b, and waits until as many of its tasks run as the team's
// quota allows.
func (cluster *Cluster) runQuotaBoundJob(tasks int) {
	cluster.t.Helper()
	cluster.MustSubmit("n0", Array(1, tasks, "b"))
	cluster.WaitForRunningTasks(JobID(1), quotaBoundTasks)
}

// runJobWithHangingMachine runs a quota-bound job, and makes one of its two machines hang once all
// starts are confirmed.
func (cluster *Cluster) runJobWithHangingMachine() {
	cluster.t.Helper()
	cluster.runQuotaBoundJob(40)
	time.Sleep(9 * time.Second) // by then every start is confirmed
	cluster.Cloud.SetFault(cluster.MachinesRunning(JobID(1))[0], fake.MachineHanging)
}

// failOverSkipping crashes the leader and waits until the member named next is leader. The third member,
// skipped, is partitioned from the store until then, so that it can't become leader.
func (cluster *Cluster) failOverSkipping(leader, skipped, next string) {
	cluster.t.Helper()
	cluster.Crash(leader)
	cluster.PartitionFromStore(skipped)
	cluster.WaitForLeaderToBe(next, time.Minute)
	cluster.ReconnectToStore(skipped)
}

// waitForNextStart waits until a task starts, and returns how long that took.
func (cluster *Cluster) waitForNextStart(timeout time.Duration) time.Duration {
	startedAt, before := time.Now(), cluster.Cloud.StartCount()
	cluster.WaitFor("a task starts", timeout, func() bool { return cluster.Cloud.StartCount() > before })
	return time.Since(startedAt)
}

// The leader crashes while a machine hangs, so that the machine's tasks can't be confirmed before its
// lease expires. Without a replica, no task of the job starts until then. With one, the tasks that the
// replica shows on no machine start within ten seconds.
func TestReplicaConfirmsTasks(t *testing.T) {
	for i := range *failoverRounds {
		t.Run(strconv.Itoa(i), func(t *testing.T) { compareFailovers(t, time.Duration(i)*700*time.Millisecond) })
	}
}

// compareFailovers runs a failover with replicas and one without. Each task runs longer than usual by
// extraDuration.
func compareFailovers(t *testing.T, extraDuration time.Duration) {
	measureFailover := func(standby bool) (firstStart, jobDone time.Duration) {
		options, failovers := quotaBoundOptions(standby)
		options.TaskDuration += extraDuration
		Run(t, options, func(cluster *Cluster) {
			cluster.runJobWithHangingMachine()
			crashedAt := time.Now()
			cluster.Crash(cluster.Leader())
			firstStart = cluster.waitForNextStart(2 * time.Minute)
			if used, _ := failovers.last(); used != standby {
				t.Errorf("replica used: %v, want a replica used if and only if standby is enabled", used)
			}
			cluster.WaitForState(cluster.Leader(), "req-000001", wire.JobDone, 8*time.Minute)
			jobDone = time.Since(crashedAt).Round(time.Second)
		})
		return firstStart, jobDone
	}
	startWithReplica, doneWithReplica := measureFailover(true)
	if startWithReplica > 10*time.Second+extraDuration {
		t.Errorf("the first start with a replica took %v, want at most 10 s plus the extra duration of tasks", startWithReplica)
	}
	if *standbyInAllTests {
		return
	}
	startWithoutReplica, doneWithoutReplica := measureFailover(false)
	t.Logf("from the leader's crash to the first start and to the job's end: %v and %v with a replica, %v and %v without a replica", startWithReplica, doneWithReplica, startWithoutReplica, doneWithoutReplica)
	if startWithoutReplica < 20*time.Second {
		t.Errorf("the first start without a replica took %v, want at least 20 s, since tasks should be unconfirmed", startWithoutReplica)
	}
}

// A follower that is partitioned from the leader lacks starts. The record of the in-sync members does
// not name it, so that it takes over without using its replica.
func TestIncompleteReplicaIsNotUsed(t *testing.T) {
	options, failovers := quotaBoundOptions(true)
	Run(t, options, func(cluster *Cluster) {
		cluster.runQuotaBoundJob(40)
		time.Sleep(6 * time.Second)
		leader := cluster.Leader()
		cluster.PartitionFromPeers(leader)
		cluster.waitForNextStart(30 * time.Second)         // no follower learns of this start
		cluster.SetFaultOnAllMachines(fake.MachineHanging) // no heartbeat reports the start either
		time.Sleep(time.Second)
		cluster.Crash(leader)
		cluster.WaitForLeader(30 * time.Second)
		if used, count := failovers.last(); used || count != 2 {
			t.Errorf("replica used: %v, in failover %d; want failover 2 without a replica", used, count)
		}
		time.Sleep(20 * time.Second)
		cluster.WaitForState(cluster.Leader(), "req-000001", wire.JobDone, 5*time.Minute)
	})
}

// A start waits for an in-sync follower that is unresponsive, but no longer than half a second plus the
// write that records the follower as out of sync.
func TestUnresponsiveFollowerDelaysStartsBriefly(t *testing.T) {
	options, _ := quotaBoundOptions(true)
	Run(t, options, func(cluster *Cluster) {
		cluster.MustRun("n0", Array(1, 2, "a"))
		time.Sleep(6 * time.Second)
		leader := cluster.Leader()
		cluster.PartitionFromPeers(cluster.OtherMembers(leader)[0])
		cluster.MustSubmit(leader, Array(2, 2, "a"))
		if took := cluster.waitForNextStart(30 * time.Second); took > 3*time.Second {
			t.Errorf("the start took %v, want at most 3 s", took)
		}
	})
}

// A member that keeps no replica leads between two others. The record of in-sync members may still name
// a follower of the first leader, but that follower's replica lacks what was started since.
func TestReplicaOfEarlierTermIsNotUsed(t *testing.T) {
	options, failovers := quotaBoundOptions(true)
	options.Standby.ExcludedMembers = []string{"n2"}
	Run(t, options, func(cluster *Cluster) {
		cluster.makeLeader("n0")
		cluster.runQuotaBoundJob(40)
		time.Sleep(6 * time.Second)
		cluster.failOverSkipping("n0", "n1", "n2")
		time.Sleep(40 * time.Second)
		cluster.SetFaultOnAllMachines(fake.MachineHanging)
		cluster.Crash("n2")
		cluster.WaitForLeaderToBe("n1", time.Minute)
		if used, _ := failovers.last(); used {
			t.Error("the new leader used a replica from before the previous leader's term, want no replica used")
		}
		time.Sleep(time.Minute)
		cluster.WaitForState("n1", "req-000001", wire.JobDone, 5*time.Minute)
	})
}

// A leader takes over from one that kept no replicas, so that all its tasks are unconfirmed, and crashes
// before they are confirmed. The next leader uses its replica, in which the tasks are unconfirmed too,
// and starts none of them while they are unconfirmed.
func TestLeaderCrashesWithUnconfirmedTasks(t *testing.T) {
	options, failovers := quotaBoundOptions(true)
	options.Standby.ExcludedMembers = []string{"n0"}
	Run(t, options, func(cluster *Cluster) {
		cluster.makeLeader("n0")
		cluster.runJobWithHangingMachine()
		cluster.Crash("n0")
		cluster.WaitForLeader(time.Minute)
		time.Sleep(4 * time.Second)
		cluster.Crash(cluster.Leader())
		cluster.WaitForLeader(time.Minute)
		all := failovers.records()
		last, previous := all[len(all)-1], all[len(all)-2]
		// Some of the eight tasks that ran may be recorded as done by now.
		if !last.isReplicaUsed || previous.isReplicaUsed || last.unconfirmed > previous.unconfirmed || last.unconfirmed < previous.unconfirmed-8 {
			t.Errorf("got a last failover of %+v after %+v; want only the last one to use a replica, with 0 to 8 fewer unconfirmed tasks", last, previous)
		}
		time.Sleep(20 * time.Second)
		cluster.WaitForState(cluster.Leader(), "req-000001", wire.JobDone, 6*time.Minute)
	})
}

// makeLeader restarts leaders until the named controller is leader, at most 20 times.
func (cluster *Cluster) makeLeader(name string) {
	for range 20 {
		leader := cluster.Leader()
		if leader == name {
			return
		}
		if leader != "" {
			cluster.Restart(leader, 2*time.Second)
		}
		cluster.WaitForLeader(30 * time.Second)
	}
	cluster.t.Fatalf("%s does not become leader", name)
}

// The leader restarts again and again, also soon after a failover, while jobs are submitted. All jobs
// get done, and at least one failover uses a replica.
func TestRepeatedFailoversWithReplicas(t *testing.T) {
	failovers := &failoverRecorder{}
	Run(t, Options{Standby: StandbyOptions{Enabled: true}, TaskDuration: 12 * time.Second, TaskDurationStep: 200 * time.Millisecond, Logger: failovers.logger()}, func(cluster *Cluster) {
		for i := range 12 {
			cluster.MustSubmit(cluster.Members()[i%3], Array(i+1, 6, []string{"a", "b"}[i%2]))
			time.Sleep([]time.Duration{300 * time.Millisecond, 4 * time.Second, 20 * time.Second}[i%3])
			if leader := cluster.Leader(); leader != "" {
				cluster.Restart(leader, time.Second)
			}
		}
		for i := range 12 {
			cluster.WaitForState("n1", Array(i+1, 1, "a").ID, wire.JobDone, 3*time.Minute)
		}
		if !slices.ContainsFunc(failovers.records(), func(failover failoverRecord) bool { return failover.isReplicaUsed }) {
			t.Error("no failover used a replica, want at least one")
		}
	})
}
