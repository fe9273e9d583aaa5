package leader

import (
	"encoding/json"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// The store has a durable record of the members whose replicas are in sync with a leader. A new leader
// trusts only a replica that this record names.

// writeStandbyRecord writes the record if the set of members in sync has changed.
func (term *Term) writeStandbyRecord(now clock.Micros) {
	inSync := term.standby.inSync
	record, version, ok := inSync.BeginWrite(now)
	if !ok {
		return
	}
	value, err := json.Marshal(record)
	if err != nil {
		inSync.RejectWrite()
		return
	}
	write := &kvstore.Write{
		Priority:   kvstore.Critical,
		Conditions: []wire.Condition{{Key: records.StandbyKey, Version: version}},
		Changes:    []wire.Change{{PutKey: records.StandbyKey, Value: value}},
	}
	syncView := term.afterSync(func() {}) // ObserveStandbyRecord gets the stored record from the view
	reject := func() {
		inSync.RejectWrite()
		syncView()
	}
	term.commitWithHandlers(write, outcomeHandlers{
		committed: func(revision uint64) {
			inSync.ConfirmWrite(revision)
			term.environment.Log.Debug("in-sync members recorded", "token", record.Token, "members", record.Members)
		},
		conflict:    reject,
		notExecuted: reject,
		unknown:     inSync.MarkWriteUnresolved,
		afterwards:  term.tracker.RetryUnreplicatedStarts,
	})
}
