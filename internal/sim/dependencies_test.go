package sim

import (
	"slices"
	"testing"
	"time"

	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// dependentArray returns an array of two tasks that depends on the jobs with the given numbers.
func dependentArray(number int, team string, dependencies ...int) *wire.Job {
	job := Array(number, 2, team)
	for _, n := range dependencies {
		job.DependsOn = append(job.DependsOn, JobID(n))
	}
	return job
}

// Jobs of two teams run in the order of their dependencies, across failovers. A job that waits for a
// dependency is pending and uses none of its team's quota.
func TestJobsRunInDependencyOrder(t *testing.T) {
	teams := []config.Team{{Name: "a"}, {Name: "b", MaxCPUs: 4}}
	Run(t, Options{Teams: teams}, func(cluster *Cluster) {
		cluster.MustSubmit("n0", Array(1, 3, "a"))
		cluster.MustSubmit("n1", dependentArray(2, "b", 1))
		cluster.MustSubmit("n2", dependentArray(3, "a", 2))
		cluster.MustSubmit("n0", dependentArray(4, "b", 1, 3))
		cluster.MustRun("n1", Array(5, 2, "b")) // uses the whole quota while jobs 2 and 4 wait
		if s := cluster.GetJob("n2", JobID(4)).JobState(); s != wire.JobPending {
			t.Errorf("state of a job that waits for its dependencies: got %q, want pending", s)
		}
		for range 4 {
			cluster.Restart(cluster.Leader(), time.Second)
			time.Sleep(15 * time.Second)
		}
		for i := 1; i <= 5; i++ {
			cluster.WaitForState("n2", JobID(i), wire.JobDone, 3*time.Minute)
		}
		cluster.MustSubmit("n2", dependentArray(6, "a", 1, 4)) // its dependencies were done long ago
		cluster.WaitForState("n0", JobID(6), wire.JobDone, time.Minute)
	})
}

// Cancelling a job cancels all its direct and indirect dependents at every controller, even through a
// failover, a store outage, and submissions of dependents that race with the cancellation.
func TestDependentsAreCancelledWithRoot(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
		cluster.MustSubmit("n0", Array(1, 2, "a"))
		for i := 2; i <= 9; i++ {
			cluster.MustSubmit(cluster.Members()[i%3], dependentArray(i, "b", i-1))
		}
		for i := 10; i <= 20; i++ {
			cluster.MustSubmit(cluster.Members()[i%3], dependentArray(i, "a", 1))
		}
		cluster.WaitForRunningTasks(JobID(1), 2)
		leader := rejectLeaderRequests(cluster)
		for i := 21; i <= 24; i++ {
			go cluster.MustSubmit(cluster.OtherMembers(leader)[i%2], dependentArray(i, "a", 9))
		}
		cluster.MustCancel(cluster.OtherMembers(leader)[0], JobID(1))
		cluster.Crash(leader)
		time.Sleep(100 * time.Millisecond)
		cluster.Store.SetDown(true)
		time.Sleep(8 * time.Second)
		cluster.Store.SetDown(false)
		cluster.Store.SetFault(leader, fake.StoreHealthy)
		cluster.Start(leader)
		cluster.MustSubmit("n1", dependentArray(25, "a", 20))
		for _, member := range cluster.Members() {
			for i := 1; i <= 25; i++ {
				cluster.WaitForState(member, JobID(i), wire.JobCancelled, cluster.options.Workers.CancellationGrace)
			}
		}
		cluster.WaitForRunningTasks(JobID(1), 0)
		// The cancellations of the dependents are written to the store as well.
		cluster.WaitFor("every job's record is cancelled", time.Minute, func() bool {
			for i := 1; i <= 25; i++ {
				if !isRecordCancelled(cluster, i) {
					return false
				}
			}
			return true
		})
	})
}

// isRecordCancelled reports whether a job's record in the store says that the job was cancelled.
func isRecordCancelled(cluster *Cluster, number int) bool {
	var record struct {
		State string `json:"s"`
	}
	if err := unmarshalJSON(cluster.Store.Value(jobKeys+JobID(number)), &record); err != nil {
		return false
	}
	return record.State == wire.JobCancelled
}

// Cancelling a job that is already done does not cancel its dependents.
func TestCancelAfterDoneKeepsDependents(t *testing.T) {
	Run(t, Options{}, func(cluster *Cluster) {
		cluster.MustSubmit("n0", Array(1, 1, "a"))
		cluster.MustSubmit("n1", dependentArray(2, "a", 1))
		cluster.WaitForState("n2", JobID(1), wire.JobDone, time.Minute)
		if s := cluster.Cancel("n0", JobID(1)).JobState(); s != wire.JobDone {
			t.Errorf("state in the reply to the cancellation of a done job: got %q, want done", s)
		}
		cluster.WaitForState("n2", JobID(2), wire.JobDone, time.Minute)
	})
}

// A job must not depend on itself, on a service, or on a job that was never accepted. Every controller
// rejects such a job, and a leader without the store replies when to retry. A job may depend on one that
// another controller accepted a moment ago.
func TestDependenciesAreValidated(t *testing.T) {
	Run(t, Options{}, func(cluster *Cluster) {
		cluster.MustSubmit("n0", Service(1, 1, "a"))
		for _, member := range cluster.Members() {
			for _, job := range []*wire.Job{dependentArray(2, "a", 99), dependentArray(3, "a", 3), dependentArray(4, "a", 1)} {
				if response := cluster.Submit(member, job); response.Status != 422 {
					t.Errorf("submission of %s, which depends on %v: got status %d at %s, want 422", job.ID, job.DependsOn, response.Status, member)
				}
			}
		}
		for i := 10; i < 30; i += 2 {
			cluster.MustSubmit(cluster.Members()[i%3], Array(i, 1, "a"))
			if response := cluster.Submit(cluster.Members()[(i+1)%3], dependentArray(i+1, "a", i)); response.Status != 201 {
				t.Errorf("submission of a job that depends on one accepted a moment ago: got status %d, want 201", response.Status)
			}
		}
		leader := rejectLeaderRequests(cluster)
		if response := cluster.Submit(leader, dependentArray(5, "a", 98)); response.Status != 503 || response.RetryAfterSeconds == 0 {
			t.Errorf("submission with an unknown dependency to a leader without the store: got status %d, retry after %d s, want 503 and a retry time", response.Status, response.RetryAfterSeconds)
		}
	})
}

// The store lowers its limits as announced. A job with hundreds of dependencies is still accepted, the
// store rejects no transaction for its size, and the next leader knows the job.
func TestManyDependenciesAreAcceptedUnderLowerStoreLimits(t *testing.T) {
	upcomingLimits := &config.UpcomingStoreLimits{MaxValueKB: 1, MaxTransactionOps: 10, WriteRPS: 40}
	Run(t, Options{Limits: Limits{UpcomingStore: upcomingLimits}, TaskDuration: 3 * time.Second}, func(cluster *Cluster) {
		const dependencyCount = 300
		dependent := Array(1000, 1, "a")
		for i := 1; i <= dependencyCount; i++ {
			cluster.MustSubmit(cluster.Members()[i%3], Array(i, 1, "a"))
			dependent.DependsOn = append(dependent.DependsOn, JobID(i))
			if i == dependencyCount/2 {
				cluster.Store.SetLimits(fake.StoreLimits{MaxValueBytes: 1 << 10, MaxChanges: 10})
			}
		}
		cluster.MustSubmit("n1", dependent)
		if s := cluster.GetJob("n0", dependent.ID).JobState(); s != wire.JobPending && s != wire.JobDone {
			t.Errorf("state of the job with %d dependencies: got %q, want pending or done", dependencyCount, s)
		}
		cluster.Restart(cluster.Leader(), time.Second)
		cluster.WaitForState("n2", dependent.ID, wire.JobDone, 5*time.Minute)
		if oversized := cluster.Store.OversizedCount(); oversized > 0 {
			t.Errorf("the store rejected %d transactions for their size, want 0", oversized)
		}
		if keys := cluster.Store.Keys("firwood/needs/"); len(keys) < 2 {
			t.Errorf("keys of a long list of dependencies: got %v, want at least 2 keys", keys)
		}
		if !slices.Contains(cluster.Store.Keys(jobKeys), jobKeys+dependent.ID) {
			t.Errorf("the store has no record of %s", dependent.ID)
		}
	})
}

// dagSubmitter submits jobs that depend on each other, and are numbered from 1, to all controllers in
// turn.
type dagSubmitter struct {
	*Cluster
	lastJobNumber int
}

// submit submits a job that depends on others, and returns its number.
func (submitter *dagSubmitter) submit(dependencies ...int) int {
	submitter.t.Helper()
	submitter.lastJobNumber++
	number := submitter.lastJobNumber
	submitter.MustSubmit(submitter.Members()[number%3], dependentArray(number, "a", dependencies...))
	return number
}

// submitDependents submits a chain, a fan and two diamonds of jobs that all depend on a root, directly or
// indirectly. It returns the numbers of these jobs and of the root.
func (submitter *dagSubmitter) submitDependents(root int) (jobs []int) {
	submitter.t.Helper()
	jobs = append(jobs, root)
	last := root
	for range 4 { // a chain
		last = submitter.submit(last)
		jobs = append(jobs, last)
	}
	for range 40 { // a fan
		jobs = append(jobs, submitter.submit(root))
	}
	for range 2 { // diamonds
		left, right := submitter.submit(last), submitter.submit(last)
		last = submitter.submit(left, right)
		jobs = append(jobs, left, right, last)
	}
	return jobs
}

// A hundred jobs depend on each other in chains, fans and diamonds. Half of them are cancelled with their
// root as the leader crashes, while users submit more jobs. Every controller shows these jobs as
// cancelled, submissions are answered within two seconds, and the other jobs get done.
func TestManyDependentJobsEndAfterLeaderCrash(t *testing.T) {
	Run(t, Options{TaskDuration: 2 * time.Second, Limits: Limits{WriteRPS: 200}}, func(cluster *Cluster) {
		submitter := &dagSubmitter{Cluster: cluster}
		leader := cluster.Leader()
		cluster.Cloud.SetDown(true) // no job starts until all are submitted
		first, second := submitter.submit(), submitter.submit()
		cancelled, kept := submitter.submitDependents(first), submitter.submitDependents(second)
		go cluster.MustCancel(cluster.OtherMembers(leader)[0], JobID(first))
		time.Sleep(50 * time.Millisecond)
		cluster.Crash(leader)
		cluster.Cloud.SetDown(false)
		for i := range 20 {
			sentAt := time.Now()
			submitter.lastJobNumber++
			cluster.MustSubmit(cluster.OtherMembers(leader)[i%2], dependentArray(submitter.lastJobNumber, "a"))
			if took := time.Since(sentAt); took > 2*time.Second {
				t.Errorf("a submission took %v, want at most 2s", took)
			}
		}
		cluster.Start(leader)
		for _, member := range cluster.Members() {
			for _, i := range cancelled {
				cluster.WaitForState(member, JobID(i), wire.JobCancelled, cluster.options.Workers.CancellationGrace)
			}
		}
		for _, i := range kept {
			cluster.WaitForState(cluster.Members()[i%3], JobID(i), wire.JobDone, 10*time.Minute)
		}
	})
}
