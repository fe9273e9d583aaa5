package allocation

import (
	"maps"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// ReportResult says what a report was worth.
type ReportResult uint8

// HeardBy notes that the worker's lease may be renewed by an answer to a report
// that came at `now`. It has to be called before any report is answered.
func (l *Ledger) HeardBy(m *Machine, now clock.Micros) { m.granted = max(m.granted, now) }

// Report takes a report that the worker sent. Sending it ends the wait for the
// answer to its last one.
func (l *Ledger) Report(m *Machine, r *wire.Report, now clock.Micros) ReportResult {
	return l.report(m, r, now, true)
}

// DirectReport takes the report in the answer to a direct message. The answer
// to the worker's last own report may still be on its way then.
func (l *Ledger) DirectReport(m *Machine, r *wire.Report, now clock.Micros) ReportResult {
	return l.report(m, r, now, false)
}

func (l *Ledger) report(m *Machine, r *wire.Report, now clock.Micros, own bool) ReportResult {
	if r.Token > l.issued {
		return Deposed
	}
	if r.Token > l.token {
		l.token = r.Token // a delegate has told it first
	}
	if !r.Newer(m.Session, m.Seq) || r.Session < m.minSession {
		return Stale
	}
	if r.Session > m.Session {
		l.newSession(m, now)
		m.trust(r.Session, now)
	}
	m.Session, m.Seq, m.Heard = r.Session, r.Seq, now
	if m.UpAt == 0 {
		m.UpAt = now
	}
	if r.Addr != "" {
		m.Addr = r.Addr
	}
	if r.NoticeS != nil {
		m.TakenAt = now + max(clock.FromSeconds(*r.NoticeS), 1)
	}
	synced := r.Token >= l.cfg.Token
	if r.Token > m.token {
		m.token = r.Token
		maps.DeleteFunc(m.sent, func(_ attemptKey, t uint64) bool { return t < m.token })
	}
	m.exits = m.exits[:0]
	l.reports++
	listed := 0
	for i := range r.Tasks {
		if l.reported(m, &r.Tasks[i], now, synced) {
			listed++
		}
	}
	if !synced {
		return Taken
	}
	if !m.Synced {
		m.Synced = true
		l.toSend(m)
		for _, p := range m.places {
			if p.seen == l.reports && !p.Stray {
				l.clearDoubt(p.Job, p.Index)
			}
		}
	}
	if listed != len(m.places) {
		for _, p := range m.places {
			if p.seen != l.reports {
				l.missing(p, now, own)
			}
		}
	}
	l.account(m)
	return Taken
}

// Says takes an earlier leader's word of the images that a machine holds in a session.
// It is believed once the machine reports in that session.
func (m *Machine) Says(session uint64, images []string, now clock.Micros) {
	m.said, m.saidIn = images, session
	if m.Session == session {
		m.trust(session, now)
	}
}

func (m *Machine) trust(session uint64, now clock.Micros) {
	if m.saidIn == session {
		for _, i := range m.said {
			if _, ok := m.Images[i]; !ok {
				m.Images[i] = now
			}
		}
	}
	m.said = nil
}

// newSession: the worker's lease ran out and everything it had is gone, and
// commands for the session before are refused from now on.
//
// The new session has a lease of its own, from its beginning on, which nobody
// needs to have answered: once a session was first seen in the answer to a probe,
// got tasks, and was taken for over with the lease of the one before. The tasks
// ran twice.
func (l *Ledger) newSession(m *Machine, now clock.Micros) {
	m.granted = max(m.granted, now)
	clear(m.lateIDs)
	for _, p := range m.places {
		if p.Phase != Assigned || p.late || p.directOut > 0 {
			p.late, p.directOut = false, 0
			l.end(p, WhyVanished, now)
		}
	}
	clear(m.lateIDs)
	clear(m.sent)
	clear(m.Images)
}

// reported takes one line of a report; true means that it lists a placement
// that no line before did.
func (l *Ledger) reported(m *Machine, t *wire.TaskReport, now clock.Micros, synced bool) bool {
	p := m.places[t.Task]
	if p != nil && p.Attempt == t.Attempt && p.Phase == Present && p.State == t.State && l.Jobs[p.Job.Spec.ID] == p.Job {
		return l.mark(p) // nothing new, as in most lines of most reports
	}
	id, index, ok := wire.ParseTaskID(t.Task)
	j := l.Jobs[id]
	if !ok || j == nil || index >= len(j.Tasks) {
		// No job that is not over: it can only be told to go.
		m.exits = append(m.exits, exit{id: t.Task, attempt: t.Attempt, done: t.State != wire.TaskExited})
		return false
	}
	if p != nil && p.Attempt != t.Attempt {
		if t.State == wire.TaskExited {
			m.exits = append(m.exits, exit{id: t.Task, attempt: t.Attempt, job: j, index: index})
			return false
		}
		if p.Phase == Present && t.Attempt < p.Attempt {
			return l.mark(p) // an older attempt beside a newer one; the worker has one only
		}
		// The worker has another attempt than the one on its way, which it will
		// refuse, or than a late copy told of: what is there counts.
		if j.Tasks[index].Place == p && j.Tasks[index].Doubt {
			l.displace(p)
		}
		l.end(p, WhyVanished, now)
		p = nil
	}
	if t.State == wire.TaskExited {
		if p != nil {
			p.Saved = t.Saved
			l.exited(p, t.Why, now)
		} else if t.Why == wire.WhyDone && !j.Service() {
			l.complete(j, index)
		}
		m.exits = append(m.exits, exit{id: t.Task, attempt: t.Attempt, job: j, index: index, done: t.Why == wire.WhyDone})
		return false
	}
	if p == nil {
		p = l.adopt(m, j, index, t, now, synced)
	}
	if p.stop {
		l.toSend(m)
	}
	if p.Phase == Sent && p.directOut == 0 && !p.late {
		m.DeafUntil = 0 // a start in an answer has reached it
	}
	p.Phase = Present
	p.State = t.State
	if p.RunAt == 0 && t.State == wire.TaskRunning {
		p.RunAt = now
		j.UnderWay = j.Gang() && !p.Stray || j.UnderWay
	}
	if p.Started == 0 && (t.State == wire.TaskRunning || t.State == wire.TaskWaiting) {
		p.Started = now
		j.Running++
		m.fetchFor(j.Spec.Image, -1)
		m.Images[j.Spec.Image] = now
		l.Begun = append(l.Begun, p)
	}
	return l.mark(p)
}

// mark notes that the present report lists the placement.
func (l *Ledger) mark(p *Placement) bool {
	first := p.seen != l.reports
	p.seen = l.reports
	return first
}

// adopt books a task that a worker has and the ledger did not expect there:
// after a take-over, or as a stray that has to go.
//
// A report from before the token may be a late copy, and the task elsewhere by now. So
// it ends no doubt about the task, and of two places the one with the later attempt
// is the true one: attempts only grow, and a new one begins when the last is over.
func (l *Ledger) adopt(m *Machine, j *Job, index int, t *wire.TaskReport, now clock.Micros, synced bool) *Placement {
	task := &j.Tasks[index]
	p := &Placement{Job: j, Index: index, Attempt: t.Attempt, Machine: m, Since: now, Adopted: true, id: t.Task}
	clash := false
	if j.Gang() {
		clash = l.supersede(j, t.Attempt)
		p.Stray = t.Attempt < j.Attempt && !synced
	} else if old := task.Place; old != nil && task.Doubt && old.Attempt < t.Attempt {
		l.displace(old)
	}
	p.Stray = p.Stray || task.Place != nil || task.State == Done
	l.put(p)
	if synced {
		l.clearDoubt(j, index) // after the place is told of, see decideCleared
	}
	if j.Gang() && !p.Stray {
		if clash || j.Attempt != 0 && j.Attempt != t.Attempt {
			l.StopJob(j, 0)
		} else {
			j.Attempt = t.Attempt
		}
	}
	if p.Stray || j.Withdrawn || j.Broken {
		p.stop = true
	}
	return p
}

// supersede takes the places of earlier attempts of a gang for what they are, late
// copies; it tells whether one of them is not.
func (l *Ledger) supersede(j *Job, attempt uint64) (clash bool) {
	if j.Attempt == 0 || attempt <= j.Attempt {
		return false
	}
	for i := range j.Tasks {
		if j.Tasks[i].Place != nil && !j.Tasks[i].Doubt {
			return true
		}
	}
	for i := range j.Tasks {
		if p := j.Tasks[i].Place; p != nil {
			l.displace(p)
		}
	}
	j.Attempt, j.Broken, j.UnderWay = 0, false, false
	return false
}

// displace makes a stray of a place that a late copy has told of.
func (l *Ledger) displace(p *Placement) {
	l.unplace(p.Job, &p.Job.Tasks[p.Index])
	p.Stray = true
	l.Stop(p, 0)
}

func (l *Ledger) exited(p *Placement, why string, now clock.Micros) {
	j, m := p.Job, p.Machine
	t := &j.Tasks[p.Index]
	if why == wire.WhyDone && j.Service() {
		why = wire.WhyStopped // a replica never completes
	}
	if why == wire.WhyError && !p.stop {
		j.Errors++
		if t.Fails < 255 {
			t.Fails++
		}
		if j.ErrorsOn == nil {
			j.ErrorsOn = map[string]int{}
		}
		j.ErrorsOn[m.Name]++
		m.FaultyJobs[j.Spec.ID] = true
	}
	l.end(p, why, now)
}

// missing: a report under our token lacks a task that we sent.
func (l *Ledger) missing(p *Placement, now clock.Micros, own bool) {
	switch p.Phase {
	case Present:
		l.end(p, WhyVanished, now)
	case Sent:
		if p.directOut > 0 || p.late {
			return // invariant 2
		}
		if own && p.sentSeq < p.Machine.Seq {
			// The answer that carried it was lost, or dropped as too late.
			if p.stop {
				l.end(p, wire.WhyStopped, now)
			} else {
				p.Phase = Assigned
				l.toSend(p.Machine)
			}
		}
	}
}
