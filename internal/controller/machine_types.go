package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// fetchMachineTypes learns what the cloud has on offer; prices move, so it is asked
// again now and then.
func (controller *Controller) fetchMachineTypes(now clock.Micros) {
	wait := 2 * clock.Second
	if len(controller.machineTypes.list) > 0 {
		if controller.term == nil {
			return
		}
		wait = 60 * clock.Second
	}
	if controller.machineTypes.isFetching || controller.machineTypes.requestedAt != 0 && now-controller.machineTypes.requestedAt < wait {
		return
	}
	controller.machineTypes.isFetching, controller.machineTypes.requestedAt = true, now
	go func() {
		types, err := controller.cloud.MachineTypes()
		controller.postResult(func() {
			controller.machineTypes.isFetching = false
			if err != nil {
				controller.log.Debug("machine types not learnt", "error", err)
				return
			}
			controller.setMachineTypes(types)
			if controller.term != nil {
				controller.term.saveMachineTypes()
			}
		})
	}()
}

func (controller *Controller) setMachineTypes(types []wire.MachineType) {
	controller.machineTypes.list = types
	if controller.term != nil {
		controller.term.scheduler.SetMachineTypes(types)
	}
}

// saveMachineTypes keeps the machine types in the key-value store, for controllers that start
// while the cloud's interface is down. If it fails they are written with the next fetch.
func (term *leaderTerm) saveMachineTypes() {
	value, err := wire.MachineTypeList{Types: term.controller.machineTypes.list}.MarshalJSON()
	if err != nil || len(value) > int(term.controller.cfg.Deployment.Store.Effective().MaxValueKB*1024) {
		term.controller.log.Info("machine types exceed the store's value limit; members get them from the cloud alone", "size_bytes", len(value))
		return
	}
	term.commitHandled(&kvstore.Write{Priority: kvstore.Required, Changes: []wire.Change{{PutKey: records.MachineTypesKey, Value: value}}}, outcomeHandlers{})
}
