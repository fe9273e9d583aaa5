package allocation

import (
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Random histories of messages, failures and failovers keep the rules of the protocol, and the
// tracker's sums agree with its placements after each step.
func TestRandomHistories(t *testing.T) {
	starts, completeGangs, replicaFailovers, listedTasks := 0, 0, 0, 0
	for seed := uint64(1); seed <= 4000; seed++ {
		sim := newSimulation(t, seed)
		actions := sim.actions()
		for step := 0; step < 300; step++ {
			actions[sim.rng.IntN(len(actions))]()
			sim.checkFollower()
			sim.checkMachines()
			sim.checkJobs()
		}
		starts += sim.startCount
		completeGangs += sim.completeGangCount
		replicaFailovers += sim.replicaFailoverCount
		listedTasks += sim.stopCount
	}
	t.Logf("%d starts, %d gangs complete, %d failovers with a follower's table, %d cancelled tasks listed", starts, completeGangs, replicaFailovers, listedTasks)
	if starts == 0 || completeGangs < 200 || replicaFailovers < 1000 || listedTasks < 500 {
		t.Fatal("the histories show too little")
	}
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	t.Helper()
	sim := &simulation{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), now: clock.Second, cpuLimit: 5000,
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

// actions are drawn from with equal chance, so some are listed more than once. Their order is part
// of what a seed means.
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

// checkMachines checks that machines with commands due are queued, and that their sums agree with
// their placements.
func (sim *simulation) checkMachines() {
	for _, machine := range sim.tracker.Machines {
		if hasCommandDue(machine) && !machine.isQueued {
			sim.fatal("%s has a command due and is not in the dispatch queue", machine.Name)
		}
		var sum Resources
		machine.ForEachPlacement(func(placement *Placement) { sum = sum.Add(placement.Job.Request) })
		if sum != machine.Used() {
			sim.fatal("usage of %s: %v, placements %v", machine.Name, machine.Used(), sum)
		}
	}
}

// checkJobs checks the counts of jobs and the teams' unconfirmed usage.
func (sim *simulation) checkJobs() {
	unconfirmedByTeam := map[string]int64{} // what unconfirmed tasks without a placement may use
	for id, job := range sim.tracker.Jobs {
		waiting, unconfirmed := 0, 0
		for i := range job.Tasks {
			if job.Tasks[i].State == TaskWaiting {
				waiting++
			}
			if job.Tasks[i].Unconfirmed && job.Tasks[i].Placement == nil {
				unconfirmedByTeam[job.Spec.Team] += job.Request.MilliCPU
			}
			if job.Tasks[i].Unconfirmed {
				unconfirmed++
			}
		}
		if waiting != job.WaitingCount() || unconfirmed != job.UnconfirmedCount() {
			sim.fatal("counts of %s: %d waiting of %d, %d unconfirmed of %d", id, job.WaitingCount(), waiting, job.UnconfirmedCount(), unconfirmed)
		}
	}
	for team, usage := range sim.tracker.unconfirmedUsage {
		if usage.MilliCPU != unconfirmedByTeam[team] {
			sim.fatal("usage of team %s: %d unconfirmed of %d", team, usage.MilliCPU, unconfirmedByTeam[team])
		}
	}
}
