package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// stagedSubmitTimeout bounds how long a submission waits for all of its transactions. Its user asks again meanwhile.
const stagedSubmitTimeout = 20 * clock.Second

// stagedSubmission is a submission that doesn't fit into one transaction, because it names very many jobs. Its
// Dependencies records are written in transactions of their own, before the one that writes the job's record and so accepts
// the job.
//
// Another member may write the same job's parts at the same time, perhaps in other portions. Everyone begins with the first
// part, and all later writes are conditional on its version. So once the job's record is written, all parts
// are those of its writer. Parts whose record is never written are deleted by the leader (internal/leader/cleanup.go).
type stagedSubmission struct {
	job    *wire.Job
	record *storeview.Job
	// remaining are the changes of the transactions that are still to be made. The last one writes the job's record.
	remaining [][]wire.Change
	// firstPartVersion is the version of the first part, or 0 before it is written.
	firstPartVersion uint64
	deadline         clock.Micros
}

// conditions returns the conditions of the next transaction.
func (staged *stagedSubmission) conditions() []wire.Condition {
	conditions := absenceConditions(staged.job.ID)
	if staged.firstPartVersion != 0 {
		conditions = append(conditions, wire.Condition{Key: records.DependenciesKey(staged.job.ID, 0), Version: staged.firstPartVersion})
	}
	return conditions
}

// commitInStages makes the transactions of a submission, one after another.
func (controller *Controller) commitInStages(staged *stagedSubmission) {
	staged.deadline = clock.Now() + stagedSubmitTimeout
	controller.commitNextStage(staged)
}

func (controller *Controller) commitNextStage(staged *stagedSubmission) {
	write := &kvstore.Write{Conditions: staged.conditions(), Changes: staged.remaining[0], Deadline: staged.deadline}
	write.Done = func(outcome kvstore.Outcome, revision uint64) {
		controller.postResult(func() { controller.handleStageResult(staged, outcome, revision) })
	}
	if !controller.store.Commit(write) {
		controller.handleStageResult(staged, kvstore.NotExecuted, 0)
	}
}

func (controller *Controller) handleStageResult(staged *stagedSubmission, outcome kvstore.Outcome, revision uint64) {
	switch {
	case outcome != kvstore.Committed:
		controller.failStagedSubmission(staged, outcome)
	case len(staged.remaining) == 1:
		controller.handleSubmissionResult(staged.job, staged.record, outcome, revision)
	default:
		if staged.firstPartVersion == 0 {
			staged.firstPartVersion = revision
		}
		staged.remaining = staged.remaining[1:]
		controller.commitNextStage(staged)
	}
}

// failStagedSubmission replies to the users of a submission of which a transaction was not made. After a conflict, another
// member has accepted the job, or is writing its parts: the user has to ask again.
func (controller *Controller) failStagedSubmission(staged *stagedSubmission, outcome kvstore.Outcome) {
	replies := controller.users.pendingSubmissions[staged.job.ID]
	delete(controller.users.pendingSubmissions, staged.job.ID)
	for _, reply := range replies {
		if outcome == kvstore.Conflict {
			controller.proceedIfNotAccepted(staged.job, reply, func() { replyUnavailable(reply, reasonNotStored) })
			continue
		}
		replyUnavailable(reply, reasonNotStored)
	}
}
