package health

// Reachability counts machines that have booted, and those of them whose last heartbeat is within the
// heartbeat window.
type Reachability struct{ Up, Reachable int }

// minUpMachines is the least number of booted machines for which it is significant that few of them are
// reachable.
const minUpMachines = 3

// Add counts one machine that has booted.
func (counts *Reachability) Add(isReachable bool) {
	counts.Up++
	if isReachable {
		counts.Reachable++
	}
}

// IsMostlyReachable reports whether the network to these machines works: at least a third of them, and
// at least one, is reachable. A third is enough, since many machines may fail at once.
func (counts Reachability) IsMostlyReachable() bool {
	return counts.Reachable > 0 && 3*counts.Reachable >= counts.Up
}

// IsOnlyLeaderCutOff reports whether the network fault is on the leader's side: fewer than a quarter of
// the machines reach the leader, while at least a third of them contact another member. With fewer than
// minUpMachines machines it reports false.
func (counts Reachability) IsOnlyLeaderCutOff(contactingOther uint32) bool {
	return counts.Up >= minUpMachines && 4*counts.Reachable < counts.Up && 3*int(contactingOther) >= counts.Up
}

// IsFullyUnreachable reports whether no machine is reachable. With fewer than minUpMachines machines it
// reports false.
func (counts Reachability) IsFullyUnreachable() bool {
	return counts.Up >= minUpMachines && counts.Reachable == 0
}
