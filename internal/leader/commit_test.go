package leader

import (
	"slices"
	"testing"
	"time"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
)

// Each outcome calls the handler of its name, and then afterwards. A handler that is nil is skipped.
func TestOutcomeHandlers(t *testing.T) {
	for outcome, want := range map[kvstore.Outcome]string{
		kvstore.Committed: "committed", kvstore.Conflict: "conflict", kvstore.NotExecuted: "notExecuted", kvstore.Unknown: "unknown",
	} {
		var called []string
		call := func(name string) func() { return func() { called = append(called, name) } }
		handlers := outcomeHandlers{
			committed: func(revision uint64) {
				if revision != 7 {
					t.Errorf("committed with revision %d, want 7", revision)
				}
				call("committed")()
			},
			conflict: call("conflict"), notExecuted: call("notExecuted"), unknown: call("unknown"), afterwards: call("afterwards"),
		}
		handlers.handle(outcome, 7)
		if !slices.Equal(called, []string{want, "afterwards"}) {
			t.Errorf("outcome %d calls %v, want %s and then afterwards", outcome, called, want)
		}
		(&outcomeHandlers{}).handle(outcome, 7)
	}
}

// Callbacks of syncs and of background work that arrive after the term was closed are dropped.
func TestNothingResumesInClosedTerm(t *testing.T) {
	for _, isClosed := range []bool{false, true} {
		term := newTestTerm(t)
		owner := ownerOf(term)
		synced, ran := 0, 0
		term.afterSync(func() { synced++ })()
		term.background(func() func() { return func() { ran++ } })
		if isClosed {
			term.Close()
		}
		posted := 0
		for deadline := time.Now().Add(10 * time.Second); posted == 0 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			for _, command := range owner.commands.TakeBatch() {
				command()
				posted++
			}
		}
		if posted == 0 {
			t.Fatal("the result of background work was not posted within 10 s")
		}
		owner.View.ExpireSyncs(clock.Now() + 2*verifyTimeout)
		want := 1
		if isClosed {
			want = 0
		}
		if synced != want || ran != want {
			t.Errorf("closed %v: resumed %d times after a sync, %d times after background work, want %d", isClosed, synced, ran, want)
		}
	}
}
