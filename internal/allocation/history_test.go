package allocation

import (
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Random histories of messages, failures and failovers keep the invariants of the protocol, and the
// tracker's counts and sums agree with its placements after each step.
func TestRandomHistories(t *testing.T) {
	starts, completeGangs, replicaFailovers, cancelledListings, unreleased := 0, 0, 0, 0, 0
	for seed := uint64(1); seed <= 4000; seed++ {
		sim := newSimulation(t, seed)
		actions := sim.actions()
		for step := 0; step < 300; step++ {
			actions[sim.rng.IntN(len(actions))]()
			sim.releaseSomeJob()
			sim.checkFollower()
			sim.checkMachines()
			sim.checkJobs()
		}
		starts += sim.startCount
		completeGangs += sim.completeGangCount
		replicaFailovers += sim.replicaFailoverCount
		cancelledListings += sim.cancelledListingCount
		unreleased += sim.unreleasedCount
	}
	t.Logf("%d starts, %d complete gangs, %d failovers with a follower's table, %d listings of cancelled tasks, %d unreleased jobs", starts, completeGangs, replicaFailovers, cancelledListings, unreleased)
	if starts == 0 || completeGangs < 200 || replicaFailovers < 1000 || cancelledListings < 500 || unreleased < 500 {
		t.Fatal("the histories cover too little, want at least 1 start, 200 complete gangs, 1000 failovers with a follower's table, 500 listings of cancelled tasks and 500 unreleased jobs")
	}
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	t.Helper()
	sim := &simulation{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), dependencyRNG: rand.New(rand.NewPCG(seed, 2)), now: clock.Second, cpuLimit: 5 * Unit,
		simulatedJobs: simulatedJobs{specs: map[string]*wire.Job{}, startsRecorded: map[string]bool{}, doneTasks: map[string]map[int]bool{}, cancelled: map[string]bool{}},
	}
	for i := 0; i < 3; i++ {
		sim.newWorker()
	}
	for i := 0; i < 4; i++ {
		sim.newJob()
	}
	sim.failOver()
	return sim
}

// actions returns the actions that each step draws from with equal chance; some are listed more than
// once. Their order must not change, since the history that a seed produces depends on it.
func (sim *simulation) actions() []func() {
	return []func(){
		sim.deliverCommandRequestCopy,
		func() { sim.deliverReply(sim.pickWorker()) },
		sim.deliverHeartbeatCopy,
		sim.renewLeaseAsDelegate,
		sim.replaceSomeMachine,
		sim.sendCommandRequest,
		sim.completeSomeTask,
		sim.stepSomeGang, sim.stepSomeGang,
		sim.toggleHang,
		sim.raiseToken,
		sim.deliverDelayedCommand,
		sim.processDispatchQueue,
		sim.placeSomeJob, sim.placeSomeJob,
		sim.probeSomeWorker,
		sim.exchangeSomeHeartbeat, sim.exchangeSomeHeartbeat, sim.exchangeSomeHeartbeat,
		sim.stopSomeTask,
		sim.maybeFailOver,
		sim.advanceClock,
		sim.cancelSomeJob,
	}
}

// checkMachines checks that machines with a command due are in the dispatch queue, and that the used
// resources of each machine agree with its placements.
func (sim *simulation) checkMachines() {
	for _, machine := range sim.tracker.Machines {
		if hasCommandDue(machine) && !machine.isQueued {
			sim.fatal("machine %s has a command due and is not in the dispatch queue", machine.Name)
		}
		var sum Resources
		machine.ForEachPlacement(func(placement *Placement) { sum = sum.Add(placement.Job.Request) })
		if sum != machine.Used() {
			sim.fatal("machine %s: got used resources %v, want the sum of its placements, %v", machine.Name, machine.Used(), sum)
		}
	}
}

// checkJobs checks the task counts of jobs and the unconfirmed usage of teams.
func (sim *simulation) checkJobs() {
	unconfirmedByTeam := map[string]int64{} // millionths of a CPU that unconfirmed, unplaced tasks may use
	for id, job := range sim.tracker.Jobs {
		waiting, unconfirmed := 0, 0
		for i := range job.Tasks {
			placement := job.Tasks[i].Placement
			if !job.IsReleased() && placement != nil && !placement.Adopted {
				sim.fatal("job %s: task %d was placed while the job's dependencies were %s", id, i, job.Dependencies)
			}
			if job.Dependencies == DependenciesUnmet && placement != nil && !placement.isStopping {
				sim.fatal("job %s: task %d is not being stopped although a dependency is unmet", id, i)
			}
			if job.Tasks[i].State == TaskWaiting {
				waiting++
			}
			if job.Tasks[i].Unconfirmed && job.Tasks[i].Placement == nil {
				unconfirmedByTeam[job.Spec.Team] += job.Request.MicroCPU
			}
			if job.Tasks[i].Unconfirmed {
				unconfirmed++
			}
		}
		if waiting != job.WaitingCount() || unconfirmed != job.UnconfirmedCount() {
			sim.fatal("job %s: got %d waiting tasks, want %d; got %d unconfirmed tasks, want %d", id, job.WaitingCount(), waiting, job.UnconfirmedCount(), unconfirmed)
		}
	}
	for team, usage := range sim.tracker.unconfirmedUsage {
		if usage.MicroCPU != unconfirmedByTeam[team] {
			sim.fatal("team %s: got unconfirmed usage of %d millionths of a CPU, want %d", team, usage.MicroCPU, unconfirmedByTeam[team])
		}
	}
}
