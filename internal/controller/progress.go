package controller

import (
	"encoding/base64"
	"maps"
	"slices"
	"strings"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/wire"
)

// Which tasks of a job are done lies in keys of their own, as bitmaps. That there is
// any says that tasks of the job may have been started.

// maxTasksPerKey is how many tasks one progress key holds at most: 4 KiB of bits.
const maxTasksPerKey = 32768

// progressValueOverhead is what a progress value has beside its bits, with some to spare.
const progressValueOverhead = 32

// tasksPerProgressKey is how many tasks one progress key holds, so that its value stays below
// the state service's limit. With 4 KiB a value the bits of 32,768 tasks once went
// over it, and were refused every time.
func tasksPerProgressKey(valueKB float64) int {
	maxBitBytes := (valueKB*1024 - progressValueOverhead) * 3 / 4 // base64
	return min(max(int(maxBitBytes), 1)*8, maxTasksPerKey)
}

// bitmap is a set of task numbers, counted from the first one that a key holds.
type bitmap []byte

func (bits bitmap) isSet(i int) bool { return i >= 0 && i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 }

func (bits *bitmap) set(i int) {
	for len(*bits) <= i/8 {
		*bits = append(*bits, 0)
	}
	(*bits)[i/8] |= 1 << (i % 8)
}

func (bits bitmap) encode() string { return base64.StdEncoding.EncodeToString(bits) }

func decodeBitmap(encoded string) (bitmap, error) {
	decoded, err := base64.StdEncoding.DecodeString(encoded)
	return bitmap(decoded), err
}

// progressPart is what one progress key holds.
type progressPart struct {
	bits bitmap
	// firstTask is the task of the first bit, if the value says so.
	firstTask    int
	hasFirstTask bool
	version      uint64
}

func (record *progressRecord) part() (progressPart, error) {
	bits, err := decodeBitmap(record.Bits)
	part := progressPart{bits: bits}
	if record.FirstTask != nil {
		part.firstTask, part.hasFirstTask = *record.FirstTask, true
	}
	return part, err
}

// progressLayout says which keys a job's progress is written to.
//
// Up to where one key's bits fit into a value, the key of a number holds as many tasks
// as every version reckons with. A job that was accepted under higher limits, and whose
// values would be refused now, goes on in further keys, whose values say which task is
// their first. A version that doesn't know of them passes them over, as keys of tasks
// that the job doesn't have; it may start tasks again that are done.
type progressLayout struct {
	firstKey    int // the number of the first key
	tasksPerKey int // tasks in one key
}

// progressLayoutOf is where a job's progress is written under the limits in force, or to come.
func (controller *Controller) progressLayoutOf(record *jobRecord) progressLayout {
	nominal := controller.tasksPerKeyOf(record)
	fitting := tasksPerProgressKey(controller.cfg.Deployment.Store.Effective().MaxValueKB)
	if min(record.Job.TaskCount, nominal) <= fitting {
		return progressLayout{0, nominal}
	}
	return progressLayout{firstKey: (record.Job.TaskCount + nominal - 1) / nominal, tasksPerKey: fitting}
}

// tasksPerKeyOf is how many tasks a key holds whose value doesn't say where it begins.
func (controller *Controller) tasksPerKeyOf(record *jobRecord) int {
	if record.TasksPerKey > 0 {
		return record.TasksPerKey
	}
	return controller.tasksPerKey
}

// keyOf is the number of the key that holds a task.
func (layout progressLayout) keyOf(task int) int { return layout.firstKey + task/layout.tasksPerKey }

// taskRange are those that a key holds: from the first up to, and without, the last.
func (layout progressLayout) taskRange(key, total int) (first, last int) {
	first = (key - layout.firstKey) * layout.tasksPerKey
	return first, min(first+layout.tasksPerKey, total)
}

// putChange writes what a key holds of a job.
func (layout progressLayout) putChange(job *allocation.Job, key int) wire.Change {
	first, last := layout.taskRange(key, len(job.Tasks))
	var bits bitmap
	for i := first; i < last; i++ {
		if job.Tasks[i].State == allocation.TaskDone {
			bits.set(i - first)
		}
	}
	return putProgressChange(job.Spec.ID, key, &first, bits)
}

// putProgressChange writes a progress key; first, if not nil, is the task of the first bit.
func putProgressChange(id string, key int, first *int, bits bitmap) wire.Change {
	value, err := progressRecord{Bits: bits.encode(), FirstTask: first}.MarshalJSON()
	if err != nil {
		value = []byte(`{"b":""}`)
	}
	return wire.Change{PutKey: progressKey(id, key), Value: value}
}

// completedTasks is which tasks of a job are done, by all keys that there are.
func (controller *Controller) completedTasks(id string, record *jobRecord) bitmap {
	var done bitmap
	tasksPerKey := controller.tasksPerKeyOf(record)
	for number, part := range controller.view.progress[id] {
		first := part.firstTask
		if !part.hasFirstTask {
			first = number * tasksPerKey
		}
		for i := range 8 * len(part.bits) {
			if part.bits.isSet(i) && first+i < record.Job.TaskCount {
				done.set(first + i)
			}
		}
	}
	return done
}

// progressKeys are the numbers of the keys that a job's progress lies in.
func (controller *Controller) progressKeys(id string) []int {
	return slices.Sorted(maps.Keys(controller.view.progress[id]))
}

func (controller *Controller) applyProgress(key string, value []byte, version uint64) {
	id, number, ok := parseProgressKey(key)
	var record progressRecord
	err := record.UnmarshalJSON(value)
	var part progressPart
	if err == nil {
		part, err = record.part()
	}
	if !ok || err != nil || part.firstTask < 0 || part.firstTask >= wire.MaxTasks {
		controller.logMalformedRecord(key, err)
		return
	}
	parts := controller.view.progress[id]
	if parts == nil {
		parts = map[int]progressPart{}
		controller.view.progress[id] = parts
	}
	part.version = version
	parts[number] = part
}

func (controller *Controller) removeProgress(key string) {
	id, number, ok := parseProgressKey(key)
	if !ok {
		return
	}
	removePart(controller.view.progress, id, number)
}

func parseProgressKey(key string) (id string, number int, ok bool) {
	return parseNumberedKey(strings.TrimPrefix(key, prefixProgress))
}
