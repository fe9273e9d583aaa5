package sim

import (
	"strings"
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/internal/server"
)

// metricsOf reads a member's metrics.
func (cluster *Cluster) metricsOf(name string) string {
	instance := cluster.runningInstance(cluster.member(name))
	return string(awaitResponse(func(reply *server.Reply) { instance.SendMetrics(reply) }, userTimeout).Body)
}

// hasMetric tells whether metrics have a line of this name and value.
func hasMetric(metrics, line string) bool { return strings.Contains("\n"+metrics, "\n"+line+"\n") }

// Every member tells its metrics: who leads, and at the leader of a cancelled task on a machine that
// hears nothing, for as long as it is there.
func TestMetricsCountCancelledTasks(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
		cluster.MustRun("n0", Array(1, 4, "a"))
		machine := cluster.MachinesRunning(JobID(1))[0]
		cluster.Cloud.SetFault(machine, fake.MachineCommandsLost)
		cluster.MustCancel("n0", JobID(1))
		leader := cluster.Leader()
		cluster.WaitFor("the metrics tell of 4 tasks", 10*time.Second, func() bool {
			return hasMetric(cluster.metricsOf(leader), "firwood_cancelled_tasks_listed 4")
		})
		for _, name := range cluster.Members() {
			want := "firwood_leader 0"
			if name == leader {
				want = "firwood_leader 1"
			}
			if metrics := cluster.metricsOf(name); !hasMetric(metrics, want) {
				t.Errorf("%s has no %s:\n%s", name, want, metrics)
			}
		}
		cluster.Cloud.SetFault(machine, fake.MachineHealthy)
		cluster.WaitForNoTasks(JobID(1), 20*time.Second)
		cluster.WaitFor("the metrics tell of none", 10*time.Second, func() bool {
			return hasMetric(cluster.metricsOf(leader), "firwood_cancelled_tasks_listed 0")
		})
	})
}
