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

// MaxTasksPerKey is how many tasks one progress key holds at most: 4 KiB of bits.
const MaxTasksPerKey = 32768

// progressValueOverhead is what a progress value has beside its bits, with some to spare.
const progressValueOverhead = 32

// TasksPerProgressKey is how many tasks one progress key holds, so that its value stays below
// the state service's limit. With 4 KiB a value the bits of 32,768 tasks once went
// over it, and were refused every time.
func TasksPerProgressKey(valueKB float64) int {
	maxBitBytes := (valueKB*1024 - progressValueOverhead) * 3 / 4 // base64
	return min(max(int(maxBitBytes), 1)*8, MaxTasksPerKey)
}

// Bitmap is a set of task numbers, counted from the first one that a key holds.
type Bitmap []byte

func (bits Bitmap) IsSet(i int) bool { return i >= 0 && i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 }

func (bits *Bitmap) Set(i int) {
	for len(*bits) <= i/8 {
		*bits = append(*bits, 0)
	}
	(*bits)[i/8] |= 1 << (i % 8)
}

func (bits Bitmap) Encode() string { return base64.StdEncoding.EncodeToString(bits) }

func DecodeBitmap(encoded string) (Bitmap, error) {
	decoded, err := base64.StdEncoding.DecodeString(encoded)
	return Bitmap(decoded), err
}

// progressPart is what one progress key holds.
type progressPart struct {
	Bits Bitmap
	// FirstTask is the task of the first bit, if the value says so.
	FirstTask    int
	HasFirstTask bool
	version      uint64
}

func (record *Progress) Part() (progressPart, error) {
	bits, err := DecodeBitmap(record.Bits)
	part := progressPart{Bits: bits}
	if record.FirstTask != nil {
		part.FirstTask, part.HasFirstTask = *record.FirstTask, true
	}
	return part, err
}

// ProgressLayout says which keys a job's progress is written to.
//
// Up to where one key's bits fit into a value, the key of a number holds as many tasks
// as every version reckons with. A job that was accepted under higher limits, and whose
// values would be refused now, goes on in further keys, whose values say which task is
// their first. A version that doesn't know of them passes them over, as keys of tasks
// that the job doesn't have; it may start tasks again that are done.
type ProgressLayout struct {
	firstKey    int // the number of the first key
	tasksPerKey int // tasks in one key
}

// progressLayoutOf is where a job's progress is written under the limits in force, or to come.
func (controller *Controller) progressLayoutOf(record *jobRecord) ProgressLayout {
	nominal := controller.tasksPerKeyOf(record)
	fitting := TasksPerProgressKey(controller.cfg.Deployment.Store.Effective().MaxValueKB)
	if min(record.Spec.TaskCount, nominal) <= fitting {
		return ProgressLayout{0, nominal}
	}
	return ProgressLayout{firstKey: (record.Spec.TaskCount + nominal - 1) / nominal, tasksPerKey: fitting}
}

// tasksPerKeyOf is how many tasks a key holds whose value doesn't say where it begins.
func (controller *Controller) tasksPerKeyOf(record *jobRecord) int {
	if record.TasksPerKey > 0 {
		return record.TasksPerKey
	}
	return controller.tasksPerKey
}

// KeyOf is the number of the key that holds a task.
func (layout ProgressLayout) KeyOf(task int) int { return layout.firstKey + task/layout.tasksPerKey }

// TaskRange are those that a key holds: from the first up to, and without, the last.
func (layout ProgressLayout) TaskRange(key, total int) (first, last int) {
	first = (key - layout.firstKey) * layout.tasksPerKey
	return first, min(first+layout.tasksPerKey, total)
}

// PutChange writes what a key holds of a job.
func (layout ProgressLayout) PutChange(job *allocation.Job, key int) wire.Change {
	first, last := layout.TaskRange(key, len(job.Tasks))
	var bits Bitmap
	for i := first; i < last; i++ {
		if job.Tasks[i].State == allocation.TaskDone {
			bits.Set(i - first)
		}
	}
	return NewProgressChange(job.Spec.ID, key, &first, bits)
}

// NewProgressChange writes a progress key; first, if not nil, is the task of the first bit.
func NewProgressChange(id string, key int, first *int, bits Bitmap) wire.Change {
	value, err := Progress{Bits: bits.Encode(), FirstTask: first}.MarshalJSON()
	if err != nil {
		value = []byte(`{"b":""}`)
	}
	return wire.Change{PutKey: ProgressKey(id, key), Value: value}
}

// completedTasks is which tasks of a job are done, by all keys that there are.
func (controller *Controller) completedTasks(id string, record *jobRecord) Bitmap {
	var done Bitmap
	tasksPerKey := controller.tasksPerKeyOf(record)
	for number, part := range controller.view.progress[id] {
		first := part.FirstTask
		if !part.HasFirstTask {
			first = number * tasksPerKey
		}
		for i := range 8 * len(part.Bits) {
			if part.Bits.IsSet(i) && first+i < record.Spec.TaskCount {
				done.Set(first + i)
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
	id, number, ok := ParseProgressKey(key)
	var record Progress
	err := record.UnmarshalJSON(value)
	var part progressPart
	if err == nil {
		part, err = record.Part()
	}
	if !ok || err != nil || part.FirstTask < 0 || part.FirstTask >= wire.MaxTasks {
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
	id, number, ok := ParseProgressKey(key)
	if !ok {
		return
	}
	removePart(controller.view.progress, id, number)
}

func ParseProgressKey(key string) (id string, number int, ok bool) {
	return parseNumberedKey(strings.TrimPrefix(key, ProgressPrefix))
}
