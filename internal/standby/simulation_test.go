package standby

import (
	"flag"
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

var (
	historyCount = flag.Int("histories", 300, "generated histories to play")
	firstSeed    = flag.Uint64("first-seed", 1, "seed of the first generated history")
)

// simulation is a generated course of leaders, followers and a network that loses, repeats,
// delays and reorders, with a state service that carries writes out late. Members are of
// three versions: the present one, the one whose replicas knew no doubts, and one without
// replicas, which leads for a moment now and then.
type simulation struct {
	t         *testing.T
	rng       *rand.Rand
	now       clock.Micros
	lockToken uint64 // the token of the lock, and so of the last leader
	// isRecordFirst: the last leader sends nothing without a record of its own.
	isRecordFirst bool

	record        InSyncRecord
	recordVersion uint64

	memberNames     []string
	lastIncarnation uint64
	replicas        map[string]*Replica
	termHistories   map[string]*TermHistory
	isOldVersion    map[string]bool // of the version that knew no doubts
	leader          string          // none if empty
	publisher       *Publisher
	inSyncSet       *InSyncSet

	// running are placements that some leader has sent, and that are not over.
	running map[Placement]bool
	// known are those of the leader, doubts its tasks that may run anywhere, whole the jobs
	// that it told of as one doubt.
	known           map[Placement]bool
	unconfirmed     map[string]bool
	unconfirmedJobs map[string]bool
	pendingStarts   map[uint64]Placement
	lastAttempt     int

	messages                []inFlightMessage
	answers                 []inFlightAnswer
	writes                  []recordWrite
	trustedFailovers        int
	chainedFailovers        int // of those, after a leader that was itself in doubt
	earlierReplicaFailovers int // of those, by the replica of a leader before the last one
	sentStarts              int
}

type inFlightMessage struct {
	to      string
	message *Message
}

type inFlightAnswer struct {
	from     string
	to       *Publisher
	position Position
}

type recordWrite struct {
	record  InSyncRecord
	token   uint64
	version uint64
}

const (
	jobCount, tasksPerJob = 4, 10
	// maxUnconfirmedTasks is how many doubts of a job are left when they are told one by one.
	maxUnconfirmedTasks = 3
)

func jobID(job int) string { return fmt.Sprintf("req-%06d", job) }

func newSimulation(t *testing.T, seed uint64) *simulation {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 5)), memberNames: []string{"a", "b", "c"},
		replicas: map[string]*Replica{}, termHistories: map[string]*TermHistory{}, isOldVersion: map[string]bool{}, running: map[Placement]bool{},
	}
	for _, name := range sim.memberNames {
		sim.restart(name)
	}
	return sim
}

func (sim *simulation) restart(name string) {
	sim.lastIncarnation++
	sim.replicas[name] = NewReplica(sim.lastIncarnation)
	sim.isOldVersion[name] = sim.rng.IntN(5) == 0
	sim.termHistories[name] = &TermHistory{}
	sim.termHistories[name].ObserveTerm(sim.lockToken, sim.isRecordFirst)
	if sim.leader == name {
		sim.leader = ""
	}
}

// trustedPredicate is what a member may conclude if it wins the lock now: which tasks may run.
func (sim *simulation) trustedPredicate(name string) (mayBeRunning func(task string) bool, isTrusted bool) {
	history := sim.termHistories[name]
	table, isTrusted := sim.replicas[name].TrustedTable(sim.record, history, name)
	if !isTrusted {
		return nil, false
	}
	if sim.isOldVersion[name] {
		mayBeRunning = func(task string) bool { return table.countByID[task] > 0 }
		return mayBeRunning, sim.replicas[name].token == sim.record.Token && history.LastToken() == sim.record.Token
	}
	return table.MayBeRunning, true
}

// chooseSuccessor is who leads next: often one that may trust its replica.
func (sim *simulation) chooseSuccessor() string {
	start := sim.rng.IntN(len(sim.memberNames))
	if sim.rng.IntN(2) == 0 {
		for i := range sim.memberNames {
			name := sim.memberNames[(start+i)%len(sim.memberNames)]
			if _, ok := sim.trustedPredicate(name); ok {
				return name
			}
		}
	}
	return sim.memberNames[start]
}

// changeLockHolder has somebody hold the lock, which every member sees.
func (sim *simulation) changeLockHolder(isRecordFirst bool) {
	sim.lockToken += 1 + uint64(sim.rng.IntN(3))
	sim.isRecordFirst = isRecordFirst
	for _, name := range sim.memberNames {
		sim.termHistories[name].ObserveTerm(sim.lockToken, isRecordFirst)
	}
}

// electLeader has a member win the lock, and begin with what it may conclude.
func (sim *simulation) electLeader(name string) {
	mayBeRunning, ok := sim.trustedPredicate(name)
	if ok {
		sim.trustedFailovers++
		if len(sim.unconfirmed) > 0 {
			sim.chainedFailovers++
		}
		if sim.record.Token != sim.lockToken {
			sim.earlierReplicaFailovers++
		}
	} else {
		mayBeRunning = func(string) bool { return true }
	}
	sim.changeLockHolder(!sim.isOldVersion[name])
	sim.leader = name
	others := slices.DeleteFunc(slices.Clone(sim.memberNames), func(other string) bool { return other == name })
	sim.publisher = NewPublisher(sim.lockToken, others)
	sim.inSyncSet = NewInSyncSet(sim.publisher, sim.record, sim.recordVersion, others, sim.now)
	sim.pendingStarts, sim.known, sim.unconfirmed, sim.unconfirmedJobs = map[uint64]Placement{}, map[Placement]bool{}, map[string]bool{}, map[string]bool{}
	for job := range jobCount {
		sim.addUnconfirmed(job, mayBeRunning)
	}
}

func (sim *simulation) addUnconfirmed(job int, mayBeRunning func(task string) bool) {
	var tasks []string
	for i := range tasksPerJob {
		if task := wire.TaskID(jobID(job), i); mayBeRunning(task) {
			tasks = append(tasks, task)
			sim.unconfirmed[task] = true
		}
	}
	if len(tasks) == tasksPerJob {
		sim.unconfirmedJobs[jobID(job)] = true
		sim.publishUnconfirmed(Started, jobID(job))
		return
	}
	for _, task := range tasks {
		sim.publishUnconfirmed(Started, task)
	}
}

// publishUnconfirmed tells of a doubt, as the version that knew none did not.
func (sim *simulation) publishUnconfirmed(kind DecisionKind, id string) {
	if !sim.isOldVersion[sim.leader] {
		sim.publisher.AppendDecision(Decision{kind, UnconfirmedPlacement(id)})
	}
}

// observeRunning has a report tell the leader of a placement that it did not know.
func (sim *simulation) observeRunning(placement Placement) {
	if sim.known[placement] {
		return
	}
	sim.known[placement] = true
	sim.publisher.AppendDecision(Decision{Started, placement})
	sim.resolveUnconfirmed(placement.Task)
}

// resolveUnconfirmed ends the doubt of a task: the leader has proof of where it is, or is not.
func (sim *simulation) resolveUnconfirmed(task string) {
	if !sim.unconfirmed[task] {
		return
	}
	delete(sim.unconfirmed, task)
	job := jobOfTask(task)
	if !sim.unconfirmedJobs[job] {
		sim.publishUnconfirmed(Ended, task)
		return
	}
	var remaining []string
	for other := range sim.unconfirmed {
		if jobOfTask(other) == job {
			remaining = append(remaining, other)
		}
	}
	if len(remaining) > maxUnconfirmedTasks {
		return
	}
	delete(sim.unconfirmedJobs, job)
	for _, other := range remaining {
		sim.publishUnconfirmed(Started, other)
	}
	sim.publishUnconfirmed(Ended, job)
}

// reconcileMachines has every machine accounted for: what no machine has is nowhere.
func (sim *simulation) reconcileMachines() {
	for placement := range sim.running {
		sim.observeRunning(placement)
	}
	for task := range sim.unconfirmed {
		sim.resolveUnconfirmed(task)
	}
}

func (sim *simulation) makeDecision() {
	switch sim.rng.IntN(8) {
	case 0, 1:
		for placement := range sim.running {
			if sim.rng.IntN(4) == 0 && !sim.known[placement] {
				delete(sim.running, placement) // with its machine, of which the leader does not know
			} else if sim.known[placement] {
				delete(sim.running, placement)
				sim.publisher.AppendDecision(Decision{Ended, placement})
			}
			return
		}
	case 2, 3:
		for placement := range sim.running {
			sim.observeRunning(placement)
			return
		}
	case 4:
		if sim.rng.IntN(10) == 0 {
			sim.reconcileMachines()
		}
	default:
		sim.placeTask()
	}
}

// placeTask decides on a start of a task that is nowhere as far as the leader knows.
func (sim *simulation) placeTask() {
	task := wire.TaskID(jobID(sim.rng.IntN(jobCount)), sim.rng.IntN(tasksPerJob))
	if sim.unconfirmed[task] {
		return
	}
	for _, placements := range []iter.Seq[Placement]{maps.Keys(sim.known), maps.Values(sim.pendingStarts)} {
		for placement := range placements {
			if placement.Task == task && (!sim.known[placement] || sim.running[placement]) {
				return
			}
		}
	}
	sim.lastAttempt++
	placement := Placement{Task: task, Attempt: uint64(sim.lastAttempt), Machine: fmt.Sprint("m", sim.rng.IntN(9))}
	sim.pendingStarts[sim.publisher.AppendDecision(Decision{Started, placement})] = placement
}

// sendStarts sends the starts that may be sent.
func (sim *simulation) sendStarts() {
	for sequence, placement := range sim.pendingStarts {
		if !sim.inSyncSet.MaySendStart(sequence) {
			continue
		}
		delete(sim.pendingStarts, sequence)
		for other := range sim.running {
			if other.Task == placement.Task {
				sim.t.Fatalf("%s is started on %s, and runs on %s", placement.Task, placement.Machine, other.Machine)
			}
		}
		sim.running[placement], sim.known[placement] = true, true
		sim.sentStarts++
	}
}

// applyWrite carries a write out, if its conditions hold.
func (sim *simulation) applyWrite(write recordWrite) bool {
	if write.token != sim.lockToken || write.version != sim.recordVersion {
		return false
	}
	sim.recordVersion++
	sim.record = write.record
	for _, name := range sim.memberNames {
		sim.replicas[name].PruneEarlier(sim.record.Token)
	}
	return true
}

func (sim *simulation) writeRecord() {
	if sim.isOldVersion[sim.leader] && len(sim.unconfirmed) > 0 {
		// That version names nobody before its doubts are over.
		sim.applyWrite(recordWrite{InSyncRecord{Token: sim.lockToken}, sim.lockToken, sim.recordVersion})
		sim.inSyncSet.ObserveRecord(sim.record, sim.recordVersion)
		return
	}
	record, version, ok := sim.inSyncSet.BeginWrite(sim.now)
	if !ok {
		return
	}
	write := recordWrite{record, sim.publisher.token, version}
	switch sim.rng.IntN(4) {
	case 0: // no answer, and carried out late if at all
		sim.writes = append(sim.writes, write)
		sim.inSyncSet.MarkWriteUnresolved()
	case 1: // carried out, no answer
		sim.applyWrite(write)
		sim.inSyncSet.MarkWriteUnresolved()
	default:
		if sim.applyWrite(write) {
			sim.inSyncSet.ConfirmWrite(sim.recordVersion)
		} else {
			sim.inSyncSet.RejectWrite()
		}
	}
}

func (sim *simulation) step() {
	sim.now += clock.Micros(sim.rng.IntN(150)) * clock.Millisecond
	switch sim.rng.IntN(12) {
	case 0, 1, 2:
		if sim.leader != "" {
			sim.makeDecision()
		}
	case 3, 4:
		if sim.leader != "" {
			for name := range sim.publisher.followers {
				if message, ok := sim.publisher.NextMessage(name, sim.now); ok {
					sim.messages = append(sim.messages, inFlightMessage{name, message})
				}
			}
		}
	case 5, 6, 7:
		sim.deliverRandom()
	case 8:
		if sim.leader != "" {
			sim.writeRecord()
		}
	case 9:
		if sim.leader != "" && sim.rng.IntN(2) == 0 {
			sim.inSyncSet.ObserveRecord(sim.record, sim.recordVersion)
		}
		if len(sim.writes) > 0 && sim.rng.IntN(2) == 0 {
			sim.applyWrite(sim.writes[sim.rng.IntN(len(sim.writes))])
		}
	case 10:
		switch sim.rng.IntN(18) {
		case 0, 1, 2:
			sim.restart(sim.memberNames[sim.rng.IntN(len(sim.memberNames))])
		case 3:
			history := sim.termHistories[sim.memberNames[sim.rng.IntN(len(sim.memberNames))]]
			history.Reset() // all keys were read anew
			history.ObserveTerm(sim.lockToken, sim.isRecordFirst)
		}
	case 11:
		if sim.leader == "" || sim.rng.IntN(8) == 0 {
			sim.electLeader(sim.chooseSuccessor())
		}
	}
	if sim.leader != "" {
		sim.sendStarts()
	}
	switch sim.rng.IntN(100) {
	case 0:
		sim.leadWithoutReplicas()
	case 1:
		// Something is wrong with a replica, which its digest will tell.
		replica := sim.replicas[sim.memberNames[sim.rng.IntN(len(sim.memberNames))]]
		replica.table.add(Placement{Task: "none", Attempt: uint64(sim.rng.IntN(1000)), Machine: "none"})
	}
	sim.checkInvariants()
}

// leadWithoutReplicas has a controller of a version without replicas lead for a moment: it
// starts what it knows to be nowhere, tells nobody, and leaves the record as it is.
func (sim *simulation) leadWithoutReplicas() {
	sim.changeLockHolder(false)
	sim.leader, sim.unconfirmed = "", nil
	for range sim.rng.IntN(4) {
		task := wire.TaskID(jobID(sim.rng.IntN(jobCount)), sim.rng.IntN(tasksPerJob))
		isRunning := false
		for placement := range sim.running {
			isRunning = isRunning || placement.Task == task
		}
		if !isRunning {
			sim.lastAttempt++
			sim.running[Placement{Task: task, Attempt: uint64(sim.lastAttempt), Machine: "m"}] = true
		}
	}
}

// deliverRandom takes some message and some answer out of the network, or copies of them.
func (sim *simulation) deliverRandom() {
	if n := len(sim.messages); n > 0 {
		i := sim.rng.IntN(n)
		delivery := sim.messages[i]
		isLost, isRepeated := sim.rng.IntN(8) == 0, sim.rng.IntN(5) == 0
		if !isLost && delivery.to != sim.leader {
			sim.answers = append(sim.answers, inFlightAnswer{delivery.to, sim.publisher, sim.applyToReplica(delivery)})
		}
		if !isRepeated {
			sim.messages = append(sim.messages[:i], sim.messages[i+1:]...)
		}
	}
	if n := len(sim.answers); n > 0 {
		i := sim.rng.IntN(n)
		answer := sim.answers[i]
		if sim.rng.IntN(8) > 0 && sim.leader != "" && answer.to == sim.publisher {
			sim.publisher.RecordPosition(answer.from, answer.position)
		}
		if sim.rng.IntN(5) > 0 {
			sim.answers = append(sim.answers[:i], sim.answers[i+1:]...)
		}
	}
}

// applyToReplica has a member take a message. The version that knew no doubts does not tell its
// version; it may be given what was meant for an earlier life of a later version.
func (sim *simulation) applyToReplica(delivery inFlightMessage) Position {
	position := sim.replicas[delivery.to].ApplyMessage(delivery.message)
	if sim.isOldVersion[delivery.to] {
		position.ProtocolVersion = 0
	}
	return position
}

// checkInvariants holds whoever might win the lock now to what must hold.
func (sim *simulation) checkInvariants() {
	for _, name := range sim.memberNames {
		if earlierCount := len(sim.replicas[name].earlier); earlierCount > maxEarlierReplicas {
			sim.t.Fatalf("%s keeps %d earlier replicas", name, earlierCount)
		}
		mayBeRunning, ok := sim.trustedPredicate(name)
		if !ok {
			continue
		}
		for placement := range sim.running {
			if !mayBeRunning(placement.Task) {
				sim.t.Fatalf("%s would start %s, which is on %s", name, placement.Task, placement.Machine)
			}
		}
	}
	if sim.leader != "" && len(sim.publisher.decisionLog) > maxLogDecisions {
		sim.t.Fatalf("%d decisions are kept", len(sim.publisher.decisionLog))
	}
}

// Over generated histories of lost, repeated, late and reordered messages, answers and
// writes, restarts and changes of the lead, nobody who may trust its replica lacks a
// start that was sent; once the network is good again, all come into step.
func TestTrustedReplicasCoverEverySentStart(t *testing.T) {
	trustedFailovers, chainedFailovers, earlierReplicaFailovers, sentStarts := 0, 0, 0, 0
	for i := range *historyCount {
		seed := *firstSeed + uint64(i)
		sim := newSimulation(t, seed)
		for range 1500 {
			sim.step()
		}
		trustedFailovers, chainedFailovers, earlierReplicaFailovers, sentStarts = trustedFailovers+sim.trustedFailovers, chainedFailovers+sim.chainedFailovers, earlierReplicaFailovers+sim.earlierReplicaFailovers, sentStarts+sim.sentStarts
		sim.healNetwork()
	}
	t.Logf("take-overs with a trusted replica: %d, of a leader in doubt %d, of one before the last %d; starts sent: %d", trustedFailovers, chainedFailovers, earlierReplicaFailovers, sentStarts)
	if trustedFailovers < *historyCount || chainedFailovers < *historyCount/2 || earlierReplicaFailovers < *historyCount/20 || sentStarts < 10**historyCount {
		t.Error("the histories show little")
	}
}

// healNetwork ends the troubles and waits until all are in step.
func (sim *simulation) healNetwork() {
	if sim.leader == "" {
		sim.electLeader("a")
	}
	sim.messages, sim.answers = nil, nil
	sim.reconcileMachines()
	for range 200 {
		sim.now += 50 * clock.Millisecond
		for name := range sim.publisher.followers {
			if message, ok := sim.publisher.NextMessage(name, sim.now); ok {
				sim.publisher.RecordPosition(name, sim.applyToReplica(inFlightMessage{name, message}))
			}
		}
		if record, version, ok := sim.inSyncSet.BeginWrite(sim.now); ok {
			if sim.applyWrite(recordWrite{record, sim.publisher.token, version}) {
				sim.inSyncSet.ConfirmWrite(sim.recordVersion)
			} else {
				sim.inSyncSet.RejectWrite()
				sim.inSyncSet.ObserveRecord(sim.record, sim.recordVersion)
			}
		}
		sim.sendStarts()
		sim.checkInvariants()
	}
	if len(sim.pendingStarts) > 0 || len(sim.record.Members) != 2 {
		sim.t.Fatalf("%d starts wait, %v are in step", len(sim.pendingStarts), sim.record.Members)
	}
	for name := range sim.publisher.followers {
		if replica := sim.replicas[name]; replica.table.Digest() != sim.publisher.table.Digest() || replica.table.Len() != sim.publisher.table.Len() {
			sim.t.Fatalf("%s differs", name)
		}
	}
}
