package controller

import (
	"cmp"
	"encoding/json"
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// SendJobReport implements server.App.
func (c *Core) SendJobReport(r *server.Reply) { c.user(r, func() { c.morning(r) }) }

// Trouble is one line of the morning report.
type Trouble struct {
	Job      string  `json:"job"`
	Class    string  `json:"class"`
	State    string  `json:"state"`
	Late     bool    `json:"late"`
	Why      string  `json:"why"`
	TookS    float64 `json:"took_s"`
	LateByS  float64 `json:"late_by_s,omitempty"`
	WaitedS  float64 `json:"waited_s,omitempty"`
	Errors   int     `json:"errors,omitempty"`
	Restarts int     `json:"restarts,omitempty"`
}

// MorningReport says what failed or ran late, and why.
type MorningReport struct {
	Member   string    `json:"member"`
	Jobs     int       `json:"jobs"`
	Done     int       `json:"done"`
	Aborted  int       `json:"aborted"`
	Active   int       `json:"active"`
	Troubles []Trouble `json:"troubles"`
}

// mostTroubles bounds the answer.
const mostTroubles = 200

func (c *Core) morning(r *server.Reply) {
	now := int64(clock.WallTime())
	gone := c.forgotten.counts
	m := MorningReport{
		Member: c.cfg.Member, Jobs: len(c.view.jobs) + gone.done + gone.aborted, Done: gone.done, Aborted: gone.aborted,
		Troubles: append([]Trouble{}, c.forgotten.troubles...),
	}
	for id, rec := range c.view.jobs {
		switch rec.state() {
		case wire.JobDone:
			m.Done++
		case wire.JobCancelled:
			m.Aborted++
		default:
			m.Active++
		}
		if t, ok := c.trouble(id, rec, now); ok {
			m.Troubles = append(m.Troubles, t)
		}
	}
	m.Troubles = worst(m.Troubles)
	body, err := json.Marshal(m)
	if err != nil {
		later(r, "cannot be encoded")
		return
	}
	r.Send(200, body, 0)
}

// worst is the worst of some troubles, as many as are told.
func worst(troubles []Trouble) []Trouble {
	slices.SortFunc(troubles, func(a, b Trouble) int {
		return cmp.Or(-cmp.Compare(a.LateByS, b.LateByS), cmp.Compare(a.Job, b.Job))
	})
	return troubles[:min(len(troubles), mostTroubles)]
}

// lateAfter is the class's aim for finishing, 0 if it has none.
func (c *Core) lateAfter(class string) clock.Micros {
	var most clock.Micros
	for _, o := range c.cfg.Deployment.Objectives {
		if o.Kind == "finished" && o.Class == class {
			most = max(most, clock.FromSeconds(o.TargetSeconds))
		}
	}
	return most
}

func (c *Core) trouble(id string, rec *jobRecord, now int64) (Trouble, bool) {
	t := Trouble{Job: id, Class: rec.Class, State: rec.State, Errors: rec.Errors, Restarts: rec.Restarts}
	end, due, first := rec.End, rec.Due, rec.First
	if !rec.over() {
		t.Class, t.State, end = rec.Job.Class, "active", now
		if rec.Job.DeadlineSeconds > 0 {
			due = rec.At + int64(clock.FromSeconds(rec.Job.DeadlineSeconds))
		}
		if c.lead != nil {
			if j := c.lead.lg.Jobs[id]; j != nil {
				t.Errors, t.Restarts = j.FailureCount, j.RestartCount
				if j.FirstStartAt != 0 {
					first = now - int64(clock.Now()-j.FirstStartAt)
				}
			}
		}
		if rec.Job.Kind == wire.KindService {
			due = 0
		}
	}
	if aim := c.lateAfter(t.Class); due == 0 && aim > 0 {
		due = max(rec.At, rec.Released) + int64(aim)
	}
	if rec.state() == wire.JobCancelled {
		return t, false
	}
	t.TookS = clock.Micros(end - rec.At).Seconds()
	released := max(rec.At, rec.Released)
	if !rec.over() {
		released = int64(c.graph.ReleasedAt(id, clock.Micros(rec.At)))
	}
	if first > released {
		t.WaitedS = clock.Micros(first - released).Seconds()
	}
	if due > 0 && end > due {
		t.Late, t.LateByS = true, clock.Micros(end-due).Seconds()
	}
	switch {
	case t.Errors > 0:
		t.Why = "tasks failed with an error and were started again"
	case t.Restarts > 0:
		t.Why = "tasks were lost with their machines and were started again"
	case !rec.over() && c.graph.IsBlocked(id):
		t.Why = "waits for " + c.graph.PendingDependencies(id)[0]
	case t.Late && clock.Micros(released-rec.At).Seconds() > t.TookS/2:
		t.Why = "waited for jobs before it in its pipeline"
	case first == 0 && !rec.over() && c.view.done[id] == nil:
		t.Why = "no task has started yet"
	case t.Late && t.WaitedS > t.TookS/2:
		t.Why = "waited for machines"
	case t.Late:
		t.Why = "ran longer than estimated"
	}
	return t, t.Late || t.Errors > 0
}
