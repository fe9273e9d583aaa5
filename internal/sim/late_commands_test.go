package sim

import (
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// commandCopyInterval is the time between two deliveries of copies of all command requests.
const commandCopyInterval = 500 * time.Millisecond

// redeliverCommands delivers copies of all executed command requests and of the last replies to workers again and again,
// until the returned function is called.
func (cluster *Cluster) redeliverCommands() (stop func()) {
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-done:
				return
			case <-time.After(commandCopyInterval):
				cluster.Cloud.RedeliverCommandRequests()
				cluster.Cloud.RedeliverReplies()
			}
		}
	}()
	return func() { close(done); <-stopped }
}

// lateCommandScenario is what happens to a job of two tasks while copies of its starts arrive.
type lateCommandScenario struct {
	name         string
	taskDuration time.Duration
	disrupt      func(cluster *Cluster, job *wire.Job)
	isCancelled  bool // whether the job is cancelled in the end
}

// moveTasks has each task of a job fail where it runs, until each has started on another machine or again on the same one.
func moveTasks(cluster *Cluster, job *wire.Job) {
	for index := range job.TaskCount {
		cluster.Cloud.FailTask(wire.TaskID(job.ID, index))
	}
	time.Sleep(5 * time.Second)
	cluster.WaitForRunningTasks(job.ID, job.TaskCount)
}

// isolateAndCancel cancels a job at another member while the leader reaches neither the store nor its peers, but its workers.
func isolateAndCancel(cluster *Cluster, job *wire.Job) {
	leader := cluster.Leader()
	cluster.PartitionFromStore(leader)
	cluster.PartitionFromPeers(leader)
	cluster.MustCancel(cluster.OtherMembers(leader)[0], job.ID)
	time.Sleep(20 * time.Second)
	cluster.ReconnectToStore(leader)
	cluster.ReconnectToPeers(leader)
}

// hang has all machines hang for a time.
func hang(cluster *Cluster, duration time.Duration) {
	cluster.SetFaultOnAllMachines(fake.MachineHanging)
	time.Sleep(duration)
	cluster.SetFaultOnAllMachines(fake.MachineHealthy)
}

var lateCommandScenarios = []lateCommandScenario{
	{"tasks complete", 5 * time.Second, func(*Cluster, *wire.Job) {}, false},
	{"job is cancelled", longTaskDuration, func(cluster *Cluster, job *wire.Job) { cluster.MustCancel("n1", job.ID) }, true},
	{"tasks move", longTaskDuration, moveTasks, false},
	{"tasks move, job is cancelled", longTaskDuration, func(cluster *Cluster, job *wire.Job) {
		moveTasks(cluster, job)
		cluster.MustCancel("n1", job.ID)
	}, true},
	{"leader is back within a second", 30 * time.Second, func(cluster *Cluster, job *wire.Job) {
		cluster.Restart(cluster.Leader(), 300*time.Millisecond)
	}, false},
	{"leader is back within a second, tasks move, job is cancelled", longTaskDuration, func(cluster *Cluster, job *wire.Job) {
		cluster.Restart(cluster.Leader(), 300*time.Millisecond)
		cluster.WaitForLeader(20 * time.Second)
		moveTasks(cluster, job)
		cluster.Restart(cluster.Leader(), 300*time.Millisecond)
		cluster.MustCancel("n1", job.ID)
	}, true},
	{"job is cancelled as all controllers are back within a second", longTaskDuration, func(cluster *Cluster, job *wire.Job) {
		for _, member := range cluster.Members() {
			cluster.Crash(member)
		}
		time.Sleep(400 * time.Millisecond)
		for _, member := range cluster.Members() {
			cluster.Start(member)
		}
		cluster.MustCancel("n2", job.ID)
	}, true},
	{"another leader, tasks move", longTaskDuration, func(cluster *Cluster, job *wire.Job) {
		leader := cluster.Leader()
		cluster.Crash(leader)
		cluster.WaitForNewLeader(leader, 20*time.Second)
		moveTasks(cluster, job)
		cluster.Start(leader)
	}, false},
	{"leader is cut off as the job is cancelled", longTaskDuration, isolateAndCancel, true},
	{"machines hang for less than a second", longTaskDuration, func(cluster *Cluster, job *wire.Job) {
		hang(cluster, 800*time.Millisecond)
		moveTasks(cluster, job)
	}, false},
	{"job is cancelled while machines hang", longTaskDuration, func(cluster *Cluster, job *wire.Job) {
		cluster.SetFaultOnAllMachines(fake.MachineHanging)
		cluster.MustCancel("n1", job.ID)
		hang(cluster, 15*time.Second)
	}, true},
	{"machines hang beyond their leases", longTaskDuration, func(cluster *Cluster, job *wire.Job) { hang(cluster, 45*time.Second) }, false},
	{"requests get no response, replies repeat the starts, tasks move", longTaskDuration, func(cluster *Cluster, job *wire.Job) {
		cluster.SetFaultOnAllMachines(fake.MachineSlow)
		moveTasks(cluster, job)
		cluster.SetFaultOnAllMachines(fake.MachineHealthy)
	}, false},
	{"requests get no response, replies repeat the starts, job is cancelled", longTaskDuration, func(cluster *Cluster, job *wire.Job) {
		cluster.SetFaultOnAllMachines(fake.MachineSlow)
		moveTasks(cluster, job)
		cluster.MustCancel("n1", job.ID)
		time.Sleep(10 * time.Second)
		cluster.SetFaultOnAllMachines(fake.MachineHealthy)
	}, true},
	{"delegates renew leases of a cut-off zone, job is cancelled", longTaskDuration, func(cluster *Cluster, job *wire.Job) {
		zone := cluster.Cloud.ZoneOf(cluster.MachinesRunning(job.ID)[0])
		outside := map[string]string{"x": "n1", "y": "n0"}[zone]
		cluster.PartitionZone(zone)
		cluster.WaitFor("a controller outside of the zone cancels the job", time.Minute, func() bool {
			return cluster.Cancel(outside, job.ID).JobState() == wire.JobCancelled
		})
		time.Sleep(40 * time.Second)
		cluster.ReconnectZone(zone)
	}, true},
}

// Guards against tasks that run on two machines at once, or again after they were cancelled or done, because a late copy of a
// start reaches its machine after the start was executed and answered (invariant 2 of package allocation). Copies of
// every command request, and of the last replies while workers accept them, arrive twice a second all the while.
func TestLateCopiesOfExecutedStartsHaveNoEffect(t *testing.T) {
	for _, kind := range []string{wire.KindArray, wire.KindService, wire.KindGang} {
		for _, scenario := range lateCommandScenarios {
			if kind == wire.KindService && scenario.taskDuration != longTaskDuration {
				continue // a service is never done
			}
			t.Run(kind+", "+scenario.name, func(t *testing.T) {
				Run(t, Options{TaskDuration: scenario.taskDuration, Logger: controllerLogger()}, func(cluster *Cluster) { cluster.playLateCommands(kind, scenario) })
			})
		}
	}
}

func (cluster *Cluster) playLateCommands(kind string, scenario lateCommandScenario) {
	defer cluster.redeliverCommands()()
	job := Array(1, 2, "a")
	job.Kind = kind
	filler := Array(2, 3, "a") // has tasks on the same machines, so that these are not deleted when the job's are gone
	filler.Kind = wire.KindService
	cluster.MustRun("n0", filler)
	cluster.MustRun("n0", job)
	scenario.disrupt(cluster, job)
	leases := 3 * cluster.options.Workers.LeaseTTL // within that time the token rises, and exited attempts are reaped
	if scenario.isCancelled {
		cluster.WaitForNoTasks(job.ID, cluster.options.Workers.CancellationGrace)
		lateStarts := len(cluster.Checker.LateStarts())
		time.Sleep(leases)
		if got := cluster.Checker.LateStarts(); len(got) > lateStarts {
			cluster.t.Errorf("tasks that started after all tasks of their cancelled job were gone: got %v, want none", got[lateStarts:])
		}
	} else if scenario.taskDuration != longTaskDuration {
		cluster.WaitForState("n1", job.ID, wire.JobDone, 2*time.Minute)
	}
	time.Sleep(leases)
	if reruns := cluster.Checker.Reruns(); len(reruns) > 0 {
		cluster.t.Errorf("tasks that started again after they were done: got %v, want none", reruns)
	}
	if !scenario.isCancelled && scenario.taskDuration == longTaskDuration {
		cluster.WaitForRunningTasks(job.ID, job.TaskCount)
	}
	if cluster.Cloud.Messages().ExecutedCopies == 0 {
		cluster.t.Error("no copy of a command request was executed, want some")
	}
}
