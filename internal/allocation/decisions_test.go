package allocation

import (
	"slices"
	"strings"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// followed keeps what a follower of a ledger would know.
type followed struct {
	t       *testing.T
	covered string   // a task or job that has to be covered after each decision, if set
	under   []string // tasks that may be under way, and what is in doubt
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
	if job, _, _ := strings.Cut(f.covered, "/"); job != "" && !slices.Contains(f.under, f.covered) && !slices.Contains(f.under, job) {
		f.t.Errorf("%s is covered by nothing for a moment", f.covered)
	}
}

func (f *followed) MaySend(number uint64) bool { return number <= f.allowed }

func (f *followed) Doubted(id string) { f.Started(id, 0, "") }

func (f *followed) DoubtOver(id string) { f.Over(id, 0, "") }

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

// doubtful is the ledger of a new leader with a job of which tasks may run, a machine, and
// another one that is silent.
func doubtful(t *testing.T, tasks int, mayRun func(string) bool) (*Ledger, *Machine, *Job, *followed) {
	f := &followed{t: t, allowed: 100}
	l := New(Config{Token: 9, Lease: testLease, Decisions: f, MayRun: mayRun})
	for _, name := range []string{"i-0", "i-1"} {
		l.AddMachine(name, "t", "x", false, Resources{64000, 0, 1 << 40}, 0).Recorded = true
	}
	j := l.AddJob(&wire.Job{ID: "req-000001", Kind: wire.KindArray, Tasks: tasks, CPUs: 1}, 0, 0, true, nil)
	l.Settle()
	return l, l.Machines["i-0"], j, f
}

// A task that was in doubt is told of as placed before its doubt is told of as over: in
// between a follower would take it for one that is nowhere.
func TestAPlaceIsToldBeforeADoubtIsOver(t *testing.T) {
	task := wire.TaskID("req-000001", 1)
	l, m, j, f := doubtful(t, 3, func(other string) bool { return other == task })
	if !slices.Equal(f.under, []string{task}) {
		t.Fatalf("told of %v", f.under)
	}
	f.covered = task
	l.Report(m, listing("i-0", 1, 9, 3, 1), 1)
	if j.Doubts() != 0 || !slices.Equal(f.under, []string{task}) {
		t.Errorf("%d in doubt, told of %v", j.Doubts(), f.under)
	}
}

// A task that was in doubt and turns out to be done is covered until its completion is
// durable.
func TestADoubtLastsUntilACompletionIsDurable(t *testing.T) {
	for name, tasks := range map[string]int{"few": 3, "many": mostDoubtsTold + 1} {
		l, m, j, f := doubtful(t, tasks, nil)
		f.covered = wire.TaskID("req-000001", 0)
		done := listing("i-0", 1, 9, 3)
		done.Tasks = []wire.TaskReport{{Task: f.covered, Attempt: 3, State: wire.TaskExited, Why: wire.WhyDone}}
		l.Report(m, done, 1)
		l.MachineGone(l.Machines["i-1"], 2)
		if j.DoneCount() != 1 || j.Doubts() != 0 {
			t.Fatalf("%s: %d done, %d in doubt", name, j.DoneCount(), j.Doubts())
		}
		f.covered = ""
		l.MadeDurable(j, []int{0})
		if len(f.under) != 0 {
			t.Errorf("%s: still told of %v", name, f.under)
		}
	}
}

// Many doubts of one job are told one by one where more is left of it, which may start.
func TestManyDoubtsOfALargeJob(t *testing.T) {
	const tasks = 2 * mostDoubtsTold
	_, _, j, f := doubtful(t, tasks, func(task string) bool { return task != wire.TaskID("req-000001", 0) })
	if j.Doubts() != tasks-1 || len(f.under) != tasks-1 {
		t.Errorf("%d in doubt, told of %v", j.Doubts(), f.under)
	}
}

// A job that is in doubt as a whole is told of as such, and its last tasks one by one.
func TestAWholeJobInDoubt(t *testing.T) {
	const tasks = mostDoubtsTold + 4
	l, m, j, f := doubtful(t, tasks, nil)
	if !slices.Equal(f.under, []string{"req-000001"}) {
		t.Fatalf("told of %v", f.under)
	}
	l.Report(m, listing("i-0", 1, 9, 3, 0, 1, 2), 1)
	if j.Doubts() != tasks-3 || !slices.Contains(f.under, "req-000001") || len(f.under) != 4 {
		t.Fatalf("%d in doubt, told of %v", j.Doubts(), f.under)
	}
	f.covered = wire.TaskID("req-000001", tasks-1)
	l.complete(j, 3)
	l.MadeDurable(j, []int{3})
	if j.Doubts() != mostDoubtsTold || slices.Contains(f.under, "req-000001") || len(f.under) != mostDoubtsTold+3 {
		t.Errorf("%d in doubt, told of %v", j.Doubts(), f.under)
	}
}
