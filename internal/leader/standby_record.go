package leader

import (
	"encoding/json"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// The durable record of the members whose replicas are in step with a leader. A new leader trusts
// only a replica that the record names.

// writeStandbyRecord writes the record when the members in step have changed.
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
	syncView := term.afterSync(func() {}) // applyStandbyRecord takes what is there
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
