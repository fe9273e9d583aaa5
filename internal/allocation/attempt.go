package allocation

// attemptCounterBits is the number of low bits of an attempt that count the attempts under one
// token. The bits above hold the token, so that attempts increase over all leaders (invariant 3).
const attemptCounterBits = 20

// maxAttemptsPerToken is how many values the counter has under one token. Once half of them are
// used, TakeTokenRaiseRequest reports that a higher token is needed.
const maxAttemptsPerToken = 1 << attemptCounterBits

// NextAttempt returns an attempt number for a task, or for all tasks of a gang (invariant 3). The
// counter restarts with each token: when it continued from one token to the next, it wrapped after
// a million attempts in one term, and the following attempts were lower than the earlier ones.
func (tracker *Tracker) NextAttempt() uint64 {
	if tracker.attemptToken != tracker.currentToken {
		tracker.attemptToken, tracker.attemptCounter = tracker.currentToken, 0
	}
	tracker.attemptCounter++
	if tracker.attemptCounter >= maxAttemptsPerToken/2 {
		tracker.needsHigherToken = true
	}
	return tracker.currentToken<<attemptCounterBits | tracker.attemptCounter&(maxAttemptsPerToken-1)
}
