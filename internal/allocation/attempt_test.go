package allocation

import "testing"

// Attempts increase within a term however many there are, as long as the token is raised when the
// tracker asks for it. Without a counter that restarts with each token, the counter wraps, and about
// the millionth attempt is lower than the one before it.
func TestAttemptsIncreaseBeyondCounterRange(t *testing.T) {
	tracker := New(Config{FencingToken: 7})
	raiseCount := 0
	for last, i := uint64(0), 0; i < 2*maxAttemptsPerToken; i++ {
		attempt := tracker.NextAttempt()
		if attempt <= last {
			t.Fatalf("call %d: got attempt %d, want one above %d", i, attempt, last)
		}
		last = attempt
		if tracker.TakeTokenRaiseRequest() {
			raiseCount++
			tracker.IssueToken(tracker.FencingToken() + 1)
			tracker.RaiseToken()
		}
	}
	if raiseCount != 4 {
		t.Errorf("the token was raised %d times, want 4: once for each half of the counter's range", raiseCount)
	}
	if !tracker.HasIssuedAttempt() {
		t.Error("HasIssuedAttempt() = false after calls of NextAttempt, want true")
	}
}
