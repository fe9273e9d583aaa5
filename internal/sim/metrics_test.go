package sim

import (
	"strings"
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/internal/server"
)

// metricsOf returns a member's metrics as text.
func (cluster *Cluster) metricsOf(name string) string {
	instance := cluster.runningInstance(cluster.member(name))
	return string(awaitResponse(func(reply *server.Reply) { instance.SendMetrics(reply) }, userTimeout).Body)
}

// hasMetric reports whether metrics contain a line, which consists of a name and a value.
func hasMetric(metrics, line string) bool { return strings.Contains("\n"+metrics, "\n"+line+"\n") }

// Every member reports in its metrics whether it leads. The leader also reports how many tasks of
// cancelled jobs the workers still list: here the tasks on a machine that receives no commands, until
// the machine recovers.
func TestMetricsCountCancelledTasks(t *testing.T) {
	Run(t, Options{TaskDuration: longTaskDuration}, func(cluster *Cluster) {
		cluster.MustRun("n0", Array(1, 4, "a"))
		machine := cluster.MachinesRunning(JobID(1))[0]
		cluster.Cloud.SetFault(machine, fake.MachineCommandsLost)
		cluster.MustCancel("n0", JobID(1))
		leader := cluster.Leader()
		cluster.WaitFor("the metrics count 4 tasks of cancelled jobs", 10*time.Second, func() bool {
			return hasMetric(cluster.metricsOf(leader), "firwood_cancelled_tasks_listed 4")
		})
		for _, name := range cluster.Members() {
			want := "firwood_leader 0"
			if name == leader {
				want = "firwood_leader 1"
			}
			if metrics := cluster.metricsOf(name); !hasMetric(metrics, want) {
				t.Errorf("metrics of %s lack the line %q:\n%s", name, want, metrics)
			}
		}
		cluster.Cloud.SetFault(machine, fake.MachineHealthy)
		cluster.WaitForNoTasks(JobID(1), 20*time.Second)
		cluster.WaitFor("the metrics count no tasks of cancelled jobs", 10*time.Second, func() bool {
			return hasMetric(cluster.metricsOf(leader), "firwood_cancelled_tasks_listed 0")
		})
	})
}
