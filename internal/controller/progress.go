package controller

import (
	"maps"
	"slices"

	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// progressLayoutOf is where an active job's progress is written under the limits in force, or to
// come.
func (controller *Controller) progressLayoutOf(record *Job) records.ProgressLayout {
	return records.NewProgressLayout(&record.Job, controller.tasksPerKey, controller.storeLimits())
}

// completedTasks is the set of a job's completed tasks, by all of its progress keys.
func (controller *Controller) completedTasks(id string, record *Job) records.Bitmap {
	var completed records.Bitmap
	tasksPerKey := record.TasksPerProgressKey(controller.tasksPerKey)
	for number, part := range controller.view.Progress[id] {
		part.AddTo(&completed, number, tasksPerKey, record.Spec.TaskCount)
	}
	return completed
}

// progressKeys are the numbers of the keys that a job's progress lies in.
func (controller *Controller) progressKeys(id string) []int {
	return slices.Sorted(maps.Keys(controller.view.Progress[id]))
}

func (controller *Controller) applyProgress(key string, value []byte, version uint64) {
	id, number, ok := records.ParseProgressKey(key)
	var record records.Progress
	err := record.UnmarshalJSON(value)
	var part records.ProgressPart
	if err == nil {
		part, err = record.Part()
	}
	if !ok || err != nil || part.FirstTask < 0 || part.FirstTask >= wire.MaxTasks {
		controller.logMalformedRecord(key, err)
		return
	}
	parts := controller.view.Progress[id]
	if parts == nil {
		parts = map[int]ProgressPart{}
		controller.view.Progress[id] = parts
	}
	parts[number] = ProgressPart{ProgressPart: part, Version: version}
}

func (controller *Controller) removeProgress(key string) {
	id, number, ok := records.ParseProgressKey(key)
	if !ok {
		return
	}
	removePart(controller.view.Progress, id, number)
}
