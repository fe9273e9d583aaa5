package records

import (
	"encoding/base64"

	"firwood.dev/firwood/wire"
)

const (
	// MaxTasksPerKey is the maximum number of tasks in one progress key: 4 KiB of bits.
	MaxTasksPerKey = 32768
	// progressValueOverhead is the number of bytes that a progress value has in addition to its bits,
	// with some reserve.
	progressValueOverhead = 32
)

// TasksPerProgressKey returns the number of tasks that fit in one progress key, so that its value stays
// below the store's maximum size of a value, which is given in KiB. Without this bound, the bits of
// 32,768 tasks exceeded a limit of 4 KiB, and the store refused every write of them.
func TasksPerProgressKey(maxValueKB float64) int {
	maxBitBytes := (maxValueKB*1024 - progressValueOverhead) * 3 / 4 // base64 encodes 3 bytes as 4
	return min(max(int(maxBitBytes), 1)*8, MaxTasksPerKey)
}

// Bitmap is a set of task numbers, counted from the first task of a progress key.
type Bitmap []byte

// IsSet reports whether a number is in the set. Numbers beyond the end of the bitmap are not.
func (bits Bitmap) IsSet(i int) bool { return i >= 0 && i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 }

// Set adds a number to the set, and extends the bitmap as needed.
func (bits *Bitmap) Set(i int) {
	for len(*bits) <= i/8 {
		*bits = append(*bits, 0)
	}
	(*bits)[i/8] |= 1 << (i % 8)
}

// Encode returns the bitmap's text form, which is base64.
func (bits Bitmap) Encode() string { return base64.StdEncoding.EncodeToString(bits) }

// DecodeBitmap is the inverse of Bitmap.Encode.
func DecodeBitmap(encoded string) (Bitmap, error) {
	decoded, err := base64.StdEncoding.DecodeString(encoded)
	return Bitmap(decoded), err
}

// ProgressPart is a decoded Progress record: the completed tasks that one progress key holds.
type ProgressPart struct {
	Bits Bitmap
	// FirstTask is the number of the task that the first bit stands for, if HasFirstTask is set.
	// Otherwise, that number follows from the key's number.
	FirstTask    int
	HasFirstTask bool
}

// Decode returns the decoded record, or an error if Bits is not valid base64.
func (record *Progress) Decode() (ProgressPart, error) {
	bits, err := DecodeBitmap(record.Bits)
	part := ProgressPart{Bits: bits}
	if record.FirstTask != nil {
		part.FirstTask, part.HasFirstTask = *record.FirstTask, true
	}
	return part, err
}

// AddTo adds the part's completed tasks to the set of all completed tasks of a job, which has taskCount
// tasks. keyNumber is the number of the progress key that holds the part, and tasksPerKey is what
// Job.TasksPerProgressKey returns for the job.
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

// TasksPerProgressKey returns the number of tasks in each progress key of the job whose value has no
// FirstTask. If the job's record does not have this number, it is nominalTasksPerKey.
func (record *Job) TasksPerProgressKey(nominalTasksPerKey int) int {
	if record.TasksPerKey > 0 {
		return record.TasksPerKey
	}
	return nominalTasksPerKey
}

// ProgressLayout determines to which progress key each task of a job is written.
//
// As long as the bits of one key fit into a value, each key holds the number of tasks that every
// version assumes. A job may have been accepted under a higher limit, so that its values would exceed
// the limit now in force. The progress of such a job is written to additional keys, numbered above all
// keys that the job would otherwise have, and their values have a FirstTask. A version that does not
// know these additional keys ignores them, since their numbers stand for tasks that the job does not
// have; that version may start completed tasks again.
type ProgressLayout struct {
	firstKey    int // the number of the first key that is written
	tasksPerKey int // the number of tasks in one key
}

// NewProgressLayout returns the layout for an active job. nominalTasksPerKey is the number of tasks per
// key that every version assumes for a job whose record does not have the number.
func NewProgressLayout(record *Job, nominalTasksPerKey int, limits Limits) ProgressLayout {
	defaultTasksPerKey := record.TasksPerProgressKey(nominalTasksPerKey)
	maxTasksPerKey := TasksPerProgressKey(limits.MaxValueKB)
	if min(record.Spec.TaskCount, defaultTasksPerKey) <= maxTasksPerKey {
		return ProgressLayout{firstKey: 0, tasksPerKey: defaultTasksPerKey}
	}
	return ProgressLayout{firstKey: (record.Spec.TaskCount + defaultTasksPerKey - 1) / defaultTasksPerKey, tasksPerKey: maxTasksPerKey}
}

// KeyNumber returns the number of the key that holds a task.
func (layout ProgressLayout) KeyNumber(task int) int {
	return layout.firstKey + task/layout.tasksPerKey
}

// TaskRange returns the range of tasks that a key holds, from first up to but not including end.
// taskCount is the number of the job's tasks.
func (layout ProgressLayout) TaskRange(keyNumber, taskCount int) (first, end int) {
	first = (keyNumber - layout.firstKey) * layout.tasksPerKey
	return first, min(first+layout.tasksPerKey, taskCount)
}

// PutChange returns the change that writes one progress key of a job with taskCount tasks.
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

// NewProgressChange returns the change that writes a progress key. firstTask is the number of the task
// that the first bit stands for, or nil to leave it out of the value.
func NewProgressChange(id string, keyNumber int, firstTask *int, bits Bitmap) wire.Change {
	value, err := Progress{Bits: bits.Encode(), FirstTask: firstTask}.MarshalJSON()
	if err != nil { // never happens: the record is text and a number
		value = []byte(`{"b":""}`)
	}
	return wire.Change{PutKey: ProgressKey(id, keyNumber), Value: value}
}
