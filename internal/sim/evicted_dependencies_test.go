package sim

import (
	"slices"
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

const (
	// dependentCount is how many pairs of a finished job and a running dependent these tests submit.
	dependentCount = 12
	// firstDependent and firstDependency are the numbers of the first jobs of the pairs.
	firstDependent, firstDependency = 500100, 500000
	// slowRead is how long a read of a single key takes while the store is slow: look-ups of evicted jobs
	// are then still under way when a new leader begins.
	slowRead = 700 * time.Millisecond
)

// evictedDependencyOptions returns a deployment whose controllers cache few finished jobs. The first task of
// a job ends after a second; its other tasks run for minutes.
func evictedDependencyOptions() Options {
	options := smallCacheOptions()
	options.TaskDurationStep = longTaskDuration
	return options
}

// dependentJob returns one of several kinds of jobs, which depends on a job.
func dependentJob(i int, dependency string) *wire.Job {
	number := firstDependent + i
	var job *wire.Job
	switch i % 4 {
	case 0:
		job = Array(number, 2, "a")
	case 1:
		job = Array(number, 3, "a")
		job.SingleZone = true
	case 2:
		job = Service(number, 2, "a")
	default:
		job = Array(number, 4, "b")
		job.CPUs = 1
		job.SpreadZones = true
	}
	if job.Kind == wire.KindArray {
		job.EstimatedRunSeconds = longTaskDuration.Seconds()
	}
	job.DependsOn = []string{dependency}
	return job
}

// runDependentsOfEvictedJobs runs jobs whose dependencies are done and then evicted from all caches. It
// returns the dependents, whose long tasks run.
func (cluster *Cluster) runDependentsOfEvictedJobs() []*wire.Job {
	var dependents []*wire.Job
	for i := range dependentCount {
		dependency := Array(firstDependency+i, 1, "a")
		cluster.MustSubmit(cluster.Members()[i%3], dependency)
		job := dependentJob(i, dependency.ID)
		cluster.MustSubmit(cluster.Members()[(i+1)%3], job)
		dependents = append(dependents, job)
	}
	for _, job := range dependents {
		cluster.WaitForRunningTasks(job.ID, longTaskCount(job))
	}
	cluster.finishJobs()
	return dependents
}

// longTaskCount returns how many tasks of a job run for minutes.
func longTaskCount(job *wire.Job) int {
	if job.Kind == wire.KindService {
		return job.TaskCount
	}
	return job.TaskCount - 1
}

// placesOf returns on which machines the tasks of jobs run.
func (cluster *Cluster) placesOf(jobs []*wire.Job) map[string][]string {
	places := map[string][]string{}
	for _, job := range jobs {
		places[job.ID] = cluster.MachinesRunning(job.ID)
		slices.Sort(places[job.ID])
	}
	return places
}

// checkTasksStayed checks that tasks run where they ran before: none was stopped, and none was started again.
func (cluster *Cluster) checkTasksStayed(jobs []*wire.Job, before map[string][]string) {
	cluster.t.Helper()
	for id, after := range cluster.placesOf(jobs) {
		if !slices.Equal(before[id], after) {
			cluster.t.Errorf("machines of the tasks of %s: got %v after the failover, want %v as before", id, after, before[id])
		}
	}
}

// muteHalfOfMachines keeps every other machine from sending heartbeats for less than a lease.
func (cluster *Cluster) muteHalfOfMachines(duration time.Duration) {
	for i, machine := range cluster.Cloud.MachineNames() {
		if i%2 == 0 {
			cluster.Cloud.SetFault(machine, fake.MachineHeartbeatsLost)
			time.AfterFunc(duration, func() { cluster.Cloud.SetFault(machine, fake.MachineHealthy) })
		}
	}
}

// Guards against tasks that run twice after all controllers crash: a new leader took jobs whose finished
// dependencies were not cached for blocked ones, and started their running tasks again.
func TestDependentsOfEvictedJobsRunOnceAfterCrashOfAllMembers(t *testing.T) {
	Run(t, evictedDependencyOptions(), func(cluster *Cluster) {
		dependents := cluster.runDependentsOfEvictedJobs()
		before := cluster.placesOf(dependents)
		cluster.Store.SetReadDelay(slowRead)
		cluster.muteHalfOfMachines(20 * time.Second)
		for _, member := range cluster.Members() {
			cluster.Crash(member)
		}
		time.Sleep(3 * time.Second)
		for _, member := range cluster.Members() {
			cluster.Start(member)
		}
		time.Sleep(40 * time.Second)
		cluster.Store.SetReadDelay(0)
		cluster.checkTasksStayed(dependents, before)
	})
}

// Guards against tasks that run twice after a failover to a follower that still looks up the finished
// dependency of a job which the former leader has started.
func TestDependentsOfEvictedJobsRunOnceAfterFailoverDuringLookup(t *testing.T) {
	Run(t, evictedDependencyOptions(), func(cluster *Cluster) {
		dependencies := []string{}
		for i := range dependentCount {
			dependency := Array(firstDependency+i, 1, "a")
			cluster.MustSubmit(cluster.Members()[i%3], dependency)
			dependencies = append(dependencies, dependency.ID)
		}
		cluster.finishJobs()
		leader := cluster.Leader()
		var dependents []*wire.Job
		for i, dependency := range dependencies {
			job := dependentJob(i, dependency)
			cluster.Store.SetReadDelay(0)
			cluster.MustSubmit(leader, job) // the leader looks the dependency up
			cluster.Store.SetReadDelay(20 * time.Second)
			dependents = append(dependents, job)
			cluster.WaitForRunningTasks(job.ID, job.TaskCount)
		}
		time.Sleep(2 * time.Second) // the first tasks of the arrays end
		before := cluster.placesOf(dependents)
		cluster.muteHalfOfMachines(20 * time.Second)
		cluster.Crash(leader)
		cluster.WaitForNewLeader(leader, 30*time.Second)
		time.Sleep(10 * time.Second)
		cluster.checkTasksStayed(dependents, before)
		cluster.Store.SetReadDelay(0)
		cluster.Start(leader)
		time.Sleep(30 * time.Second)
		cluster.checkTasksStayed(dependents, before)
	})
}

// Guards against tasks that outlive the cancellation of their job, or a broken quota, while a new leader
// still looks up the job's finished dependency, also if one such leader follows the other.
func TestDependentsOfEvictedJobsAreCancelledDuringLookup(t *testing.T) {
	Run(t, evictedDependencyOptions(), func(cluster *Cluster) {
		dependents := cluster.runDependentsOfEvictedJobs()
		before := cluster.placesOf(dependents)
		cluster.Store.SetReadDelay(slowRead)
		for range 2 {
			cluster.muteHalfOfMachines(15 * time.Second)
			for _, member := range cluster.Members() {
				cluster.Crash(member)
			}
			time.Sleep(time.Second)
			for _, member := range cluster.Members() {
				cluster.Start(member)
			}
			cluster.WaitForLeader(30 * time.Second)
			time.Sleep(500 * time.Millisecond)
		}
		cancelled, kept := dependents[:dependentCount/2], dependents[dependentCount/2:]
		for i, job := range cancelled {
			cluster.MustCancel(cluster.Members()[i%3], job.ID)
		}
		for _, job := range cancelled {
			cluster.WaitForNoTasks(job.ID, cluster.options.Workers.CancellationGrace)
		}
		time.Sleep(20 * time.Second)
		cluster.checkTasksStayed(kept, before)
	})
}
