package records

import (
	"encoding/base64"

	"firwood.dev/firwood/wire"
)

const (
	// MaxTasksPerKey is how many tasks one progress key holds at most: 4 KiB of bits.
	MaxTasksPerKey = 32768
	// progressValueOverhead is how many bytes a progress value has beside its bits, with some to
	// spare.
	progressValueOverhead = 32
)

// TasksPerProgressKey is how many tasks one progress key holds, so that its value stays below the
// store's limit of a value, in KiB. Added after the bits of 32,768 tasks went over a limit of
// 4 KiB and every write of them was refused.
func TasksPerProgressKey(maxValueKB float64) int {
	maxBitBytes := (maxValueKB*1024 - progressValueOverhead) * 3 / 4 // base64
	return min(max(int(maxBitBytes), 1)*8, MaxTasksPerKey)
}

// Bitmap is a set of task numbers, counted from the first one that a key holds.
type Bitmap []byte

// IsSet tells whether a number is in the set; numbers beyond its end are not.
func (bits Bitmap) IsSet(i int) bool { return i >= 0 && i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 }

// Set adds a number to the set and extends it as needed.
func (bits *Bitmap) Set(i int) {
	for len(*bits) <= i/8 {
		*bits = append(*bits, 0)
	}
	(*bits)[i/8] |= 1 << (i % 8)
}

// Encode is the set's text form, base64.
func (bits Bitmap) Encode() string { return base64.StdEncoding.EncodeToString(bits) }

// DecodeBitmap is the inverse of Bitmap.Encode.
func DecodeBitmap(encoded string) (Bitmap, error) {
	decoded, err := base64.StdEncoding.DecodeString(encoded)
	return Bitmap(decoded), err
}

// ProgressPart is a decoded Progress record: the completed tasks that one progress key holds.
type ProgressPart struct {
	Bits Bitmap
	// FirstTask is the task of the first bit if HasFirstTask is set; else it follows from the
	// key's number.
	FirstTask    int
	HasFirstTask bool
}

// Decode decodes the record.
func (record *Progress) Decode() (ProgressPart, error) {
	bits, err := DecodeBitmap(record.Bits)
	part := ProgressPart{Bits: bits}
	if record.FirstTask != nil {
		part.FirstTask, part.HasFirstTask = *record.FirstTask, true
	}
	return part, err
}

// AddTo adds the part's completed tasks to a set of all tasks of a job. The part is that of the
// key with some number, the job has total tasks; see Job.TasksPerProgressKey for tasksPerKey.
func (part *ProgressPart) AddTo(completed *Bitmap, keyNumber, tasksPerKey, taskCount int) {
	firstTask := part.FirstTask
	if !part.HasFirstTask {
		firstTask = keyNumber * tasksPerKey
	}
	for i := range 8 * len(part.Bits) {
		if part.Bits.IsSet(i) && firstTask+i < taskCount {
			completed.Set(firstTask + i)
		}
	}
}

// TasksPerProgressKey is how many tasks a progress key of the job holds whose value doesn't say
// where it begins; nominal is the number for jobs whose record doesn't say.
func (record *Job) TasksPerProgressKey(nominalTasksPerKey int) int {
	if record.TasksPerKey > 0 {
		return record.TasksPerKey
	}
	return nominalTasksPerKey
}

// ProgressLayout maps a job's task numbers to the progress keys that they are written to.
//
// As long as one key's bits fit into a value, the key of a number holds as many tasks as every
// version assumes. A job that was accepted under higher limits, and whose values would be refused
// under those in force, continues in further keys, whose values say which task is their first. A
// version that doesn't know of them ignores them, as keys of tasks that the job doesn't have; it
// may start completed tasks again.
type ProgressLayout struct {
	firstKey    int // the number of the first key
	tasksPerKey int // tasks in one key
}

// NewProgressLayout is the layout for an active job. nominalTasksPerKey is what every version
// assumes for jobs whose record doesn't say.
func NewProgressLayout(record *Job, nominalTasksPerKey int, limits Limits) ProgressLayout {
	tasksPerKey := record.TasksPerProgressKey(nominalTasksPerKey)
	maxTasksPerKey := TasksPerProgressKey(limits.MaxValueKB)
	if min(record.Spec.TaskCount, tasksPerKey) <= maxTasksPerKey {
		return ProgressLayout{firstKey: 0, tasksPerKey: tasksPerKey}
	}
	return ProgressLayout{firstKey: (record.Spec.TaskCount + tasksPerKey - 1) / tasksPerKey, tasksPerKey: maxTasksPerKey}
}

// KeyNumber is the number of the key that holds a task.
func (layout ProgressLayout) KeyNumber(task int) int {
	return layout.firstKey + task/layout.tasksPerKey
}

// TaskRange is the range of tasks that a key holds, of a job of total tasks: from first up to, and
// without, end.
func (layout ProgressLayout) TaskRange(keyNumber, taskCount int) (first, end int) {
	first = (keyNumber - layout.firstKey) * layout.tasksPerKey
	return first, min(first+layout.tasksPerKey, taskCount)
}

// PutChange writes what a key holds of a job of total tasks.
func (layout ProgressLayout) PutChange(id string, keyNumber, taskCount int, isDone func(task int) bool) wire.Change {
	first, end := layout.TaskRange(keyNumber, taskCount)
	var bits Bitmap
	for i := first; i < end; i++ {
		if isDone(i) {
			bits.Set(i - first)
		}
	}
	return NewProgressChange(id, keyNumber, &first, bits)
}

// NewProgressChange writes a progress key; first, if not nil, is the task of the first bit.
func NewProgressChange(id string, keyNumber int, firstTask *int, bits Bitmap) wire.Change {
	value, err := Progress{Bits: bits.Encode(), FirstTask: firstTask}.MarshalJSON()
	if err != nil { // never: it is text and a number
		value = []byte(`{"b":""}`)
	}
	return wire.Change{PutKey: ProgressKey(id, keyNumber), Value: value}
}
