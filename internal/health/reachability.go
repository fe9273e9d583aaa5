package health

// Reachability counts machines that are up, and those of them whose last heartbeat is
// within the heartbeat window.
type Reachability struct{ Up, Reachable int }

// minUpMachines is how many machines have to be up for their silence to mean something.
const minUpMachines = 3

// Add counts one machine that is up.
func (counts *Reachability) Add(isReachable bool) {
	counts.Up++
	if isReachable {
		counts.Reachable++
	}
}

// IsMostlyReachable reports whether the network to these machines works: at least a third of
// them, and at least one, is reachable. A third is enough, since many may fail at once.
func (counts Reachability) IsMostlyReachable() bool {
	return counts.Reachable > 0 && 3*counts.Reachable >= counts.Up
}

// IsOnlyLeaderCutOff tells whether the fault is on the leader's side: fewer than a quarter
// of the machines reach it, while at least a third contact another member.
func (counts Reachability) IsOnlyLeaderCutOff(contactingOther uint32) bool {
	return counts.Up >= minUpMachines && 4*counts.Reachable < counts.Up && 3*int(contactingOther) >= counts.Up
}

// IsFullyUnreachable tells whether no machine is reachable, of enough for that to mean something.
func (counts Reachability) IsFullyUnreachable() bool {
	return counts.Up >= minUpMachines && counts.Reachable == 0
}
