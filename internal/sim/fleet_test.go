package sim

import (
	"flag"
	"strconv"
	"strings"
	"testing"
	"time"

	"firwood.dev/firwood/wire"
)

// fleetSizes are the numbers of machines of the fleets that TestLargeFleet runs. The race detector can't
// follow more than some 8,000 goroutines at a time for long, so test.sh runs the largest fleet without it.
var fleetSizes = flag.String("fleet-sizes", "400", "numbers of machines of the fleets that TestLargeFleet plays, separated by commas")

// fleetOptions returns a deployment whose limits allow the given number of machines.
func fleetOptions(machines int) Options {
	return Options{
		TaskDuration: longTaskDuration, BootDuration: 5 * time.Second, Workers: WorkerTimes{HeartbeatInterval: 6 * time.Second},
		Limits: Limits{CloudRPS: 20, WriteRPS: 200, MaxSockets: machines + machines/6 + 64}, Logger: controllerLogger(),
	}
}

// maxArrayTasks is the number of tasks of the largest array.
const maxArrayTasks = 250

// largeFleet is a cluster whose machines all have work.
type largeFleet struct {
	*Cluster
	taskCount int
	jobs      []*wire.Job
}

// submitJobs submits jobs to all controllers in turn before any machine has booted: arrays whose tasks
// need a whole machine each, and services whose replicas need a quarter of a machine each.
func (fleet *largeFleet) submitJobs(machines int) {
	const replicasPerService = 24
	number := 0
	submit := func(job *wire.Job) {
		fleet.taskCount += job.TaskCount
		fleet.jobs = append(fleet.jobs, job)
		fleet.MustSubmit(fleet.Members()[number%3], job)
	}
	for left := machines * 9 / 10; left > 0; left -= maxArrayTasks {
		number++
		job := Array(number, min(left, maxArrayTasks), "a")
		job.CPUs = 8
		submit(job)
	}
	for left := (machines - machines*9/10) * 4; left > 0; left -= replicasPerService {
		number++
		submit(Service(number, min(left, replicasPerService), "a"))
	}
}

// waitForAllRunning waits until all tasks are on machines, and logs how long that took.
func (fleet *largeFleet) waitForAllRunning(phase string, timeout time.Duration) {
	fleet.t.Helper()
	startedAt := time.Now()
	for fleet.Cloud.RunningTaskCount() != fleet.taskCount {
		if time.Since(startedAt) > timeout {
			fleet.t.Fatalf("%s: after %v got %d running tasks, want %d", phase, timeout, fleet.Cloud.RunningTaskCount(), fleet.taskCount)
		}
		time.Sleep(250 * time.Millisecond)
	}
	fleet.t.Logf("%s: all %d tasks run after %v", phase, fleet.taskCount, time.Since(startedAt).Round(time.Millisecond))
}

// checkMachineCount checks that there are at most a tenth more machines than needed. It guards against a
// leader that requests each machine a second time when the machine has booted, because the machine's
// worker has not seen the leader's fencing token yet.
func (fleet *largeFleet) checkMachineCount(needed int) {
	fleet.t.Helper()
	machines := len(fleet.Cloud.MachineNames())
	fleet.t.Logf("%d machines, %d needed", machines, needed)
	if machines > needed+needed/10 {
		fleet.t.Errorf("got %d machines for work that needs %d, want at most a tenth more", machines, needed)
	}
}

// submitAndWaitForJob submits a small job and waits until it runs.
func (fleet *largeFleet) submitAndWaitForJob(number int, timeout time.Duration) {
	fleet.t.Helper()
	startedAt := time.Now()
	job := Array(number, 2, "a")
	fleet.taskCount += job.TaskCount
	fleet.MustSubmit("n0", job)
	fleet.WaitFor(job.ID+" runs", timeout, func() bool { return fleet.GetJob("n1", job.ID).JobState() == wire.JobRunning })
	fleet.t.Logf("a new job runs after %v", time.Since(startedAt).Round(time.Millisecond))
}

// A large fleet boots. All its workers send heartbeats at once after a store outage and after a partition
// from all controllers, a zone is partitioned, the leader restarts, and half of the jobs are cancelled. No
// running task is lost, and jobs that are submitted afterwards start.
func TestLargeFleet(t *testing.T) {
	for _, size := range strings.Split(*fleetSizes, ",") {
		machines, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(size, func(t *testing.T) {
			Run(t, fleetOptions(machines), func(cluster *Cluster) { runLargeFleet(&largeFleet{Cluster: cluster}, machines) })
		})
	}
}

// runLargeFleet runs TestLargeFleet with one fleet size.
func runLargeFleet(fleet *largeFleet, machines int) {
	fleet.submitJobs(machines)
	fleet.waitForAllRunning("after the boot of the fleet", 3*time.Minute)
	fleet.checkMachineCount(machines)
	fleet.Store.SetDown(true)
	time.Sleep(20 * time.Second)
	fleet.Store.SetDown(false)
	fleet.submitAndWaitForJob(900001, 30*time.Second)
	fleet.waitForAllRunning("after a store outage", time.Minute)

	fleet.Network.Partition("all workers", func(a, b string) bool {
		return fleet.isController(a) != fleet.isController(b) && (fleet.isMachine(a) || fleet.isMachine(b))
	})
	time.Sleep(15 * time.Second)
	fleet.Network.Heal("all workers")
	fleet.submitAndWaitForJob(900002, 30*time.Second)
	fleet.waitForAllRunning("after a partition of all workers", time.Minute)

	fleet.PartitionZone("x")
	time.Sleep(20 * time.Second)
	fleet.ReconnectZone("x")
	fleet.submitAndWaitForJob(900003, 30*time.Second)
	fleet.waitForAllRunning("after a partition of a zone", time.Minute)

	fleet.Restart(fleet.Leader(), 3*time.Second)
	fleet.submitAndWaitForJob(900004, 30*time.Second)
	fleet.waitForAllRunning("after a restart of the leader", time.Minute)

	for _, job := range fleet.jobs[:len(fleet.jobs)/2] {
		fleet.MustCancel("n2", job.ID)
		fleet.taskCount -= job.TaskCount
	}
	fleet.waitForAllRunning("after cancellations", fleet.options.Workers.CancellationGrace)
	fleet.t.Logf("%d machines at the end", len(fleet.Cloud.MachineNames()))
}
