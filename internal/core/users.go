package core

import (
	"encoding/json"
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/ledger"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/state"
	"firwood.dev/firwood/wire"
)

// userWait bounds how long a user's question waits for proof: users themselves
// wait 2 s for a poll.
const userWait = 1500 * clock.Millisecond

// submitWait bounds how long a submission waits to be durable.
const submitWait = 2500 * clock.Millisecond

func later(r *server.Reply, why string) { r.Send(503, server.ErrorBody(why), 1) }

// full refuses what the rate of writes does not allow, and says when it will.
func (c *Core) full(r *server.Reply) {
	wait := c.store.Delay()
	r.Send(503, server.ErrorBody("the state service is asked for more than it takes"), int(min(wait/clock.Second+1, 30)))
}

// refused answers at once what cannot be made durable now, as far as is known.
func (c *Core) refused(r *server.Reply) bool {
	if c.store.Failing(clock.Now()) {
		later(r, "the state service does not answer")
		return true
	}
	return false
}

// user queues what a user asks, or refuses it at once.
func (c *Core) user(r *server.Reply, f func()) {
	if !c.q.post(rankUser, f) {
		later(r, "overloaded")
	}
}

// Submit implements server.App.
func (c *Core) Submit(j *wire.Job, r *server.Reply) { c.user(r, func() { c.submit(j, r) }) }

// Show implements server.App.
func (c *Core) Show(id string, r *server.Reply) { c.user(r, func() { c.show(id, r) }) }

// Withdraw implements server.App.
func (c *Core) Withdraw(id string, r *server.Reply) { c.user(r, func() { c.withdraw(id, r, 3) }) }

// Morning implements server.App.
func (c *Core) Morning(r *server.Reply) { c.user(r, func() { c.morning(r) }) }

// Checkin implements server.App.
func (c *Core) Checkin(rep *wire.Report, r *server.Reply) {
	if !c.q.post(rankReport, func() { c.checkin(rep, r) }) {
		later(r, "overloaded")
	}
}

// Beat implements server.App.
func (c *Core) Beat(b *peer.Beat) { c.q.post(rankReport, func() { c.heard(b) }) }

// refusal says why a job can never run, if so.
func (c *Core) refusal(j *wire.Job) string {
	t, ok := c.teams[j.Team]
	if !ok {
		return "unknown team"
	}
	need := ledger.FromAmounts(j.CPUs, j.GPUs, j.MemoryGB)
	fits := slices.ContainsFunc(c.types, func(k wire.MachineType) bool {
		return (j.Types == nil || slices.Contains(j.Types, k.Name)) &&
			(j.Zone == "" || slices.Contains(k.Zones, j.Zone)) &&
			need.Fits(ledger.FromAmounts(k.CPUs, k.GPUs, k.MemoryGB))
	})
	if !fits {
		return "a task fits no allowed machine type"
	}
	n := j.Tasks
	if j.Kind == wire.KindArray {
		n = 1
	}
	all := need.Times(n)
	if t.CPUMax > 0 && all.CPU > t.CPUMax || t.GPUMax > 0 && all.GPU > t.GPUMax {
		return "the job needs more than its team's limit"
	}
	return ""
}

func (c *Core) submit(j *wire.Job, r *server.Reply) {
	if rec := c.view.jobs[j.ID]; rec != nil {
		c.show(j.ID, r)
		return
	}
	if !c.view.loaded || len(c.types) == 0 {
		later(r, "not ready")
		return
	}
	if why := c.refusal(j); why != "" {
		c.refuseProven(j, r, func() string { return why }, nil)
		return
	}
	if c.unfitAwaited(j) != "" {
		// Another controller may have accepted them a moment ago.
		c.refuseProven(j, r, func() string { return c.unfitAwaited(j) }, func() { c.submit(j, r) })
		return
	}
	if waiting, ok := c.submitting[j.ID]; ok {
		c.submitting[j.ID] = append(waiting, r)
		return
	}
	rec := &jobRecord{Job: j, At: int64(clock.Wall())}
	if chunk := chunkOf(c.cfg.Deployment.State.Effective().ValueKB); j.Tasks > chunk && chunk != c.chunk {
		rec.Chunk = chunk
	}
	changes := c.submissionChanges(rec)
	if changes == nil {
		c.refuseProven(j, r, func() string { return "the job's description is too large" }, nil)
		return
	}
	if c.refused(r) {
		return
	}
	c.submitting[j.ID] = []*server.Reply{r}
	w := &state.Write{
		If:       []wire.Condition{{Key: prefixJob + j.ID}},
		Then:     changes,
		Deadline: clock.Now() + submitWait,
	}
	w.Done = func(o state.Outcome, rev uint64) { c.post(func() { c.submitted(j, rec, o, rev) }) }
	if !c.store.Commit(w) {
		delete(c.submitting, j.ID)
		c.full(r)
	}
}

func (c *Core) submitted(j *wire.Job, rec *jobRecord, o state.Outcome, rev uint64) {
	id := j.ID
	waiting := c.submitting[id]
	delete(c.submitting, id)
	if o == state.Committed && c.view.jobs[id] == nil {
		// The watch will bring it; a leader need not wait for that.
		rec.version = rev
		if rec.Parts > 0 {
			for part, ids := range splitAwaits(j.Awaits, int(c.cfg.Deployment.State.Effective().ValueKB*1024)) {
				c.setAwaits(id, part, ids)
			}
		}
		c.setJob(id, rec)
	}
	for i, r := range waiting {
		switch o {
		case state.Committed:
			status := 201
			if i > 0 {
				status = 200
			}
			stage := wire.JobPending
			if cur := c.view.jobs[id]; cur.over() {
				stage = cur.state() // with a job that it awaits
			}
			r.Send(status, statusBody(id, stage, nil, nil), 0)
		case state.Conflict:
			c.show(id, r)
		default:
			later(r, "the state service did not take it")
		}
	}
}

func statusBody(id, st string, done, running *int) []byte {
	b, err := wire.JobStatus{ID: id, State: st, Done: done, Running: running}.MarshalJSON()
	if err != nil {
		return []byte("{}")
	}
	return b
}

// status is what a user is told, from a view that is new enough.
func (c *Core) status(id string, rec *jobRecord) []byte {
	if rec.over() {
		return statusBody(id, rec.state(), nil, nil)
	}
	var done, running int
	if c.lead != nil {
		if j := c.lead.lg.Jobs[id]; j != nil {
			done, running = j.DoneCount(), j.Running
		}
	} else if n, ok := c.counts[id]; ok {
		done, running = int(n.Done), int(n.Running)
	}
	st := wire.JobStatus{ID: id, State: wire.JobPending, Done: &done, Running: &running}
	if running > 0 {
		st.State = wire.JobRunning
	}
	awaited := c.graph.Awaited(id)
	st.Awaits = awaited[:min(len(awaited), mostAwaitedShown)]
	body, err := st.MarshalJSON()
	if err != nil {
		return []byte("{}")
	}
	return body
}

// mostAwaitedShown bounds how many jobs a status lists that the job awaits.
const mostAwaitedShown = 50

func (c *Core) show(id string, r *server.Reply) {
	if rec := c.view.jobs[id]; rec != nil && rec.over() {
		r.Send(200, c.status(id, rec), 0) // final, so it cannot be overtaken
		return
	}
	if !c.view.loaded {
		later(r, "not ready")
		return
	}
	c.view.wantSync(func(err error) {
		rec := c.view.jobs[id]
		// A process that stands still after this proof must not tell it as if it
		// were new: somebody may have been told of the job's end meanwhile.
		until := clock.Now() + userWait
		switch {
		case err != nil:
			later(r, err.Error())
		case rec == nil:
			r.SendUntil(404, server.ErrorBody("no such job"), 0, until)
		case rec.over():
			r.Send(200, c.status(id, rec), 0)
		default:
			r.SendUntil(200, c.status(id, rec), 0, until)
		}
	}, clock.Now()+userWait)
}

func (c *Core) withdraw(id string, r *server.Reply, tries int) {
	if rec := c.view.jobs[id]; rec != nil && rec.over() {
		r.Send(200, c.status(id, rec), 0)
		return
	}
	if !c.view.loaded || tries == 0 {
		later(r, "not ready")
		return
	}
	rec := c.view.jobs[id]
	if rec == nil {
		c.view.wantSync(func(err error) {
			switch {
			case err != nil:
				later(r, err.Error())
			case c.view.jobs[id] == nil:
				r.Send(404, server.ErrorBody("no such job"), 0)
			default:
				c.withdraw(id, r, tries-1)
			}
		}, clock.Now()+userWait)
		return
	}
	if c.refused(r) {
		return
	}
	// Whether the job is still what the view says is the write's condition.
	over := overRecord(rec, wire.JobAborted, clock.Wall())
	value, err := over.MarshalJSON()
	if err != nil {
		later(r, "cannot be encoded")
		return
	}
	w := &state.Write{
		If:       []wire.Condition{{Key: prefixJob + id, Version: rec.version}},
		Then:     []wire.Change{{Put: prefixJob + id, Value: value}},
		Deadline: clock.Now() + submitWait,
	}
	w.Done = func(o state.Outcome, rev uint64) {
		c.post(func() {
			switch o {
			case state.Committed:
				over.version = rev
				if cur := c.view.jobs[id]; cur == nil || cur.version < rev {
					c.setJob(id, over)
				}
				r.Send(200, statusBody(id, wire.JobAborted, nil, nil), 0)
			case state.Conflict:
				c.view.wantSync(func(err error) {
					if err != nil {
						later(r, err.Error())
						return
					}
					c.withdraw(id, r, tries-1)
				}, clock.Now()+userWait)
			default:
				later(r, "the state service did not take it")
			}
		})
	}
	if !c.store.Commit(w) {
		c.full(r)
	}
}

// Up implements server.App; it is called on the event loop and reads only
// what is safe to read there.
func (c *Core) Up() bool { return !c.unfit.Load() }

// judge decides whether users should be sent here. In an outage of the state
// service every node is refused, and leaving then would only cost time after
// it; a node that alone is refused leaves.
func (c *Core) judge(now clock.Micros) {
	bad := !c.view.loaded || len(c.types) == 0
	if !bad && c.store.LastRefused() > c.store.LastOK() && now-c.store.LastOK() > clock.Second {
		for _, b := range c.beats {
			if now-b.at < 2*clock.Second && b.beat.Served {
				bad = true
			}
		}
	}
	c.unfit.Store(bad)
}

// beatSeen is the last beat of another controller.
type beatSeen struct {
	beat *peer.Beat
	at   clock.Micros
}

func (c *Core) heard(b *peer.Beat) {
	known := slices.ContainsFunc(c.cfg.Others, func(o config.Other) bool { return o.Member == b.Member })
	if !known {
		return
	}
	now := clock.Now()
	c.beats[b.Member] = &beatSeen{beat: b, at: now}
	c.toldWithdrawals(b.Withdrawals)
	if s := c.stamps[b.Member]; b.Life > s.Life || b.Life == s.Life && b.Stamp > s.At {
		c.stamps[b.Member] = delegation.Stamp{Life: b.Life, At: b.Stamp}
	}
	echo := delegation.Stamp{Life: b.EchoLife, At: b.EchoStamp}
	if b.Leader == b.Member && c.lead == nil {
		c.learn(b, now)
		c.delegate.Hear(now, b.Token, echo)
	}
	if c.lead != nil && c.delegate.Mine(echo) {
		c.lead.bound.Answered(b.Member, now, echo.At, b.QuietFor)
	}
	if b.Leader == b.Member && c.el.Phase() != election.Leader {
		if _, token := c.el.Holder(); b.Token >= token {
			clear(c.counts)
			for _, n := range b.Counts {
				if rec := c.view.jobs[n.Job]; rec == nil || !rec.over() {
					c.counts[n.Job] = n
				}
			}
		}
	}
}

// leader is who workers are sent to, as far as is known.
func (c *Core) leader() string {
	holder, token := c.el.Holder()
	for m, b := range c.beats {
		if b.beat.Leader == m && b.beat.Token > token && clock.Now()-b.at < 2*clock.Second {
			holder, token = m, b.beat.Token
		}
	}
	return holder
}

const beatEvery = 1 * clock.Second

// beat tells the other controllers how things are.
func (c *Core) beat(now clock.Micros) {
	if now < c.nextBeat {
		return
	}
	c.nextBeat = now + beatEvery
	if n := c.store.Dropped.Load(); n > c.dropsTold {
		c.dropped("answers of the state service were dropped")
		c.dropsTold = n
	}
	c.judge(now)
	if c.lead == nil || c.store.Failing(now) {
		c.sendBeats(now)
		return
	}
	// What the stamps give is confirmed first: a beat that carries it at once makes
	// the rights of those who are cut off a second longer.
	c.lead.confirm(now, func() { c.sendBeats(clock.Now()) })
}

func (c *Core) sendBeats(now clock.Micros) {
	b := &peer.Beat{
		Member: c.cfg.Member,
		Served: c.store.LastOK() > c.store.LastRefused() && now-c.store.LastOK() < 12*clock.Second,
	}
	b.Leader, b.Token = c.el.Holder()
	for m, at := range c.workers {
		if now-at > c.silentAfter() {
			delete(c.workers, m)
		}
	}
	for m, at := range c.held {
		if now-at > clock.FromSeconds(c.cfg.Deployment.Workers.LeaseS) {
			delete(c.held, m)
		}
	}
	b.Workers = uint32(len(c.workers))
	c.tellAsked(now)
	if c.lead != nil {
		b.Leader, b.Token = c.cfg.Member, c.lead.lg.Issued()
		for id, j := range c.lead.lg.Jobs {
			if !j.Withdrawn && (j.Running > 0 || j.DoneCount() > 0) {
				b.Counts = append(b.Counts, peer.Count{Job: id, Done: uint32(j.DoneCount()), Running: uint32(j.Running)})
			}
		}
	}
	if c.lead != nil {
		c.lead.tell(b)
	}
	s := c.delegate.Stamp(now)
	b.Life, b.Stamp, b.QuietFor = s.Life, s.At, c.delegate.QuietFor(now)
	b.Revision = c.view.rev
	for i, l := range c.links {
		echo := c.stamps[c.cfg.Others[i].Member]
		if c.lead != nil {
			echo = c.lead.echoes[c.cfg.Others[i].Member]
		}
		b.EchoLife, b.EchoStamp = echo.Life, echo.At
		b.Withdrawals = c.withdrawals.unknownTo(c.revisionOf(c.cfg.Others[i].Member), now)
		l.Send(peer.Encode(b))
	}
}

// answerAsDelegate keeps the lease of a worker alive that cannot reach the leader any
// more than this member can. It is held here for one report at a time: after each
// answer it is sent on, so a worker that does reach the leader is not kept from it.
// The answer comes first: a worker that was sent on first had tried a leader out of
// reach for four seconds, came here, tried it again, and was back after its lease.
func (c *Core) answerAsDelegate(rep *wire.Report, r *server.Reply, now clock.Micros) bool {
	if c.lead != nil {
		c.delegate.Led(c.lead.lg.Issued(), c.lead.knewAt)
	}
	if !c.view.loaded || c.promised(rep.Zone) {
		return false
	}
	token, until, ok := c.delegate.May(now, rep.Token)
	if _, newest := c.el.Holder(); !ok || newest > token {
		return false
	}
	w := &c.cfg.Deployment.Workers
	at, held := c.held[rep.Machine]
	// While it is on its way its lease is not renewed: shortly before the right ends
	// it is kept.
	if held && now-at <= clock.FromSeconds(w.LeaseS) && until-now > clock.FromSeconds(2*w.ReportS)+4*clock.Second {
		delete(c.held, rep.Machine)
		return false
	}
	body, err := wire.Reply{Token: token, Commands: []wire.Command{}}.MarshalJSON()
	if err != nil {
		return false
	}
	c.held[rep.Machine] = now
	// The answer goes out soon, or not at all.
	until = min(until, now+clock.Second)
	c.delegate.Answered(until)
	if c.lead != nil {
		// It may yet renew its lock and go on, and must then count with this.
		if m := c.lead.lg.Machines[rep.Machine]; m != nil {
			c.lead.lg.HeardBy(m, until)
		}
	}
	r.SendUntil(200, body, 0, until)
	return true
}

func (c *Core) checkin(rep *wire.Report, r *server.Reply) {
	c.workers[rep.Machine] = clock.Now()
	if c.lead != nil && c.entitled() {
		c.lead.checkin(rep, r)
		return
	}
	if c.answerAsDelegate(rep, r, clock.Now()) {
		return
	}
	e := wire.Elsewhere{}
	if l := c.leader(); l != c.cfg.Member {
		e.ReportTo = l
	}
	body, err := e.MarshalJSON()
	if err != nil {
		body = []byte("{}")
	}
	r.Send(421, body, 0)
}

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
	now := int64(clock.Wall())
	m := MorningReport{Member: c.cfg.Member, Jobs: len(c.view.jobs), Troubles: []Trouble{}}
	for id, rec := range c.view.jobs {
		switch rec.state() {
		case wire.JobDone:
			m.Done++
		case wire.JobAborted:
			m.Aborted++
		default:
			m.Active++
		}
		if t, ok := c.trouble(id, rec, now); ok {
			m.Troubles = append(m.Troubles, t)
		}
	}
	slices.SortFunc(m.Troubles, func(a, b Trouble) int {
		if a.LateByS != b.LateByS {
			if a.LateByS > b.LateByS {
				return -1
			}
			return 1
		}
		if a.Job < b.Job {
			return -1
		}
		return 1
	})
	if len(m.Troubles) > mostTroubles {
		m.Troubles = m.Troubles[:mostTroubles]
	}
	body, err := json.Marshal(m)
	if err != nil {
		later(r, "cannot be encoded")
		return
	}
	r.Send(200, body, 0)
}

// lateAfter is the class's aim for finishing, 0 if it has none.
func (c *Core) lateAfter(class string) clock.Micros {
	var most clock.Micros
	for _, o := range c.cfg.Deployment.Objectives {
		if o.Kind == "finished" && o.Class == class {
			most = max(most, clock.FromSeconds(o.WithinS))
		}
	}
	return most
}

func (c *Core) trouble(id string, rec *jobRecord, now int64) (Trouble, bool) {
	t := Trouble{Job: id, Class: rec.Class, State: rec.State, Errors: rec.Errors, Restarts: rec.Restarts}
	end, due, first := rec.End, rec.Due, rec.First
	if !rec.over() {
		t.Class, t.State, end = rec.Job.Class, "active", now
		if rec.Job.DeadlineS > 0 {
			due = rec.At + int64(clock.FromSeconds(rec.Job.DeadlineS))
		}
		if c.lead != nil {
			if j := c.lead.lg.Jobs[id]; j != nil {
				t.Errors, t.Restarts = j.Errors, j.Restarts
				if j.FirstStart != 0 {
					first = now - int64(clock.Now()-j.FirstStart)
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
	if rec.state() == wire.JobAborted {
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
	case !rec.over() && c.graph.Blocked(id):
		t.Why = "waits for " + c.graph.Awaited(id)[0]
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
