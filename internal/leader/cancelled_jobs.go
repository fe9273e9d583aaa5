package leader

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// cancelledJobShrinker removes the submission from the records of cancelled jobs. While a record has
// its submission, it tells a new leader that tasks of the job may be on machines.
type cancelledJobShrinker struct{ term *Term }

// shrinkIfVacated removes the submission from the record of a cancelled job once none of its tasks can
// be on a machine. The write is conditional on the record's version: if a copy of the write is executed
// late, after the record was moved to the archive, it must not restore the record.
func (shrinker *cancelledJobShrinker) shrinkIfVacated(id string, job *allocation.Job, jobInfo *jobState) {
	term := shrinker.term
	current := term.environment.View.Jobs[id]
	if current == nil || !term.tracker.IsVacated(job) {
		return // without a record in the view, another leader has removed the submission
	}
	record := *current
	record.Spec = nil
	value, err := records.EncodeEnded(&record.Job, StoreLimits(term.environment.Config))
	if err != nil {
		return
	}
	jobInfo.isWriting = true
	write := &kvstore.Write{
		Priority:   kvstore.Required,
		Conditions: []wire.Condition{{Key: records.JobKey(id), Version: record.Version}},
		Changes:    []wire.Change{{PutKey: records.JobKey(id), Value: value}},
	}
	term.appendProgressDeletes(write, id, jobInfo)
	// Unless the write is committed, the job stays tracked, so a later call writes again. After a
	// conflict or an unknown outcome, it has to use the record's version from a newer view.
	allowNextWrite := func() {
		jobInfo.isWriting = false
		term.requestPlan()
	}
	allowNextWriteAfterSync := term.afterSync(allowNextWrite)
	term.commitWithHandlers(write, outcomeHandlers{
		committed:   func(uint64) { term.removeJob(id, job) },
		conflict:    allowNextWriteAfterSync,
		notExecuted: func() { jobInfo.isWriting = false },
		unknown:     allowNextWriteAfterSync,
		afterwards:  term.requestPlan,
	})
}
