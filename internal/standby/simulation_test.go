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

// simulation is a generated history of leaders and followers. Its network loses, repeats, delays and
// reorders messages, and its key-value store may apply writes late. There are controllers of three
// versions: the present one, the first one with replicas, which has no unconfirmed entries, and one
// without replicas, which leads for a short time now and then.
//
// A seed does not reproduce a history, since actions draw random numbers while they range over maps.
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

	// runningPlacements are the placements whose start was sent by some leader and that have not ended.
	runningPlacements map[Placement]bool
	lastAttempt       int
}

// lockState is the present state of the leader's lock.
type lockState struct {
	lockToken uint64 // token of the leader that acquired the lock last
	// isRecordFirst is whether that leader sends no start before a record of its own is in force.
	isRecordFirst bool
}

// cluster holds the state of the members' processes, by name.
type cluster struct {
	memberNames     []string
	lastIncarnation uint64
	replicas        map[string]*Replica
	termHistories   map[string]*TermHistory
	isFirstVersion  map[string]bool // whether the process is of the first version, without unconfirmed entries
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

// restartMember replaces a member's process, possibly by one of another version.
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

// randomMember returns the name of a random member.
func (sim *simulation) randomMember() string {
	return sim.memberNames[sim.rng.IntN(len(sim.memberNames))]
}

// trustedPredicate returns which tasks may be running according to a member's replica, and whether
// the member could trust the replica if it won the lock now.
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

// step advances the time, performs a random action and checks the invariants.
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

// restartOrResetHistory occasionally restarts a member, or has one miss changes of the lock.
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

// injectFault occasionally has a controller without replicas lead, or corrupts a replica.
func (sim *simulation) injectFault() {
	switch sim.rng.IntN(100) {
	case 0:
		sim.leadWithoutReplicas()
	case 1:
		// The next digest check shows that this replica differs from the leader's table.
		replica := sim.replicas[sim.randomMember()]
		replica.table.add(Placement{Task: "none", Attempt: uint64(sim.rng.IntN(1000)), Machine: "none"})
	}
}

// checkInvariants checks that no member would start a running task if it won the lock now, and that
// the earlier replicas and the decision log stay within their bounds.
func (sim *simulation) checkInvariants() {
	for _, name := range sim.memberNames {
		if earlierCount := len(sim.replicas[name].earlier); earlierCount > maxEarlierReplicas {
			sim.t.Fatalf("member %s keeps %d earlier replicas, want at most maxEarlierReplicas", name, earlierCount)
		}
		mayBeRunning, ok := sim.trustedPredicate(name)
		if !ok {
			continue
		}
		for placement := range sim.runningPlacements {
			if !mayBeRunning(placement.Task) {
				sim.t.Fatalf("trusted replica of member %s lacks task %s, which is running on %s", name, placement.Task, placement.Machine)
			}
		}
	}
	if sim.hasLeader() && len(sim.publisher.decisionLog) > maxLogDecisions {
		sim.t.Fatalf("decision log has %d decisions, want at most maxLogDecisions", len(sim.publisher.decisionLog))
	}
}

// checkAllInSync checks that all followers are in sync and that no start is pending.
func (sim *simulation) checkAllInSync() {
	if len(sim.pendingStarts) > 0 || len(sim.record.Members) != 2 {
		sim.t.Fatalf("after healing: %d pending starts, want 0; members in sync: %v, want 2", len(sim.pendingStarts), sim.record.Members)
	}
	for name := range sim.publisher.followers {
		if table := sim.replicas[name].table; table.Digest() != sim.publisher.table.Digest() || table.Len() != sim.publisher.table.Len() {
			sim.t.Fatalf("replica of member %s differs from the leader's table after healing", name)
		}
	}
}

// Generated histories lose, repeat, delay and reorder messages, answers and writes, restart members and
// change the leader. No trusted replica may lack a start that was sent, and all members must come into
// sync once the network has healed.
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
		t.Error("too few cases covered by the histories; see the counts logged above")
	}
}
