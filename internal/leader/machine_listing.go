package leader

import (
	"maps"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

const (
	// deletedMachineTTL is the time for which a deleted machine is remembered. Meanwhile its late
	// heartbeats, and entries in lists that lag behind, don't make it an unknown machine.
	deletedMachineTTL = 600 * clock.Second
	// listInterval is the time between two reads of the cloud's list, listRetryDelay that after a read
	// that failed.
	listInterval   = 10 * clock.Second
	listRetryDelay = 3 * clock.Second
)

// listMachines periodically reads the cloud's list, to find machines that have failed and machines that
// no record names.
func (term *Term) listMachines(now clock.Micros) {
	if term.listing.isInFlight || now < term.listing.nextAt {
		return
	}
	term.listing.isInFlight = true
	term.background(func() func() {
		listed, err := term.environment.Cloud.ListMachines()
		return func() { term.handleList(listed, err) }
	})
}

// handleList applies the cloud's list, or schedules a retry if the read failed.
func (term *Term) handleList(listed []wire.ListedMachine, err error) {
	now := clock.Now()
	term.listing.isInFlight = false
	if err != nil {
		term.listing.nextAt = now + listRetryDelay
		return
	}
	term.listing.nextAt = now + listInterval
	names := make(map[string]bool, len(listed))
	for i := range listed {
		term.applyListedMachine(&listed[i], now)
		names[listed[i].ID] = true
	}
	term.deleteUnlisted(names, now)
	maps.DeleteFunc(term.deletions.deletedAt, func(name string, at clock.Micros) bool { return now-at > deletedMachineTTL && !names[name] })
}

// deleteUnlisted deletes machines of an earlier term that have sent no heartbeat and that the cloud
// doesn't list, although a record names them: they no longer exist.
func (term *Term) deleteUnlisted(names map[string]bool, now clock.Micros) {
	listLag := clock.FromSeconds(2*term.environment.Config.Deployment.Cloud.ListLagSeconds) + clock.Second
	for name, machine := range term.tracker.Machines {
		isMissing := machine.FirstHeartbeatAt == 0 && machine.CreatedAt < term.liveness.startedAt && !names[name]
		if isMissing && now-machine.CreatedAt > term.scheduler.BootTimeout(machine.Type)+listLag {
			term.logDeletion(machine, "not in the cloud's list", term.silenceOf(machine, now))
			term.deleteMachine(machine)
		}
	}
}

// applyListedMachine applies the cloud's information on one machine.
func (term *Term) applyListedMachine(listed *wire.ListedMachine, now clock.Micros) {
	if _, ok := term.deletions.deletedAt[listed.ID]; ok {
		return // the list lags behind the deletion
	}
	machine := term.tracker.Machines[listed.ID]
	if machine == nil {
		term.noteUnknownMachine(listed.ID, now)
		return
	}
	if machine.Address == "" {
		machine.Address = listed.Address
	}
	if machineInfo := term.machines[listed.ID]; machineInfo != nil {
		machineInfo.isListedBooting = listed.State == wire.MachineBooting
	}
	if listed.State == wire.MachineFailed {
		term.logDeletion(machine, "cloud reports failure", term.silenceOf(machine, now))
		term.deleteMachine(machine)
	}
}
