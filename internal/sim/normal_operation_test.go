package sim

import (
	"testing"
	"time"

	"firwood.dev/firwood/wire"
)

// Without faults, the tasks of an array and of a service run, every controller shows the array as done
// and the service as running, and the service's tasks stop when it is cancelled.
func TestJobsRunOnHealthyCluster(t *testing.T) {
	Run(t, Options{}, func(cluster *Cluster) {
		cluster.MustSubmit("n0", Array(1, 5, "a"))
		cluster.MustRun("n1", Service(2, 2, "a"))
		for _, member := range cluster.Members() {
			cluster.WaitForState(member, "req-000001", wire.JobDone, 3*time.Minute)
			cluster.WaitForState(member, "req-000002", wire.JobRunning, time.Minute)
		}
		cluster.MustCancel("n2", "req-000002")
		cluster.WaitForRunningTasks("req-000002", 0)
	})
}
