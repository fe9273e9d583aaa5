package sim

import (
	"testing"
	"time"

	"firwood.dev/firwood/wire"
)

// Guards against a controller that shows a job as active for good, and starts it again if it leads: it was cut off from
// the store while the job ended, the store no longer has the changes, and the job is not among the newest finished
// ones, which is all that it reads anew.
func TestJobThatEndedBeforeReloadIsNotShownAsActive(t *testing.T) {
	options := smallCacheOptions()
	options.TaskDurationStep = 40 * time.Second
	Run(t, options, func(cluster *Cluster) {
		const ended, cancelled, dependent = 800000, 800001, 800002
		follower := cluster.OtherMembers(cluster.Leader())[0]
		cluster.MustSubmit(cluster.Leader(), Array(ended, 2, "a"))
		cluster.MustSubmit(cluster.Leader(), Array(cancelled, 2, "a"))
		cluster.WaitForState(follower, JobID(cancelled), wire.JobRunning, time.Minute)
		cluster.MustSubmit(cluster.Leader(), dependentArray(dependent, "a", cancelled, ended))
		cluster.GetJob(follower, JobID(dependent))
		cluster.PartitionFromStore(follower)
		leader := cluster.WaitForLeader(time.Minute)
		cluster.MustCancel(leader, JobID(cancelled))
		cluster.WaitForState(leader, JobID(ended), wire.JobDone, time.Minute)
		for i := range finishedJobCount {
			cluster.MustSubmit(leader, Array(i, 1, "a"))
		}
		for i := range finishedJobCount {
			cluster.WaitForState(leader, JobID(i), wire.JobDone, time.Minute)
		}
		time.Sleep(10 * time.Second)
		cluster.Store.Compact()
		cluster.ReconnectToStore(follower)
		time.Sleep(5 * time.Second)
		for range 20 {
			for _, id := range []string{JobID(ended), JobID(cancelled), JobID(dependent)} {
				cluster.GetJob(follower, id)
			}
			time.Sleep(100 * time.Millisecond)
		}
		cluster.WaitForState(follower, JobID(ended), wire.JobDone, 10*time.Second)
		cluster.WaitForState(follower, JobID(cancelled), wire.JobCancelled, 10*time.Second)
		cluster.WaitForState(follower, JobID(dependent), wire.JobCancelled, 10*time.Second)
		for _, name := range cluster.OtherMembers(follower) {
			cluster.Crash(name)
		}
		cluster.WaitForLeaderToBe(follower, time.Minute)
		cluster.MustRun(follower, Array(900000, 2, "b"))
		cluster.WaitForNoTasks(JobID(ended), 10*time.Second)
	})
}
