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
	// progressInterval is the minimum time between two writes of the same job's progress.
	progressInterval = 700 * clock.Millisecond
	// maxProgressWrites is the maximum number of progress writes in flight.
	maxProgressWrites = 8
)

// progressWriter writes which tasks of jobs have completed. Its writes have background priority: they
// use only the write rate that other writes leave.
type progressWriter struct {
	term     *Term
	inFlight int
}

// writeDue writes the progress of the due jobs, starting with those whose last write is longest ago,
// until maxProgressWrites are in flight.
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

// selectProgressKeys selects tasks whose progress keys fit one transaction of at most maxKeys keys. It
// returns these tasks and their keys; the other tasks are left to the next write.
func selectProgressKeys(tasks []int, layout *records.ProgressLayout, maxKeys int) ([]int, map[int]bool) {
	keys := map[int]bool{}
	tasks = slices.DeleteFunc(tasks, func(task int) bool {
		key := layout.KeyNumber(task)
		if !keys[key] && len(keys) >= maxKeys {
			return true
		}
		keys[key] = true
		return false
	})
	return tasks, keys
}

// newProgressWrite returns a write of some of a job's progress keys. It is conditional on the keys'
// versions, since a write that the store executes late must not undo a later one.
func newProgressWrite(id string, job *allocation.Job, jobInfo *jobState, keys map[int]bool) *kvstore.Write {
	write := &kvstore.Write{Priority: kvstore.Background}
	isDone := func(task int) bool { return job.Tasks[task].State == allocation.TaskDone }
	for key := range keys {
		write.Conditions = append(write.Conditions, wire.Condition{Key: records.ProgressKey(id, key), Version: jobInfo.keyVersions[key]})
		write.Changes = append(write.Changes, jobInfo.layout.PutChange(id, key, len(job.Tasks), isDone))
		// From now on the job's key versions include the key, so that the write of the job's end deletes it.
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
