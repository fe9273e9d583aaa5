package sim

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/wire"
)

// soakHistories, soakSeed and soakTime select the histories that TestSoakOfShortLivedLeaders runs. It
// runs soakHistories of them, with consecutive seeds beginning with soakSeed. If soakTime is set, it
// runs as many as begin within soakTime of real time instead.
var (
	soakHistories = flag.Int("soak-histories", 24, "how many histories TestSoakOfShortLivedLeaders plays")
	soakSeed      = flag.Uint64("soak-seed", 1, "seed of the first history of TestSoakOfShortLivedLeaders")
	soakTime      = flag.Duration("soak-time", 0, "for how long TestSoakOfShortLivedLeaders begins new histories, in place of -soak-histories")
)

// soakWorkerTimes are the worker times of deployments. The seed of a history selects one of them.
var soakWorkerTimes = []WorkerTimes{
	{LeaseTTL: 36 * time.Second, CancellationGrace: 66 * time.Second, HeartbeatInterval: 6 * time.Second},
	{LeaseTTL: 14 * time.Second, CancellationGrace: 44 * time.Second, HeartbeatInterval: 2 * time.Second},
	{LeaseTTL: 26500 * time.Millisecond, CancellationGrace: 56500 * time.Millisecond, HeartbeatInterval: 5 * time.Second},
}

// soakHistory is a random history with chains of short-lived leaders.
type soakHistory struct {
	*generatedHistory
	heartbeatCopies [][]byte // the machines' last heartbeats when replayOrCopyHeartbeats copied them
}

// Chains of short-lived leaders are combined at random with partitions, machines that lose commands or
// heartbeats, cancellations and late copies of heartbeats. No rule of the protocol is violated, and
// every job that was not cancelled is done in the end, or runs if it is a service.
func TestSoakOfShortLivedLeaders(t *testing.T) {
	startedAt := time.Now()
	mayStartHistory := func(i int) bool {
		if *soakTime > 0 {
			return time.Since(startedAt) < *soakTime
		}
		return i < *soakHistories
	}
	historiesRun := 0
	for ; mayStartHistory(historiesRun); historiesRun++ {
		seed := *soakSeed + uint64(historiesRun)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoakHistory(t, seed) })
	}
	t.Logf("%d histories from seed %d on in %v", historiesRun, *soakSeed, time.Since(startedAt).Round(time.Second))
}

func runSoakHistory(t *testing.T, seed uint64) {
	options := Options{FinishedJobs: FinishedJobOptions{CachedCount: *cachedJobs}, TaskDuration: 100 * time.Second, Workers: soakWorkerTimes[seed%uint64(len(soakWorkerTimes))], Logger: controllerLogger()}
	Run(t, options, func(cluster *Cluster) {
		history := &soakHistory{generatedHistory: &generatedHistory{
			Cluster: cluster, random: rand.New(rand.NewPCG(seed, 11)), cancelRequested: map[string]bool{}, cancelledWithDependency: map[string]bool{}, succeeded: make(chan struct{}, 1000),
		}}
		for range 6 {
			history.submitRandomJob()
		}
		time.Sleep(history.randomDuration(8, 25))
		for range 2 {
			if history.random.IntN(2) == 0 {
				history.runLeaderChain()
			} else {
				history.runLeaderChainForMachine()
			}
			history.submitRandomJob()
			time.Sleep(history.randomDuration(0, 20))
		}
		history.waitForCompletion()
	})
}

// runLeaderChain disrupts the leader, has users cancel one to three jobs, and then disrupts one
// short-lived leader after another while users cancel more jobs. The chain lasts up to 1.3 times the
// cancellation grace less the lease TTL, which is how much longer than a lease a cancelled task may
// run. Finally about nine in ten machines lose their heartbeats, or the replies and commands to them.
func (history *soakHistory) runLeaderChain() {
	workers := history.options.Workers
	history.disruptLeader()
	for range 1 + history.random.IntN(3) {
		history.cancelRandomJob()
		time.Sleep(history.randomDuration(0, 1))
	}
	chainEndsAt := time.Now().Add(history.randomDuration(0.5, 1.3*(workers.CancellationGrace-workers.LeaseTTL).Seconds()))
	for time.Now().Before(chainEndsAt) {
		history.waitForBriefTerm()
		history.replayOrCopyHeartbeats()
		history.disruptLeader()
		if history.random.IntN(4) == 0 {
			history.cancelRandomJob()
		}
	}
	fault := fake.MachineCommandsLost
	if history.random.IntN(2) == 0 {
		fault = fake.MachineHeartbeatsLost
	}
	for _, machine := range history.Cloud.MachineNames() {
		if history.random.IntN(10) > 0 {
			history.injectFault(history.randomDuration(5, 1.5*workers.LeaseTTL.Seconds()), history.machineFault(machine, fault))
		}
	}
	time.Sleep(history.randomDuration(1, workers.LeaseTTL.Seconds()))
}

// runLeaderChainForMachine crashes all controllers again and again, each time right after a leader has
// replied to one machine. The jobs with tasks on that machine are cancelled when the first leader
// crashes. Finally the machine's heartbeats, or the replies and commands to it, are lost for one to
// 1.5 times the lease TTL in whole seconds.
func (history *soakHistory) runLeaderChainForMachine() {
	running := history.Cloud.RunningTasks()
	if len(running) == 0 {
		return
	}
	machine, _, _ := strings.Cut(history.pickName(running), " ")
	history.crashAllMembers()
	for _, line := range running {
		if host, task, _ := strings.Cut(line, " "); host == machine {
			id, _, _ := wire.ParseTaskID(task)
			if !history.cancelRequested[id] {
				history.cancelJob(id)
			}
		}
	}
	workers := history.options.Workers
	chainEndsAt := time.Now().Add(history.randomDuration(1, 1.3) * time.Duration((workers.CancellationGrace - workers.LeaseTTL).Seconds()))
	for time.Now().Before(chainEndsAt) {
		history.waitForReply(machine)
		history.replayOrCopyHeartbeats()
		history.crashAllMembers()
	}
	fault := []fake.MachineFault{fake.MachineCommandsLost, fake.MachineHeartbeatsLost}[history.random.IntN(2)]
	history.injectFault(history.randomDuration(1, 1.5)*time.Duration(workers.LeaseTTL.Seconds()), history.machineFault(machine, fault))
	time.Sleep(workers.LeaseTTL)
}

// crashAllMembers crashes all controllers, and starts each again within 1.5 seconds.
func (history *soakHistory) crashAllMembers() {
	for _, member := range history.Members() {
		history.injectFault(history.randomDuration(0.1, 1.5), history.crashFault(member))
	}
}

// waitForReply waits until some leader has replied to a machine that had not seen its token, for at
// most 15 seconds.
func (history *soakHistory) waitForReply(machine string) {
	before := history.Cloud.SeenToken(machine)
	for waited := time.Duration(0); waited < 15*time.Second && history.Cloud.SeenToken(machine) == before; waited += pollInterval {
		time.Sleep(pollInterval)
	}
}

// waitForBriefTerm lets a leader live until it has replied to one machine, or for up to 7 seconds.
func (history *soakHistory) waitForBriefTerm() {
	machines := history.Cloud.MachineNames()
	if len(machines) == 0 || history.random.IntN(3) == 0 {
		time.Sleep(history.randomDuration(0.1, 7))
		return
	}
	history.waitForReply(history.pickName(machines))
}

// replayOrCopyHeartbeats replays the copied heartbeats, copies the machines' last heartbeats, or does
// neither, at random.
func (history *soakHistory) replayOrCopyHeartbeats() {
	switch history.random.IntN(4) {
	case 0:
		history.ReplayHeartbeats(history.heartbeatCopies)
		history.Cloud.RedeliverCommandRequests()
	case 1:
		history.heartbeatCopies = history.Cloud.LastHeartbeats()
	}
}

// disruptLeader crashes all controllers or only the leader, isolates the leader from the store and its
// peers, has the store reject its requests, or crashes it while a machine has a fault. If there is no
// leader, it takes a random member instead.
func (history *soakHistory) disruptLeader() {
	member := history.Leader()
	if member == "" {
		member = history.pickName(history.Members())
	}
	switch history.random.IntN(8) {
	case 0, 1, 2:
		for _, other := range history.Members() {
			history.injectFault(history.randomDuration(0.1, 3), history.crashFault(other))
		}
	case 3, 4:
		history.injectFault(history.randomDuration(0.1, 3), history.crashFault(member))
	case 5:
		history.injectFault(history.randomDuration(1, 12), history.isolation(member))
	case 6:
		history.injectFault(history.randomDuration(1, 8), history.storeFault(member, fake.StoreRequestsRejected))
	case 7:
		if machines := history.Cloud.MachineNames(); len(machines) > 0 {
			faults := []fake.MachineFault{fake.MachineHanging, fake.MachineCommandsLost, fake.MachineHeartbeatsLost, fake.MachineSlow}
			history.injectFault(history.randomDuration(1, 30), history.machineFault(history.pickName(machines), faults[history.random.IntN(len(faults))]))
		}
		history.injectFault(history.randomDuration(0.1, 3), history.crashFault(member))
	}
}
