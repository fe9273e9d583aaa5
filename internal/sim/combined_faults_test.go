package sim

import (
	"sync/atomic"
	"testing"
	"time"

	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// The tests of this file combine faults with other faults, concurrent requests or load. Run checks the
// protocol's rules in each of them.

// longTaskDuration is longer than any test runs.
const longTaskDuration = 20 * time.Minute

// Users cancel, read and resubmit a job at every controller at once, shortly after the job's only task has
// ended. The requests race with the end of the job: their delay grows by 1 ms every four rounds.
func TestRequestsRaceWithJobCompletion(t *testing.T) {
	Run(t, Options{TaskDuration: 2 * time.Second}, func(cluster *Cluster) {
		for i := 1; i <= 60; i++ {
			job := Array(i, 1, "a")
			cluster.MustRun("n0", job)
			for len(cluster.MachinesRunning(job.ID)) > 0 {
				time.Sleep(time.Millisecond)
			}
			// The worker reports the end some 20 ms later in a heartbeat, and then it is written to the store.
			time.Sleep(time.Duration(18+i/4) * time.Millisecond)
			for index, member := range cluster.Members() {
				if index == i%3 {
					go cluster.Cancel(member, job.ID)
				}
				go cluster.GetJob(member, job.ID)
				go cluster.Submit(member, job)
			}
			time.Sleep(time.Second)
			for _, member := range cluster.Members() {
				if s := cluster.GetJob(member, job.ID).JobState(); s != wire.JobDone && s != wire.JobCancelled {
					t.Errorf("state of %s: got %q at %s, want done or cancelled", job.ID, s, member)
				}
			}
		}
	})
}

// Users read a job at all controllers within milliseconds after the job was accepted or its cancellation
// was confirmed, and repeat both requests. No reply shows a state older than the confirmed one.
func TestReadsRightAfterWritesAreNotStale(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
		for i := 1; i <= 20; i++ {
			job := Array(i, 1, "a")
			member := cluster.Members()[i%3]
			cluster.MustSubmit(member, job)
			getJobRepeatedly := func() {
				for _, member := range cluster.Members() {
					for range 3 {
						go cluster.GetJob(member, job.ID)
						go cluster.Submit(member, job)
						time.Sleep(2 * time.Millisecond)
					}
				}
			}
			getJobRepeatedly()
			cluster.MustCancel(cluster.Members()[(i+1)%3], job.ID)
			getJobRepeatedly()
			for _, member := range cluster.Members() {
				go cluster.Cancel(member, job.ID)
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// A team is at its quota. A job of the team is cancelled while its machines hang or are partitioned, and
// the leader changes. Cancelled tasks that may still be running count towards the quota.
func TestQuotaCountsCancelledTasksOnFaultyMachines(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
		cluster.MustRun("n0", Array(1, 8, "b"))
		cluster.MustSubmit("n1", Array(2, 8, "b"))
		for i, machine := range cluster.Cloud.MachineNames() {
			if i%2 == 0 {
				cluster.Cloud.SetFault(machine, fake.MachineHanging)
			} else {
				cluster.Network.Partition(machine, func(a, b string) bool { return a == machine || b == machine })
			}
		}
		time.Sleep(200 * time.Millisecond)
		cluster.MustCancel("n1", "req-000001")
		cluster.Restart(cluster.Leader(), 5*time.Second)
		time.Sleep(20 * time.Second)
		cluster.SetFaultOnAllMachines(fake.MachineHealthy)
		cluster.Network.HealAll()
		cluster.WaitForRunningTasks("req-000002", 8)
	})
}

// Every second, users submit four jobs of one task each. They cancel a quarter of these jobs, while large
// arrays cause many writes of progress. At most one submission in 20 takes more than a second, and every
// job ends.
func TestManySmallJobsAreAcceptedPromptlyAndEnd(t *testing.T) {
	Run(t, Options{TaskDuration: 3 * time.Second, Limits: Limits{WriteRPS: 30}}, func(cluster *Cluster) {
		// Tasks of these large arrays end all the time, which causes many writes of progress.
		for i := 1001; i <= 1012; i++ {
			cluster.MustSubmit("n0", Array(i, 60, "a"))
		}
		const jobs = 240
		var late atomic.Int32
		for i := 1; i <= jobs; i++ {
			job := Array(i, 1, "a")
			member := cluster.Members()[i%3]
			go func() {
				sentAt := time.Now()
				cluster.MustSubmit(member, job)
				if time.Since(sentAt) > time.Second {
					late.Add(1)
				}
				if i%4 == 0 {
					cluster.MustCancelUnlessDone(member, job.ID)
				}
			}()
			time.Sleep(250 * time.Millisecond)
		}
		for i := 1; i <= jobs; i++ {
			id := JobID(i)
			cluster.WaitFor(id+" is done or cancelled", time.Minute, func() bool {
				s := cluster.GetJob(cluster.Members()[i%3], id).JobState()
				return s == wire.JobDone || s == wire.JobCancelled
			})
		}
		if lateCount := late.Load(); lateCount > jobs/20 {
			t.Errorf("%d of %d submissions took more than a second, want at most 1 in 20", lateCount, jobs)
		}
	})
}

// A team has more work than its quota allows to run at a time, and the leader changes. Every job gets
// done.
func TestWorkBeyondQuotaFinishes(t *testing.T) {
	teams := []config.Team{{Name: "a"}, {Name: "b", MaxCPUs: 8}}
	Run(t, Options{TaskDuration: 5 * time.Second, Teams: teams}, func(cluster *Cluster) {
		for i := 1; i <= 12; i++ {
			cluster.MustSubmit("n0", Array(i, 4, "b"))
		}
		time.Sleep(10 * time.Second)
		cluster.Restart(cluster.Leader(), 3*time.Second)
		for i := 1; i <= 12; i++ {
			cluster.WaitForState("n1", JobID(i), wire.JobDone, 3*time.Minute)
		}
	})
}

// Every controller rejects jobs that can't run, and replies with 404 to requests for jobs that were never
// submitted. A leader whose requests the store rejects can decide neither: it replies with 503.
func TestEveryMemberRejectsInvalidRequests(t *testing.T) {
	Run(t, Options{}, func(cluster *Cluster) {
		unknownTeam, tooLarge, overQuota := Array(1, 1, "nobody"), Array(2, 1, "a"), Service(3, 9, "b")
		tooLarge.CPUs = 9
		for _, member := range cluster.Members() {
			for _, job := range []*wire.Job{unknownTeam, tooLarge, overQuota} {
				if response := cluster.Submit(member, job); response.Status != 422 {
					t.Errorf("submission of %s: got status %d at %s, want 422", job.ID, response.Status, member)
				}
			}
			if response := cluster.GetJob(member, "req-999999"); response.Status != 404 {
				t.Errorf("read of an unknown job: got status %d at %s, want 404", response.Status, member)
			}
			if response := cluster.Cancel(member, "req-999998"); response.Status != 404 {
				t.Errorf("cancellation of an unknown job: got status %d at %s, want 404", response.Status, member)
			}
		}
		leader := rejectLeaderRequests(cluster)
		time.Sleep(2 * time.Second)
		for _, job := range []*wire.Job{unknownTeam, tooLarge} {
			if response := cluster.Submit(leader, job); response.Status != 503 || response.RetryAfterSeconds == 0 {
				t.Errorf("submission to a leader without the store: got status %d, retry after %d s, want 503 and a retry time", response.Status, response.RetryAfterSeconds)
			}
		}
		if response := cluster.GetJob(leader, "req-999997"); response.Status != 503 {
			t.Errorf("read of an unknown job at a leader without the store: got status %d, want 503", response.Status)
		}
	})
}
