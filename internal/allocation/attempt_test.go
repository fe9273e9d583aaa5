package allocation

import "testing"

// Attempts grow within a term however many there are, as long as the token is raised when the
// tracker asks for it. Without a counter of its own for each token the millionth attempt was lower
// than the one before.
func TestAttemptsIncreaseBeyondCounterRange(t *testing.T) {
	tracker := New(Config{FencingToken: 7})
	raiseCount := 0
	for last, i := uint64(0), 0; i < 2*maxAttemptsPerToken; i++ {
		attempt := tracker.NextAttempt()
		if attempt <= last {
			t.Fatalf("attempt %d is %d, after %d", i, attempt, last)
		}
		last = attempt
		if tracker.TakeTokenRaiseRequest() {
			raiseCount++
			tracker.IssueToken(tracker.FencingToken() + 1)
			tracker.RaiseToken()
		}
	}
	if raiseCount != 4 {
		t.Errorf("the token was raised %d times, want once in each half of the counter", raiseCount)
	}
	if !tracker.HasIssuedAttempt() {
		t.Error("no attempt counts as issued")
	}
}
