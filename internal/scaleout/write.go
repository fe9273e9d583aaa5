package scaleout

import (
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// Write is a write of a request's record. It is conditional on the record's version: one that is
// executed late, or twice, must not undo a later one, which may name machines that have tasks by
// then.
type Write struct {
	Condition wire.Condition
	Change    wire.Change
}

// BeginWrite makes the write that brings the record up to date; it deletes the record once the
// cloud has answered and no machine is left. The caller has to report the outcome with
// ConfirmWrite or RetryFrom. False means that a write is under way, after which ConfirmWrite asks
// for one more, or that the record can't be encoded.
func (request *Request) BeginWrite() (Write, bool) {
	if request.write.isInFlight {
		request.write.isStale = true
		return Write{}, false
	}
	key := records.ScaleOutKey(request.name)
	write := Write{Condition: wire.Condition{Key: key, Version: request.version}}
	isDelete := request.IsAnswered() && len(request.record.Machines) == 0
	if isDelete {
		write.Change = wire.Change{DeleteKey: key}
	} else {
		value, err := request.record.MarshalJSON()
		if err != nil {
			return Write{}, false
		}
		write.Change = wire.Change{PutKey: key, Value: value}
	}
	request.write = recordWrite{isInFlight: true, isDelete: isDelete}
	return write, true
}

// ConfirmWrite records that the write under way is durable since a revision, and returns what is
// due next. The state only moves on with a write of the record as it is now, not with a stale one.
func (request *Request) ConfirmWrite(revision uint64) Step {
	write := request.write
	request.write.isInFlight, request.version = false, revision
	if write.isDelete {
		request.version = 0
	}
	if write.isStale {
		return StepWriteAgain
	}
	request.isOver = request.isOver || write.isDelete
	switch request.state {
	case Recording:
		request.state = Requesting
		return StepSend
	case Granted:
		request.state = Resolved
		return StepAdmitMachines
	case Refused:
		request.state = Resolved
	}
	return StepNone
}

// RetryFrom ends a write that had a conflict, was not executed, or whose outcome is unknown.
// version is what the record was read back with since, 0 if there is none. The caller has to begin
// a write again, also if the one that ended was executed after all.
func (request *Request) RetryFrom(version uint64) {
	request.write.isInFlight, request.version = false, version
}
