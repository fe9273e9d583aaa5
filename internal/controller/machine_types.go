package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

const (
	// initialTypesFetchInterval is the time between two requests to the cloud for its machine types
	// while none are known.
	initialTypesFetchInterval = 2 * clock.Second
	// typesRefreshInterval is the time between two such requests of a leader once types are known. It
	// fetches them again since prices change.
	typesRefreshInterval = 60 * clock.Second
)

// fetchMachineTypes requests the machine types from the cloud if a request is due.
func (controller *Controller) fetchMachineTypes(now clock.Micros) {
	if !controller.isTypesFetchDue(now) {
		return
	}
	controller.machineTypes.isFetching, controller.machineTypes.requestedAt = true, now
	go func() {
		types, err := controller.cloud.MachineTypes()
		controller.postResult(func() {
			controller.machineTypes.isFetching = false
			if err != nil {
				controller.log.Debug("machine types not fetched", "error", err)
				return
			}
			controller.setMachineTypes(types)
			if controller.term != nil {
				controller.term.SaveMachineTypes()
			}
		})
	}()
}

// isTypesFetchDue reports whether to request the machine types now. Only a leader refreshes types that
// are known.
func (controller *Controller) isTypesFetchDue(now clock.Micros) bool {
	catalog := &controller.machineTypes
	interval := initialTypesFetchInterval
	if len(catalog.list) > 0 {
		if controller.term == nil {
			return false
		}
		interval = typesRefreshInterval
	}
	return !catalog.isFetching && (catalog.requestedAt == 0 || now-catalog.requestedAt >= interval)
}

// setMachineTypes replaces the known machine types by those from the cloud or the store.
func (controller *Controller) setMachineTypes(types []wire.MachineType) {
	controller.machineTypes.list = types
	if controller.term != nil {
		controller.term.SetMachineTypes(types)
	}
}
