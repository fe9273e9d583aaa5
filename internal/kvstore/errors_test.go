package kvstore

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/fake"
)

// Guards against an executed write that its caller takes for one that was not: the store, or what stands before it,
// executes a transaction and answers with a status that PROTOCOL doesn't define. Only a 503 says that nothing happened.
func TestUndefinedStatusOfTransactionIsUnknownOutcome(t *testing.T) {
	for status, want := range map[int]Outcome{500: Unknown, 502: Unknown, 504: Unknown, 404: Unknown, 503: NotExecuted} {
		fakeStore, stop := fake.NewStore()
		t.Cleanup(stop)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if status != http.StatusServiceUnavailable {
				fakeStore.ServeHTTP(httptest.NewRecorder(), r)
			}
			w.WriteHeader(status)
		}))
		t.Cleanup(server.Close)
		store := New(client.DialTCP, strings.TrimPrefix(server.URL, "http://"), Limits{RPS: 1000, WriteRPS: 1000, MaxTransactionOps: 16}, "lock")
		outcomes := make(chan Outcome, 1)
		store.Commit(&Write{Changes: putChange("a/b", `{}`), Done: func(outcome Outcome, _ uint64) { outcomes <- outcome }})
		if got := <-outcomes; got != want {
			t.Errorf("status %d: got outcome %s, want %s; the key's value is %q", status, got, want, fakeStore.Value("a/b"))
		}
	}
}

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
