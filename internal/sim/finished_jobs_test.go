package sim

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

const (
	// cachedJobCount is how many finished jobs the controllers of these tests cache.
	cachedJobCount   = 100
	finishedJobCount = 3 * cachedJobCount
)

// smallCacheOptions returns a deployment whose controllers cache few finished jobs.
func smallCacheOptions() Options {
	return Options{FinishedJobs: FinishedJobOptions{CachedCount: cachedJobCount}, TaskDuration: time.Second, Limits: Limits{WriteRPS: 2000}}
}

// finishJobs submits many more jobs than controllers cache, and waits until all are finished. It cancels
// one in ten, unless that job is done already.
func (cluster *Cluster) finishJobs() {
	for i := range finishedJobCount {
		job := Array(i, 1, "a")
		cluster.MustSubmit(cluster.Members()[i%3], job)
		if i%10 == 0 {
			cluster.MustCancelUnlessDone(cluster.Members()[(i+1)%3], job.ID)
		}
	}
	for i := range finishedJobCount {
		id := JobID(i)
		cluster.WaitFor(id+" is done or cancelled", time.Minute, func() bool {
			state := cluster.GetJob("n0", id).JobState()
			return state == wire.JobDone || state == wire.JobCancelled
		})
	}
	time.Sleep(5 * time.Second)
}

// Controllers that have evicted most finished jobs from their caches still know them: they reply to many
// concurrent reads, to repeated submissions and to cancellations as before, and only requests for jobs
// that were never submitted get 404. The same holds for controllers that have restarted.
func TestEvictedJobsAreKnown(t *testing.T) {
	Run(t, smallCacheOptions(), func(cluster *Cluster) {
		cluster.finishJobs()
		for _, name := range cluster.Members() {
			cluster.checkConcurrentReads(name)
		}
		cluster.checkAllJobs()
		leader := cluster.Leader()
		for _, name := range cluster.Members() {
			cluster.Restart(name, time.Second)
		}
		cluster.WaitForLeader(time.Minute)
		t.Logf("the leader was %s before the restarts and is %s now", leader, cluster.Leader())
		time.Sleep(5 * time.Second)
		cluster.checkAllJobs()
	})
}

// checkConcurrentReads reads many evicted jobs and as many unknown ones from a controller at once, and
// checks the statuses.
func (cluster *Cluster) checkConcurrentReads(name string) {
	const readCount = 60
	failures := make(chan string, 2*readCount)
	checkStatus := func(id string, want int) {
		if response := cluster.GetJob(name, id); response.Status != want {
			failures <- fmt.Sprintf("read at %s: got status %d for %s, want 200 for a submitted job and 404 for any other", name, response.Status, id)
			return
		}
		failures <- ""
	}
	for i := range readCount {
		go checkStatus(JobID(i), 200)
		go checkStatus(JobID(500000+i), 404)
	}
	for range 2 * readCount {
		if failure := <-failures; failure != "" {
			cluster.t.Error(failure)
		}
	}
}

// checkAllJobs checks that the controllers know every finished job and no others. It reads one job after
// the other, each from all controllers at once, repeats some submissions and cancellations, and reads some
// unknown jobs.
func (cluster *Cluster) checkAllJobs() {
	for i := range finishedJobCount {
		id, failures := JobID(i), make(chan string, 3)
		for _, name := range cluster.Members() {
			go func() {
				if response := cluster.GetJob(name, id); response.Status != 200 || response.JobState() != wire.JobDone && response.JobState() != wire.JobCancelled {
					failures <- fmt.Sprintf("read at %s: got status %d, state %q for %s, want 200, done or cancelled", name, response.Status, response.JobState(), id)
					return
				}
				failures <- ""
			}()
		}
		for range cluster.Members() {
			if failure := <-failures; failure != "" {
				cluster.t.Error(failure)
			}
		}
		if i%7 == 0 {
			name := cluster.Members()[i%3]
			if response := cluster.Submit(name, Array(i, 1, "a")); response.Status != 200 || response.JobState() == wire.JobPending {
				cluster.t.Errorf("repeated submission of %s: got status %d, state %q, want 200 and not pending", id, response.Status, response.JobState())
			}
			if response := cluster.Cancel(name, id); response.Status != 200 {
				cluster.t.Errorf("cancellation of the finished job %s: got status %d, want 200", id, response.Status)
			}
		}
	}
	for i := range 50 {
		id := JobID(500000 + i)
		if response := cluster.GetJob(cluster.Members()[i%3], id); response.Status != 404 {
			cluster.t.Errorf("read of an unknown job: got status %d, want 404", response.Status)
		}
	}
}

// Jobs whose dependencies were evicted from the caches run if the dependencies are done, also after a
// restart of all controllers, and are cancelled if a dependency was cancelled. A job is rejected only if
// one of its dependencies was never accepted.
func TestEvictedJobsAsDependencies(t *testing.T) {
	Run(t, smallCacheOptions(), func(cluster *Cluster) {
		cluster.finishJobs()
		var done, cancelled string
		for i := range finishedJobCount / 3 {
			switch id := JobID(i); cluster.GetJob("n1", id).JobState() {
			case wire.JobDone:
				done = id
			case wire.JobCancelled:
				cancelled = id
			}
		}
		for i := range 2 * cachedJobCount { // so that the jobs done and cancelled are evicted again
			cluster.GetJob("n1", JobID(finishedJobCount-1-i))
		}
		afterDone, afterCancelled, afterUnknown := Array(600001, 1, "a"), Array(600002, 1, "a"), Array(600003, 1, "a")
		afterDone.DependsOn, afterCancelled.DependsOn, afterUnknown.DependsOn = []string{done}, []string{cancelled, done}, []string{"req-700000"}
		cluster.MustSubmit("n1", afterDone)
		cluster.MustSubmit("n2", afterCancelled)
		for _, name := range cluster.Members() {
			cluster.WaitForState(name, afterDone.ID, wire.JobDone, 20*time.Second)
			cluster.WaitForState(name, afterCancelled.ID, wire.JobCancelled, 20*time.Second)
		}
		for i := range 2 * cachedJobCount {
			cluster.GetJob("n1", JobID(finishedJobCount-1-i))
		}
		laterJob := Array(600004, 1, "a")
		laterJob.DependsOn = afterDone.DependsOn
		cluster.MustSubmit("n2", laterJob)
		if response := cluster.Submit("n0", afterUnknown); response.Status != 422 {
			t.Errorf("submission of a job that depends on an unknown job: got status %d, want 422", response.Status)
		}
		for _, name := range cluster.Members() {
			cluster.Restart(name, time.Second)
		}
		for _, name := range cluster.Members() {
			cluster.WaitForState(name, laterJob.ID, wire.JobDone, time.Minute)
		}
	})
}

// Guards against a submission that is refused for good: it names more evicted jobs than a controller caches, and the
// first ones are evicted again before the last ones are read.
func TestJobMayDependOnMoreEvictedJobsThanAreCached(t *testing.T) {
	Run(t, smallCacheOptions(), func(cluster *Cluster) {
		cluster.finishJobs()
		job, cancelledToo := Array(600001, 1, "a"), Array(600002, 1, "a")
		for i := range finishedJobCount {
			switch cluster.GetJob("n1", JobID(i)).JobState() {
			case wire.JobDone:
				job.DependsOn = append(job.DependsOn, JobID(i))
			case wire.JobCancelled:
				cancelledToo.DependsOn = []string{JobID(i)}
			}
		}
		if len(job.DependsOn) <= 2*cachedJobCount {
			t.Fatalf("%d jobs are done, want more than twice as many as are cached", len(job.DependsOn))
		}
		cancelledToo.DependsOn = append(cancelledToo.DependsOn, job.DependsOn...)
		cluster.MustSubmit("n0", job)
		cluster.MustSubmit("n2", cancelledToo)
		for _, name := range cluster.Members() {
			cluster.WaitForState(name, job.ID, wire.JobDone, time.Minute)
			cluster.WaitForState(name, cancelledToo.ID, wire.JobCancelled, time.Minute)
		}
	})
}

// During a store outage, controllers never reply that an evicted job is unknown, and they answer requests
// for it in time.
func TestEvictedJobsAreNeverUnknownDuringStoreOutage(t *testing.T) {
	Run(t, smallCacheOptions(), func(cluster *Cluster) {
		cluster.finishJobs()
		cluster.Store.SetDown(true)
		startedAt := time.Now()
		for i := range 60 {
			name := cluster.Members()[i%3]
			if response := cluster.GetJob(name, JobID(i)); response.Status == 404 {
				t.Errorf("read at %s during a store outage: got status 404 for %s", name, JobID(i))
			}
			if response := cluster.Submit(name, Array(i, 1, "a")); response.Status != 503 && response.Status != 200 {
				t.Errorf("repeated submission of %s during a store outage: got status %d, want 503 or 200", JobID(i), response.Status)
			}
		}
		if took := time.Since(startedAt); took > 60*2*2*time.Second {
			t.Errorf("120 replies took %v, want at most 2s each", took)
		}
		cluster.Store.SetDown(false)
		time.Sleep(5 * time.Second)
		cluster.WaitForState("n0", JobID(1), wire.JobDone, 10*time.Second)
	})
}

const (
	archiveAfter = 20 * time.Second
	archivedKeys = "firwood.finished/"
)

// waitForArchived waits until archivedCount records are in the archive and all others are not.
func (cluster *Cluster) waitForArchived(archivedCount int) {
	cluster.t.Helper()
	cluster.WaitFor(fmt.Sprintf("%d records are archived", archivedCount), 10*time.Minute, func() bool {
		return len(cluster.Store.Keys(archivedKeys)) == archivedCount && len(cluster.Store.Keys(jobKeys)) == finishedJobCount-archivedCount
	})
}

// Finished jobs are moved to the archive, and back when archiving is turned off. Meanwhile leaders crash,
// and the store is down, rejects requests, loses replies, delays writes and applies old writes again. All
// the while every controller shows every job, also right after a restart.
func TestFinishedJobsAreArchived(t *testing.T) {
	options := smallCacheOptions()
	options.FinishedJobs.ArchiveAfter = archiveAfter
	Run(t, options, func(cluster *Cluster) {
		cluster.finishJobs()
		earlierTransactions := cluster.Store.Transactions()
		cluster.injectFaultsWhileArchiving()
		cluster.waitForArchived(finishedJobCount)
		for _, transaction := range earlierTransactions {
			cluster.Store.ReapplyTransaction(transaction)
		}
		if left := cluster.Store.Keys(jobKeys); len(left) > 0 {
			t.Errorf("after old transactions were applied again: got %d job records outside the archive, want 0", len(left))
		}
		cluster.checkAllJobs()
		cluster.restartAllMembers()
		cluster.checkAllJobs()
		cluster.checkDependencyOnArchivedJob()

		cluster.options.FinishedJobs.NonArchivingMembers = cluster.Members()
		cluster.restartAllMembers()
		cluster.injectFaultsWhileArchiving()
		cluster.WaitFor("the archive is empty", 10*time.Minute, func() bool {
			return len(cluster.Store.Keys(archivedKeys)) == 0 && len(cluster.Store.Keys("firwood/archive")) == 0
		})
		for _, transaction := range cluster.Store.Transactions() {
			if slices.ContainsFunc(transaction.Changes, func(change wire.Change) bool { return strings.HasPrefix(change.PutKey, archivedKeys) }) {
				cluster.Store.ReapplyTransaction(transaction)
			}
		}
		if left := cluster.Store.Keys(archivedKeys); len(left) > 0 {
			t.Errorf("after old moves to the archive were applied again: got %d archived records, want 0", len(left))
		}
		cluster.checkAllJobs()
	})
}

// injectFaultsWhileArchiving injects one fault after another while records are moved to or from the archive.
func (cluster *Cluster) injectFaultsWhileArchiving() {
	time.Sleep(archiveAfter)
	for _, fault := range []fake.StoreFault{fake.StoreRepliesLost, fake.StoreWritesDelayed, fake.StoreRequestsRejected} {
		if leader := cluster.Leader(); leader != "" {
			cluster.Store.SetFault(leader, fault)
			time.Sleep(2 * time.Second)
			cluster.checkConcurrentReads(cluster.OtherMembers(leader)[0])
			cluster.Store.SetFault(leader, fake.StoreHealthy)
			cluster.Restart(leader, 300*time.Millisecond)
		}
		time.Sleep(5 * time.Second)
	}
	cluster.Store.SetDown(true)
	time.Sleep(3 * time.Second)
	cluster.Store.SetDown(false)
	time.Sleep(3 * time.Second)
}

// restartAllMembers restarts one controller after the other and waits for a leader.
func (cluster *Cluster) restartAllMembers() {
	for _, name := range cluster.Members() {
		cluster.Restart(name, time.Second)
	}
	cluster.WaitForLeader(time.Minute)
	time.Sleep(5 * time.Second)
}

// checkDependencyOnArchivedJob submits a job that depends on an archived one, and waits until it
// is done.
func (cluster *Cluster) checkDependencyOnArchivedJob() {
	job := Array(600001, 1, "a")
	for i := range finishedJobCount {
		if cluster.GetJob("n1", JobID(i)).JobState() == wire.JobDone {
			job.DependsOn = []string{JobID(i)}
			break
		}
	}
	cluster.MustSubmit("n2", job)
	for _, name := range cluster.Members() {
		cluster.WaitForState(name, job.ID, wire.JobDone, 30*time.Second)
	}
}

// largeCache has TestCompletionAfterEvictionOfCancelledDependent run with the default size of the cache.
var largeCache = flag.Bool("default-cache", false, "have TestCompletionAfterEvictionOfCancelledDependent fill a cache of the default size")

// defaultCachedJobCount is how many finished jobs a controller caches by default under the memory limit of
// these deployments.
const defaultCachedJobCount = 25600

// Guards against all controllers panicking at once: a job was cancelled with one of its dependencies and evicted,
// and then its other dependency completed.
func TestCompletionAfterEvictionOfCancelledDependent(t *testing.T) {
	options, fillerCount := smallCacheOptions(), finishedJobCount
	if *largeCache {
		options.FinishedJobs.CachedCount, fillerCount = 0, defaultCachedJobCount+cachedJobCount
	}
	options.TaskDurationStep = time.Hour
	Run(t, options, func(cluster *Cluster) {
		const tally, feeSplit, payout, audit = 900001, 900002, 900003, 900004
		slow := Array(tally, 2, "a") // its second task runs until all other jobs are evicted
		slow.EstimatedRunSeconds = time.Hour.Seconds()
		cluster.MustRun("n0", slow)
		cluster.MustSubmit("n1", Service(feeSplit, 1, "a"))
		cluster.MustSubmit("n2", dependentArray(payout, "a", tally))
		cluster.MustSubmit("n0", dependentArray(audit, "a", tally, payout))
		cluster.MustCancel("n1", JobID(payout))
		for _, member := range cluster.Members() {
			cluster.WaitForState(member, JobID(audit), wire.JobCancelled, 10*time.Second)
		}
		for i := range fillerCount {
			cluster.MustSubmit(cluster.Members()[i%3], Array(i, 1, "a"))
		}
		for i := range fillerCount {
			cluster.WaitForState("n0", JobID(i), wire.JobDone, 5*time.Minute)
		}
		time.Sleep(time.Until(time.Date(2000, 1, 1, 1, 1, 0, 0, time.UTC))) // tally ends an hour after its start
		for _, member := range cluster.Members() {
			cluster.WaitForState(member, JobID(tally), wire.JobDone, time.Minute)
			cluster.WaitForState(member, JobID(audit), wire.JobCancelled, time.Minute)
		}
	})
}
