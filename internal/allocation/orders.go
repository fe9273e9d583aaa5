package allocation

import (
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// toSend notes that a direct message to the machine may be due. What is sent
// then costs as much as changed, not as much as there are machines.
func (l *Ledger) toSend(m *Machine) {
	if !m.outbox {
		m.outbox = true
		l.outbox = append(l.outbox, m)
	}
}

// Outbox calls f for each machine that a direct message may be due to. One for
// which f returns true stays listed.
func (l *Ledger) Outbox(f func(*Machine) bool) {
	due := l.outbox
	l.outbox = nil
	for _, m := range due {
		m.outbox = false
		if l.Machines[m.Name] == m && f(m) {
			l.toSend(m)
		}
	}
}

// Orders compiles the commands for the answer to the newest report of m.
func (l *Ledger) Orders(m *Machine, now clock.Micros) []wire.Command {
	if !m.Synced {
		return nil
	}
	out := l.cleanUp(m)
	for _, p := range m.places {
		if p.Phase != Present || p.stop {
			out = l.order(out, p, now, false)
		}
	}
	return out
}

// cleanUp forgets exits whose result is durable, and stops what has no job.
func (l *Ledger) cleanUp(m *Machine) []wire.Command {
	var out []wire.Command
	for i := range m.exits {
		e := &m.exits[i]
		switch {
		case e.job == nil && e.done:
			zero := 0.0
			out = append(out, wire.Command{Op: wire.OpStop, Task: e.id, Attempt: e.attempt, GraceS: &zero})
			continue
		case e.job != nil && e.done && !e.job.Service() && !e.job.Tasks[e.index].Durable:
			continue // invariant 5
		case m.lateIDs[attemptKey{e.id, e.attempt}]:
			continue // invariant 2
		case m.sent[attemptKey{e.id, e.attempt}] != 0:
			l.heldBack = true
			continue // the same, of a copy
		}
		if p := m.places[e.id]; p != nil && p.Attempt == e.attempt {
			continue
		}
		out = append(out, wire.Command{Op: wire.OpForget, Task: e.id, Attempt: e.attempt})
	}
	return out
}

// HoldStarts has no start put into any message, or ends that: while the leader may
// not know of withdrawals, what is placed waits. Stops go out all the same.
func (l *Ledger) HoldStarts(hold bool) { l.startsHeld = hold }

// startable is invariant 6, for a placement already on the books.
func (l *Ledger) startable(p *Placement) bool {
	j, m := p.Job, p.Machine
	s := j.Spec
	if j.Withdrawn || j.Broken || p.stop || !j.Marked || !m.Recorded {
		return false
	}
	if m.Spot && !s.Spot || s.Zone != "" && s.Zone != m.Zone || s.Types != nil && !slices.Contains(s.Types, m.Type) {
		return false
	}
	if s.OneZone && (j.doubts > 0 || j.byZone[m.Zone] != j.active) {
		return false
	}
	if s.Spread && j.InZone(m.Zone) > j.SpreadLimit() {
		return false
	}
	return l.WithinLimit(s.Team, Resources{})
}

func (l *Ledger) order(out []wire.Command, p *Placement, now clock.Micros, direct bool) []wire.Command {
	start := wire.Command{Op: wire.OpStart, Task: p.id, Attempt: p.Attempt}
	grace := p.grace.Seconds()
	stop := wire.Command{Op: wire.OpStop, Task: p.id, Attempt: p.Attempt, GraceS: &grace}
	switch {
	case p.Phase == Present && p.stop:
		if p.State != wire.TaskSaving || p.grace == 0 {
			if direct && p.stopSent != 0 {
				return out
			}
			p.stopSent = now
			out = append(out, stop)
		}
	case p.Phase == Present:
	case p.stop && p.late && !direct:
		// A start that was sent directly may still arrive. Met by a start and a
		// stop in one message, its attempt is listed as exited, and the late
		// one has no effect. Too long after a withdrawal even that could count
		// as a start: then only the machine's end helps.
		if l.startsHeld || p.Job.Withdrawn && now-p.Job.WithdrawnAt > l.cfg.MayFence {
			return out
		}
		zero := 0.0
		stop.GraceS = &zero
		out = append(out, start, stop)
	case p.stop:
	case l.startsHeld:
	case p.Phase == Assigned && !l.startable(p):
		l.end(p, wire.WhyStopped, now)
	case p.Phase == Assigned, p.Phase == Sent && !direct && (p.directOut > 0 || p.late):
		if !l.startable(p) || !l.maySend(p) {
			return out
		}
		p.Phase = Sent
		if direct {
			p.directOut++
			p.Machine.sent[attemptKey{p.id, p.Attempt}] = l.token
		} else {
			p.sentSeq = p.Machine.Seq
		}
		out = append(out, start)
	}
	return out
}

// Tainted tells that only the end of the machine resolves what may arrive.
func (l *Ledger) Tainted(m *Machine, now clock.Micros) bool {
	for _, p := range m.places {
		if p.stop && p.late && p.Phase == Sent && p.Job.Withdrawn && now-p.Job.WithdrawnAt > l.cfg.MayFence {
			return true
		}
	}
	return false
}

// Direct compiles a message to be sent straight to the worker: starts not yet
// sent, and stops; an empty one if it is not known whether it can be told. One message to a worker is out at a time.
func (l *Ledger) Direct(m *Machine, now clock.Micros) (*wire.Direct, []*Placement) {
	if m.directs || !m.Synced || m.Addr == "" {
		return nil, nil
	}
	var cmds []wire.Command
	var starts []*Placement
	for _, p := range m.places {
		if p.Phase == Present && !p.stop {
			continue
		}
		before := len(cmds)
		cmds = l.order(cmds, p, now, true)
		if len(cmds) > before && cmds[before].Op == wire.OpStart {
			starts = append(starts, p)
		}
	}
	if len(cmds) == 0 && now >= m.DeafUntil {
		return nil, nil
	}
	// With nothing to say to a worker that may be deaf, an empty message asks.
	m.directs = true
	return &wire.Direct{Token: l.token, Session: m.Session, Commands: cmds}, starts
}

// DirectResult is how a direct message ended.
type DirectResult uint8

// DirectEnded takes the end of a direct message; a report that came with it
// has to be given to Report afterwards.
func (l *Ledger) DirectEnded(m *Machine, starts []*Placement, r DirectResult, now clock.Micros) {
	m.directs = false
	switch r {
	case Executed:
		m.DeafUntil = 0
	case Lost:
		// If it hears nothing at all, its lease and its session end by then.
		m.DeafUntil = now + l.cfg.Lease
	}
	l.toSend(m)
	for _, p := range starts {
		if r == NotSent && !p.late {
			delete(m.sent, attemptKey{p.id, p.Attempt})
		}
		if m.places[p.id] != p {
			// Ended meanwhile, say by an exit that a report showed. The attempt
			// was held back from being forgotten while the message was out.
			if r != Lost && !p.late {
				delete(m.lateIDs, attemptKey{p.id, p.Attempt})
			}
			continue
		}
		p.directOut = max(0, p.directOut-1)
		switch r {
		case Lost:
			p.late = true
		case NotSent, Rejected:
			if p.Phase == Sent && p.sentSeq == 0 && !p.late {
				p.Phase = Assigned
			}
		case Executed:
			// The report in the answer shows it.
			if p.Phase == Sent {
				p.sentSeq = m.Seq
			}
		}
	}
	if r != Executed {
		for _, p := range m.places {
			p.stopSent = 0
		}
	}
}
