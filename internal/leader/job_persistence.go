package leader

import (
	"maps"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// persistence groups the parts that keep the key-value store up to date with the allocation table and
// delete obsolete keys. Each part has its own file.
type persistence struct {
	progress  progressWriter
	jobEnds   jobEndWriter
	cancelled cancelledJobShrinker
	cleanup   cleaner
	archive   archiver
}

func newPersistence(term *Term) persistence {
	return persistence{
		progress: progressWriter{term: term}, jobEnds: jobEndWriter{term: term}, cancelled: cancelledJobShrinker{term: term},
		cleanup: cleaner{term: term}, archive: archiver{term: term},
	}
}

// persistJobs writes which tasks of jobs have completed, and the end of jobs that are complete or
// cancelled. At most one write per job is in flight.
func (term *Term) persistJobs(now clock.Micros) {
	var due []string
	for id, job := range term.tracker.Jobs {
		jobInfo := term.jobs[id]
		if jobInfo == nil || jobInfo.isWriting || !job.Cancelled && !job.NeedsPersisting() {
			continue
		}
		switch {
		case job.Cancelled:
			term.persistence.cancelled.shrinkIfVacated(id, job, jobInfo)
		case jobInfo.isEndDurable:
			if term.tracker.IsVacated(job) {
				term.removeJob(id, job)
			}
		case job.IsComplete() && job.IsReleased():
			term.persistence.jobEnds.write(id, job, jobInfo)
		case job.HasUnpersistedCompletions() && now-jobInfo.lastProgressWriteAt >= progressInterval:
			due = append(due, id)
		}
	}
	term.persistence.progress.writeDue(due, now)
}

// removeJob stops tracking a job whose end is durable and that has no tasks left.
func (term *Term) removeJob(id string, job *allocation.Job) {
	term.tracker.RemoveJob(job)
	delete(term.jobs, id)
}

// recordStarts makes it durable that tasks of the job may be started from now on. A later leader looks
// for tasks of such jobs on the machines, and knows that no other job has any.
func (term *Term) recordStarts(job *allocation.Job) {
	id := job.Spec.ID
	jobInfo := term.jobs[id]
	if jobInfo == nil || jobInfo.isRecordingStarts || job.StartsRecorded {
		return
	}
	jobInfo.isRecordingStarts = true
	// The write requires that the key doesn't exist: if it is executed late, or twice, it must not undo
	// progress that was written meanwhile.
	write := &kvstore.Write{
		Priority:   kvstore.Required,
		Conditions: []wire.Condition{{Key: records.ProgressKey(id, 0)}},
		Changes:    []wire.Change{records.NewProgressChange(id, 0, nil, nil)},
	}
	verify := term.afterSync(func() { // the key may exist by now
		jobInfo.isRecordingStarts = false
		job.StartsRecorded = term.environment.View.Progress[id] != nil
		jobInfo.updateKeyVersions(term.environment.View.Progress[id])
		term.requestPlan()
	})
	term.commitWithHandlers(write, outcomeHandlers{
		committed: func(revision uint64) {
			jobInfo.isRecordingStarts = false
			job.StartsRecorded = true
			jobInfo.setKeyVersion(0, revision)
		},
		conflict:    verify,
		notExecuted: func() { jobInfo.isRecordingStarts = false },
		unknown:     verify,
		afterwards:  term.requestPlan,
	})
}

// appendProgressDeletes adds the deletion of a job's progress to the write of its end, as far as it fits
// into one transaction. The cleaner deletes the rest later.
func (term *Term) appendProgressDeletes(write *kvstore.Write, id string, jobInfo *jobState) {
	maxChanges := term.maxTransactionOps()
	for _, number := range slices.Sorted(maps.Keys(jobInfo.keyVersions)) {
		if len(write.Changes) >= maxChanges {
			return
		}
		write.Changes = append(write.Changes, wire.Change{DeleteKey: records.ProgressKey(id, number)})
	}
}
