package allocation

// attemptCounterBits is how many low bits of an attempt count the attempts under one token. The
// token stands above them, so that attempts grow over all leaders (invariant 3).
const attemptCounterBits = 20

// maxAttemptsPerToken is how many attempts the counter can tell apart under one token. From half of
// them on, TakeTokenRaiseRequest reports that a higher token is needed.
const maxAttemptsPerToken = 1 << attemptCounterBits

// NextAttempt returns an attempt number for a task, or for all tasks of a gang (invariant 3). The
// counter starts anew with each token: when it went on over tokens, it wrapped after a million
// attempts of one term, and the attempts after that were lower than those before.
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
