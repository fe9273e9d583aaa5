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
// machine. The write is conditional on the record's version: a copy of it that is executed late,
// after the record was moved to the archive, must not bring the record back.
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
	write := &kvstore.Write{
		Priority:   kvstore.Required,
		Conditions: []wire.Condition{{Key: records.JobKey(id), Version: record.Version}},
		Changes:    []wire.Change{{PutKey: records.JobKey(id), Value: value}},
	}
	term.appendProgressDeletes(write, id, jobInfo)
	// The job is still tracked after any outcome but a commit, so a later call writes again: with
	// the version that the view has by then, if the record may be another one.
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
