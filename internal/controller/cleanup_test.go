package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/wire"
)

var cleanupLimits = config.StoreLimits{RPS: 1000, WriteRPS: 1000, MaxValueKB: 8, MaxTransactionOps: 4}

// store writes keys as another controller would, and waits for the watch to bring them.
func store(t *testing.T, c *Core, values map[string]any) {
	t.Helper()
	for key, value := range values {
		v, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		done := false
		c.store.Commit(&kvstore.Write{Changes: []wire.Change{{PutKey: key, Value: v}}, Done: func(o kvstore.Outcome, _ uint64) {
			if o != kvstore.Committed {
				t.Errorf("%s is not stored: %v", key, o)
			}
			c.post(func() { done = true })
		}})
		work(t, c, func() bool { return done })
	}
	synced := false
	c.view.wantSync(func(error) { synced = true }, clock.Now()+10*clock.Second)
	work(t, c, func() bool { return synced })
}

func keysOf(s *fake.State) []string {
	return append(s.Keys(prefixAwaits), s.Keys(prefixDone)...)
}

// What ended jobs have left behind goes; what an active job needs stays, and the
// progress of a cancelled one as long as its tasks may be on machines.
func TestLeftoversAreCleanedUp(t *testing.T) {
	s, l := leadOnState(t, cleanupLimits)
	job := func(id string) *wire.Job {
		return &wire.Job{ID: id, Kind: wire.KindArray, Team: "t", TaskCount: 3, CPUs: 1, Priority: wire.PriorityNormal}
	}
	values := map[string]any{
		prefixJob + "req-000001": jobRecord{At: 1, State: wire.JobDone, End: 2},
		prefixJob + "req-000002": jobRecord{At: 1, State: wire.JobCancelled, End: 2},
		prefixJob + "req-000003": jobRecord{At: 1, State: wire.JobCancelled, End: int64(clock.WallTime()), Job: job("req-000003")},
		prefixJob + "req-000004": jobRecord{At: 1, Job: job("req-000004"), Parts: 2},
	}
	for part := range 9 { // more than a transaction takes
		values[awaitsKey("req-000001", part)] = awaitsRecord{Awaits: []string{"req-000002"}}
		values[doneKey("req-000002", part)] = doneRecord{}
	}
	stays := []string{
		awaitsKey("req-000004", 0), awaitsKey("req-000004", 1), doneKey("req-000003", 0), doneKey("req-000004", 0),
	}
	values[awaitsKey("req-000004", 0)] = awaitsRecord{Awaits: []string{"req-000001"}}
	values[awaitsKey("req-000004", 1)] = awaitsRecord{Awaits: []string{"req-000005"}}
	values[doneKey("req-000003", 0)] = doneRecord{}
	values[doneKey("req-000004", 0)] = doneRecord{}
	values[awaitsKey("req-000003", 0)] = awaitsRecord{Awaits: []string{"req-000002"}}
	store(t, l.c, values)

	now := clock.Now()
	work(t, l.c, func() bool {
		now += 2 * sweepEvery
		l.cleanUp(now)
		return slices.Equal(keysOf(s), stays)
	})
	for range 3 { // and no more than that
		now += 2 * sweepEvery
		l.cleanUp(now)
		idle := 0
		work(t, l.c, func() bool { idle++; return idle > 50 })
	}
	if got := keysOf(s); !slices.Equal(got, stays) {
		t.Errorf("left are %v", got)
	}
	for _, transaction := range s.Transactions() {
		if len(transaction.Changes) > cleanupLimits.MaxTransactionOps {
			t.Errorf("%d changes in a transaction", len(transaction.Changes))
		}
	}
}

// A clean-up that is carried out late, by a leader that has been replaced, removes
// nothing, be it of a job that is over by now.
func TestLateCleanUpOfAFormerLeader(t *testing.T) {
	s, l := leadOnState(t, cleanupLimits)
	const id = "req-000001"
	store(t, l.c, map[string]any{
		prefixJob + id: jobRecord{At: 1, State: wire.JobDone, End: 2}, doneKey(id, 1): doneRecord{},
	})
	before := len(s.Transactions())
	work(t, l.c, func() bool { l.cleanUp(clock.Now() + 2*sweepEvery); return len(keysOf(s)) == 0 })
	cleanUps := s.Transactions()[before:]
	if len(cleanUps) != 1 || len(cleanUps[0].Conditions) != 2 {
		t.Fatalf("cleaned up by %+v", cleanUps)
	}
	leadAgain(t, l.c)
	store(t, l.c, map[string]any{doneKey(id, 1): doneRecord{}})
	s.Repeat(cleanUps[0])
	if keys := keysOf(s); len(keys) != 1 {
		t.Error("a former leader's clean-up is carried out")
	}
	// The same leader's is refused once the record is another.
	own := cleanUps[0]
	own.Conditions = slices.Clone(own.Conditions)
	for i := range own.Conditions {
		if own.Conditions[i].Key == keyLock {
			own.Conditions[i].Version = l.c.lead.token
		}
	}
	store(t, l.c, map[string]any{prefixJob + id: jobRecord{At: 2, Job: &wire.Job{ID: id, Kind: wire.KindArray, Team: "t", TaskCount: 1, CPUs: 1}}})
	s.Repeat(own)
	if keys := keysOf(s); len(keys) != 1 {
		t.Error("a late clean-up removes what belongs to a record that came after it")
	}
}

// When thousands of jobs are cancelled with one, making that durable never fills the
// queue of writes: once submissions were refused until it was through.
func TestDerivedEndsLeaveRoomForUsers(t *testing.T) {
	s, l := leadOnState(t, config.StoreLimits{RPS: 1000, WriteRPS: 400, MaxValueKB: 8, MaxTransactionOps: 24})
	c := l.c
	const jobs = 3000
	root := recordOf("req-000000", wire.PriorityLow, clock.WallTime().Seconds(), 0)
	c.setJob("req-000000", root)
	for i := 1; i <= jobs; i++ {
		id := fmt.Sprintf("req-%06d", i)
		c.setJob(id, recordOf(id, wire.PriorityLow, clock.WallTime().Seconds(), 0, "req-000000"))
	}
	over := overRecord(root, wire.JobCancelled, clock.WallTime())
	over.version = 2
	c.setJob("req-000000", over)
	if got := len(l.cleanup.ends); got != jobs {
		t.Fatalf("%d of %d ends are to be written", got, jobs)
	}
	l.cleanUp(clock.Now())
	if l.cleanup.underWay > cleanupsAtOnce {
		t.Fatalf("%d writes are under way", l.cleanup.underWay)
	}
	accepted := false
	ok := c.store.Commit(&kvstore.Write{
		Conditions: []wire.Condition{{Key: prefixJob + "req-009999"}}, Changes: []wire.Change{{PutKey: prefixJob + "req-009999", Value: []byte(`{"at":1}`)}},
		Deadline: clock.Now() + submitWait,
		Done:     func(o kvstore.Outcome, _ uint64) { c.post(func() { accepted = o == kvstore.Committed }) },
	})
	if !ok {
		t.Fatal("a submission is refused")
	}
	work(t, c, func() bool { l.cleanUp(clock.Now()); return accepted })
	if s.Value(prefixJob+"req-009999") == "" {
		t.Error("the submission is not stored")
	}
}

// A large job that was accepted under higher limits keeps its progress when they are
// lowered: it goes on in keys whose values fit, a version that doesn't know them is not
// misled, and the next leader has all of it.
func TestProgressOverLoweredLimits(t *testing.T) {
	limits := config.StoreLimits{RPS: 1000, WriteRPS: 1000, MaxValueKB: 8, MaxTransactionOps: 4, Upcoming: &config.UpcomingStoreLimits{MaxValueKB: 1, MaxTransactionOps: 3}}
	s, l := leadOnState(t, limits)
	const id, tasks = "req-000001", 40000
	before := bitmap{}
	before.set(5)
	before.set(32000)
	store(t, l.c, map[string]any{
		prefixJob + id: jobRecord{At: int64(clock.WallTime()), Job: &wire.Job{ID: id, Kind: wire.KindArray, Team: "t", TaskCount: tasks, Priority: wire.PriorityNormal}},
		doneKey(id, 0): doneRecord{Bits: before.encode()}, // by the version before
	})
	s.SetLimits(fake.StateLimits{ValueBytes: 1 << 10, TxnOps: 3})
	j := l.lg.Jobs[id]
	done := []int{0, 7, 6000, 12345, 33000, tasks - 1}
	m := l.lg.AddMachine("i-1", "big", "x", false, l.pl.MachineCapacity("big"), clock.Now())
	m.RecordedInStore = true
	rep := &wire.Heartbeat{MachineID: "i-1", Incarnation: 1, Sequence: 1, FencingToken: l.token}
	for _, i := range done {
		rep.Tasks = append(rep.Tasks, wire.TaskStatus{TaskID: wire.TaskID(id, i), Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitDone})
	}
	if l.lg.RecordHeartbeat(m, rep, clock.Now()) != allocation.HeartbeatAccepted {
		t.Fatal("report not taken")
	}
	work(t, l.c, func() bool { l.durable(clock.Now() + clock.Second); return len(j.UnpersistedCompletions()) == 0 })
	if n := s.TooLarge(); n != 0 {
		t.Errorf("%d transactions are refused for their size", n)
	}
	l = leadAgain(t, l.c)
	j = l.lg.Jobs[id]
	for _, i := range append(done, 5, 32000) {
		if j.Tasks[i].State != allocation.TaskDone {
			t.Errorf("task %d was done, and the next leader doesn't know", i)
		}
	}
	if got := j.DoneCount(); got != len(done)+2 {
		t.Errorf("%d tasks are done", got)
	}
	// What the version in production concludes: a key's number says where it begins.
	for _, key := range s.Keys(prefixDone) {
		var r productionProgress
		if err := json.Unmarshal([]byte(s.Value(key)), &r); err != nil {
			t.Fatal(err)
		}
		_, number, _ := parseDoneKey(key)
		bits, err := decodeBitmap(r.Bits)
		if err != nil {
			t.Fatal(err)
		}
		for i := range 8 * len(bits) {
			task := number*chunkOf(limits.MaxValueKB) + i
			if bits.has(i) && task < tasks && j.Tasks[task].State != allocation.TaskDone {
				t.Errorf("the other version takes task %d for done", task)
			}
		}
	}
	// The end leaves nothing behind.
	rep.Sequence++
	rep.FencingToken = l.token
	rep.Tasks = nil
	for i := range tasks {
		rep.Tasks = append(rep.Tasks, wire.TaskStatus{TaskID: wire.TaskID(id, i), Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitDone})
	}
	m = l.lg.AddMachine("i-2", "big", "x", false, l.pl.MachineCapacity("big"), clock.Now())
	m.RecordedInStore = true
	rep.MachineID = "i-2"
	l.lg.RecordHeartbeat(m, rep, clock.Now())
	sweepAt := clock.Now()
	work(t, l.c, func() bool {
		l.durable(clock.Now() + clock.Second)
		sweepAt += sweepEvery
		l.cleanUp(sweepAt)
		return len(s.Keys(prefixDone)) == 0 && l.c.view.jobs[id].State == wire.JobDone
	})
	if n := s.TooLarge(); n != 0 {
		t.Errorf("%d transactions are refused for their size", n)
	}
}

// productionProgress is what the version in production knows of a progress value.
type productionProgress struct {
	Bits string `json:"b"`
}
