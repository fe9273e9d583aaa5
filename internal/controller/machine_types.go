package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

const (
	// initialTypesFetchInterval is how often the cloud is asked for machine types until they are known,
	// typesRefreshInterval how often a leader asks again: prices change.
	initialTypesFetchInterval = 2 * clock.Second
	typesRefreshInterval      = 60 * clock.Second
)

// fetchMachineTypes asks the cloud for its machine types when that is due.
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

// isTypesFetchDue tells whether machine types are not known, or have to be refreshed by this
// member as leader.
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

// setMachineTypes takes machine types from the cloud or the store.
func (controller *Controller) setMachineTypes(types []wire.MachineType) {
	controller.machineTypes.list = types
	if controller.term != nil {
		controller.term.SetMachineTypes(types)
	}
}
