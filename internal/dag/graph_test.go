package dag

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

// record is a step of a generated history.
type record struct {
	job  Job
	kind stage
	at   clock.Micros
}

// drawHistory draws jobs that need earlier ones, and how they end: nothing is done
// before what it needs, nor after a cancellation reaches it.
func drawHistory(t *rapid.T) (jobs []Job, ends map[string]record) {
	count := rapid.IntRange(1, 14).Draw(t, "jobs")
	ends = map[string]record{}
	gone := map[string]bool{}
	finished := map[string]bool{}
	for i := range count {
		j := Job{
			ID: fmt.Sprintf("req-%d", i), Submitted: clock.Micros(100 + i), Run: clock.Micros(rapid.IntRange(0, 9).Draw(t, "run")),
			Urgency: Urgency{Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Deadline: clock.Micros(rapid.IntRange(0, 1).Draw(t, "has a deadline") * rapid.IntRange(500, 900).Draw(t, "deadline"))},
		}
		for _, earlier := range jobs {
			if rapid.IntRange(0, 3).Draw(t, "needs") == 0 {
				j.Needs = append(j.Needs, earlier.ID)
			}
		}
		jobs = append(jobs, j)
		ready := true
		for _, need := range j.Needs {
			ready = ready && finished[need]
			gone[j.ID] = gone[j.ID] || gone[need]
		}
		switch end := rapid.IntRange(0, 3).Draw(t, "end"); {
		case gone[j.ID]:
		case end == 0:
			gone[j.ID] = true
			ends[j.ID] = record{job: j, kind: cancelled}
		case end < 3 && ready:
			finished[j.ID] = true
			ends[j.ID] = record{job: j, kind: done, at: clock.Micros(200 + 10*i)}
		}
	}
	return jobs, ends
}

// expected works out by the definitions what the graph should say of a job.
type expected struct {
	cancelled, blocked bool
	released           clock.Micros
	urgency            Urgency
}

func expect(jobs []Job, ends map[string]record) map[string]expected {
	out := map[string]expected{}
	for _, j := range jobs {
		e := expected{released: j.Submitted, cancelled: ends[j.ID].kind == cancelled}
		for _, need := range j.Needs {
			e.cancelled = e.cancelled || out[need].cancelled
			e.blocked = e.blocked || ends[need].kind != done
			if ends[need].kind == done {
				e.released = max(e.released, ends[need].at)
			}
		}
		out[j.ID] = e
	}
	for i := len(jobs) - 1; i >= 0; i-- {
		e := out[jobs[i].ID]
		e.urgency = jobs[i].Urgency
		for _, later := range jobs[i+1:] {
			if slices.Contains(later.Needs, jobs[i].ID) && !out[later.ID].cancelled {
				e.urgency = e.urgency.Join(out[later.ID].urgency.before(later.Run))
			}
		}
		out[jobs[i].ID] = e
	}
	return out
}

// In whatever order the records come, and however often, the graph says what the
// definitions say: no job is free before all that it needs are done, and whatever
// needs a cancelled job is cancelled.
func TestRecordsInAnyOrder(t *testing.T) {
	blocked, cancelledWith := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		jobs, ends := drawHistory(t)
		var records []record
		for _, j := range jobs {
			// A record that is over has forgotten what the job needed.
			if end, over := ends[j.ID]; over {
				records = append(records, end)
				if rapid.Bool().Draw(t, "its submission is seen too") {
					records = append(records, record{job: j, kind: unfinished})
				}
			} else {
				records = append(records, record{job: j, kind: unfinished})
			}
		}
		records = rapid.Permutation(records).Draw(t, "order")
		if n := len(records); n > 0 && rapid.Bool().Draw(t, "repeat") {
			records = append(records, records[rapid.IntRange(0, n-1).Draw(t, "repeated")])
		}
		g := New()
		released := map[string]bool{}
		for _, r := range records {
			var change Change
			switch r.kind {
			case unfinished:
				change = g.Add(r.job)
			case done:
				change = g.Done(r.job.ID, r.at)
			case cancelled:
				change = g.Cancel(r.job.ID)
			}
			for _, id := range change.Released {
				if released[id] || g.Blocked(id) {
					t.Fatalf("%s is released twice, or blocked", id)
				}
				released[id] = true
			}
			if slices.Contains(change.Cancelled, r.job.ID) && r.kind != unfinished {
				t.Fatalf("%s is listed as cancelled with itself", r.job.ID)
			}
		}
		want := expect(jobs, ends)
		for _, j := range jobs {
			e := want[j.ID]
			if _, over := ends[j.ID]; over {
				continue
			}
			if g.Cancelled(j.ID) != e.cancelled {
				t.Fatalf("%s cancelled: %v, want %v", j.ID, g.Cancelled(j.ID), e.cancelled)
			}
			if e.cancelled {
				cancelledWith++
				continue
			}
			if g.Blocked(j.ID) != e.blocked || (len(g.Awaited(j.ID)) > 0) != e.blocked {
				t.Fatalf("%s blocked: %v, want %v", j.ID, g.Blocked(j.ID), e.blocked)
			}
			if e.blocked {
				blocked++
			} else if at := g.ReleasedAt(j.ID, j.Submitted); at != e.released {
				t.Fatalf("%s released at %d, want %d", j.ID, at, e.released)
			}
			if got := g.UrgencyOf(j.ID, j.Urgency); got.Priority > e.urgency.Priority || e.urgency.Deadline != 0 && (got.Deadline == 0 || got.Deadline > e.urgency.Deadline) {
				t.Fatalf("%s is less urgent than demanded: %+v, want %+v", j.ID, got, e.urgency)
			}
		}
	})
	if blocked < 20 || cancelledWith < 20 {
		t.Fatalf("%d blocked, %d cancelled with others: the histories show little", blocked, cancelledWith)
	}
}

// A chain of thousands, and one job that thousands need, cost as many steps as they
// have edges.
func TestLongChainsAndWideFans(t *testing.T) {
	const length = 5000
	id := func(i int) string { return fmt.Sprintf("req-%d", i) }
	chain := New()
	for i := range length {
		j := Job{ID: id(i), Urgency: Urgency{Priority: 3}}
		if i > 0 {
			j.Needs = []string{id(i - 1)}
		}
		chain.Add(j)
	}
	last := Job{ID: "req-last", Needs: []string{id(length - 1)}, Urgency: Urgency{Priority: 0, Deadline: 1 << 40}, Run: 1}
	if change := chain.Add(last); len(change.MoreUrgent) != length {
		t.Fatalf("%d jobs are more urgent, of %d", len(change.MoreUrgent), length)
	}
	if change := chain.Cancel(id(0)); len(change.Cancelled) != length {
		t.Fatalf("%d jobs are cancelled, of %d", len(change.Cancelled), length)
	}
	fan := New()
	fan.Add(Job{ID: "req-root"})
	for i := range length {
		fan.Add(Job{ID: id(i), Needs: []string{"req-root"}})
	}
	if change := fan.Done("req-root", 5); len(change.Released) != length {
		t.Fatalf("%d jobs are released, of %d", len(change.Released), length)
	}
}
