package controller

import (
	"errors"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// A machine that dies or hangs is told from its silence only after its longest
// report interval and the way round the other controllers. Replicas on it are down
// meanwhile. So machines with replicas are asked for their state now and then, and
// others when their report is overdue; one that gives no answer twice, while most
// of its zone answer, is deleted, which proves its tasks over.

const (
	// probeEvery is how often a machine with replicas is asked that says nothing.
	probeEvery = 2 * clock.Second
	// probeTimeout bounds a probe: a packet that is lost is sent again within it.
	probeTimeout = 1500 * clock.Millisecond
	// missesAllowed is how many probes in a row may stay unanswered.
	missesAllowed = 1
)

// probes is what the ledger need not know of how a machine answers.
type probes struct {
	busy     bool
	at       clock.Micros // when it was last asked
	misses   int          // in a row
	missedAt clock.Micros // when the first of those was asked
	answered clock.Micros // when it last answered
}

// probe asks the machines that are due: first those of which something is amiss, then
// those with replicas, in turn. Only so many probes are under way at a time, so in a
// large fleet each look goes on where the last one ended: once the first by name were
// asked again and again, and the last ones never.
func (l *lead) probe(now clock.Micros) {
	machines := l.lg.SortedMachines()
	for _, m := range machines {
		if l.probing >= l.c.directs {
			return
		}
		if a := l.machines[m.Name]; l.mayAsk(m, a) && l.isAmiss(m, a, now) {
			l.ask(m, a, now)
		}
	}
	for range machines {
		if l.probing >= l.c.directs {
			return
		}
		l.probeNext %= len(machines)
		m := machines[l.probeNext]
		l.probeNext++
		if a := l.machines[m.Name]; l.mayAsk(m, a) && m.ReplicaCount() > 0 && now-max(m.LastHeartbeatAt, a.probes.at) >= probeEvery {
			l.ask(m, a, now)
		}
	}
}

// mayAsk tells whether a machine can be asked at all.
func (l *lead) mayAsk(m *allocation.Machine, a *machineAux) bool {
	return a != nil && !a.deleting && m.Address != "" && m.FirstHeartbeatAt != 0 && !a.probes.busy
}

// isAmiss tells whether a machine has left a probe unanswered, or its report is overdue,
// and it is time to ask again.
func (l *lead) isAmiss(m *allocation.Machine, a *machineAux, now clock.Micros) bool {
	quiet := now - max(m.LastHeartbeatAt, a.probes.at)
	if a.probes.misses > 0 {
		return quiet >= clock.Second/2
	}
	overdue := clock.FromSeconds(1.25*l.c.cfg.Deployment.Workers.HeartbeatIntervalSeconds) + clock.Second/2
	return now-max(m.LastHeartbeatAt, l.awake) >= overdue && quiet >= probeEvery
}

func (l *lead) ask(m *allocation.Machine, a *machineAux, now clock.Micros) {
	l.probing++
	a.probes.busy, a.probes.at = true, now
	if a.host == nil {
		a.host = l.c.toWorkers.NewHost(m.Address, 1, 4*wire.MaxBodyBytes)
	}
	host := a.host
	go func() {
		res, err := host.Do(client.Request{Method: "GET", Target: "/status", Timeout: probeTimeout, SendDeadline: l.until})
		var rep *wire.Heartbeat
		if err == nil && res.Status == 200 {
			r := &wire.Heartbeat{}
			if r.UnmarshalJSON(res.Body) == nil && r.MachineID == m.Name {
				rep = r
			}
		}
		l.c.post(func() {
			if !l.closed {
				l.probing--
				l.asked(m, a, now, rep, err)
			}
		})
	}()
}

// asked takes the end of a probe that was sent at `sent`.
func (l *lead) asked(m *allocation.Machine, a *machineAux, sent clock.Micros, rep *wire.Heartbeat, err error) {
	now := clock.Now()
	p := &a.probes
	p.busy = false
	if l.lg.Machines[m.Name] != m {
		return
	}
	if rep != nil {
		p.misses, p.answered = 0, now
		if l.promises.MayConstrainZone(m.Zone) {
			l.opening[m.Zone] = true // its zone is back
		}
		if l.lg.RecordCommandHeartbeat(m, rep, now) == allocation.HeartbeatFenced {
			l.c.fenced(l.token)
			return
		}
		l.settle(now)
		l.dirty = true
		return
	}
	// Nothing is known of the machine if it was not asked, or if this process was
	// too late itself to take the answer.
	if errors.Is(err, client.ErrPoolExhausted) || errors.Is(err, client.ErrSendDeadlinePassed) || now-sent > probeTimeout+clock.Second/2 {
		return
	}
	if sent < max(l.awake, l.deafAt[m.Zone]) {
		p.misses = 0 // the way was not open
		return
	}
	if p.misses == 0 {
		p.missedAt = sent
	}
	p.misses++
	if p.misses > missesAllowed && l.answering(m, p.missedAt) {
		l.c.log.Info("machine does not answer", "machine", m.Name, "for_s", (now - max(m.LastHeartbeatAt, p.answered)).Seconds())
		l.delete(m)
	}
}

// answering tells whether the way to a machine's zone is open: most of the others
// there that were asked since have answered.
func (l *lead) answering(m *allocation.Machine, since clock.Micros) bool {
	answered, missed := 0, 0
	for _, o := range l.lg.Machines {
		a := l.machines[o.Name]
		if o.Zone != m.Zone || a == nil {
			continue
		}
		switch {
		case max(a.probes.answered, o.LastHeartbeatAt) > since+probeTimeout/2:
			answered++
		case a.probes.misses > 0:
			missed++
		}
	}
	return answered >= 2*missed
}
