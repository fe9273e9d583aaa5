package leader

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

const (
	// progressInterval is the least time between two writes of one job's progress.
	progressInterval = 700 * clock.Millisecond
	// maxProgressWrites bounds the progress writes under way.
	maxProgressWrites = 8
)

// progressWriter writes which tasks of jobs have completed, with what the rate of writes has to
// spare.
type progressWriter struct {
	term     *Term
	inFlight int
}

// writeDue writes the progress of jobs, those whose last write is longest ago first, as far as
// the bound on writes under way allows.
func (writer *progressWriter) writeDue(due []string, now clock.Micros) {
	if writer.inFlight >= maxProgressWrites || len(due) == 0 {
		return
	}
	term := writer.term
	slices.SortFunc(due, func(a, b string) int {
		return cmp.Or(cmp.Compare(term.jobs[a].lastProgressWriteAt, term.jobs[b].lastProgressWriteAt), cmp.Compare(a, b))
	})
	for _, id := range due[:min(len(due), maxProgressWrites-writer.inFlight)] {
		writer.write(id, term.tracker.Jobs[id], term.jobs[id], now)
	}
}

func (writer *progressWriter) write(id string, job *allocation.Job, jobInfo *jobState, now clock.Micros) {
	jobInfo.isWriting, jobInfo.lastProgressWriteAt = true, now
	tasks, keys := selectProgressKeys(job.UnpersistedCompletions(), &jobInfo.layout, writer.term.maxTransactionOps())
	write := newProgressWrite(id, job, jobInfo, keys)
	writer.inFlight++
	writer.commit(write, id, job, jobInfo, keys, tasks)
}

// selectProgressKeys leaves out the tasks whose keys are more than one transaction takes; those
// are for the next write. It returns the other tasks and their keys.
func selectProgressKeys(tasks []int, layout *records.ProgressLayout, maxKeys int) ([]int, map[int]bool) {
	keys := map[int]bool{}
	tasks = slices.DeleteFunc(tasks, func(task int) bool {
		key := layout.KeyOf(task)
		if !keys[key] && len(keys) >= maxKeys {
			return true
		}
		keys[key] = true
		return false
	})
	return tasks, keys
}

// newProgressWrite writes progress keys of a job. It is conditional on the keys' versions: a
// write that is executed late must not undo a later one.
func newProgressWrite(id string, job *allocation.Job, jobInfo *jobState, keys map[int]bool) *kvstore.Write {
	write := &kvstore.Write{Priority: kvstore.Background}
	isDone := func(task int) bool { return job.Tasks[task].State == allocation.TaskDone }
	for key := range keys {
		write.Conditions = append(write.Conditions, wire.Condition{Key: records.ProgressKey(id, key), Version: jobInfo.keyVersions[key]})
		write.Changes = append(write.Changes, jobInfo.layout.PutChange(id, key, len(job.Tasks), isDone))
		// The key is listed from now on, so that the write of the job's end removes it.
		jobInfo.setKeyVersion(key, 0)
	}
	return write
}

func (writer *progressWriter) commit(write *kvstore.Write, id string, job *allocation.Job, jobInfo *jobState, keys map[int]bool, tasks []int) {
	term := writer.term
	verify := term.afterSync(func() {
		jobInfo.isWriting = false
		jobInfo.updateKeyVersions(term.environment.View.Progress[id])
		term.requestPlan()
	})
	term.commitWithHandlers(write, outcomeHandlers{
		committed: func(revision uint64) {
			for key := range keys {
				jobInfo.setKeyVersion(key, revision)
			}
			term.tracker.MarkCompletionsDurable(job, tasks)
			jobInfo.isWriting = false
		},
		conflict:    verify,
		notExecuted: func() { jobInfo.isWriting = false },
		unknown:     verify,
		afterwards: func() {
			writer.inFlight--
			term.requestPlan()
		},
	})
}
