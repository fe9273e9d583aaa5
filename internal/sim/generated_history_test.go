package sim

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// historyCount is how many generated histories TestGeneratedHistories runs. firstSeed is the seed of the
// first history; each further history has the next higher seed.
var (
	historyCount = flag.Int("histories", 10, "how many histories of overlapping faults TestGeneratedHistories plays")
	firstSeed    = flag.Uint64("first-seed", 1, "seed of the first generated history")
	// cachedJobs is how many finished jobs the controllers of generated histories and of the soak cache.
	cachedJobs = flag.Int("cached-jobs", 0, "how many finished jobs controllers cache in generated histories and in the soak; 0: the default")
)

// generatedHistory is a random sequence of jobs, requests and overlapping faults.
type generatedHistory struct {
	*Cluster
	random *rand.Rand
	jobs   []*wire.Job
	// cancelRequested are the IDs of the jobs whose cancellation a user requested.
	cancelRequested map[string]bool
	// cancelledWithDependency are the IDs of the jobs that are cancelled because one of their
	// dependencies is.
	cancelledWithDependency map[string]bool
	// faultsEndAt is when the last injected fault ends.
	faultsEndAt time.Time
	// heartbeatCopies are bodies of workers' heartbeats to deliver again.
	heartbeatCopies [][]byte
	// startedRequests is how many submissions and cancellations were started.
	startedRequests int
	// succeeded receives a value for each started request when it has succeeded.
	succeeded chan struct{}
}

func (history *generatedHistory) pickName(names []string) string {
	return names[history.random.IntN(len(names))]
}

func (history *generatedHistory) randomDuration(from, to float64) time.Duration {
	return time.Duration((from + history.random.Float64()*(to-from)) * float64(time.Second))
}

// reversibleFault is a fault that can be injected with begin and ended with end.
type reversibleFault struct{ begin, end func() }

// injectFault injects a fault now and ends it after a duration.
func (history *generatedHistory) injectFault(duration time.Duration, fault reversibleFault) {
	fault.begin()
	if end := time.Now().Add(duration); end.After(history.faultsEndAt) {
		history.faultsEndAt = end
	}
	time.AfterFunc(duration, fault.end)
}

func (history *generatedHistory) submitRandomJob() {
	number := len(history.jobs) + 1
	team := []string{"a", "b", "b"}[history.random.IntN(3)]
	var job *wire.Job
	if history.random.IntN(4) == 0 {
		// Services belong to the team without a quota, because they would use up the other team's quota
		// for good.
		job = Service(number, 1+history.random.IntN(3), "a")
	} else {
		job = Array(number, 1+history.random.IntN(4), team)
		switch history.random.IntN(4) {
		case 0:
			job.Zone = history.pickName(zones)
		case 1:
			job.SingleZone = true
		}
	}
	if accepted := history.Checker.AcceptedJobs(); job.Kind == wire.KindArray && len(accepted) > 0 && history.random.IntN(2) == 0 {
		for range 1 + history.random.IntN(2) {
			if id := history.pickName(accepted); !history.Checker.IsService(id) {
				job.DependsOn = append(job.DependsOn, id)
			}
		}
		slices.Sort(job.DependsOn)
		job.DependsOn = slices.Compact(job.DependsOn)
	}
	history.jobs = append(history.jobs, job)
	history.retryInBackground(func(member string) bool { return history.Submit(member, job).JobState() != "" })
}

func (history *generatedHistory) cancelRandomJob() {
	if len(history.jobs) == 0 {
		return
	}
	history.cancelJob(history.jobs[history.random.IntN(len(history.jobs))].ID)
}

// cancelJob requests the cancellation of a job repeatedly until it is confirmed or the job is done. It does
// not wait: the history goes on meanwhile.
func (history *generatedHistory) cancelJob(id string) {
	history.cancelRequested[id] = true
	history.retryInBackground(func(member string) bool {
		response := history.Cancel(member, id)
		if response.Status == 200 {
			history.getJobEverywhere(id)
		}
		return response.Status == 200
	})
}

// retryInBackground retries a request at one controller after the other until it succeeds. It does not
// wait: the history goes on meanwhile.
func (history *generatedHistory) retryInBackground(try func(member string) bool) {
	history.startedRequests++
	members, next := history.Members(), history.random.IntN(3)
	go func() {
		for !try(members[next%len(members)]) {
			next++
			time.Sleep(time.Second)
		}
		history.succeeded <- struct{}{}
	}()
}

// getJobEverywhere reads a job from every controller at once.
func (history *generatedHistory) getJobEverywhere(id string) {
	for _, member := range history.Members() {
		go history.GetJob(member, id)
	}
}

// injectRandomFault injects a random fault, into the leader more often than into other members. The order
// of the cases, and of the random draws in each case, determines the history of a seed: a change of the
// order gives every seed another history.
func (history *generatedHistory) injectRandomFault() {
	member := history.pickName(history.Members())
	if leader := history.Leader(); leader != "" && history.random.IntN(3) > 0 {
		member = leader
	}
	machine := ""
	if machines := history.Cloud.MachineNames(); len(machines) > 0 {
		machine = history.pickName(machines)
	}
	switch history.random.IntN(13) {
	case 0:
		history.injectFault(history.randomDuration(0.2, 4), history.crashFault(member))
	case 1:
		for _, member := range history.Members() {
			history.injectFault(history.randomDuration(0.2, 50), history.crashFault(member))
		}
	case 2:
		history.injectFault(history.randomDuration(1, 20), history.storeFault(member, fake.StoreRequestsRejected))
	case 3:
		// At first the store rejects the requests of this member alone, then those of all members.
		history.injectFault(history.randomDuration(5, 15), history.storeFault(member, fake.StoreRequestsRejected))
		time.Sleep(history.randomDuration(0.2, 3))
		history.injectFault(history.randomDuration(2, 90), history.storeOutage())
	case 4:
		history.injectFault(history.randomDuration(1, 10), history.storeFault(member, fake.StoreRepliesLost))
	case 5:
		history.injectFault(history.randomDuration(1, 10), history.storeFault(member, fake.StoreWritesDelayed))
	case 6:
		history.injectFault(history.randomDuration(5, 50), history.isolation(member))
	case 7:
		history.injectFault(history.randomDuration(5, 50), history.workerPartition(member))
	case 8:
		zone := history.pickName(zones)
		history.injectFault(history.randomDuration(5, 60), history.zonePartition(zone))
	case 9:
		history.injectFault(history.randomDuration(2, 50), history.machineFault(machine, fake.MachineHanging))
	case 10:
		history.injectFault(history.randomDuration(2, 50), history.machineFault(machine, fake.MachineCommandsLost))
	case 11:
		history.injectFault(history.randomDuration(2, 50), history.machineFault(machine, fake.MachineHeartbeatsLost))
	case 12:
		history.injectFault(history.randomDuration(2, 20), history.machineFault(machine, fake.MachineSlow))
	}
}

// crashFault returns a fault that crashes a controller, and starts it again at the end.
func (history *generatedHistory) crashFault(member string) reversibleFault {
	return reversibleFault{func() { history.Crash(member) }, func() { history.Start(member) }}
}

// storeFault returns a fault of the store towards a single controller.
func (history *generatedHistory) storeFault(member string, fault fake.StoreFault) reversibleFault {
	return reversibleFault{func() { history.Store.SetFault(member, fault) }, func() { history.Store.SetFault(member, fake.StoreHealthy) }}
}

// storeOutage returns a fault by which the store is down for all members.
func (history *generatedHistory) storeOutage() reversibleFault {
	return reversibleFault{func() { history.Store.SetDown(true) }, func() { history.Store.SetDown(false) }}
}

// isolation returns a fault that partitions a controller from the store and from its peers.
func (history *generatedHistory) isolation(member string) reversibleFault {
	return reversibleFault{
		func() { history.PartitionFromStore(member); history.PartitionFromPeers(member) },
		func() { history.ReconnectToStore(member); history.ReconnectToPeers(member) },
	}
}

// workerPartition returns a fault that partitions a controller from the machines.
func (history *generatedHistory) workerPartition(member string) reversibleFault {
	return reversibleFault{func() { history.PartitionFromWorkers(member) }, func() { history.ReconnectToWorkers(member) }}
}

// zonePartition returns a fault that partitions a zone from everything outside of it.
func (history *generatedHistory) zonePartition(zone string) reversibleFault {
	return reversibleFault{func() { history.PartitionZone(zone) }, func() { history.ReconnectZone(zone) }}
}

// machineFault returns a fault of a single machine.
func (history *generatedHistory) machineFault(machine string, fault fake.MachineFault) reversibleFault {
	return reversibleFault{func() { history.Cloud.SetFault(machine, fault) }, func() { history.Cloud.SetFault(machine, fake.MachineHealthy) }}
}

func (history *generatedHistory) runRandomStep() {
	switch history.random.IntN(9) {
	case 0, 1, 2:
		history.submitRandomJob()
	case 3, 4:
		history.cancelRandomJob()
	case 5:
		history.injectRandomFault()
	case 6:
		history.heartbeatCopies = history.Cloud.LastHeartbeats()
	case 7:
		history.ReplayHeartbeats(history.heartbeatCopies)
		history.Cloud.RedeliverCommandRequests()
	case 8:
		if len(history.jobs) > 0 {
			history.getJobEverywhere(history.jobs[history.random.IntN(len(history.jobs))].ID)
		}
	}
}

// isCancellationPropagated reports whether a job was cancelled, so that its dependents are cancelled with it.
func (history *generatedHistory) isCancellationPropagated(id string) bool {
	return history.cancelledWithDependency[id] || history.cancelRequested[id] && history.GetJob("n1", id).JobState() == wire.JobCancelled
}

// waitForCompletion waits until all faults have ended. It checks that every request succeeds, that jobs are
// cancelled with their dependencies, and that every other job whose cancellation no user requested is done,
// or running if it is a service. It also checks that no tasks of cancelled jobs remain on machines.
func (history *generatedHistory) waitForCompletion() {
	if left := time.Until(history.faultsEndAt); left > 0 {
		time.Sleep(left)
	}
	time.Sleep(time.Second)
	for range history.startedRequests {
		select {
		case <-history.succeeded:
		case <-time.After(75 * time.Second):
			history.t.Fatal("a request did not succeed within 75s of the previous one after the faults had ended")
		}
	}
	for _, job := range history.jobs {
		if history.cancelRequested[job.ID] || slices.ContainsFunc(job.DependsOn, history.isCancellationPropagated) {
			history.cancelledWithDependency[job.ID] = history.cancelledWithDependency[job.ID] || slices.ContainsFunc(job.DependsOn, history.isCancellationPropagated)
			if history.cancelledWithDependency[job.ID] {
				history.WaitForState(history.pickName(history.Members()), job.ID, wire.JobCancelled, 10*time.Second)
			}
			continue
		}
		state := wire.JobDone
		if job.Kind == wire.KindService {
			state = wire.JobRunning
		}
		history.WaitForState(history.pickName(history.Members()), job.ID, state, 6*time.Minute)
	}
	for id := range history.cancelRequested {
		if history.GetJob("n0", id).JobState() == wire.JobDone {
			continue
		}
		history.WaitForNoTasks(id, history.options.Workers.CancellationGrace)
	}
}

// In generated histories of jobs, cancellations, reads and overlapping faults, no rule of the protocol is
// violated, and every accepted job ends, or runs if it is a service.
func TestGeneratedHistories(t *testing.T) {
	lateStarts := 0
	for i := range *historyCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			options := Options{Logger: controllerLogger(), FinishedJobs: FinishedJobOptions{CachedCount: *cachedJobs}}
			lateStarts += runGeneratedHistory(t, seed, options)
		})
	}
	t.Logf("%d task starts after a confirmed cancellation", lateStarts)
}

// tinyCacheHistoryCount is how many histories TestGeneratedHistoriesWithTinyCache plays.
const tinyCacheHistoryCount = 8

// Guards against the faults of dependencies that are not cached (docs/incidents/dependencies-not-cached.md,
// removed-dependents.md): the histories of TestGeneratedHistories, with controllers that cache two finished jobs.
func TestGeneratedHistoriesWithTinyCache(t *testing.T) {
	for seed := uint64(1); seed <= tinyCacheHistoryCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runGeneratedHistory(t, seed, Options{Logger: controllerLogger(), FinishedJobs: FinishedJobOptions{CachedCount: 2}})
		})
	}
}

// runGeneratedHistory plays the history of a seed and returns how many tasks were started after the confirmed
// cancellation of their job.
func runGeneratedHistory(t *testing.T, seed uint64, options Options) (lateStarts int) {
	if seed%3 == 0 {
		options.Workers = WorkerTimes{LeaseTTL: 14 * time.Second, CancellationGrace: 44 * time.Second, HeartbeatInterval: 2 * time.Second}
	}
	Run(t, options, func(cluster *Cluster) {
		history := &generatedHistory{
			Cluster: cluster, random: rand.New(rand.NewPCG(seed, 7)), cancelRequested: map[string]bool{}, cancelledWithDependency: map[string]bool{}, succeeded: make(chan struct{}, 1000),
		}
		for range 60 {
			time.Sleep(history.randomDuration(0, 6))
			history.runRandomStep()
		}
		history.waitForCompletion()
		for _, start := range cluster.Checker.LateStarts() {
			lateStarts++
			t.Log("late start: ", start)
		}
	})
	return lateStarts
}
