package leader

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// cancelledJobShrinker takes the submission out of the records of cancelled jobs. A record that
// has it tells a new leader that tasks of the job may be on machines.
type cancelledJobShrinker struct{ term *Term }

// shrinkIfVacated shrinks the record of a cancelled job once none of its tasks can be on a
// machine. Unlike other writes of a job's record this one depends on the lock alone, not on the
// record's version: no other member changes the record of a cancelled job.
func (shrinker *cancelledJobShrinker) shrinkIfVacated(id string, job *allocation.Job, jobInfo *jobState) {
	term := shrinker.term
	if !term.tracker.IsVacated(job) {
		return
	}
	record := *term.environment.View.Jobs[id]
	record.Spec = nil
	value, err := record.MarshalJSON()
	if err != nil {
		return
	}
	jobInfo.isWriting = true
	write := &kvstore.Write{Priority: kvstore.Required, Changes: []wire.Change{{PutKey: records.JobKey(id), Value: value}}}
	term.appendProgressDeletes(write, id, jobInfo)
	// After any other outcome the job is still tracked, so a later call writes the same again.
	term.commitHandled(write, outcomeHandlers{
		committed: func(uint64) { term.removeJob(id, job) },
		afterwards: func() {
			jobInfo.isWriting = false
			term.requestPlan()
		},
	})
}
