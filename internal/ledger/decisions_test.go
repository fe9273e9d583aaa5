package ledger

import (
	"slices"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// followed keeps what a follower of a ledger would know.
type followed struct {
	under   []string // tasks that may be under way
	number  uint64
	allowed uint64 // the last decision that all followers have
}

func (f *followed) Started(task string, _ uint64, _ string) uint64 {
	f.under = append(f.under, task)
	f.number++
	return f.number
}

func (f *followed) Over(task string, _ uint64, _ string) {
	if i := slices.Index(f.under, task); i >= 0 {
		f.under = slices.Delete(f.under, i, i+1)
	}
}

func (f *followed) MaySend(number uint64) bool { return number <= f.allowed }

func followedLedger(t *testing.T) (*Ledger, *Machine, *Job, *followed) {
	f := &followed{allowed: 100}
	l := New(Config{Token: 9, Lease: testLease, Decisions: f})
	l.Settle()
	m := l.AddMachine("i-0", "t", "x", false, Resources{8000, 0, 1 << 40}, 0)
	m.Recorded, m.Addr = true, "a:1"
	j := l.AddJob(&wire.Job{ID: "req-000001", Kind: wire.KindArray, Tasks: 3, CPUs: 1}, 0, 0, true, nil)
	l.Report(m, listing("i-0", 1, 9, 0), 1)
	if err := l.Place(j, 0, m, l.Attempt(), 1); err != nil {
		t.Fatal(err)
	}
	return l, m, j, f
}

// No start goes out, by either way, before all followers have it; then it does.
func TestAStartWaitsForFollowers(t *testing.T) {
	l, m, _, f := followedLedger(t)
	f.allowed = 0
	if orders := l.Orders(m, 2); len(orders) != 0 {
		t.Fatalf("answered %+v", orders)
	}
	if message, _ := l.Direct(m, 2); message != nil {
		t.Fatalf("sent %+v", message)
	}
	l.Outbox(func(*Machine) bool { return false })
	f.allowed = 1
	l.RetryStarts()
	due := 0
	l.Outbox(func(*Machine) bool { due++; return false })
	if message, _ := l.Direct(m, 3); due != 1 || message == nil || len(message.Commands) != 1 {
		t.Fatalf("%d machines due, then sent %+v", due, message)
	}
}

// A task that completed is over for followers only once its completion is durable, or its
// job is over: the next leader would run it again.
func TestACompletionIsDurableBeforeItIsTold(t *testing.T) {
	l, m, j, f := followedLedger(t)
	l.Orders(m, 2)
	done := listing("i-0", 2, 9, 0)
	attempt := j.Tasks[0].Place.Attempt
	done.Tasks = []wire.TaskReport{{Task: wire.TaskID("req-000001", 0), Attempt: attempt, State: wire.TaskExited, Why: wire.WhyDone}}
	l.Report(m, done, 3*clock.Second)
	if j.DoneCount() != 1 || len(f.under) != 1 {
		t.Fatalf("%d done, told of as under way: %v", j.DoneCount(), f.under)
	}
	l.MadeDurable(j, []int{0})
	if len(f.under) != 0 {
		t.Fatalf("still told of as under way: %v", f.under)
	}
}

// Only tasks that an earlier leader may have started are in doubt; of a gang all, if any.
func TestDoubtIsNarrowed(t *testing.T) {
	for kind, want := range map[string]int{wire.KindArray: 1, wire.KindGang: 3} {
		l := New(Config{Token: 9, Lease: testLease, MayRun: func(task string) bool { return task == wire.TaskID("req-000001", 1) }})
		j := l.AddJob(&wire.Job{ID: "req-000001", Kind: kind, Tasks: 3, CPUs: 1, Team: "a"}, 0, 0, true, nil)
		if j.Doubts() != want || l.TeamUse("a").CPU != int64(want)*1000 {
			t.Errorf("%s: %d in doubt, the team may use %d", kind, j.Doubts(), l.TeamUse("a").CPU)
		}
	}
}
