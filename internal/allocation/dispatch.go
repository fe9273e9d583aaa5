package allocation

// queueDispatch queues a machine that may need a command request. With the queue, the cost of
// dispatching depends on the number of changes, not on the number of machines.
func (tracker *Tracker) queueDispatch(machine *Machine) {
	if !machine.isQueued {
		machine.isQueued = true
		tracker.dispatchQueue = append(tracker.dispatchQueue, machine)
	}
}

// ProcessDispatchQueue calls dispatch for each machine that may need a command request. It queues the
// machine again if dispatch returns true.
func (tracker *Tracker) ProcessDispatchQueue(dispatch func(*Machine) bool) {
	due := tracker.dispatchQueue
	tracker.dispatchQueue = nil
	for _, machine := range due {
		machine.isQueued = false
		if tracker.Machines[machine.Name] == machine && dispatch(machine) {
			tracker.queueDispatch(machine)
		}
	}
}

// mayDispatch reports whether the start of a placement may be sent, for which enough standbys must have
// the placement. If it may not, the machine waits for RetryUnreplicatedStarts.
func (tracker *Tracker) mayDispatch(placement *Placement) bool {
	if tracker.cfg.Replicator == nil || tracker.cfg.Replicator.MaySendStart(placement.decisionNumber) {
		return true
	}
	if machine := placement.Machine; !machine.isAwaitingReplication {
		machine.isAwaitingReplication = true
		tracker.awaitingReplication = append(tracker.awaitingReplication, machine)
	}
	return false
}

// RetryUnreplicatedStarts queues the machines with starts that had to wait for standbys.
func (tracker *Tracker) RetryUnreplicatedStarts() {
	waiting := tracker.awaitingReplication
	tracker.awaitingReplication = nil
	for _, machine := range waiting {
		machine.isAwaitingReplication = false
		if tracker.Machines[machine.Name] == machine {
			tracker.queueDispatch(machine)
		}
	}
}
