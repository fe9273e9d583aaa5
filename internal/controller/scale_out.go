package controller

import (
	"errors"
	"fmt"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/cloud"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/scheduler"
	"firwood.dev/firwood/wire"
)

// scaleOutRequest is one from its record on, until the last machine of it is gone.
type scaleOutRequest struct {
	name         string
	record       records.ScaleOut
	requestedAt  clock.Micros
	isResolved   bool // the cloud has answered
	isWriting    bool
	needsRewrite bool // the record has to be written again
	// isShrinkScheduled: a write without the machines that are gone is due.
	isShrinkScheduled bool
	version           uint64 // of the record as last known
}

// maxScaleOutsInFlight bounds the rentals under way: what the cloud answers in a second
// or so, and the two records of each within the rate of writes.
func (term *leaderTerm) maxScaleOutsInFlight() int {
	deployment := &term.controller.cfg.Deployment
	return max(int(min(2*deployment.Cloud.RPS, deployment.Store.Effective().WriteRPS/4)), 2)
}

// requestScaleOut begins a rental: its record comes first, so that whoever leads next knows
// which machines may exist.
func (term *leaderTerm) requestScaleOut(wanted scheduler.ScaleOutRequest, now clock.Micros) {
	for remaining := wanted.Count; remaining > 0; remaining -= wire.MaxScaleOutCount {
		term.scaleOutSequence++
		request := &scaleOutRequest{
			name: fmt.Sprintf("%s-%d-%d", term.controller.cfg.Member, term.token, term.scaleOutSequence), requestedAt: now,
			record: records.ScaleOut{Type: wanted.Pool.Type, Zone: wanted.Pool.Zone, Spot: wanted.Pool.Spot, Count: min(remaining, wire.MaxScaleOutCount), RequestedAt: int64(clock.WallTime())},
		}
		term.scaleOuts[request.name] = request
		term.writeScaleOutRecord(request, kvstore.Required, func() { term.sendScaleOut(request) })
	}
}

// writeScaleOutRecord writes the rental's record until it is durable, then goes on. Each
// write is conditional on the record's version: one that is carried out late, or
// again, must not take back the names of machines that have tasks by then.
func (term *leaderTerm) writeScaleOutRecord(request *scaleOutRequest, priority kvstore.Priority, done func()) {
	if request.isWriting {
		request.needsRewrite = true
		return
	}
	request.isWriting, request.needsRewrite = true, false
	change := wire.Change{PutKey: records.ScaleOutKey(request.name)}
	if request.isResolved && len(request.record.Machines) == 0 {
		change = wire.Change{DeleteKey: records.ScaleOutKey(request.name)}
	} else {
		value, err := request.record.MarshalJSON()
		if err != nil {
			return
		}
		change.Value = value
	}
	isDelete := change.DeleteKey != ""
	write := &kvstore.Write{
		Priority: priority, Conditions: []wire.Condition{{Key: records.ScaleOutKey(request.name), Version: request.version}}, Changes: []wire.Change{change},
	}
	term.commitWithRevision(write, func(outcome kvstore.Outcome, revision uint64) {
		if outcome != kvstore.Committed {
			term.rereadScaleOutVersion(request, func() { term.writeScaleOutRecord(request, priority, done) })
			return
		}
		request.isWriting, request.version = false, revision
		if isDelete {
			request.version = 0
		}
		switch {
		case request.needsRewrite:
			term.writeScaleOutRecord(request, priority, done)
		default:
			if isDelete {
				delete(term.scaleOuts, request.name)
			}
			done()
		}
	})
}

// rereadScaleOutVersion learns the version of a rental's record, a little later.
func (term *leaderTerm) rereadScaleOutVersion(request *scaleOutRequest, done func()) {
	term.runAfter(200*clock.Millisecond, func() {
		term.controller.view.RequestSync(func(err error) {
			switch {
			case term.isClosed:
				return
			case err != nil:
				term.rereadScaleOutVersion(request, done)
				return
			}
			request.isWriting, request.version = false, 0
			if record := term.controller.view.ScaleOuts[request.name]; record != nil {
				request.version = record.Version
			}
			done()
		}, clock.Now()+2*clock.Second)
	})
}

// shrinkDelay is how long the record of a rental waits to be written after one of its
// machines has gone.
const shrinkDelay = clock.Second

// scheduleScaleOutShrink has machines that are gone taken out of a rental's record. A new leader
// that finds them there looks for them until the cloud's list lacks them, so it is done
// soon, but not for each machine at once, and where there is a backlog with what the rate
// has to spare: these records took half of the rate of changes in a fleet of 4,000
// machines that shrank.
func (term *leaderTerm) scheduleScaleOutShrink(request *scaleOutRequest) {
	if request.isShrinkScheduled {
		return
	}
	request.isShrinkScheduled = true
	term.runAfter(shrinkDelay, func() {
		request.isShrinkScheduled = false
		priority := kvstore.Required
		if term.controller.store.BacklogDuration() > backlogThreshold {
			priority = kvstore.Background
		}
		term.writeScaleOutRecord(request, priority, func() {})
	})
}

func (term *leaderTerm) sendScaleOut(request *scaleOutRequest) {
	if !term.controller.isEntitled() {
		term.runAfter(300*clock.Millisecond, func() { term.sendScaleOut(request) })
		return
	}
	cloudRequest := wire.ScaleOutRequest{RequestID: request.name, MachineType: request.record.Type, Zone: request.record.Zone, Spot: request.record.Spot, Count: request.record.Count}
	term.background(func() func() {
		names, err := term.controller.cloud.ScaleOut(cloudRequest, term.mayActUntil)
		return func() { term.handleScaleOutResult(request, names, err) }
	})
}

func (term *leaderTerm) handleScaleOutResult(request *scaleOutRequest, names []string, err error) {
	now := clock.Now()
	pool := scheduler.Pool{Type: request.record.Type, Zone: request.record.Zone, Spot: request.record.Spot}
	term.requestPlan()
	switch {
	case err == nil:
		term.scheduler.ObserveFilled(pool, request.record.Count, len(names), now)
		term.controller.log.Debug("hired", "hire", request.name, "zone", request.record.Zone, "spot", request.record.Spot, "asked", request.record.Count, "got", len(names))
		request.isResolved, request.record.IsResolved, request.record.Machines = true, true, names
		for _, name := range names {
			delete(term.listing.unknownSince, name)
			if _, isDeleted := term.deletions.deletedAt[name]; !isDeleted {
				term.addMachine(request, name)
			}
		}
		term.writeScaleOutRecord(request, kvstore.Required, func() {
			// Only machines that the record names may get tasks.
			for _, name := range request.record.Machines {
				if machine := term.tracker.Machines[name]; machine != nil {
					machine.RecordedInStore = true
				}
			}
			term.requestPlan()
		})
	case errors.Is(err, cloud.ErrNoCapacity), errors.Is(err, cloud.ErrInvalidRequest):
		term.scheduler.ObserveEmptyPool(pool, now)
		term.controller.log.Debug("nothing to hire", "hire", request.name, "zone", request.record.Zone, "spot", request.record.Spot, "error", err)
		request.isResolved, request.record.IsResolved = true, true
		term.writeScaleOutRecord(request, kvstore.Required, func() {})
	default:
		term.controller.log.Debug("hire not answered", "hire", request.name, "error", err)
		term.runAfter(clock.Second, func() { term.sendScaleOut(request) })
	}
}

// deleteMachine returns a machine to the cloud.
func (term *leaderTerm) deleteMachine(machine *allocation.Machine) {
	machineInfo := term.machines[machine.Name]
	if machineInfo == nil || machineInfo.isDeleting {
		return
	}
	machineInfo.isDeleting = true
	machine.Draining = true
	term.deletions.pending = append(term.deletions.pending, machine.Name)
}

func (term *leaderTerm) sendDeletes(now clock.Micros) {
	if len(term.deletions.pending) == 0 || term.deletions.isInFlight || now < term.deletions.nextAt {
		return
	}
	count := min(len(term.deletions.pending), wire.MaxMachinesPerDelete)
	batch := slices.Clone(term.deletions.pending[:count])
	term.deletions.pending = slices.Delete(term.deletions.pending, 0, count)
	term.deletions.isInFlight = true
	term.background(func() func() {
		err := term.controller.cloud.DeleteMachines(batch, term.mayActUntil)
		return func() { term.handleDeleteResult(batch, err) }
	})
}

func (term *leaderTerm) handleDeleteResult(batch []string, err error) {
	now := clock.Now()
	term.deletions.isInFlight = false
	if err != nil {
		term.controller.log.Debug("deletion not answered", "error", err)
		term.deletions.pending = append(batch, term.deletions.pending...)
		term.deletions.nextAt = now + clock.Second
		return
	}
	affected := map[*scaleOutRequest]bool{}
	for _, name := range batch {
		term.deletions.deletedAt[name] = now
		delete(term.listing.unknownSince, name)
		if machine := term.tracker.Machines[name]; machine != nil {
			term.tracker.RemoveMachine(machine, now)
		}
		if machineInfo := term.machines[name]; machineInfo != nil {
			if machineInfo.host != nil {
				machineInfo.host.Close()
			}
			if machineInfo.scaleOut != nil {
				machineInfo.scaleOut.record.Machines = slices.DeleteFunc(machineInfo.scaleOut.record.Machines, func(other string) bool { return other == name })
				affected[machineInfo.scaleOut] = true
			}
			delete(term.machines, name)
		}
	}
	for request := range affected {
		term.scheduleScaleOutShrink(request)
	}
	term.processTaskEvents(now)
	term.requestPlan()
}
