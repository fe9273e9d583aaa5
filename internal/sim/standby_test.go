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

// failoverRounds is how many take-overs are compared with and without replicas.
var failoverRounds = flag.Int("take-over-plays", 1, "how many take-overs are played with replicas and without")

// failoverRecord is what a new leader began with.
type failoverRecord struct {
	isReplicaUsed bool
	unconfirmed   int64 // tasks
}

// failoverRecorder notes take-overs from the log.
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

// records are the take-overs so far.
func (recorder *failoverRecorder) records() []failoverRecord {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return slices.Clone(recorder.recorded)
}

// last tells whether the last take-over used its replica, and how many there were.
func (recorder *failoverRecorder) last() (replicaUsed bool, count int) {
	all := recorder.records()
	if len(all) == 0 {
		return false, 0
	}
	return all[len(all)-1].isReplicaUsed, len(all)
}

// quotaBoundTasks is how many tasks of a quota-bound job run at a time: team b's quota.
const quotaBoundTasks = 8

// quotaBoundOptions is a deployment for jobs that have more tasks than their team's quota allows
// at a time, so that each end of a task allows a start. Failovers are recorded.
func quotaBoundOptions(standby bool) (Options, *failoverRecorder) {
	failovers := &failoverRecorder{}
	return Options{Standby: StandbyOptions{Enabled: standby}, TaskDuration: 15 * time.Second, TaskDurationStep: 300 * time.Millisecond, Logger: failovers.logger()}, failovers
}

// runQuotaBoundJob submits job 1 of team b and waits until as many of its tasks run as the quota
// allows.
func (cluster *Cluster) runQuotaBoundJob(tasks int) {
	cluster.t.Helper()
	cluster.MustSubmit("n0", Array(1, tasks, "b"))
	cluster.WaitForRunningTasks(JobID(1), quotaBoundTasks)
}

// hangOneMachine runs a quota-bound job, and has one of its two machines hang once every start is
// confirmed.
func (cluster *Cluster) hangOneMachine() {
	cluster.t.Helper()
	cluster.runQuotaBoundJob(40)
	time.Sleep(9 * time.Second) // by then every start is confirmed
	cluster.Cloud.SetFault(cluster.MachinesRunning(JobID(1))[0], fake.MachineHanging)
}

// failOverPast crashes the leader and has the next member become leader though another one stands
// by: that one is partitioned from the store meanwhile.
func (cluster *Cluster) failOverPast(leader, passedOver, next string) {
	cluster.t.Helper()
	cluster.Crash(leader)
	cluster.PartitionFromStore(passedOver)
	cluster.WaitForLeaderToBe(next, time.Minute)
	cluster.ReconnectToStore(passedOver)
}

// waitForNextStart tells how long after now the next task starts.
func (cluster *Cluster) waitForNextStart(timeout time.Duration) time.Duration {
	began, before := time.Now(), cluster.Cloud.StartCount()
	cluster.WaitFor("a task starts", timeout, func() bool { return cluster.Cloud.StartCount() > before })
	return time.Since(began)
}

// The leader ends while a machine hangs, so that its tasks can't be accounted for before
// its lease ends. Without a replica no task of the job starts until then; with one, those
// that the replica has nowhere do, within ten seconds.
func TestReplicaConfirmsTasks(t *testing.T) {
	for i := range *failoverRounds {
		t.Run(strconv.Itoa(i), func(t *testing.T) { compareFailover(t, time.Duration(i)*700*time.Millisecond) })
	}
}

// compareFailover plays a take-over with replicas and without, where tasks run longer by
// some time.
func compareFailover(t *testing.T, longer time.Duration) {
	after := func(standby bool) (first, done time.Duration) {
		options, failovers := quotaBoundOptions(standby)
		options.TaskDuration += longer
		Run(t, options, func(cluster *Cluster) {
			cluster.hangOneMachine()
			killed := time.Now()
			cluster.Crash(cluster.Leader())
			first = cluster.waitForNextStart(2 * time.Minute)
			if used, _ := failovers.last(); used != standby {
				t.Errorf("replica used: %v", used)
			}
			cluster.WaitForState(cluster.Leader(), "req-000001", wire.JobDone, 8*time.Minute)
			done = time.Since(killed).Round(time.Second)
		})
		return first, done
	}
	with, doneWith := after(true)
	if with > 10*time.Second+longer {
		t.Errorf("with a replica the first start took %v", with)
	}
	if *standbyInAllTests {
		return
	}
	without, doneWithout := after(false)
	t.Logf("from the leader's end to the first start and the job's: %v and %v with a replica, %v and %v without", with, doneWith, without, doneWithout)
	if without < 20*time.Second {
		t.Errorf("without a replica it took %v: the test causes no doubt", without)
	}
}

// A follower that was cut off from the leader for a while lacks starts. It is left out of
// the record of those in step, and takes over by the slower way.
func TestIncompleteReplicaIsNotUsed(t *testing.T) {
	options, failovers := quotaBoundOptions(true)
	Run(t, options, func(cluster *Cluster) {
		cluster.runQuotaBoundJob(40)
		time.Sleep(6 * time.Second)
		leader := cluster.Leader()
		cluster.PartitionFromPeers(leader)
		cluster.waitForNextStart(30 * time.Second)         // what is told to nobody
		cluster.SetFaultOnAllMachines(fake.MachineHanging) // nobody can tell of it
		time.Sleep(time.Second)
		cluster.Crash(leader)
		cluster.WaitForLeader(30 * time.Second)
		if used, count := failovers.last(); used || count != 2 {
			t.Errorf("replica used: %v, in take-over %d", used, count)
		}
		time.Sleep(20 * time.Second)
		cluster.WaitForState(cluster.Leader(), "req-000001", wire.JobDone, 5*time.Minute)
	})
}

// A start waits for followers in step that don't answer, for half a second and a write,
// and not for ever.
func TestUnresponsiveFollowerDelaysStartsBriefly(t *testing.T) {
	options, _ := quotaBoundOptions(true)
	Run(t, options, func(cluster *Cluster) {
		cluster.MustRun("n0", Array(1, 2, "a"))
		time.Sleep(6 * time.Second)
		leader := cluster.Leader()
		cluster.PartitionFromPeers(cluster.OtherMembers(leader)[0])
		cluster.MustSubmit(leader, Array(2, 2, "a"))
		if took := cluster.waitForNextStart(30 * time.Second); took > 3*time.Second {
			t.Errorf("the start took %v", took)
		}
	})
}

// Somebody who keeps no replica led in between: a record that still names a follower of
// the leader before says nothing of what was started since.
func TestLeaderWithoutReplicaInBetween(t *testing.T) {
	options, failovers := quotaBoundOptions(true)
	options.Standby.ExceptFor = []string{"n2"}
	Run(t, options, func(cluster *Cluster) {
		cluster.makeLeader("n0")
		cluster.runQuotaBoundJob(40)
		time.Sleep(6 * time.Second)
		cluster.failOverPast("n0", "n1", "n2")
		time.Sleep(40 * time.Second)
		cluster.SetFaultOnAllMachines(fake.MachineHanging)
		cluster.Crash("n2")
		cluster.WaitForLeaderToBe("n1", time.Minute)
		if used, _ := failovers.last(); used {
			t.Error("a replica of an earlier leader was used")
		}
		time.Sleep(time.Minute)
		cluster.WaitForState("n1", "req-000001", wire.JobDone, 5*time.Minute)
	})
}

// A leader that itself does not know where tasks are, since the one before kept no
// replicas, ends before it does. It passes its doubt on: the next one believes its copy,
// which has the whole job in doubt, and starts nothing of it before that is over.
func TestLeaderCrashesWithUnconfirmedTasks(t *testing.T) {
	options, failovers := quotaBoundOptions(true)
	options.Standby.ExceptFor = []string{"n0"}
	Run(t, options, func(cluster *Cluster) {
		cluster.makeLeader("n0")
		cluster.hangOneMachine()
		cluster.Crash("n0")
		cluster.WaitForLeader(time.Minute)
		time.Sleep(4 * time.Second)
		cluster.Crash(cluster.Leader())
		cluster.WaitForLeader(time.Minute)
		all := failovers.records()
		last, before := all[len(all)-1], all[len(all)-2]
		// Of the eight that ran some may be durably done by now.
		if !last.isReplicaUsed || before.isReplicaUsed || last.unconfirmed > before.unconfirmed || last.unconfirmed < before.unconfirmed-8 {
			t.Errorf("%+v after %+v", last, before)
		}
		time.Sleep(20 * time.Second)
		cluster.WaitForState(cluster.Leader(), "req-000001", wire.JobDone, 6*time.Minute)
	})
}

// makeLeader ends leaders until a controller of a name leads.
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
	cluster.t.Fatalf("%s does not come to lead", name)
}

// The leader ends again and again, also soon after a take-over, while tasks of all kinds
// start, end and are cancelled: the checker watches, and nothing waits for long.
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
			t.Error("no take-over used its replica")
		}
	})
}
