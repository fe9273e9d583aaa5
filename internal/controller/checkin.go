package controller

import (
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

func (l *lead) checkin(rep *wire.Report, r *server.Reply) {
	now := clock.Now()
	if l.mustWait(rep, r, now) {
		return
	}
	var reply wire.Reply
	m := l.lg.Machines[rep.Machine]
	if m == nil {
		if _, ok := l.gone[rep.Machine]; !ok {
			if _, ok := l.unknown[rep.Machine]; !ok {
				l.unknown[rep.Machine] = now
			}
		}
	} else {
		l.lg.HeardBy(m, now)
		booting := m.UpAt == 0
		res := l.lg.Report(m, rep, now)
		if res == allocation.Deposed {
			l.c.log.Info("a worker has seen a higher token", "worker", rep.Machine, "token", rep.Token)
			later(r, "deposed")
			l.c.fenced(l.token)
			return
		}
		if res == allocation.Taken {
			if booting && m.Since > l.since {
				l.pl.Booted(m.Type, now-m.Since)
			}
			l.settle(now)
			reply.Commands = l.lg.Orders(m, now)
			l.dirty = true
		}
	}
	reply.Token = l.lg.Token()
	if reply.Commands == nil {
		reply.Commands = []wire.Command{}
	}
	body, err := reply.MarshalJSON()
	if err != nil {
		later(r, "cannot be encoded")
		return
	}
	r.SendUntil(200, body, 0, l.answerUntil(reply.Commands))
}

// answerUntil is the last instant at which an answer to a report may go out: it
// renews the worker's lease, and may start tasks.
func (l *lead) answerUntil(commands []wire.Command) clock.Micros {
	until := min(l.until(), l.view.RenewLeasesUntil())
	if slices.ContainsFunc(commands, func(c wire.Command) bool { return c.Op == wire.OpStart }) {
		until = min(until, l.startUntil())
	}
	return until
}

// settle draws the conclusions from what reports showed.
func (l *lead) settle(now clock.Micros) {
	for _, p := range l.lg.Begun {
		j := p.Job
		l.c.log.Debug("task up", "job", j.Spec.ID, "task", p.Index, "class", j.Spec.Class, "machine", p.Machine.Name,
			"waited_s", (clock.Wall() - j.Submitted).Seconds(), "placed_s", (now - p.Since).Seconds())
		if j.FirstStart == 0 {
			j.FirstStart = now
			if a := l.jobs[j.Spec.ID]; a != nil && a.first == 0 {
				a.first = int64(clock.Wall())
			}
		}
	}
	l.lg.Begun = l.lg.Begun[:0]
	for _, e := range l.lg.Ended {
		l.ended(e, now)
	}
	l.lg.Ended = l.lg.Ended[:0]
}

func (l *lead) ended(e allocation.Ending, now clock.Micros) {
	p, j := e.Placement, e.Placement.Job
	t := &j.Tasks[p.Index]
	if e.Why != wire.WhyDone && !j.Withdrawn {
		l.c.log.Debug("task ended", "job", j.Spec.ID, "task", p.Index, "class", j.Spec.Class, "machine", p.Machine.Name, "why", e.Why,
			"told", p.Stopping(), "saved", p.Saved, "state", p.State, "placed_s", (now - p.Since).Seconds())
	}
	switch e.Why {
	case wire.WhyDone:
		if p.RunAt != 0 && !p.Adopted && !j.Service() && t.Progress == 0 && !(j.Gang() && j.Progress > 0) {
			took := (now - p.RunAt).Seconds()
			l.pl.Finished(j, took, now)
			if a := l.jobs[j.Spec.ID]; a != nil {
				a.ran, a.runs = a.ran+1, a.runs+took
				if j.Complete() && !a.screened {
					a.screened = true
					l.pl.Ran(j, a.runs/float64(a.ran), now)
				}
			}
			l.c.log.Debug("task done", "job", j.Spec.ID, "task", p.Index, "machine", p.Machine.Name, "took_s", took, "estimate_s", j.Spec.EstimateS)
		}
	case wire.WhyError:
		// A faulty machine fails many jobs, a faulty job fails everywhere. The
		// more often a job fails on different machines without any task done,
		// the more slowly it is tried again, and no machine is blamed for it.
		wait := clock.Second << min(int(t.Fails), 5)
		if len(j.ErrorsOn) >= 3 && j.DoneCount() == 0 {
			wait = 2 * wait
			for _, m := range l.lg.Machines {
				delete(m.FaultyJobs, j.Spec.ID)
			}
		}
		t.NotBefore = now + wait
		l.c.log.Info("task failed", "job", j.Spec.ID, "task", p.Index, "machine", p.Machine.Name, "fails", t.Fails)
		l.blame(p.Machine, now)
	case allocation.WhyVanished:
		if !j.Withdrawn {
			j.Restarts++
		}
	case wire.WhyNoRoom, wire.WhyBusy, wire.WhyUnknown:
		t.NotBefore = now + clock.Second
	}
	l.dirty = true
}
