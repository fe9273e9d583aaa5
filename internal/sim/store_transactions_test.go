package sim

import (
	"slices"
	"strings"
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// Prefixes of stored keys: records of jobs, records of scale-out requests, and which tasks are done.
const (
	jobKeys      = "firwood/job/"
	scaleOutKeys = "firwood/hire/"
	progressKeys = "firwood/done/"
)

// The store applies a transaction but its reply is lost, and other controllers read what it wrote. The
// writer's replies to users agree with theirs, also the writer's reply to a repeated submission.
func TestLostTransactionReplies(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
		leader := cluster.Leader()
		writer, reader := cluster.OtherMembers(leader)[0], cluster.OtherMembers(leader)[1]
		cluster.Store.SetFault(writer, fake.StoreRepliesLost)
		job := Array(1, 1, "a")
		if response := cluster.Submit(writer, job); response.Status != 503 {
			t.Errorf("a submission whose write gets no reply: got status %d, want 503", response.Status)
		}
		if state := cluster.GetJob(reader, job.ID).JobState(); state == "" {
			t.Errorf("%s does not know a job that the store has", reader)
		}
		// A writer that got no reply for a second may answer 503 with a time to retry after. In the
		// end it answers 200, since the job is already known.
		cluster.WaitFor("the repeated submission is answered", 5*time.Second, func() bool {
			response := cluster.Submit(writer, job)
			if response.Status != 200 && (response.Status != 503 || response.RetryAfterSeconds == 0) {
				t.Fatalf("the repeated submission: got status %d, want 200, or 503 with a time to retry after", response.Status)
			}
			return response.Status == 200
		})
		cluster.WaitForRunningTasks(job.ID, 1)
		if response := cluster.Cancel(writer, job.ID); response.Status != 503 {
			t.Errorf("a cancellation whose write gets no reply: got status %d, want 503", response.Status)
		}
		cluster.WaitForState(reader, job.ID, wire.JobCancelled, 5*time.Second)
		for _, member := range cluster.Members() {
			cluster.MustCancel(member, job.ID)
		}
		cluster.WaitForNoTasks(job.ID, 10*time.Second)
	})
}

// The store applies transactions seconds after they were sent and without a reply, after newer ones of
// the same controller. All jobs get done, and stay done.
func TestDelayedTransactions(t *testing.T) {
	Run(t, Options{TaskDuration: 10 * time.Second}, func(cluster *Cluster) {
		leader := cluster.Leader()
		for i := 1; i <= 3; i++ {
			cluster.MustSubmit("n0", Array(i, 3, "a"))
		}
		cluster.WaitForRunningTasks("req-000003", 3)
		cluster.Store.SetFault(leader, fake.StoreWritesDelayed)
		time.Sleep(4 * time.Second)
		cluster.Store.SetFault(leader, fake.StoreHealthy)
		for i := 1; i <= 3; i++ {
			cluster.WaitForState("n1", JobID(i), wire.JobDone, 2*time.Minute)
		}
		time.Sleep(20 * time.Second)
		for i := 1; i <= 3; i++ {
			cluster.WaitForState("n2", JobID(i), wire.JobDone, time.Second)
		}
	})
}

// replayAllTransactions applies every transaction of the store again, and checks that this leaves the
// records of jobs and of scale-out requests, and the progress of jobs, as they are.
func (cluster *Cluster) replayAllTransactions(when string) {
	cluster.t.Helper()
	checkedPrefixes := []string{jobKeys, scaleOutKeys, progressKeys}
	before := map[string]string{}
	for _, prefix := range checkedPrefixes {
		for _, key := range cluster.Store.Keys(prefix) {
			before[key] = cluster.Store.Value(key)
		}
	}
	for _, transaction := range cluster.Store.Transactions() {
		cluster.Store.ReapplyTransaction(transaction)
		for _, change := range transaction.Changes {
			key := change.PutKey + change.DeleteKey
			isChecked := slices.ContainsFunc(checkedPrefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
			// Progress may come back after its job has ended; then the leader deletes it.
			isLateProgress := strings.HasPrefix(key, progressKeys) && before[key] == ""
			if value := cluster.Store.Value(key); isChecked && !isLateProgress && value != before[key] {
				cluster.t.Errorf("replayed %s, %s was %q and is now %q, want no change", when, key, before[key], value)
			}
		}
	}
}

// Every transaction so far is applied again, under the same leader and after another leader has
// written. The records of jobs and of scale-out requests, and the progress of jobs, stay as they are.
func TestReplayedTransactionsChangeNothing(t *testing.T) {
	Run(t, Options{TaskDuration: 3 * time.Second, TaskDurationStep: 4 * time.Second}, func(cluster *Cluster) {
		for i := 1; i <= 4; i++ {
			cluster.MustSubmit("n0", Array(i, 6, "a"))
		}
		cluster.MustRun("n1", Service(5, 2, "a"))
		for i := range 6 {
			time.Sleep(1500 * time.Millisecond)
			cluster.replayAllTransactions("under the same leader")
			if i == 2 {
				cluster.MustCancel("n2", JobID(4))
			}
		}
		cluster.Restart(cluster.Leader(), time.Second)
		cluster.WaitForLeader(20 * time.Second)
		before := len(cluster.Store.Transactions())
		cluster.WaitFor("the new leader has written", time.Minute, func() bool { return len(cluster.Store.Transactions()) > before+6 })
		cluster.replayAllTransactions("under another leader")
		for i := 1; i <= 3; i++ {
			cluster.WaitForState("n2", JobID(i), wire.JobDone, 3*time.Minute)
		}
		cluster.MustCancel("n0", JobID(5))
		cluster.WaitForRunningTasks(JobID(5), 0)
		time.Sleep(20 * time.Second)
		cluster.replayAllTransactions("at the end")
	})
}

// Writes are delayed while new machines boot at once, and the leader crashes. No task may run on a machine
// that is not recorded: the next leader may not know of the machine when it starts the task again.
func TestNoTaskOnUnrecordedMachine(t *testing.T) {
	Run(t, Options{BootDuration: 200 * time.Millisecond, Workers: WorkerTimes{HeartbeatInterval: time.Second}, TaskDuration: longTaskDuration}, func(cluster *Cluster) {
		leader := cluster.Leader()
		// Once a scale-out request is recorded, the machine names that the cloud returns are not
		// written for seconds. The next leader gets them by repeating the request.
		go func() {
			for len(cluster.Store.Keys(scaleOutKeys)) == 0 {
				time.Sleep(time.Millisecond)
			}
			cluster.Store.SetDelayedPrefix(scaleOutKeys)
		}()
		for i := 1; i <= 4; i++ {
			cluster.MustSubmit(cluster.OtherMembers(leader)[0], Array(i, 4, "a"))
		}
		time.Sleep(3 * time.Second)
		if len(cluster.Cloud.MachineNames()) == 0 {
			t.Error("got no machines, want at least 1 for the submitted jobs")
		}
		if running := cluster.Cloud.RunningTasks(); len(running) > 0 {
			t.Errorf("got tasks on machines that no record names: %v, want none", running)
		}
		cluster.SetFaultOnAllMachines(fake.MachineHanging)
		cluster.Crash(leader)
		cluster.Store.SetDelayedPrefix("")
		time.Sleep(300 * time.Millisecond)
		cluster.Start(leader)
		time.Sleep(15 * time.Second)
		cluster.SetFaultOnAllMachines(fake.MachineHealthy)
		for i := 1; i <= 4; i++ {
			cluster.WaitForRunningTasks(JobID(i), 4)
		}
	})
}

// The store is slow while users submit, cancel and read, and the leader restarts. Reads are answered,
// and no reply is older than an earlier one.
func TestReadsAreAnsweredWithSlowStore(t *testing.T) {
	Run(t, Options{TaskDuration: 10 * time.Second}, func(cluster *Cluster) {
		cluster.Network.SetExtraLatency(fake.StoreHost, 250*time.Millisecond)
		for i := 1; i <= 6; i++ {
			cluster.MustSubmit(cluster.Members()[i%3], Array(i, 2, "a"))
		}
		cluster.WaitForRunningTasks(JobID(6), 2)
		cluster.MustCancelUnlessDone("n1", JobID(6))
		cluster.Restart(cluster.Leader(), time.Second)
		answered := 0
		for range 20 {
			for _, member := range cluster.Members() {
				if cluster.GetJob(member, JobID(6)).JobState() != "" {
					answered++
				}
			}
			time.Sleep(500 * time.Millisecond)
		}
		if answered < 40 {
			t.Errorf("got %d of 60 reads answered, want at least 40", answered)
		}
		for i := 1; i <= 5; i++ {
			cluster.WaitForState("n2", JobID(i), wire.JobDone, 2*time.Minute)
		}
	})
}
