package standby

import (
	"flag"
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/clock"
)

var (
	historyCount = flag.Int("histories", 300, "generated histories to play")
	firstSeed    = flag.Uint64("first-seed", 1, "seed of the first generated history")
)

// simulation is a generated history of leaders, followers and a network that loses, repeats,
// delays and reorders, with a key-value store that carries writes out late. Members are of three
// versions: the present one, the one without unconfirmed entries, and one without replicas, which
// leads for a moment now and then.
//
// Actions draw random numbers while they range over maps, so a seed does not repeat a history.
type simulation struct {
	t   *testing.T
	rng *rand.Rand
	now clock.Micros

	lockState
	cluster
	leaderState
	network
	storedRecord
	statistics

	// running are placements that some leader has sent, and that have not ended.
	runningPlacements map[Placement]bool
	lastAttempt       int
}

// lockState is the last state of the leader's lock.
type lockState struct {
	lockToken uint64 // of the last leader
	// isRecordFirst: the last leader sends no start without a record of its own.
	isRecordFirst bool
}

// cluster has the members' processes, by name.
type cluster struct {
	memberNames     []string
	lastIncarnation uint64
	replicas        map[string]*Replica
	termHistories   map[string]*TermHistory
	isFirstVersion  map[string]bool // of the version without unconfirmed entries
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 5)), runningPlacements: map[Placement]bool{},
		cluster: cluster{
			memberNames: []string{"a", "b", "c"}, replicas: map[string]*Replica{},
			termHistories: map[string]*TermHistory{}, isFirstVersion: map[string]bool{},
		},
	}
	for _, name := range sim.memberNames {
		sim.restartMember(name)
	}
	return sim
}

// restart replaces a member's process, perhaps by one of another version.
func (sim *simulation) restartMember(name string) {
	sim.lastIncarnation++
	sim.replicas[name] = NewReplica(sim.lastIncarnation)
	sim.isFirstVersion[name] = sim.rng.IntN(5) == 0
	sim.termHistories[name] = &TermHistory{}
	sim.termHistories[name].ObserveTerm(sim.lockToken, sim.isRecordFirst)
	if sim.leaderName == name {
		sim.leaderName = ""
	}
}

// randomMember draws the name of a member.
func (sim *simulation) randomMember() string {
	return sim.memberNames[sim.rng.IntN(len(sim.memberNames))]
}

// trustedPredicate returns what a member may conclude if it wins the lock now: which tasks may be
// running.
func (sim *simulation) trustedPredicate(name string) (mayBeRunning func(task string) bool, isTrusted bool) {
	history := sim.termHistories[name]
	table, isTrusted := sim.replicas[name].TrustedTable(sim.record, history, name)
	if !isTrusted {
		return nil, false
	}
	if sim.isFirstVersion[name] {
		mayBeRunning = func(task string) bool { return table.countByID[task] > 0 }
		return mayBeRunning, sim.replicas[name].token == sim.record.Token && history.LastToken() == sim.record.Token
	}
	return table.MayBeRunning, true
}

// step advances the time and performs a random action.
func (sim *simulation) step() {
	sim.now += clock.Micros(sim.rng.IntN(150)) * clock.Millisecond
	switch sim.rng.IntN(12) {
	case 0, 1, 2:
		if sim.hasLeader() {
			sim.makeDecision()
		}
	case 3, 4:
		if sim.hasLeader() {
			sim.publishMessages()
		}
	case 5, 6, 7:
		sim.deliverRandomMessages()
	case 8:
		if sim.hasLeader() {
			sim.writeRecord()
		}
	case 9:
		sim.observeRecordOrApplyDelayedWrite()
	case 10:
		sim.restartOrResetHistory()
	case 11:
		if !sim.hasLeader() || sim.rng.IntN(8) == 0 {
			sim.electLeader(sim.chooseSuccessor())
		}
	}
	if sim.hasLeader() {
		sim.sendStarts()
	}
	sim.injectFault()
	sim.checkInvariants()
}

// restartOrResetHistory restarts a member, or has one miss changes of the lock, now and then.
func (sim *simulation) restartOrResetHistory() {
	switch sim.rng.IntN(18) {
	case 0, 1, 2:
		sim.restartMember(sim.randomMember())
	case 3:
		history := sim.termHistories[sim.randomMember()]
		history.Reset()
		history.ObserveTerm(sim.lockToken, sim.isRecordFirst)
	}
}

// injectFault has a version without replicas lead, or corrupts a replica, now and then.
func (sim *simulation) injectFault() {
	switch sim.rng.IntN(100) {
	case 0:
		sim.leadWithoutReplicas()
	case 1:
		// The digest shows that this replica differs.
		replica := sim.replicas[sim.randomMember()]
		replica.table.add(Placement{Task: "none", Attempt: uint64(sim.rng.IntN(1000)), Machine: "none"})
	}
}

// checkInvariants checks what would hold if any member won the lock now.
func (sim *simulation) checkInvariants() {
	for _, name := range sim.memberNames {
		if earlierCount := len(sim.replicas[name].earlier); earlierCount > maxEarlierReplicas {
			sim.t.Fatalf("%s keeps %d earlier replicas", name, earlierCount)
		}
		mayBeRunning, ok := sim.trustedPredicate(name)
		if !ok {
			continue
		}
		for placement := range sim.runningPlacements {
			if !mayBeRunning(placement.Task) {
				sim.t.Fatalf("%s would start %s, which is on %s", name, placement.Task, placement.Machine)
			}
		}
	}
	if sim.hasLeader() && len(sim.publisher.decisionLog) > maxLogDecisions {
		sim.t.Fatalf("%d decisions are kept", len(sim.publisher.decisionLog))
	}
}

// checkAllInSync checks that all members have come into sync.
func (sim *simulation) checkAllInSync() {
	if len(sim.pendingStarts) > 0 || len(sim.record.Members) != 2 {
		sim.t.Fatalf("%d starts wait, %v are in sync", len(sim.pendingStarts), sim.record.Members)
	}
	for name := range sim.publisher.followers {
		if table := sim.replicas[name].table; table.Digest() != sim.publisher.table.Digest() || table.Len() != sim.publisher.table.Len() {
			sim.t.Fatalf("%s differs", name)
		}
	}
}

// Over generated histories of lost, repeated, late and reordered messages, answers and writes, of
// restarts and changes of the leader, no trusted replica lacks a start that was sent; once the
// network has healed, all members come into sync.
func TestTrustedReplicasCoverEverySentStart(t *testing.T) {
	var total statistics
	for i := range *historyCount {
		sim := newSimulation(t, *firstSeed+uint64(i))
		for range 1500 {
			sim.step()
		}
		total.add(sim.statistics)
		sim.healNetwork()
		sim.checkAllInSync()
	}
	t.Logf("%+v", total)
	if total.trustedFailovers < *historyCount || total.failoversWithUnconfirmed < *historyCount/2 ||
		total.earlierReplicaFailovers < *historyCount/20 || total.sentStarts < 10**historyCount {
		t.Error("too few cases covered")
	}
}
