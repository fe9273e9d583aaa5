package scaleout

import (
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// Write is a write of a request's record. It is conditional on the record's version: a write that is
// executed late, or twice, must not undo a later write, since the machines that the later write names
// may have tasks by then.
type Write struct {
	Condition wire.Condition
	Change    wire.Change
}

// BeginWrite returns the write that brings the stored record up to date. The write deletes the record
// if the cloud has answered and no machine is left. The caller has to report the outcome with
// ConfirmWrite or RetryFrom. BeginWrite returns false if another write is in flight, in which case
// ConfirmWrite asks for one more write, or if the record can't be encoded.
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

// ConfirmWrite records that the write in flight is durable as of a revision, and returns the next step.
// The state advances only if the write had the record's current content, and not if it is stale.
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

// RetryFrom ends a write that had a conflict, was not executed, or has an unknown outcome. version is the
// record's version as read back since, or 0 if there is no record. The caller has to begin a write again,
// even if the one that ended was executed after all.
func (request *Request) RetryFrom(version uint64) {
	request.write.isInFlight, request.version = false, version
}
