package leader

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/rateshare"
)

const (
	// writeTimeout bounds how long a write of the leader waits in the queue to be sent.
	writeTimeout = 3 * clock.Second
	// verifyTimeout bounds how long the leader waits for a view that shows the effect of a write with
	// an unknown outcome or a conflict.
	verifyTimeout = 2 * clock.Second
)

// outcomeHandlers are the functions to call after a write that is conditional on the leader lock,
// by outcome. A nil handler does nothing. There is no handler for kvstore.Fenced, which ends the
// term because the lock is lost.
type outcomeHandlers struct {
	// committed is called with the revision of the write.
	committed func(revision uint64)
	// conflict is called if one of the write's own conditions didn't hold.
	conflict func()
	// notExecuted is called if the write was certainly not executed. It can be retried unchanged.
	notExecuted func()
	// unknown is called if the write may have been executed or may still be executed.
	unknown func()
	// afterwards is called last, after each of these outcomes.
	afterwards func()
}

func (handlers *outcomeHandlers) handle(outcome kvstore.Outcome, revision uint64) {
	switch outcome {
	case kvstore.Committed:
		if handlers.committed != nil {
			handlers.committed(revision)
		}
	case kvstore.Conflict:
		runIfSet(handlers.conflict)
	case kvstore.NotExecuted:
		runIfSet(handlers.notExecuted)
	case kvstore.Unknown:
		runIfSet(handlers.unknown)
	case kvstore.Fenced: // commitWithRevision handles this outcome
	}
	runIfSet(handlers.afterwards)
}

func runIfSet(handler func()) {
	if handler != nil {
		handler()
	}
}

// commitWithHandlers commits a write on condition that this leader holds the lock, and calls the
// handler of its outcome.
func (term *Term) commitWithHandlers(write *kvstore.Write, handlers outcomeHandlers) {
	term.commitWithRevision(write, handlers.handle)
}

// commit commits a write on condition that this leader holds the lock, and calls done with its outcome.
func (term *Term) commit(write *kvstore.Write, done func(kvstore.Outcome)) {
	term.commitWithRevision(write, func(outcome kvstore.Outcome, _ uint64) { done(outcome) })
}

// commitWithRevision is like commit, and also passes the revision of the write to done. It calls done on
// the controller's goroutine, but not if the term is closed by then or if the write is fenced. If the
// store client refuses the write, because its queue is full or because an interactive write can't be
// sent in time, done is called before commitWithRevision returns.
func (term *Term) commitWithRevision(write *kvstore.Write, done func(kvstore.Outcome, uint64)) {
	write.FencingToken = term.token
	write.Deadline = clock.Now() + writeTimeout
	write.Done = func(outcome kvstore.Outcome, revision uint64) {
		term.host.PostResult(func() {
			if term.isClosed {
				return
			}
			if outcome == kvstore.Fenced {
				term.host.HandleFenced(term.token)
				return
			}
			done(outcome, revision)
		})
	}
	if !term.environment.Store.Commit(write) {
		done(kvstore.NotExecuted, 0)
	}
}

// afterSync returns a handler for a write whose outcome is unknown or whose conditions didn't hold. The
// handler waits until the view is newer than the response to the write, and then calls resume, which
// reads the effect of the write from the view. If the view isn't updated within verifyTimeout or the
// update fails, resume is called anyway. It is not called once the term is closed.
func (term *Term) afterSync(resume func()) func() {
	return func() {
		term.environment.View.RequestSync(func(error) {
			if !term.isClosed {
				resume()
			}
		}, clock.Now()+verifyTimeout)
	}
}

// maxTransactionOps returns the maximum number of changes in one transaction.
func (term *Term) maxTransactionOps() int {
	return term.environment.Config.Deployment.Store.Effective().MaxTransactionOps
}

// backlogThreshold is how long sending all waiting writes has to take for the leader to have a backlog.
const backlogThreshold = rateshare.BacklogThreshold
