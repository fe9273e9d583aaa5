package controller

import (
	"maps"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// deletedMachineTTL is how long a deleted machine is remembered at least: late reports of it, and
// lists that lag, mean nothing.
const deletedMachineTTL = 600 * clock.Second

// listMachines reads the cloud's list now and then: for machines that failed, and for
// machines that nobody knows.
func (term *leaderTerm) listMachines(now clock.Micros) {
	if term.listing.isInFlight || now < term.listing.nextAt {
		return
	}
	term.listing.isInFlight = true
	go func() {
		listed, err := term.controller.cloud.ListMachines()
		term.controller.postResult(func() {
			if term.isClosed {
				return
			}
			now := clock.Now()
			term.listing.isInFlight = false
			term.listing.nextAt = now + 10*clock.Second
			if err != nil {
				term.listing.nextAt = now + 3*clock.Second
				return
			}
			names := make(map[string]bool, len(listed))
			for i := range listed {
				term.applyListedMachine(&listed[i], now)
				names[listed[i].ID] = true
			}
			term.deleteUnlisted(names, now)
			maps.DeleteFunc(term.deletions.deletedAt, func(name string, at clock.Micros) bool { return now-at > deletedMachineTTL && !names[name] })
		})
	}()
}

// deleteUnlisted gives up machines that an earlier leader rented, that nobody has heard
// and that the cloud does not list: they are gone, though a record names them.
func (term *leaderTerm) deleteUnlisted(names map[string]bool, now clock.Micros) {
	listLag := clock.FromSeconds(2*term.controller.cfg.Deployment.Cloud.ListLagSeconds) + clock.Second
	for name, machine := range term.tracker.Machines {
		if machine.FirstHeartbeatAt == 0 && machine.CreatedAt < term.liveness.startedAt && !names[name] && now-machine.CreatedAt > term.scheduler.BootTimeout(machine.Type)+listLag {
			term.controller.log.Info("machine not listed", "machine", name)
			term.deleteMachine(machine)
		}
	}
}

func (term *leaderTerm) applyListedMachine(listed *wire.ListedMachine, now clock.Micros) {
	if _, ok := term.deletions.deletedAt[listed.ID]; ok {
		return // the list lags
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
		term.controller.log.Info("machine failed", "machine", listed.ID)
		term.deleteMachine(machine)
	}
}
