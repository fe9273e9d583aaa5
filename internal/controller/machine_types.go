package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

const (
	// firstTypesInterval is how often the cloud is asked for machine types until they are known,
	// typesRefreshInterval how often a leader asks again: prices change.
	firstTypesInterval   = 2 * clock.Second
	typesRefreshInterval = 60 * clock.Second
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
	interval := firstTypesInterval
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

// SaveMachineTypes keeps the machine types in the key-value store, for controllers that start
// while the cloud's interface is down. If it fails they are written with the next fetch.
func (term *leaderTerm) SaveMachineTypes() {
	value, err := wire.MachineTypeList{Types: term.host.MachineTypes()}.MarshalJSON()
	if err != nil || len(value) > int(term.environment.Config.Deployment.Store.Effective().MaxValueKB*1024) {
		term.environment.Log.Info("machine types exceed the store's value limit; members get them from the cloud alone", "size_bytes", len(value))
		return
	}
	term.commitHandled(&kvstore.Write{Priority: kvstore.Required, Changes: []wire.Change{{PutKey: records.MachineTypesKey, Value: value}}}, outcomeHandlers{})
}
