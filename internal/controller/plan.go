package controller

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/scheduler"
)

// drain gives a machine nothing new and returns it when it is empty.
func (l *lead) drain(m *allocation.Machine) { m.Draining = true }

// Between two plans lies planPart times what the last one took, within bounds.
const (
	planPart     = 4
	leastPlanGap = 20 * clock.Millisecond
	mostPlanGap  = 500 * clock.Millisecond
)

func (l *lead) plan(now clock.Micros) {
	var pending []scheduler.Hire
	for _, h := range l.rentals {
		if !h.resolved {
			pending = append(pending, scheduler.Hire{
				Pool: scheduler.Pool{Type: h.rec.Type, Zone: h.rec.Zone, Spot: h.rec.Spot}, Count: h.rec.Count,
			})
		}
	}
	d := l.pl.Plan(l.lg, now, clock.Wall(), pending)
	l.settle(now)
	for _, j := range d.Mark {
		l.mark(j)
	}
	for _, r := range d.Rent {
		// Few at a time: the cloud takes few requests a second, and what is
		// asked for next should rest on how these were answered.
		if len(pending) >= l.rentalsAtOnce() {
			break
		}
		pending = append(pending, scheduler.Hire{})
		l.rent(r, now)
	}
	for _, m := range d.Return {
		l.c.log.Debug("idle machine returned", "machine", m.Name)
		l.delete(m)
	}
	if d.Drain != nil && now-l.drainedAt > drainEvery {
		l.drainedAt = now
		l.c.log.Debug("replicas move together", "from", d.Drain.Name)
		l.drain(d.Drain)
		d.Drain.ForEachPlacement(func(p *allocation.Placement) { l.lg.StopPlacement(p, clock.FromSeconds(p.Job.Spec.SaveS)) })
	}
	for _, s := range []struct {
		kind string
		r    *scheduler.SpareReport
	}{{"spot", &d.Spot}, {"ordinary", &d.Ordinary}} {
		l.c.log.Debug("screen", "kind", s.kind, "gaps", s.r.Gaps.Reason, "n", s.r.Gaps.N, "runs", s.r.Runs.Reason,
			"open", s.r.Open, "x", s.r.Cost.X, "w", s.r.Cost.W, "e", s.r.Cost.E)
	}
}

// drainEvery bounds how often replicas are moved together.
const drainEvery = 10 * clock.Second
