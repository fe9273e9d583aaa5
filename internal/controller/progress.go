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

// mostChunk is how many tasks one progress key holds at most: 4 KiB of bits.
const mostChunk = 32768

// progressFrame is what a progress value has beside its bits, with some to spare.
const progressFrame = 32

// chunkOf is how many tasks one progress key holds, so that its value stays below
// the state service's limit. With 4 KiB a value the bits of 32,768 tasks once went
// over it, and were refused every time.
func chunkOf(valueKB float64) int {
	bytes := (valueKB*1024 - progressFrame) * 3 / 4 // base64
	return min(max(int(bytes), 1)*8, mostChunk)
}

// bitmap is a set of task numbers, counted from the first one that a key holds.
type bitmap []byte

func (b bitmap) has(i int) bool { return i >= 0 && i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

func (b *bitmap) set(i int) {
	for len(*b) <= i/8 {
		*b = append(*b, 0)
	}
	(*b)[i/8] |= 1 << (i % 8)
}

func (b bitmap) encode() string { return base64.StdEncoding.EncodeToString(b) }

func decodeBitmap(s string) (bitmap, error) {
	b, err := base64.StdEncoding.DecodeString(s)
	return bitmap(b), err
}

// progressPart is what one progress key holds.
type progressPart struct {
	bits bitmap
	// first is the task of the first bit, if the value says so.
	first    int
	hasFirst bool
	version  uint64
}

func (r *doneRecord) part() (progressPart, error) {
	bits, err := decodeBitmap(r.Bits)
	part := progressPart{bits: bits}
	if r.First != nil {
		part.first, part.hasFirst = *r.First, true
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
	firstKey int // the number of the first key
	chunk    int // tasks in one key
}

// layoutOf is where a job's progress is written under the limits in force, or to come.
func (c *Core) layoutOf(r *jobRecord) progressLayout {
	known := c.chunkFor(r)
	fits := chunkOf(c.cfg.Deployment.Store.Effective().MaxValueKB)
	if min(r.Job.TaskCount, known) <= fits {
		return progressLayout{0, known}
	}
	return progressLayout{firstKey: (r.Job.TaskCount + known - 1) / known, chunk: fits}
}

// chunkFor is how many tasks a key holds whose value doesn't say where it begins.
func (c *Core) chunkFor(r *jobRecord) int {
	if r.Chunk > 0 {
		return r.Chunk
	}
	return c.chunk
}

// key is the number of the key that holds a task.
func (p progressLayout) key(task int) int { return p.firstKey + task/p.chunk }

// tasks are those that a key holds: from the first up to, and without, the last.
func (p progressLayout) tasks(key, total int) (first, last int) {
	first = (key - p.firstKey) * p.chunk
	return first, min(first+p.chunk, total)
}

// change writes what a key holds of a job.
func (p progressLayout) change(j *allocation.Job, key int) wire.Change {
	first, last := p.tasks(key, len(j.Tasks))
	var bits bitmap
	for i := first; i < last; i++ {
		if j.Tasks[i].State == allocation.TaskDone {
			bits.set(i - first)
		}
	}
	return progressChange(j.Spec.ID, key, &first, bits)
}

// progressChange writes a progress key; first, if not nil, is the task of the first bit.
func progressChange(id string, key int, first *int, bits bitmap) wire.Change {
	value, err := doneRecord{Bits: bits.encode(), First: first}.MarshalJSON()
	if err != nil {
		value = []byte(`{"b":""}`)
	}
	return wire.Change{PutKey: doneKey(id, key), Value: value}
}

// doneTasks is which tasks of a job are done, by all keys that there are.
func (c *Core) doneTasks(id string, r *jobRecord) bitmap {
	var done bitmap
	chunk := c.chunkFor(r)
	for number, part := range c.view.done[id] {
		first := part.first
		if !part.hasFirst {
			first = number * chunk
		}
		for i := range 8 * len(part.bits) {
			if part.bits.has(i) && first+i < r.Job.TaskCount {
				done.set(first + i)
			}
		}
	}
	return done
}

// progressKeys are the numbers of the keys that a job's progress lies in.
func (c *Core) progressKeys(id string) []int {
	return slices.Sorted(maps.Keys(c.view.done[id]))
}

func (c *Core) putProgress(key string, value []byte, version uint64) {
	id, number, ok := parseDoneKey(key)
	var r doneRecord
	err := r.UnmarshalJSON(value)
	var part progressPart
	if err == nil {
		part, err = r.part()
	}
	if !ok || err != nil || part.first < 0 || part.first >= wire.MaxTasks {
		c.malformed(key, err)
		return
	}
	parts := c.view.done[id]
	if parts == nil {
		parts = map[int]progressPart{}
		c.view.done[id] = parts
	}
	part.version = version
	parts[number] = part
}

func (c *Core) dropProgress(key string) {
	id, number, ok := parseDoneKey(key)
	if !ok {
		return
	}
	dropPart(c.view.done, id, number)
}

func parseDoneKey(key string) (id string, number int, ok bool) {
	return parseNumbered(strings.TrimPrefix(key, prefixDone))
}
