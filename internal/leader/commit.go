package leader

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/rateshare"
)

const (
	// writeTimeout bounds how long a write of the leader waits to be sent.
	writeTimeout = 3 * clock.Second
	// verifyTimeout bounds how long the leader waits for the view to show what became of a
	// write whose outcome it doesn't know.
	verifyTimeout = 2 * clock.Second
)

// outcomeHandlers say what follows each outcome of a write that is bound to the leader lock.
// One that is nil means that nothing follows. There is none for kvstore.Fenced: the lock is
// lost then, which ends the term.
type outcomeHandlers struct {
	// committed gets the revision of the write.
	committed func(revision uint64)
	// conflict: one of the write's conditions doesn't hold.
	conflict func()
	// notExecuted: the write was certainly not executed; it may be tried again as it is.
	notExecuted func()
	// unknown: the write may have been executed, or may still be.
	unknown func()
	// afterwards runs last, whatever the outcome.
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
	case kvstore.Fenced: // see commitWithRevision
	}
	runIfSet(handlers.afterwards)
}

func runIfSet(handler func()) {
	if handler != nil {
		handler()
	}
}

// commitWithHandlers commits a write that is bound to the leader lock, and calls the handler of its
// outcome.
func (term *Term) commitWithHandlers(write *kvstore.Write, handlers outcomeHandlers) {
	term.commitWithRevision(write, handlers.handle)
}

// commit commits a write that is bound to the leader lock, and passes its outcome on.
func (term *Term) commit(write *kvstore.Write, done func(kvstore.Outcome)) {
	term.commitWithRevision(write, func(outcome kvstore.Outcome, _ uint64) { done(outcome) })
}

// commitWithRevision does what commit does, for callers that need the revision of the write.
// done is called on the controller's goroutine, and not at all once the term is closed, or if the
// write is fenced. It is called before this method returns if the queue of writes is full.
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

// afterSync makes a handler for a write whose outcome is not known, or whose conditions did not
// hold: it waits until the view is newer than the write's answer, and then calls resume, which
// reads back from the view what is there. resume is also called when the view could not be
// brought up to date in time, but not once the term is closed.
func (term *Term) afterSync(resume func()) func() {
	return func() {
		term.environment.View.RequestSync(func(error) {
			if !term.isClosed {
				resume()
			}
		}, clock.Now()+verifyTimeout)
	}
}

// maxTransactionOps is how many changes one transaction takes.
func (term *Term) maxTransactionOps() int {
	return term.environment.Config.Deployment.Store.Effective().MaxTransactionOps
}

// backlogThreshold is how long the leader's waiting writes take from which it has a backlog.
const backlogThreshold = rateshare.BacklogThreshold
