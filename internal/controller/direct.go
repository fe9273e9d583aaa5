package controller

import (
	"errors"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// directTimeout bounds a direct message; past it the start stays possible.
const directTimeout = 2 * clock.Second

// direct sends starts and stops straight to the workers: a report's answer
// would wait for the next report.
func (l *lead) direct(now clock.Micros) {
	l.lg.ProcessDispatchQueue(func(m *allocation.Machine) bool {
		name := m.Name
		a := l.machines[name]
		if a == nil || a.deleting {
			return false
		}
		// Nothing is started where a later leader would take the leases for over.
		if l.promises.MayConstrainZone(m.Zone) || now < a.notUntil || now-m.LastHeartbeatAt > l.c.silentAfter() || l.directing >= l.c.directs {
			return true
		}
		msg, starts := l.lg.BuildCommandRequest(m, now)
		if msg == nil {
			return false
		}
		body, err := msg.MarshalJSON()
		if err != nil {
			l.lg.FinishCommandRequest(m, starts, allocation.CommandNotSent, now)
			return false
		}
		if a.host == nil {
			a.host = l.c.toWorkers.NewHost(m.Address, 1, 4*wire.MaxBodyBytes)
		}
		host, until := a.host, l.until
		if len(starts) > 0 {
			until = l.startUntil
		}
		l.directing++
		go func() {
			res, err := host.Do(client.Request{Method: "POST", Target: "/commands", Body: body, Timeout: directTimeout, SendDeadline: until})
			result := allocation.CommandOutcomeUnknown
			var rep *wire.Heartbeat
			var se *client.NotSentError
			switch {
			case errors.As(err, &se), errors.Is(err, client.ErrSendDeadlinePassed):
				result = allocation.CommandNotSent
			case err != nil:
			case res.Status == 200:
				result = allocation.CommandExecuted
			case res.Status == 409, res.Status == 400:
				result = allocation.CommandRejected
			}
			if err == nil && (res.Status == 200 || res.Status == 409) {
				r := &wire.Heartbeat{}
				if r.UnmarshalJSON(res.Body) == nil && r.MachineID == name {
					rep = r
				}
			}
			l.c.post(func() {
				if !l.closed {
					l.directing--
					l.directEnded(m, a, starts, result, rep)
				}
			})
		}()
		return false
	})
}

func (l *lead) directEnded(m *allocation.Machine, a *machineAux, starts []*allocation.Placement, result allocation.CommandResult, rep *wire.Heartbeat) {
	now := clock.Now()
	if l.lg.Machines[m.Name] != m {
		return
	}
	l.lg.FinishCommandRequest(m, starts, result, now)
	if result != allocation.CommandExecuted {
		// The way to this worker is bad; its reports' answers will do.
		a.notUntil = now + 2*clock.Second
	}
	if rep != nil && l.lg.RecordCommandHeartbeat(m, rep, now) == allocation.HeartbeatFenced {
		l.c.fenced(l.token)
		return
	}
	l.settle(now)
	l.dirty = true
}
