// Package scaleout has the life of a scale-out request: which state it is in, what its record in
// the key-value store has to be, and what is due next. It does no I/O and reads no clock; the
// leader writes the records, sends the requests and reports what came of that.
//
// A request's record is durable before the request is sent, so that any later leader knows which
// machines may exist, and the machines' names are durable before a machine gets tasks. A later
// leader sends a request again whose record has no answer: the cloud gives the same answer to the
// same name.
package scaleout

import (
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// Request is a scale-out request, from its first record until the last of its machines is deleted.
// It is not safe for concurrent use.
type Request struct {
	name        string
	record      records.ScaleOut
	requestedAt clock.Micros
	state       State
	write       recordWrite
	// version is the revision of the record as last known, 0: there is none.
	version uint64
	// isShrinkScheduled: a write without the machines that were deleted is due.
	isShrinkScheduled bool
	// isOver: the record was deleted.
	isOver bool
}

// recordWrite is the write of a request's record that is under way.
type recordWrite struct {
	isInFlight bool
	isDelete   bool
	// isStale: the record has changed since the write began, so it has to be written again.
	isStale bool
}

// New makes a request whose record is still to be written. requestedAt is the present instant of
// the steady clock, record.RequestedAt that of the time of day.
func New(name string, record records.ScaleOut, requestedAt clock.Micros) *Request {
	return &Request{name: name, record: record, requestedAt: requestedAt, state: Recording}
}

// Restore makes the request of a record that an earlier leader wrote.
func Restore(name string, record records.ScaleOut, version uint64, requestedAt clock.Micros) *Request {
	request := &Request{name: name, record: record, requestedAt: requestedAt, state: Requesting, version: version}
	if record.IsResolved {
		request.state = Resolved
	}
	return request
}

// Name identifies the request, at the cloud and in the key-value store.
func (request *Request) Name() string { return request.name }

// State is where the request is in its life.
func (request *Request) State() State { return request.state }

// RequestedAt is the instant of the steady clock at which the request was made.
func (request *Request) RequestedAt() clock.Micros { return request.requestedAt }

// Version is the revision of the record as last known, 0 if there is none.
func (request *Request) Version() uint64 { return request.version }

// IsAnswered tells whether the cloud has answered the request.
func (request *Request) IsAnswered() bool { return request.state > Requesting }

// IsOver tells whether the record was deleted, because the request has no machines any more.
func (request *Request) IsOver() bool { return request.isOver }

// Machines are the names of the request's machines that are not deleted. The caller must not
// change them.
func (request *Request) Machines() []string { return request.record.Machines }

// CloudRequest is what is sent to the cloud; it is the same each time.
func (request *Request) CloudRequest() wire.ScaleOutRequest {
	record := &request.record
	return wire.ScaleOutRequest{RequestID: request.name, MachineType: record.Type, Zone: record.Zone, Spot: record.Spot, Count: record.Count}
}

// RecordGrant records the machines that the cloud gave. The record is to be written.
func (request *Request) RecordGrant(machines []string) {
	request.state, request.record.IsResolved, request.record.Machines = Granted, true, machines
}

// RecordRefusal records that the cloud gave nothing. The record is to be written.
func (request *Request) RecordRefusal() {
	request.state, request.record.IsResolved = Refused, true
}

// RemoveMachine takes a machine that was deleted out of the record, which is to be written; see
// ScheduleShrink.
func (request *Request) RemoveMachine(name string) {
	request.record.Machines = slices.DeleteFunc(request.record.Machines, func(other string) bool { return other == name })
}

// ScheduleShrink notes that a write without the machines that were deleted is due, and reports
// whether the caller has to schedule it; false means that one is scheduled already.
func (request *Request) ScheduleShrink() bool {
	if request.isShrinkScheduled {
		return false
	}
	request.isShrinkScheduled = true
	return true
}

// BeginShrink records that the scheduled write begins: machines removed from now on need another.
func (request *Request) BeginShrink() { request.isShrinkScheduled = false }
