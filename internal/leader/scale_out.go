package leader

import (
	"errors"
	"fmt"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/cloud"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/scaleout"
	"firwood.dev/firwood/internal/scheduler"
	"firwood.dev/firwood/wire"
)

const (
	// scaleOutVerifyDelay is the time from an unconfirmed write of a request's record until the
	// record is read back.
	scaleOutVerifyDelay = 200 * clock.Millisecond
	// scaleOutRetryInterval is the time after which a request that the cloud didn't answer is sent
	// again. scaleOutEntitlementInterval is the time after which the leader checks again whether it may
	// send a request that it was not entitled to send.
	scaleOutRetryInterval, scaleOutEntitlementInterval = clock.Second, 300 * clock.Millisecond
	// scaleOutShrinkDelay is the time from the deletion of a machine until its request's record is
	// written without it.
	scaleOutShrinkDelay = clock.Second
)

// maxScaleOutsInFlight returns the maximum number of requests in flight: as many as the cloud answers in
// two seconds, but at least two, and otherwise no more than the store's write rate can record in half a
// second, at two writes for each request.
func (term *Term) maxScaleOutsInFlight() int {
	deployment := &term.environment.Config.Deployment
	return max(int(min(2*deployment.Cloud.RPS, deployment.Store.Effective().WriteRPS/4)), 2)
}

// requestScaleOut begins as many requests as the wanted machines take, since the cloud limits the number
// of machines in one request. A request is sent once its record is durable, so that a later leader knows
// which machines may exist.
func (term *Term) requestScaleOut(wanted scheduler.ScaleOutRequest, now clock.Micros) {
	for remaining := wanted.Count; remaining > 0; remaining -= wire.MaxScaleOutCount {
		term.scaleOutSequence++
		name := fmt.Sprintf("%s-%d-%d", term.environment.Config.Member, term.token, term.scaleOutSequence)
		request := scaleout.New(name, records.ScaleOut{
			Type: wanted.Pool.Type, Zone: wanted.Pool.Zone, Spot: wanted.Pool.Spot,
			Count: min(remaining, wire.MaxScaleOutCount), RequestedAt: int64(clock.WallTime()),
		}, now)
		term.scaleOuts[name] = request
		term.writeScaleOutRecord(request, kvstore.Required)
	}
}

// poolOf returns the pool from which a request takes machines.
func poolOf(request *scaleout.Request) scheduler.Pool {
	wanted := request.CloudRequest()
	return scheduler.Pool{Type: wanted.MachineType, Zone: wanted.Zone, Spot: wanted.Spot}
}

// writeScaleOutRecord writes a request's record until the write is confirmed, and then takes the next step
// that is due. If a write of the record is in flight, the record is written again after it. Each write is
// conditional on the record's version: otherwise a write that the store executes late, or twice, could
// remove the names of machines that have tasks by then.
func (term *Term) writeScaleOutRecord(request *scaleout.Request, priority kvstore.Priority) {
	write, ok := request.BeginWrite()
	if !ok {
		return
	}
	rewrite := func() { term.writeScaleOutRecord(request, priority) }
	verify := func() { term.verifyScaleOutRecord(request, rewrite) }
	term.commitWithHandlers(&kvstore.Write{
		Priority: priority, Conditions: []wire.Condition{write.Condition}, Changes: []wire.Change{write.Change},
	}, outcomeHandlers{
		committed: func(revision uint64) {
			step := request.ConfirmWrite(revision)
			if request.IsOver() {
				delete(term.scaleOuts, request.Name())
			}
			switch step {
			case scaleout.StepWriteAgain:
				rewrite()
			case scaleout.StepSend:
				term.sendScaleOut(request)
			case scaleout.StepAdmitMachines:
				term.admitMachines(request)
			case scaleout.StepNone:
			}
		},
		conflict: verify, notExecuted: verify, unknown: verify,
	})
}

// verifyScaleOutRecord reads back the version of a request's record after scaleOutVerifyDelay, and then
// calls rewrite. It retries until the view has been brought up to date.
func (term *Term) verifyScaleOutRecord(request *scaleout.Request, rewrite func()) {
	term.runAfter(scaleOutVerifyDelay, func() {
		term.environment.View.RequestSync(func(err error) {
			switch {
			case term.isClosed:
				return
			case err != nil:
				term.verifyScaleOutRecord(request, rewrite)
				return
			}
			var version uint64
			if record := term.environment.View.ScaleOuts[request.Name()]; record != nil {
				version = record.Version
			}
			request.RetryFrom(version)
			rewrite()
		}, clock.Now()+verifyTimeout)
	})
}

// admitMachines allows tasks on the machines that the request's durable record names.
func (term *Term) admitMachines(request *scaleout.Request) {
	for _, name := range request.Machines() {
		if machine := term.tracker.Machines[name]; machine != nil {
			machine.RecordedInStore = true
		}
	}
	term.requestPlan()
}

// scheduleScaleOutShrink schedules a write of a request's record without its deleted machines. A new
// leader that finds such machines in the record looks for them until the cloud's list lacks them, so the
// write comes soon. But one write covers all machines deleted within the delay, and with a backlog of
// writes it uses only the rate that other writes leave: without this, these writes took half of the
// write rate while a fleet of 4,000 machines was scaled in.
func (term *Term) scheduleScaleOutShrink(request *scaleout.Request) {
	if !request.ScheduleShrink() {
		return
	}
	term.runAfter(scaleOutShrinkDelay, func() {
		request.BeginShrink()
		priority := kvstore.Required
		if term.environment.Store.BacklogDuration() > backlogThreshold {
			priority = kvstore.Background
		}
		term.writeScaleOutRecord(request, priority)
	})
}

// sendScaleOut sends a request to the cloud as soon as the leader is entitled to act.
func (term *Term) sendScaleOut(request *scaleout.Request) {
	if !term.host.IsEntitled() {
		term.runAfter(scaleOutEntitlementInterval, func() { term.sendScaleOut(request) })
		return
	}
	cloudRequest := request.CloudRequest()
	term.background(func() func() {
		machines, err := term.environment.Cloud.ScaleOut(cloudRequest, term.sendDeadline)
		return func() { term.handleScaleOutResult(request, machines, err) }
	})
}

// handleScaleOutResult handles the cloud's response to a request. A request without a response is sent
// again; the cloud executes it only once.
func (term *Term) handleScaleOutResult(request *scaleout.Request, machines []string, err error) {
	now := clock.Now()
	pool, requested := poolOf(request), request.CloudRequest().Count
	term.requestPlan()
	switch {
	case err == nil:
		term.scheduler.ObserveScaleOutResult(pool, requested, len(machines), now)
		term.environment.Log.Debug("scale-out request granted", "request", request.Name(), "zone", pool.Zone, "spot", pool.Spot, "requested", requested, "granted", len(machines))
		request.RecordGrant(machines)
		term.addGrantedMachines(request)
		term.writeScaleOutRecord(request, kvstore.Required)
	case errors.Is(err, cloud.ErrNoCapacity), errors.Is(err, cloud.ErrInvalidRequest):
		term.scheduler.ObserveEmptyPool(pool, now)
		term.environment.Log.Debug("scale-out request refused", "request", request.Name(), "zone", pool.Zone, "spot", pool.Spot, "error", err)
		request.RecordRefusal()
		term.writeScaleOutRecord(request, kvstore.Required)
	default:
		term.environment.Log.Debug("scale-out request not answered", "request", request.Name(), "error", err)
		term.runAfter(scaleOutRetryInterval, func() { term.sendScaleOut(request) })
	}
}

// addGrantedMachines tracks the machines that the cloud granted, except those that were deleted as unknown
// before the response came.
func (term *Term) addGrantedMachines(request *scaleout.Request) {
	for _, name := range request.Machines() {
		delete(term.listing.unknownSince, name)
		if _, isDeleted := term.deletions.deletedAt[name]; !isDeleted {
			term.addMachine(request, name)
		}
	}
}
