package leader

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// jobEndWriter makes the end of complete jobs durable. No reply tells users of an end before that.
type jobEndWriter struct{ term *Term }

func (writer *jobEndWriter) write(id string, job *allocation.Job, jobInfo *jobState) {
	term := writer.term
	record := term.environment.View.Jobs[id]
	if record == nil || record.HasEnded() {
		return
	}
	end := writer.endRecord(id, record, job, jobInfo)
	value, err := records.EncodeEnded(&end.Job, StoreLimits(term.environment.Config))
	if err != nil {
		return
	}
	jobInfo.isWriting = true
	write := &kvstore.Write{
		Priority:   kvstore.Required,
		Conditions: []wire.Condition{{Key: records.JobKey(id), Version: record.Version}},
		Changes:    []wire.Change{{PutKey: records.JobKey(id), Value: value}},
	}
	if term.environment.Store.BacklogDuration() < backlogThreshold { // otherwise the cleaner deletes the progress later
		term.appendProgressDeletes(write, id, jobInfo)
	}
	verify := term.afterSync(func() { writer.verify(id, job, jobInfo) })
	term.commitWithHandlers(write, outcomeHandlers{
		committed: func(revision uint64) {
			jobInfo.isWriting = false
			writer.recordCommit(id, end, revision, job, jobInfo)
		},
		conflict:    verify,
		notExecuted: func() { jobInfo.isWriting = false },
		unknown:     verify,
		afterwards:  term.requestPlan,
	})
}

// endRecord returns the record of a job that has completed.
func (writer *jobEndWriter) endRecord(id string, record *storeview.Job, job *allocation.Job, jobInfo *jobState) *storeview.Job {
	end := storeview.NewEndedJob(record, wire.JobDone, clock.WallTime())
	end.FirstStartAt, end.Errors, end.Restarts = jobInfo.firstStartAt, job.FailureCount, job.RestartCount
	releasedAt := writer.term.environment.Graph.ReleasedAt(id, clock.Micros(record.SubmittedAt))
	if int64(releasedAt) != record.SubmittedAt {
		end.ReleasedAt = int64(releasedAt)
	}
	return end
}

// recordCommit applies the end of a job that has become durable with the given revision.
func (writer *jobEndWriter) recordCommit(id string, end *storeview.Job, revision uint64, job *allocation.Job, jobInfo *jobState) {
	term := writer.term
	jobInfo.isEndDurable = true
	term.tracker.MarkCompletionsDurable(job, job.UnpersistedCompletions())
	if current := term.environment.View.Jobs[id]; current == nil || current.Version < revision {
		// Apply the end now, so that dependent jobs need not wait for the watch.
		end.Version = revision
		term.environment.View.SetJob(id, end)
	}
	term.logJobEnd(id, end)
}

// verify reads the outcome from the view after a write that had a conflict or whose outcome is unknown.
// A conflict means that the job has been cancelled meanwhile, or that the write was executed after all.
func (writer *jobEndWriter) verify(id string, job *allocation.Job, jobInfo *jobState) {
	term := writer.term
	jobInfo.isWriting = false
	if current := term.environment.View.Jobs[id]; current != nil && current.State == wire.JobDone {
		jobInfo.isEndDurable = true
		term.tracker.MarkCompletionsDurable(job, job.UnpersistedCompletions())
	}
	term.requestPlan()
}
