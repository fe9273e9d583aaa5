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

// BeginWrite makes the write that brings the record up to date. Its outcome is to be reported by
// ConfirmWrite or RetryFrom. False means that a write is under way; the record is then written
// once more after it.
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
// due next.
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

// RetryFrom records the version that the record was read back with, 0 if there is none, after the
// write under way had a conflict, was not executed, or had an unknown outcome. A write is to be
// begun again.
func (request *Request) RetryFrom(version uint64) {
	request.write.isInFlight, request.version = false, version
}
