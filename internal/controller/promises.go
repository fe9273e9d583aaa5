package controller

import (
	"maps"
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// What a leader promises to those after it: zones that are silent, members that are not
// heard. See delegation.Constraints.

func (c *Core) seenPromises(w delegation.Constraints, version uint64) {
	if version <= c.view.promisesVersion {
		return
	}
	c.view.promises, c.view.promisesVersion = w, version
	c.unsettledPromises = nil
	if c.lead != nil {
		c.lead.promises.ObserveStored(w, version)
	}
}

// clockError bounds how far two members' times of day may be apart.
func (c *Core) clockError() clock.Micros {
	return 2 * clock.FromSeconds(c.cfg.Deployment.ClockErrorMillis/1000)
}

// notBefore is an instant of the steady clock that is certainly not before a time of
// day that some member has noted.
func (c *Core) notBefore(now, wall clock.Micros) clock.Micros {
	return now - (clock.WallTime() - wall) + c.clockError()
}

// adoptPromises takes over what earlier leaders have promised.
func (l *lead) adoptPromises(now clock.Micros) {
	w, _ := l.promises.Current()
	for _, m := range l.lg.Machines {
		if z, ok := w.Zones[m.Zone]; ok {
			l.lg.CapLeaseRenewal(m, l.c.notBefore(now, z.LastAnswerAt))
		}
	}
	for m, end := range w.MemberGrantUntil {
		l.bound.RecordInherited(m, l.c.notBefore(now, end))
	}
}

// bounds tells the ledger until when others may have renewed leases as delegates.
func (l *lead) bounds(now clock.Micros) {
	w, _ := l.promises.Current()
	zones := map[string]clock.Micros{}
	for z, p := range w.Zones {
		zones[z] = l.bound.LatestRenewalExcept(now, l.c.cfg.Member, p.KnownBy)
	}
	l.lg.SetDelegatedUntil(l.bound.LatestRenewal(now), zones)
}

// updatePromises writes what has changed about who is heard. A zone of which no
// machine is heard gets no answers from now on, and a member that is not heard no
// rights, until the promise is taken back: a new leader, who has never heard either,
// then knows when the leases there end.
func (l *lead) updatePromises(now clock.Micros) {
	old, _ := l.promises.Current()
	w := delegation.Constraints{Zones: map[string]delegation.ZoneConstraint{}, MemberGrantUntil: map[string]clock.Micros{}}
	wall := func(at clock.Micros) clock.Micros { return clock.WallTime() - (now - at) }
	for z, s := range l.zones(now) {
		p, ok := old.Zones[z]
		switch {
		case l.opening[z] || !ok && (s.heard || !s.up):
			continue
		case !ok:
			p = delegation.ZoneConstraint{LastAnswerAt: wall(max(s.last, l.bound.OwnRenewalsUntil())), KnownBy: []string{l.c.cfg.Member}}
		case !slices.Contains(p.KnownBy, l.c.cfg.Member):
			p.LastAnswerAt = max(p.LastAnswerAt, wall(l.bound.OwnRenewalsUntil()))
			p.KnownBy = append(slices.Clone(p.KnownBy), l.c.cfg.Member)
		}
		w.Zones[z] = p
	}
	for _, o := range l.c.cfg.Peers {
		if b := l.c.beats[o.Member]; l.c.times.GrantTTL == 0 || b != nil && now-b.at < silentMember {
			continue
		}
		end, ok := old.MemberGrantUntil[o.Member]
		switch {
		case !ok && now-l.awake < silentMember:
			continue
		case !ok:
			end = wall(l.bound.GrantUntil(o.Member))
		}
		w.MemberGrantUntil[o.Member] = end
	}
	if !w.Equal(old) || !l.promises.IsConfirmed() {
		l.writePromises(w)
	}
}

// silentMember is after how long without a beat a member counts as not heard.
const silentMember = 3 * beatEvery

// zoneSeen is how a zone's machines are heard.
type zoneSeen struct {
	up, heard bool
	last      clock.Micros // when the last of them may have been answered
}

func (l *lead) zones(now clock.Micros) map[string]*zoneSeen {
	out := map[string]*zoneSeen{}
	for _, m := range l.lg.Machines {
		z := out[m.Zone]
		if z == nil {
			z = &zoneSeen{}
			out[m.Zone] = z
		}
		z.last = max(z.last, m.LastRenewalAt())
		if m.FirstHeartbeatAt != 0 || m.CreatedAt < l.since { // one that boots says nothing of its zone
			z.up = true
			z.heard = z.heard || now-max(m.LastHeartbeatAt, l.awake) < l.freshFor()
		}
	}
	return out
}

func (l *lead) writePromises(w delegation.Constraints) {
	v, err := promisesRecord{Promises: w}.MarshalJSON()
	if err != nil || len(v) > int(l.c.cfg.Deployment.Store.Effective().MaxValueKB*1024) {
		l.c.dropped("what is to be promised is too large for the state service", "bytes", len(v))
		return
	}
	version, ok := l.promises.BeginWrite(w)
	if !ok {
		return
	}
	l.writeRev(&kvstore.Write{
		Priority:   kvstore.Critical,
		Conditions: []wire.Condition{{Key: keyPromises, Version: version}},
		Changes:    []wire.Change{{PutKey: keyPromises, Value: v}},
	}, func(o kvstore.Outcome, rev uint64) {
		switch o {
		case kvstore.Committed:
			l.promises.RecordCommit(rev)
			l.c.seenPromises(w, rev)
			l.c.log.Info("promises written", "zones", slices.Sorted(maps.Keys(w.Zones)), "members", slices.Sorted(maps.Keys(w.MemberGrantUntil)))
		case kvstore.Unknown:
			l.promises.RecordUnknownOutcome()
		default:
			l.promises.RecordRefusal()
		}
		l.opened()
		switch {
		case o != kvstore.Committed:
			// The view tells the version by the time of the next look.
			l.c.view.wantSync(func(error) {}, clock.Now()+2*clock.Second)
		case len(l.opening) > 0:
			l.updatePromises(clock.Now())
		}
	})
}

// waiting is a report from a zone whose reports are not answered.
type waiting struct {
	rep *wire.Heartbeat
	r   *server.Reply
	at  clock.Micros
}

// mustWait tells whether a report has to wait until the promise about its zone is
// taken back, and takes care of that.
func (l *lead) mustWait(rep *wire.Heartbeat, r *server.Reply, now clock.Micros) bool {
	if !l.view.MayRenewLeases(now) {
		// No answer may renew its lease before the next read, which is under way.
		l.held = append(l.held, waiting{rep, r, now})
		l.read(now)
		return true
	}
	if !l.promises.MayConstrainZone(rep.Zone) {
		return false
	}
	if m := l.lg.Machines[rep.MachineID]; m != nil && !rep.IsNewerThan(m.Incarnation, m.HeartbeatSequence) {
		later(r, "an older report")
		return true
	}
	l.held = append(l.held, waiting{rep, r, now})
	if !l.opening[rep.Zone] {
		l.opening[rep.Zone] = true
		l.updatePromises(now)
	}
	return true
}

// opened answers the reports that waited, once nothing is promised about their
// zones, and those that wait for too long.
func (l *lead) opened() {
	now := clock.Now()
	held := l.held
	l.held = nil
	for _, h := range held {
		switch {
		case !l.promises.MayConstrainZone(h.rep.Zone) && l.view.MayRenewLeases(now):
			l.checkin(h.rep, h.r)
		case now-h.at > clock.Second:
			later(h.r, "the state service does not answer")
		default:
			l.held = append(l.held, h)
		}
	}
	for z := range l.opening {
		if !l.promises.MayConstrainZone(z) {
			delete(l.opening, z)
		}
	}
}

// promised tells whether this member has, or may have, promised to answer nobody as delegate
// in a zone. A member that has not may: a leader that hears nobody of a zone may
// itself be the one that is cut off from it.
func (c *Core) promised(zone string) bool {
	if c.lead != nil && c.lead.promises.MayConstrainZone(zone) || c.unsettledPromises[zone] {
		return true
	}
	return slices.Contains(c.view.promises.Zones[zone].KnownBy, c.cfg.Member)
}
