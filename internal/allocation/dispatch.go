package allocation

// queueDispatch notes that a direct message to the machine may be due. What is sent
// then costs as much as changed, not as much as there are machines.
func (tracker *Tracker) queueDispatch(machine *Machine) {
	if !machine.isQueued {
		machine.isQueued = true
		tracker.dispatchQueue = append(tracker.dispatchQueue, machine)
	}
}

// ProcessDispatchQueue calls f for each machine that a direct message may be due to. One for
// which f returns true stays listed.
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

// mayDispatch tells whether a start may be sent as far as followers are concerned. One that
// has to wait is looked at again with RetryUnreplicatedStarts.
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

// RetryUnreplicatedStarts has the starts that waited for followers looked at again.
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
