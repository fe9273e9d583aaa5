package controller

import (
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

func (l *lead) checkin(rep *wire.Heartbeat, r *server.Reply) {
	now := clock.Now()
	if l.mustWait(rep, r, now) {
		return
	}
	var reply wire.HeartbeatResponse
	m := l.lg.Machines[rep.MachineID]
	if m == nil {
		if _, ok := l.gone[rep.MachineID]; !ok {
			if _, ok := l.unknown[rep.MachineID]; !ok {
				l.unknown[rep.MachineID] = now
			}
		}
	} else {
		l.lg.RecordLeaseRenewal(m, now)
		booting := m.FirstHeartbeatAt == 0
		res := l.lg.RecordHeartbeat(m, rep, now)
		if res == allocation.HeartbeatFenced {
			l.c.log.Info("a worker has seen a higher token", "worker", rep.MachineID, "token", rep.FencingToken)
			later(r, "deposed")
			l.c.fenced(l.token)
			return
		}
		if res == allocation.HeartbeatAccepted {
			if booting && m.CreatedAt > l.since {
				l.pl.ObserveBoot(m.Type, now-m.CreatedAt)
			}
			l.settle(now)
			reply.Commands = l.lg.HeartbeatCommands(m, now)
			l.dirty = true
		}
	}
	reply.FencingToken = l.lg.FencingToken()
	if reply.Commands == nil {
		reply.Commands = []wire.Command{}
	}
	body, err := reply.MarshalJSON()
	if err != nil {
		later(r, "cannot be encoded")
		return
	}
	r.SendBefore(200, body, 0, l.answerUntil(reply.Commands))
}

// answerUntil is the last instant at which an answer to a report may go out: it
// renews the worker's lease, and may start tasks.
func (l *lead) answerUntil(commands []wire.Command) clock.Micros {
	until := min(l.until(), l.view.RenewLeasesUntil())
	if slices.ContainsFunc(commands, func(c wire.Command) bool { return c.Action == wire.ActionStart }) {
		until = min(until, l.startUntil())
	}
	return until
}

// settle draws the conclusions from what reports showed.
func (l *lead) settle(now clock.Micros) {
	for _, p := range l.lg.Started {
		j := p.Job
		l.c.log.Debug("task up", "job", j.Spec.ID, "task", p.TaskIndex, "class", j.Spec.Class, "machine", p.Machine.Name,
			"waited_s", (clock.WallTime() - j.ReleasedAt).Seconds(), "placed_s", (now - p.CreatedAt).Seconds())
		if j.FirstStartAt == 0 {
			j.FirstStartAt = now
			if a := l.jobs[j.Spec.ID]; a != nil && a.first == 0 {
				a.first = int64(clock.WallTime())
			}
		}
	}
	l.lg.Started = l.lg.Started[:0]
	for _, e := range l.lg.Exited {
		l.ended(e, now)
	}
	l.lg.Exited = l.lg.Exited[:0]
}

func (l *lead) ended(e allocation.ExitEvent, now clock.Micros) {
	p, j := e.Placement, e.Placement.Job
	t := &j.Tasks[p.TaskIndex]
	if e.Cause != wire.ExitDone && !j.Cancelled {
		l.c.log.Debug("task ended", "job", j.Spec.ID, "task", p.TaskIndex, "class", j.Spec.Class, "machine", p.Machine.Name, "why", e.Cause,
			"told", p.IsStopping(), "saved", p.ProgressSaved, "state", p.ReportedState, "placed_s", (now - p.CreatedAt).Seconds())
	}
	switch e.Cause {
	case wire.ExitDone:
		if p.RunningAt != 0 && !p.Adopted && !j.IsService() && t.CheckpointedSeconds == 0 && !(j.IsGang() && j.CheckpointedSeconds > 0) {
			took := (now - p.RunningAt).Seconds()
			l.pl.ObserveTaskRun(j, took, now)
			if a := l.jobs[j.Spec.ID]; a != nil {
				a.ran, a.runs = a.ran+1, a.runs+took
				if j.IsComplete() && !a.screened {
					a.screened = true
					l.pl.ObserveJobRun(j, a.runs/float64(a.ran), now)
				}
			}
			l.c.log.Debug("task done", "job", j.Spec.ID, "task", p.TaskIndex, "machine", p.Machine.Name, "took_s", took, "estimate_s", j.Spec.EstimatedRunSeconds)
		}
	case wire.ExitError:
		// A faulty machine fails many jobs, a faulty job fails everywhere. The
		// more often a job fails on different machines without any task done,
		// the more slowly it is tried again, and no machine is blamed for it.
		wait := clock.Second << min(int(t.FailureCount), 5)
		if len(j.FailuresByMachine) >= 3 && j.DoneCount() == 0 {
			wait = 2 * wait
			for _, m := range l.lg.Machines {
				delete(m.FailedJobs, j.Spec.ID)
			}
		}
		t.RetryAt = now + wait
		l.c.log.Info("task failed", "job", j.Spec.ID, "task", p.TaskIndex, "machine", p.Machine.Name, "fails", t.FailureCount)
		l.blame(p.Machine, now)
	case allocation.CauseVanished:
		if !j.Cancelled {
			j.RestartCount++
		}
	case wire.ExitNoResources, wire.ExitAttemptConflict, wire.ExitUnknownTask:
		t.RetryAt = now + clock.Second
	}
	l.dirty = true
}
