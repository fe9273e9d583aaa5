// Package scaleout tracks scale-out requests: the state of each request, the content that its record
// in the key-value store has to have, and the next step. It does no I/O and reads no clock; the leader
// writes the records, sends the requests and reports the outcomes.
//
// A request's record is durable before the request is sent, so that any later leader knows which
// machines may exist. The machines' names are durable before any of the machines gets tasks. If a
// record has no answer yet, a later leader sends the request again: the cloud gives the same answer
// to a request of the same name.
package scaleout

import (
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// Request is a scale-out request. It exists from its first record until the last of its machines is
// deleted. It is not safe for concurrent use.
type Request struct {
	name        string
	record      records.ScaleOut
	requestedAt clock.Micros
	state       State
	write       recordWrite
	// version is the last known revision of the record, or 0 if there is no record.
	version uint64
	// isShrinkScheduled is true if a write that removes deleted machines from the record is
	// scheduled.
	isShrinkScheduled bool
	// isOver is true if the record was deleted.
	isOver bool
}

// recordWrite is the state of the last write of a request's record.
type recordWrite struct {
	isInFlight bool
	isDelete   bool
	// isStale is true if the record has changed since the write began, so that it has to be
	// written again.
	isStale bool
}

// New returns a request whose record has yet to be written. requestedAt is the current monotonic time,
// and record.RequestedAt the current wall-clock time.
func New(name string, record records.ScaleOut, requestedAt clock.Micros) *Request {
	return &Request{name: name, record: record, requestedAt: requestedAt, state: Recording}
}

// Restore returns the request that belongs to a record written by an earlier leader.
func Restore(name string, record records.ScaleOut, version uint64, requestedAt clock.Micros) *Request {
	request := &Request{name: name, record: record, requestedAt: requestedAt, state: Requesting, version: version}
	if record.IsResolved {
		request.state = Resolved
	}
	return request
}

// Name returns the name that identifies the request to the cloud and in the key-value store.
func (request *Request) Name() string { return request.name }

// State returns the request's state.
func (request *Request) State() State { return request.state }

// RequestedAt returns the monotonic time at which the request was made.
func (request *Request) RequestedAt() clock.Micros { return request.requestedAt }

// Version returns the last known revision of the record, or 0 if there is no record.
func (request *Request) Version() uint64 { return request.version }

// IsAnswered reports whether the cloud has answered the request.
func (request *Request) IsAnswered() bool { return request.state > Requesting }

// IsOver reports whether the record was deleted, because the request no longer has any machines.
func (request *Request) IsOver() bool { return request.isOver }

// Machines returns the names of the request's machines that have not been deleted. The caller must not
// modify the slice.
func (request *Request) Machines() []string { return request.record.Machines }

// CloudRequest returns the request to send to the cloud, which is the same each time.
func (request *Request) CloudRequest() wire.ScaleOutRequest {
	record := &request.record
	return wire.ScaleOutRequest{RequestID: request.name, MachineType: record.Type, Zone: record.Zone, Spot: record.Spot, Count: record.Count}
}

// RecordGrant records the machines that the cloud granted. The caller has to write the record.
func (request *Request) RecordGrant(machines []string) {
	request.state, request.record.IsResolved, request.record.Machines = Granted, true, machines
}

// RecordRefusal records that the cloud granted no machines. The caller has to write the record.
func (request *Request) RecordRefusal() {
	request.state, request.record.IsResolved = Refused, true
}

// RemoveMachine removes a deleted machine from the record. The caller has to write the record; see
// ScheduleShrink. The list of machines is replaced, since the view's record or a caller of Machines may share it.
func (request *Request) RemoveMachine(name string) {
	request.record.Machines = slices.DeleteFunc(slices.Clone(request.record.Machines), func(other string) bool { return other == name })
}

// ScheduleShrink records that a write has to remove deleted machines from the stored record. It reports
// whether the caller has to schedule that write; false means that a write is already scheduled.
func (request *Request) ScheduleShrink() bool {
	if request.isShrinkScheduled {
		return false
	}
	request.isShrinkScheduled = true
	return true
}

// BeginShrink records that the scheduled write begins. Machines removed from now on need another write.
func (request *Request) BeginShrink() { request.isShrinkScheduled = false }
