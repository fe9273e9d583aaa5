package sim

import (
	"sync/atomic"
	"testing"
	"time"

	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// Each test of this file combines two faults; Run checks the protocol's rules.

// longTaskDuration is longer than any test runs.
const longTaskDuration = 20 * time.Minute

// Cancellations, reads and repeated submissions race with the end of a job's last task, at every
// controller at once, some milliseconds earlier or later each time.
func TestRequestsRaceWithJobCompletion(t *testing.T) {
	Run(t, Options{TaskDuration: 2 * time.Second}, func(cluster *Cluster) {
		for i := 1; i <= 60; i++ {
			job := Array(i, 1, "a")
			cluster.MustRun("n0", job)
			for len(cluster.MachinesRunning(job.ID)) > 0 {
				time.Sleep(time.Millisecond)
			}
			// The worker's heartbeat follows some 20 ms later, and the end is written then.
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
					t.Errorf("%s is %q at %s", job.ID, s, member)
				}
			}
		}
	})
}

// Users read a job at all controllers within milliseconds after it was accepted or its
// cancellation confirmed, and repeat both requests: no reply is older than that.
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

// A team is at its quota while a job of it is cancelled whose machines are partitioned or hang,
// and the leader changes: cancelled tasks that may still run count towards the quota.
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

// Four one-task jobs are submitted a second and a quarter of them cancelled: each is answered and
// ends.
func TestManySmallJobsAreAcceptedPromptlyAndEnd(t *testing.T) {
	Run(t, Options{TaskDuration: 3 * time.Second, Limits: Limits{WriteRPS: 30}}, func(cluster *Cluster) {
		// Large arrays whose tasks end all the time cause many writes of progress.
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
			t.Errorf("%d of %d submissions take over a second", lateCount, jobs)
		}
	})
}

// A team has more work than its quota allows at a time, the leader changes, and every job gets
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

// Jobs that can't run are rejected by every controller alike, and jobs that nobody submitted are
// not found. The leader, once the store rejects its requests, does not decide either.
func TestEveryMemberRejectsInvalidRequests(t *testing.T) {
	Run(t, Options{}, func(cluster *Cluster) {
		unknownTeam, tooLarge, overQuota := Array(1, 1, "nobody"), Array(2, 1, "a"), Service(3, 9, "b")
		tooLarge.CPUs = 9
		for _, member := range cluster.Members() {
			for _, job := range []*wire.Job{unknownTeam, tooLarge, overQuota} {
				if response := cluster.Submit(member, job); response.Status != 422 {
					t.Errorf("%s gets %d at %s", job.ID, response.Status, member)
				}
			}
			if response := cluster.GetJob(member, "req-999999"); response.Status != 404 {
				t.Errorf("a job that nobody submitted gets %d at %s", response.Status, member)
			}
			if response := cluster.Cancel(member, "req-999998"); response.Status != 404 {
				t.Errorf("a job that nobody submitted gets %d at %s", response.Status, member)
			}
		}
		leader := rejectLeaderRequests(cluster)
		time.Sleep(2 * time.Second)
		for _, job := range []*wire.Job{unknownTeam, tooLarge} {
			if response := cluster.Submit(leader, job); response.Status != 503 || response.RetryAfterSeconds == 0 {
				t.Errorf("a submission to a leader without the store gets %d, retry after %d s", response.Status, response.RetryAfterSeconds)
			}
		}
		if response := cluster.GetJob(leader, "req-999997"); response.Status != 503 {
			t.Errorf("a read of an unknown job at a leader without the store gets %d", response.Status)
		}
	})
}
