package sim

import (
	"testing"
	"time"

	"firwood.dev/firwood/wire"
)

// Guards against one accepted gang that stops every leader in turn: its tasks need nothing, or next to nothing,
// and the plan runs out of memory. Such gangs and ordinary jobs beside them run.
func TestGangsThatNeedNothingRunBesideOtherJobs(t *testing.T) {
	Run(t, Options{TaskDuration: 5 * time.Second}, func(cluster *Cluster) {
		cluster.MustRun("n0", Service(1, 2, "a")) // there is a machine
		for i, cpus := range []float64{0, 0.0004, 0.001} {
			gang := Array(10+i, 4+i, "a")
			gang.Kind, gang.CPUs, gang.MemoryGB = wire.KindGang, cpus, 0
			cluster.MustSubmit(cluster.Members()[i], gang)
			cluster.MustSubmit(cluster.Members()[i], Array(20+i, 4, "b"))
		}
		cluster.Restart(cluster.Leader(), time.Second)
		for i := range 3 {
			cluster.WaitForState("n1", JobID(10+i), wire.JobDone, time.Minute)
			cluster.WaitForState("n2", JobID(20+i), wire.JobDone, time.Minute)
		}
	})
}
