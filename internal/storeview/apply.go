package storeview

import (
	"encoding/json"
	"errors"
	"strings"

	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/standby"
	"firwood.dev/firwood/wire"
)

var (
	errMalformedKey   = errors.New("the key does not end in a job id, a slash and a number")
	errEmptyJob       = errors.New("the record has neither a submission nor a state")
	errTaskOutOfRange = errors.New("the first task's number is below 0 or not below the maximum number of tasks")
)

// Apply applies the changes in a watch's response and returns how many of them were new to the view.
// It skips changes up to the view's revision, since the responses of watches may overlap.
func (view *View) Apply(response *wire.WatchResponse) (applied int) {
	for i := range response.Events {
		event := &response.Events[i]
		if event.Version <= view.Revision {
			continue
		}
		applied++
		if event.DeleteKey != "" {
			view.applyDelete(event.DeleteKey, event.Version)
		} else {
			view.ApplyPut(event.PutKey, event.Value, event.Version)
		}
	}
	view.Revision = max(view.Revision, response.Revision)
	return applied
}

// ApplyPut stores the value of a key, which was written at revision version.
func (view *View) ApplyPut(key string, value []byte, version uint64) {
	if err := view.put(key, value, version); err != nil {
		view.observer.RecordRejected(key, err)
	}
}

// put passes a value to the method for its kind. It ignores keys of unknown kinds, which later
// versions may write.
func (view *View) put(key string, value []byte, version uint64) error {
	switch {
	case key == records.LockKey:
		return view.putLock(value, version)
	case key == records.MachineTypesKey:
		return view.putMachineTypes(value)
	case key == records.ConstraintsKey:
		return view.putConstraints(value, version)
	case key == records.StandbyKey:
		view.putStandby(value, version)
	case key == records.ArchiveMarkerKey:
		view.HasArchive = true
		view.observer.ArchiveMarkerRead()
	case strings.HasPrefix(key, records.WorkerContactPrefix):
		return view.putWorkerContact(key, value)
	case strings.HasPrefix(key, records.JobPrefix):
		return view.putJob(key, value, version)
	case strings.HasPrefix(key, records.DependenciesPrefix):
		return view.putDependencies(key, value)
	case strings.HasPrefix(key, records.ProgressPrefix):
		return view.putProgress(key, value, version)
	case strings.HasPrefix(key, records.ScaleOutPrefix):
		return view.putScaleOut(key, value, version)
	}
	return nil
}

func (view *View) putLock(value []byte, version uint64) error {
	var record records.Lock
	if err := record.UnmarshalJSON(value); err != nil {
		return err
	}
	if version != view.Terms.LastToken() {
		view.Terms.ObserveTerm(version, record.NeedsStandbyRecord)
		view.observer.TermObserved(version)
	}
	view.Lock = election.Lock{Exists: true, Holder: record.Member, LeaseID: record.Lease, Version: version}
	return nil
}

func (view *View) putMachineTypes(value []byte) error {
	var types wire.MachineTypeList
	if err := types.UnmarshalJSON(value); err != nil {
		return err
	}
	view.observer.MachineTypesRead(types.Types)
	return nil
}

func (view *View) putConstraints(value []byte, version uint64) error {
	var record records.Constraints
	if err := record.UnmarshalJSON(value); err != nil {
		return err
	}
	view.SetConstraints(record.Constraints, version)
	return nil
}

// putStandby stores the record of in-sync members. A record that can't be decoded is taken as one
// without members, since the record before it may name members that are no longer in sync.
func (view *View) putStandby(value []byte, version uint64) {
	view.Standby, view.StandbyVersion = standby.InSyncRecord{}, version
	if err := json.Unmarshal(value, &view.Standby); err != nil {
		view.Standby = standby.InSyncRecord{}
		view.observer.RecordRejected(records.StandbyKey, err)
	}
	view.observer.StandbyChanged(view.Standby, version)
}

func (view *View) putWorkerContact(key string, value []byte) error {
	var record records.WorkerContact
	if err := record.UnmarshalJSON(value); err != nil {
		return err
	}
	view.observer.WorkerContactRead(strings.TrimPrefix(key, records.WorkerContactPrefix), record)
	return nil
}

// putJob stores a job's record unless the view already has that record or a newer one, from this
// process's own writes or another member's message.
func (view *View) putJob(key string, value []byte, version uint64) error {
	id := strings.TrimPrefix(key, records.JobPrefix)
	job := &Job{}
	if err := job.UnmarshalJSON(value); err != nil {
		return err
	}
	if job.Spec == nil && job.State == "" {
		return errEmptyJob
	}
	job.Version = version
	if known := view.Jobs[id]; known != nil && known.Version >= version {
		return nil
	}
	view.SetJob(id, job)
	return nil
}

func (view *View) putDependencies(key string, value []byte) error {
	id, part, ok := records.ParseDependenciesKey(key)
	var record records.Dependencies
	if err := record.UnmarshalJSON(value); err != nil {
		return err
	}
	if !ok {
		return errMalformedKey
	}
	view.SetDependencies(id, part, record.DependsOn)
	return nil
}

func (view *View) putProgress(key string, value []byte, version uint64) error {
	id, number, ok := records.ParseProgressKey(key)
	var record records.Progress
	if err := record.UnmarshalJSON(value); err != nil {
		return err
	}
	part, err := record.Decode()
	switch {
	case err != nil:
		return err
	case !ok:
		return errMalformedKey
	case part.FirstTask < 0 || part.FirstTask >= wire.MaxTasks:
		return errTaskOutOfRange
	}
	parts := view.Progress[id]
	if parts == nil {
		parts = map[int]ProgressPart{}
		view.Progress[id] = parts
	}
	parts[number] = ProgressPart{ProgressPart: part, Version: version}
	return nil
}

func (view *View) putScaleOut(key string, value []byte, version uint64) error {
	request := &ScaleOut{}
	if err := request.UnmarshalJSON(value); err != nil {
		return err
	}
	request.Version = version
	view.ScaleOuts[strings.TrimPrefix(key, records.ScaleOutPrefix)] = request
	return nil
}

// applyDelete removes what the view holds of a deleted key. It ignores keys that are never deleted and
// keys whose deletion changes nothing in the view.
func (view *View) applyDelete(key string, version uint64) {
	switch {
	case key == records.LockKey:
		view.Lock = election.Lock{}
	case key == records.ArchiveMarkerKey:
		view.HasArchive = false
	case strings.HasPrefix(key, records.JobPrefix):
		if job := view.Jobs[strings.TrimPrefix(key, records.JobPrefix)]; job != nil {
			// A job's record is deleted only when it is moved to the archive, in the same transaction.
			job.IsArchived, job.Version = true, version
		}
	case strings.HasPrefix(key, records.ProgressPrefix):
		if id, number, ok := records.ParseProgressKey(key); ok {
			removePart(view.Progress, id, number)
		}
	case strings.HasPrefix(key, records.DependenciesPrefix):
		if id, part, ok := records.ParseDependenciesKey(key); ok {
			removePart(view.Dependencies, id, part)
		}
	case strings.HasPrefix(key, records.ScaleOutPrefix):
		delete(view.ScaleOuts, strings.TrimPrefix(key, records.ScaleOutPrefix))
	}
}

// removePart removes one of a job's numbered parts, and the job's entry with its last part.
func removePart[V any](parts map[string]map[int]V, id string, number int) {
	delete(parts[id], number)
	if len(parts[id]) == 0 {
		delete(parts, id)
	}
}
