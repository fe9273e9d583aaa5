package allocation

import "firwood.dev/firwood/internal/clock"

// AddMachine adds a machine and returns it. If a machine of that name exists, AddMachine returns that
// one unchanged. A machine that is added before FinishRecovery has to be reconciled.
func (tracker *Tracker) AddMachine(name, machineType, zone string, spot bool, capacity Resources, now clock.Micros) *Machine {
	if machine := tracker.Machines[name]; machine != nil {
		return machine
	}
	capacity.ReportBytes = MachineReportBytes
	machine := &Machine{
		MachineSpec:         MachineSpec{Name: name, Type: machineType, Zone: zone, Spot: spot, Capacity: capacity},
		MachineRestrictions: MachineRestrictions{FailedJobs: map[string]bool{}},
		MachineImages:       MachineImages{ImageUsedAt: map[string]clock.Micros{}},
		machineLoad:         machineLoad{placements: map[string]*Placement{}},
		attemptRecords:      attemptRecords{lateStarts: map[attemptKey]bool{}, startTokens: map[attemptKey]uint64{}},
		leaseState:          leaseState{leaseRenewedAt: now},
		CreatedAt:           now,
		BecameIdleAt:        now,
	}
	if tracker.isRecovered {
		machine.Reconciled = true
	} else {
		tracker.unreconciledCount++
	}
	tracker.Machines[name] = machine
	tracker.sortedMachines = nil
	return machine
}

// markReconciled records that this leader knows everything that earlier leaders started on the machine.
func (tracker *Tracker) markReconciled(machine *Machine) {
	if !machine.Reconciled {
		machine.Reconciled = true
		tracker.unreconciledCount--
		tracker.confirmTasksIfReconciled()
	}
}

// confirmTasksIfReconciled ends the unconfirmed state of all tasks once every machine is reconciled:
// a task that no machine has listed by then runs nowhere.
func (tracker *Tracker) confirmTasksIfReconciled() {
	if !tracker.IsReconciled() {
		return
	}
	for _, job := range tracker.Jobs {
		if job.unconfirmedCount == 0 {
			continue
		}
		for i := range job.Tasks {
			tracker.clearUnconfirmed(job, i)
		}
	}
}

// RemoveMachine removes a machine whose deletion the cloud has confirmed, and ends its placements.
func (tracker *Tracker) RemoveMachine(machine *Machine, now clock.Micros) {
	for _, placement := range machine.placements {
		tracker.endPlacement(placement, CauseVanished, now)
	}
	tracker.markReconciled(machine)
	delete(tracker.Machines, machine.Name)
	tracker.sortedMachines = nil
}
