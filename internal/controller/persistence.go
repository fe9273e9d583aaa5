package controller

import (
	"cmp"
	"maps"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// recordStarts makes it durable that tasks of the job may be started from now on: a
// later leader then knows for which jobs it has to look, and that no other
// job's tasks can be anywhere.
func (term *leaderTerm) recordStarts(job *allocation.Job) {
	id := job.Spec.ID
	jobInfo := term.jobs[id]
	if jobInfo == nil || jobInfo.isRecordingStarts || job.StartsRecorded {
		return
	}
	jobInfo.isRecordingStarts = true
	// Conditional on the key's absence: one that is carried out late, or again,
	// must not take back progress that was written meanwhile.
	write := &kvstore.Write{Priority: kvstore.Required, Conditions: []wire.Condition{{Key: records.ProgressKey(id, 0)}}, Changes: []wire.Change{records.NewProgressChange(id, 0, nil, nil)}}
	verify := term.afterSync(func() { // it may be there already
		jobInfo.isRecordingStarts = false
		job.StartsRecorded = term.controller.view.Progress[id] != nil
		jobInfo.updateKeyVersions(term.controller.view.Progress[id])
		term.requestPlan()
	})
	term.commitHandled(write, outcomeHandlers{
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

// saveMachineTypes keeps the machine types where nodes find them that start while the
// cloud's interface is down.
func (term *leaderTerm) saveMachineTypes() {
	value, err := wire.MachineTypeList{Types: term.controller.machineTypes.list}.MarshalJSON()
	if err != nil || len(value) > int(term.controller.cfg.Deployment.Store.Effective().MaxValueKB*1024) {
		term.controller.log.Info("machine types are too large for the state service; controllers learn them from the cloud alone", "bytes", len(value))
		return
	}
	term.commit(&kvstore.Write{Priority: kvstore.Required, Changes: []wire.Change{{PutKey: records.MachineTypesKey, Value: value}}}, func(kvstore.Outcome) {})
}

// progressInterval bounds how often a job's progress is written.
const progressInterval = 700 * clock.Millisecond

// persistJobs writes what was completed, and the end of jobs that are complete.
func (term *leaderTerm) persistJobs(now clock.Micros) {
	var due []string
	for id, job := range term.tracker.Jobs {
		if !job.Cancelled && !job.NeedsPersisting() {
			continue
		}
		jobInfo := term.jobs[id]
		if jobInfo == nil || jobInfo.isWriting {
			continue
		}
		switch {
		case job.Cancelled:
			if term.tracker.IsVacated(job) {
				term.shrinkCancelledRecord(id, job, jobInfo)
			}
		case job.IsComplete() && !jobInfo.isEndDurable:
			term.writeJobEnd(id, job, jobInfo)
		case jobInfo.isEndDurable:
			if term.tracker.IsVacated(job) {
				term.tracker.RemoveJob(job)
				delete(term.jobs, id)
			}
		default:
			if now-jobInfo.writtenAt >= progressInterval {
				due = append(due, id)
			}
		}
	}
	// Progress takes what the rate of writes has to spare, what was written
	// longest ago first.
	if term.progressWritesInFlight >= maxProgressWrites || len(due) == 0 {
		return
	}
	slices.SortFunc(due, func(a, b string) int {
		return cmp.Or(cmp.Compare(term.jobs[a].writtenAt, term.jobs[b].writtenAt), cmp.Compare(a, b))
	})
	for _, id := range due[:min(len(due), maxProgressWrites-term.progressWritesInFlight)] {
		job := term.tracker.Jobs[id]
		term.saveProgress(id, job, term.jobs[id], job.UnpersistedCompletions(), now)
	}
}

// maxProgressWrites bounds the writes of progress that wait.
const maxProgressWrites = 8

func (term *leaderTerm) saveProgress(id string, job *allocation.Job, jobInfo *jobState, tasks []int, now clock.Micros) {
	jobInfo.isWriting, jobInfo.writtenAt = true, now
	// What is more than a transaction takes is for the next one.
	maxKeys := term.controller.cfg.Deployment.Store.Effective().MaxTransactionOps
	keys := map[int]bool{}
	tasks = slices.DeleteFunc(tasks, func(task int) bool {
		key := jobInfo.layout.KeyOf(task)
		if !keys[key] && len(keys) >= maxKeys {
			return true
		}
		keys[key] = true
		return false
	})
	term.progressWritesInFlight++
	// Conditional on the keys' versions: one that is carried out late must not take back
	// what was written after it.
	write := &kvstore.Write{Priority: kvstore.Background}
	isDone := func(task int) bool { return job.Tasks[task].State == allocation.TaskDone }
	for key := range keys {
		write.Conditions = append(write.Conditions, wire.Condition{Key: records.ProgressKey(id, key), Version: jobInfo.keyVersions[key]})
		write.Changes = append(write.Changes, jobInfo.layout.PutChange(id, key, len(job.Tasks), isDone))
		jobInfo.setKeyVersion(key, 0)
	}
	verify := term.afterSync(func() {
		jobInfo.isWriting = false
		jobInfo.updateKeyVersions(term.controller.view.Progress[id])
		term.requestPlan()
	})
	term.commitHandled(write, outcomeHandlers{
		committed: func(revision uint64) {
			for key := range keys {
				jobInfo.setKeyVersion(key, revision)
			}
			term.tracker.MarkDurable(job, tasks)
			jobInfo.isWriting = false
		},
		conflict:    verify,
		notExecuted: func() { jobInfo.isWriting = false },
		unknown:     verify,
		afterwards: func() {
			term.progressWritesInFlight--
			term.requestPlan()
		},
	})
}

// writeJobEnd makes the end of a job durable; only then anybody is told.
func (term *leaderTerm) writeJobEnd(id string, job *allocation.Job, jobInfo *jobState) {
	record := term.controller.view.Jobs[id]
	if record == nil || record.HasEnded() {
		return
	}
	end := storeview.NewEndedJob(record, wire.JobDone, clock.WallTime())
	end.FirstStartAt, end.Errors, end.Restarts = jobInfo.firstStartAt, job.FailureCount, job.RestartCount
	if released := term.controller.dependencyGraph.ReleasedAt(id, clock.Micros(record.SubmittedAt)); int64(released) != record.SubmittedAt {
		end.ReleasedAt = int64(released)
	}
	value, err := end.MarshalJSON()
	if err != nil {
		return
	}
	jobInfo.isWriting = true
	write := &kvstore.Write{
		Priority:   kvstore.Required,
		Conditions: []wire.Condition{{Key: records.JobKey(id), Version: record.Version}},
		Changes:    []wire.Change{{PutKey: records.JobKey(id), Value: value}},
	}
	if term.controller.store.BacklogDuration() < backlogThreshold {
		term.addProgressDeletes(write, id, jobInfo)
	}
	verify := term.afterSync(func() { // cancelled meanwhile, or this write was executed
		jobInfo.isWriting = false
		if current := term.controller.view.Jobs[id]; current != nil && current.State == wire.JobDone {
			jobInfo.isEndDurable = true
			term.tracker.MarkDurable(job, job.UnpersistedCompletions())
		}
		term.requestPlan()
	})
	term.commitHandled(write, outcomeHandlers{
		committed: func(revision uint64) {
			jobInfo.isWriting, jobInfo.isEndDurable = false, true
			term.tracker.MarkDurable(job, job.UnpersistedCompletions())
			if current := term.controller.view.Jobs[id]; current == nil || current.Version < revision {
				// Jobs that need this one need not wait for the watch.
				end.Version = revision
				term.controller.view.SetJob(id, end)
			}
			term.logJobEnd(id, end)
		},
		conflict:    verify,
		notExecuted: func() { jobInfo.isWriting = false },
		unknown:     verify,
		afterwards:  term.requestPlan,
	})
}

// addProgressDeletes adds the removal of a job's progress to the write of its end, as far
// as one transaction takes it; the rest is cleaned up later, see cleanup.
func (term *leaderTerm) addProgressDeletes(write *kvstore.Write, id string, jobInfo *jobState) {
	maxChanges := term.controller.cfg.Deployment.Store.Effective().MaxTransactionOps
	for _, number := range slices.Sorted(maps.Keys(jobInfo.keyVersions)) {
		if len(write.Changes) >= maxChanges {
			return
		}
		write.Changes = append(write.Changes, wire.Change{DeleteKey: records.ProgressKey(id, number)})
	}
}

// logJobEnd says loudly when batch work has missed what its owners expect.
func (term *leaderTerm) logJobEnd(id string, record *storeview.Job) {
	if problem, ok := term.controller.problemOf(id, record, int64(clock.WallTime())); ok && problem.IsLate {
		term.controller.log.Error("job finished late", "job", id, "class", problem.Class, "late_by_s", problem.LateByS, "took_s", problem.TookS, "why", problem.Reason)
		return
	}
	term.controller.log.Debug("job done", "job", id)
}

// shrinkCancelledRecord shrinks the record of a withdrawn job, once no task of it can be
// anywhere.
func (term *leaderTerm) shrinkCancelledRecord(id string, job *allocation.Job, jobInfo *jobState) {
	record := *term.controller.view.Jobs[id]
	record.Spec = nil
	value, err := record.MarshalJSON()
	if err != nil {
		return
	}
	jobInfo.isWriting = true
	// As long as the record is whole, a new leader has to reckon with its tasks.
	write := &kvstore.Write{Priority: kvstore.Required, Changes: []wire.Change{{PutKey: records.JobKey(id), Value: value}}}
	term.addProgressDeletes(write, id, jobInfo)
	term.commit(write, func(outcome kvstore.Outcome) {
		jobInfo.isWriting = false
		if outcome == kvstore.Committed {
			term.tracker.RemoveJob(job)
			delete(term.jobs, id)
		}
		term.requestPlan()
	})
}

// warnLateJobs warns, once a job, of batch work that slips while it runs.
func (term *leaderTerm) warnLateJobs(now clock.Micros) {
	wall := int64(clock.WallTime())
	for id, jobInfo := range term.jobs {
		record := term.controller.view.Jobs[id]
		if jobInfo.hasWarnedLate || jobInfo.isEndDurable || record == nil || record.HasEnded() {
			continue
		}
		if problem, ok := term.controller.problemOf(id, record, wall); ok && problem.IsLate {
			jobInfo.hasWarnedLate = true
			term.controller.log.Error("job is late", "job", id, "class", problem.Class, "why", problem.Reason)
		}
	}
}
