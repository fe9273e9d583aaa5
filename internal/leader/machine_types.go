package leader

import (
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// SaveMachineTypes stores the machine types in the key-value store, for controllers that start while the
// cloud's API is unavailable. If the write fails, they are written after the next fetch.
func (term *Term) SaveMachineTypes() {
	value, err := wire.MachineTypeList{Types: term.host.MachineTypes()}.MarshalJSON()
	if err != nil || len(value) > int(term.environment.Config.Deployment.Store.Effective().MaxValueKB*1024) {
		term.environment.Log.Info("machine types exceed the store's value limit; members get them from the cloud alone", "size_bytes", len(value))
		return
	}
	term.commitWithHandlers(&kvstore.Write{Priority: kvstore.Required, Changes: []wire.Change{{PutKey: records.MachineTypesKey, Value: value}}}, outcomeHandlers{})
}
