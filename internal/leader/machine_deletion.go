package leader

import (
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/scaleout"
	"firwood.dev/firwood/wire"
)

// deleteRetryInterval is the delay before a deletion that the cloud did not answer is sent again.
const deleteRetryInterval = clock.Second

// deleteMachine queues the deletion of a machine in the cloud. The machine gets no tasks from now on.
func (term *Term) deleteMachine(machine *allocation.Machine) {
	machineInfo := term.machines[machine.Name]
	if machineInfo == nil || machineInfo.isDeleting {
		return
	}
	machineInfo.isDeleting = true
	machine.Draining = true
	term.deletions.pending = append(term.deletions.pending, machine.Name)
}

// sendDeletes sends the next request to delete machines. At most one request is in flight.
func (term *Term) sendDeletes(now clock.Micros) {
	deletions := &term.deletions
	if len(deletions.pending) == 0 || deletions.isInFlight || now < deletions.nextAt {
		return
	}
	count := min(len(deletions.pending), wire.MaxMachinesPerDelete)
	batch := slices.Clone(deletions.pending[:count])
	deletions.pending = slices.Delete(deletions.pending, 0, count)
	deletions.isInFlight = true
	term.background(func() func() {
		err := term.environment.Cloud.DeleteMachines(batch, term.sendDeadline)
		return func() { term.handleDeleteResult(batch, err) }
	})
}

func (term *Term) handleDeleteResult(batch []string, err error) {
	now := clock.Now()
	term.deletions.isInFlight = false
	if err != nil {
		term.environment.Log.Debug("machine deletion not answered", "machines", len(batch), "error", err)
		term.deletions.pending = append(batch, term.deletions.pending...)
		term.deletions.nextAt = now + deleteRetryInterval
		return
	}
	affected := map[*scaleout.Request]bool{}
	for _, name := range batch {
		if request := term.removeDeletedMachine(name, now); request != nil {
			affected[request] = true
		}
	}
	for request := range affected {
		term.scheduleScaleOutShrink(request)
	}
	term.processTaskEvents(now)
	term.requestPlan()
}

// removeDeletedMachine stops tracking a machine that the cloud has deleted. It returns the scale-out
// request that created the machine, or nil if none is known.
func (term *Term) removeDeletedMachine(name string, now clock.Micros) *scaleout.Request {
	term.deletions.deletedAt[name] = now
	delete(term.listing.unknownSince, name)
	if machine := term.tracker.Machines[name]; machine != nil {
		term.tracker.RemoveMachine(machine, now)
	}
	machineInfo := term.machines[name]
	if machineInfo == nil {
		return nil
	}
	if machineInfo.workerHost != nil {
		machineInfo.workerHost.Close()
	}
	if machineInfo.scaleOut != nil {
		machineInfo.scaleOut.RemoveMachine(name)
	}
	delete(term.machines, name)
	return machineInfo.scaleOut
}
