package kvstore

import (
	"errors"
	"testing"
)

// An unexpected status of a response gives an ErrRejected that carries the status.
func TestStatusErrorIsRejected(t *testing.T) {
	store, fakeStore := newTestClient(t)
	fakeStore.SetDown(true)
	_, err := store.ReadPage("a/", "", 1)
	var statusError *StatusError
	if !errors.Is(err, ErrRejected) || !errors.As(err, &statusError) || statusError.Status != statusServiceUnavailable {
		t.Errorf("ReadPage in an outage: got error %v, want an ErrRejected with status 503", err)
	}
	if errors.Is(err, ErrNotFound) || errors.Is(err, ErrMalformed) {
		t.Errorf("error %v also matches ErrNotFound or ErrMalformed", err)
	}
}

// A response that can't be decoded gives an ErrMalformed and is counted.
func TestMalformedResponseIsCounted(t *testing.T) {
	store, _ := newTestClient(t)
	if err := store.countMalformed(errGrantWithoutLease); !errors.Is(err, ErrMalformed) || !errors.Is(err, errGrantWithoutLease) {
		t.Errorf("countMalformed returned %v, want an error that matches ErrMalformed and wraps the reason", err)
	}
	if count := store.MalformedResponses.Load(); count != 1 {
		t.Errorf("MalformedResponses is %d, want 1", count)
	}
}

func TestOutcomesAndPrioritiesHaveNames(t *testing.T) {
	for outcome, want := range map[Outcome]string{
		Committed: "committed", Conflict: "conflict", Fenced: "fenced", NotExecuted: "not_executed", Unknown: "unknown", 9: "outcome(9)",
	} {
		if got := outcome.String(); got != want {
			t.Errorf("Outcome(%d).String() = %q, want the name in the table", uint8(outcome), got)
		}
	}
	for priority, want := range map[Priority]string{
		Critical: "critical", Interactive: "interactive", Required: "required", Background: "background", 9: "priority(9)",
	} {
		if got := priority.String(); got != want {
			t.Errorf("Priority(%d).String() = %q, want the name in the table", int8(priority), got)
		}
	}
	if (&Write{}).Priority != Interactive {
		t.Error("the zero Write's priority is not Interactive")
	}
}
