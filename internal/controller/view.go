package controller

import (
	"errors"
	"strings"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/standby"
	"firwood.dev/firwood/wire"
)

// View is this process's copy of what is in the state service. It is never
// behind by guess: an answer to a user that could be overtaken waits for a
// watch that was opened after the question came, and so proves its revision.
type View struct {
	IsLoaded bool
	Revision uint64
	Jobs     map[string]*Job
	// Progress is the progress of jobs, by the number of its key.
	Progress map[string]map[int]ProgressPart
	// Dependencies are the parts of what jobs await, where those have keys of their own.
	Dependencies map[string]map[int][]string
	ScaleOuts    map[string]*ScaleOut
	Lock         election.Lock
	// Constraints are those of leaders, with its version.
	Constraints        delegation.Constraints
	ConstraintsVersion uint64
	// Standby is the record of those in step with a leader, with its version.
	Standby        standby.InSyncRecord
	StandbyVersion uint64
	// HasArchive: there may be finished jobs in the archive.
	HasArchive bool
	// Terms are those that were seen since all keys were last read.
	Terms standby.TermHistory

	waiters       []*syncWaiter
	syncsInFlight int // syncs under way
	lastSyncAt    clock.Micros
	isPolling     bool
	nextPollAt    clock.Micros
	isLoading     bool
}

type syncWaiter struct {
	callback    func(error)
	deadline    clock.Micros
	hasWatch    bool // a watch that will serve it is under way
	isCompleted bool
}

func (waiter *syncWaiter) complete(err error) {
	if !waiter.isCompleted {
		waiter.isCompleted = true
		waiter.callback(err)
	}
}

var ErrSyncTimeout = errors.New("the state service does not answer")

func (view *View) Reset() {
	view.Jobs = map[string]*Job{}
	view.Progress = map[string]map[int]ProgressPart{}
	view.Dependencies = map[string]map[int][]string{}
	view.ScaleOuts = map[string]*ScaleOut{}
}

// RequestSync calls f once the view is at least as new as this call, or with an
// error when that could not be had in time.
func (view *View) RequestSync(callback func(error), deadline clock.Micros) {
	view.waiters = append(view.waiters, &syncWaiter{callback: callback, deadline: deadline})
}

func (view *View) ExpireWaiters(now clock.Micros) {
	var expired []*syncWaiter
	remaining := view.waiters[:0]
	for _, waiter := range view.waiters {
		switch {
		case waiter.isCompleted:
		case now >= waiter.deadline:
			expired = append(expired, waiter)
		default:
			remaining = append(remaining, waiter)
		}
	}
	clear(view.waiters[len(remaining):])
	view.waiters = remaining
	for _, waiter := range expired {
		waiter.complete(ErrSyncTimeout)
	}
}

func (controller *Controller) logMalformedRecord(key string, err error) {
	controller.store.MalformedResponses.Add(1)
	controller.logDropped("a record makes no sense", "key", key, "error", err)
}

func (controller *Controller) applyPut(key string, value []byte, version uint64) {
	view := &controller.view
	switch {
	case key == records.LockKey:
		var record records.Lock
		if err := record.UnmarshalJSON(value); err != nil {
			controller.logMalformedRecord(key, err)
			return
		}
		if version != view.Terms.LastToken() {
			view.Terms.ObserveTerm(version, record.NeedsStandbyRecord)
			controller.traceObservedFailover(version)
		}
		view.Lock = election.Lock{Exists: true, Holder: record.Member, LeaseID: record.Lease, Version: version}
	case key == records.MachineTypesKey:
		var types wire.MachineTypeList
		if err := types.UnmarshalJSON(value); err != nil {
			controller.logMalformedRecord(key, err)
			return
		}
		if len(controller.machineTypes) == 0 {
			controller.setMachineTypes(types.Types)
		}
	case key == records.ConstraintsKey:
		var record records.Constraints
		if err := record.UnmarshalJSON(value); err != nil {
			controller.logMalformedRecord(key, err)
			return
		}
		controller.applyConstraints(record.Constraints, version)
	case key == records.StandbyKey:
		controller.applyStandbyRecord(value, version)
	case key == records.ArchiveMarkerKey:
		view.HasArchive = true
		controller.recordEviction()
	case strings.HasPrefix(key, records.WorkerContactPrefix):
		var record records.WorkerContact
		if err := record.UnmarshalJSON(value); err != nil {
			controller.logMalformedRecord(key, err)
			return
		}
		controller.applyWorkerContact(key, record)
	case strings.HasPrefix(key, records.JobPrefix):
		id := key[len(records.JobPrefix):]
		record := &Job{}
		if err := record.UnmarshalJSON(value); err != nil {
			controller.logMalformedRecord(key, err)
			return
		}
		record.Version = version
		old := view.Jobs[id]
		if old != nil && old.Version >= version {
			return
		}
		controller.setJobRecord(id, record)
	case strings.HasPrefix(key, records.DependenciesPrefix):
		id, part, ok := records.ParseDependenciesKey(key)
		var record records.Dependencies
		if err := record.UnmarshalJSON(value); err != nil || !ok {
			controller.logMalformedRecord(key, err)
			return
		}
		controller.setDependenciesPart(id, part, record.DependsOn)
	case strings.HasPrefix(key, records.ProgressPrefix):
		controller.applyProgress(key, value, version)
	case strings.HasPrefix(key, records.ScaleOutPrefix):
		record := &ScaleOut{}
		if err := record.UnmarshalJSON(value); err != nil {
			controller.logMalformedRecord(key, err)
			return
		}
		record.Version = version
		view.ScaleOuts[key[len(records.ScaleOutPrefix):]] = record
	}
}

// setJobRecord takes a newer record of a job into the view.
func (controller *Controller) setJobRecord(id string, record *Job) {
	controller.view.Jobs[id] = record
	if record.HasEnded() {
		controller.progressCounts.remove(id)
	}
	if record.IsFinished() {
		controller.finishedJobs.Touch(id)
	}
	controller.cancellations.add(id, record, clock.Now(), clock.WallTime())
	record.IsCancelledByDependency = record.State == "" && controller.dependencyGraph.IsCancelled(id)
	controller.updateDependencyGraph(id, record)
	if controller.term != nil {
		controller.term.applyJobRecord(id, record)
	}
}

// setDependenciesPart takes a part of what a job awaits; its record may have come before.
func (controller *Controller) setDependenciesPart(id string, part int, ids []string) {
	parts := controller.view.Dependencies[id]
	if parts == nil {
		parts = map[int][]string{}
		controller.view.Dependencies[id] = parts
	}
	parts[part] = ids
	if record := controller.view.Jobs[id]; record != nil && !record.HasEnded() && len(parts) == record.DependencyParts {
		controller.setJobRecord(id, record)
	}
}

func (controller *Controller) removeDependenciesPart(key string) {
	id, part, ok := records.ParseDependenciesKey(key)
	if !ok {
		return
	}
	removePart(controller.view.Dependencies, id, part)
}

// removePart takes one of a job's numbered parts away, and the job with the last one.
func removePart[V any](parts map[string]map[int]V, id string, number int) {
	delete(parts[id], number)
	if len(parts[id]) == 0 {
		delete(parts, id)
	}
}

func (controller *Controller) applyDelete(key string) {
	view := &controller.view
	switch {
	case key == records.LockKey:
		view.Lock = election.Lock{}
	case key == records.ArchiveMarkerKey:
		view.HasArchive = false
	case strings.HasPrefix(key, records.JobPrefix):
		if record := view.Jobs[key[len(records.JobPrefix):]]; record != nil {
			record.IsArchived = true // records are deleted for that alone
		}
	case strings.HasPrefix(key, records.ProgressPrefix):
		controller.removeProgress(key)
	case strings.HasPrefix(key, records.DependenciesPrefix):
		controller.removeDependenciesPart(key)
	case strings.HasPrefix(key, records.ScaleOutPrefix):
		delete(view.ScaleOuts, key[len(records.ScaleOutPrefix):])
	}
}
