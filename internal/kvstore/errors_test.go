package kvstore

import (
	"errors"
	"testing"
)

// A status that the store should not answer with is an ErrRejected that gives the status.
func TestStatusErrorIsRejected(t *testing.T) {
	store, fakeStore := newTestClient(t)
	fakeStore.SetDown(true)
	_, err := store.ReadPage("a/", "", 1)
	var statusError *StatusError
	if !errors.Is(err, ErrRejected) || !errors.As(err, &statusError) || statusError.Status != statusServiceUnavailable {
		t.Errorf("in an outage: %v", err)
	}
	if errors.Is(err, ErrNotFound) || errors.Is(err, ErrMalformed) {
		t.Errorf("%v is taken for another error", err)
	}
}

// A response that can't be decoded is an ErrMalformed and is counted.
func TestMalformedResponseIsCounted(t *testing.T) {
	store, _ := newTestClient(t)
	if err := store.countMalformed(errGrantWithoutLease); !errors.Is(err, ErrMalformed) || !errors.Is(err, errGrantWithoutLease) {
		t.Errorf("%v", err)
	}
	if count := store.MalformedResponses.Load(); count != 1 {
		t.Errorf("%d are counted", count)
	}
}

func TestOutcomesAndPrioritiesHaveNames(t *testing.T) {
	for outcome, want := range map[Outcome]string{
		Committed: "committed", Conflict: "conflict", Fenced: "fenced", NotExecuted: "not_executed", Unknown: "unknown", 9: "outcome(9)",
	} {
		if got := outcome.String(); got != want {
			t.Errorf("outcome %d is %q", uint8(outcome), got)
		}
	}
	for priority, want := range map[Priority]string{
		Critical: "critical", Interactive: "interactive", Required: "required", Background: "background", 9: "priority(9)",
	} {
		if got := priority.String(); got != want {
			t.Errorf("priority %d is %q", int8(priority), got)
		}
	}
	if (&Write{}).Priority != Interactive {
		t.Error("a write is not interactive by default")
	}
}
