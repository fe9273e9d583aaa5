package controller

import (
	"maps"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// silentAfter is when a machine that has not reported counts as silent: its
// longest report interval, an answer that never came, and the way to the
// leader by way of another node.
func (c *Core) silentAfter() clock.Micros {
	return clock.FromSeconds(1.25*c.cfg.Deployment.Workers.HeartbeatIntervalSeconds) + 6500*clock.Millisecond
}

// freshFor is how long ago a machine that can be heard may have reported last:
// its longest interval and one slow message.
func (l *lead) freshFor() clock.Micros {
	return clock.FromSeconds(1.25*l.c.cfg.Deployment.Workers.HeartbeatIntervalSeconds) + 1500*clock.Millisecond
}

// hearing counts machines that are up, and those of them heard just now.
type hearing struct{ up, fresh int }

func (h *hearing) add(fresh bool) {
	h.up++
	if fresh {
		h.fresh++
	}
}

// mostly tells that the way to these machines is open: enough of them are
// heard, even while a wave takes many of the others.
func (h *hearing) mostly() bool { return h.fresh > 0 && 3*h.fresh >= h.up }

// lost tells that the leader hears next to none of its machines while another
// controller is asked by many: the fault is on the leader's side.
func (h *hearing) lost(peers uint32) bool {
	return h.up >= 3 && 4*h.fresh < h.up && 3*int(peers) >= h.up
}

// none tells that nobody is heard, of enough machines for that to mean something.
func (h *hearing) none() bool { return h.up >= 3 && h.fresh == 0 }

// standOff is how long a leader that was cut off leaves the lead to others.
const standOff = 30 * clock.Second

// handOver gives the lead to a controller that the workers do reach: their
// leases would run out while this one renews its lock. So it does where the state
// service renews the lock but answers no reads. Where all machines fall silent
// at once it does not wait until another says that it is asked: a worker that has
// waited for an answer for four seconds, and is then sent back here, is lost with a
// lease of ten. A leader that has never heard them does not pass the lead on.
func (l *lead) handOver(h hearing, now clock.Micros) bool {
	var others uint32
	able := false // another controller could lead
	for _, b := range l.c.beats {
		if now-b.at < 2*clock.Second && b.beat.IsStoreReachable {
			others = max(others, b.beat.WorkerCount)
			able = true
		}
	}
	if able && now-max(l.view.LastReadSentAt(), l.awake) > 2*l.c.ttl() {
		l.c.log.Info("the state service answers no reads", "for_s", (now - l.view.LastReadSentAt()).Seconds())
		l.resign(now)
		return true
	}
	if l.hadMost && able && h.none() {
		l.c.log.Info("no worker is heard any more", "of", h.up)
		l.resign(now)
		return true
	}
	l.hadMost = l.hadMost || h.mostly()
	if now-l.awake < l.c.silentAfter() {
		return false
	}
	for _, a := range l.c.asked {
		if now-a.at < askedFor {
			others = max(others, a.workers)
		}
	}
	if !h.lost(others) {
		return false
	}
	l.c.log.Info("few workers are heard, others hear them", "heard", h.fresh, "of", h.up, "others", others)
	l.resign(now)
	return true
}

func (l *lead) resign(now clock.Micros) {
	l.c.act(l.c.el.StepDown(now, standOff))
	l.c.stepDown("handed over")
}

// confirm renews the rights of the others to keep leases alive: the stamps that
// have come so far are echoed once the view is known to be newer than them, and
// only while no withdrawn job is taking long to go. So what a withdrawal leaves
// behind in a zone that is cut off ends in time; see delegation.Config.
func (l *lead) confirm(now clock.Micros, then func()) {
	stamps := maps.Clone(l.c.stamps)
	l.c.view.wantSync(func(err error) {
		defer then()
		if err != nil || l.closed {
			return
		}
		l.hasRead(now)
		if !l.c.entitled() {
			return
		}
		for _, j := range l.lg.Jobs {
			if j.Cancelled && !l.lg.IsVacated(j) && clock.Now()-j.CancelledAt > l.c.times.CancellationGrace {
				return
			}
		}
		l.knewAt = now
		for m, s := range stamps {
			if !l.promises.MayConstrainMember(m) {
				l.echoes[m] = s
				l.bound.RecordAck(m, now)
			}
		}
	}, now+beatEvery)
}

// watchMachines gives up machines that are stuck, silent, taken or over.
func (l *lead) watchMachines(now clock.Micros) {
	l.bounds(now)
	silent := l.c.silentAfter()
	zones := map[string]*hearing{}
	var all hearing
	for _, m := range l.lg.Machines {
		if m.FirstHeartbeatAt == 0 {
			continue
		}
		z := zones[m.Zone]
		if z == nil {
			z = &hearing{}
			zones[m.Zone] = z
		}
		fresh := now-max(m.LastHeartbeatAt, l.awake) < l.freshFor()
		z.add(fresh)
		all.add(fresh)
	}
	if l.handOver(all, now) {
		return
	}
	l.updatePromises(now)
	for z, h := range zones {
		if !h.mostly() {
			l.deafAt[z] = now
		}
	}
	for name, m := range l.lg.Machines {
		a := l.machines[name]
		if a == nil || a.deleting {
			continue
		}
		l.tryAgain(m, a, now)
		// When a zone comes back its machines do one by one: once the last two
		// thirds of it were deleted when the first third was heard again.
		quiet := now - max(m.LastHeartbeatAt, l.awake, l.deafAt[m.Zone])
		switch {
		case l.lg.LeaseEndsAt(m) <= now && (m.FirstHeartbeatAt != 0 || !m.Reconciled):
			// Its tasks are provably over, and it is of no use.
			l.lg.ExpireLease(m, now)
			if m.FirstHeartbeatAt != 0 || m.CreatedAt < l.since {
				// One that an earlier leader rented and that was taken meanwhile is
				// on no list: it would count as booting for ever.
				l.c.log.Info("machine lost", "machine", name)
				l.delete(m)
			}
		case m.FirstHeartbeatAt == 0 && (m.CreatedAt > l.since || a.booting) && now-m.CreatedAt > l.pl.BootTimeout(m.Type) && quiet > silent:
			// Not having been heard is no proof for a new leader: once one took a
			// zone that was cut off for machines that never came up, and deleted
			// it with all that ran there.
			l.c.log.Info("machine does not come up", "machine", name)
			l.delete(m)
		case m.FirstHeartbeatAt != 0 && quiet > silent && zones[m.Zone].mostly():
			// It is silent while others of its zone are heard. Deleting it
			// proves its tasks over, sooner than its lease would. When a whole
			// zone falls silent a cut is more likely, and it comes back: once
			// a leader that was cut off deleted half its fleet.
			l.c.log.Info("machine silent", "machine", name, "for_s", quiet.Seconds())
			l.delete(m)
		case m.Draining && m.IsIdle() || l.lg.IsCordoned(m, now):
			l.delete(m)
		case m.ReclaimAt != 0 && m.IsIdle():
			l.delete(m)
		case m.ReclaimAt != 0:
			l.leave(m, now)
		}
	}
	l.settle(now)
	for n, at := range l.gone {
		if now-at > 600*clock.Second {
			delete(l.gone, n)
		}
	}
	// A machine that no record names comes from a request that was carried
	// out late. It has no tasks; it is returned once no rental is open that it
	// might belong to.
	open := false
	for _, h := range l.rentals {
		open = open || !h.resolved
	}
	for n, at := range l.unknown {
		if !open && now-at > 5*clock.Second && !slices.Contains(l.deletes, n) {
			l.c.log.Info("unknown machine returned", "machine", n)
			l.unknown[n] = now + 30*clock.Second
			l.deletes = append(l.deletes, n)
		}
	}
}

// leave moves tasks off a machine that is about to be taken, unless they will
// be done in time.
func (l *lead) leave(m *allocation.Machine, now clock.Micros) {
	left := m.ReclaimAt - now
	m.ForEachPlacement(func(p *allocation.Placement) {
		j := p.Job
		if p.IsStopping() {
			return
		}
		if l.pl.RemainingRun(p, now) <= left {
			return
		}
		grace := clock.FromSeconds(j.Spec.CheckpointSaveSeconds)
		if j.Spec.CheckpointIntervalSeconds > 0 && grace > 0 && (left > 2*grace+3*clock.Second || left <= grace && p.ReportedState == wire.TaskRunning) {
			return // there is time to run on and still save, or none to save at all
		}
		if j.IsGang() && j.GangStarted {
			l.lg.StopJob(j, grace)
		} else {
			l.lg.StopPlacement(p, grace)
		}
	})
}

// logFleet sums up, at debug level, what is rented and what it does.
func (l *lead) logFleet(now clock.Micros) {
	if now < l.fleetAt {
		return
	}
	l.fleetAt = now + 5*clock.Second
	var n, booting, idle [2]int
	var room, replicas, tasks [2]int64
	for _, m := range l.lg.Machines {
		k := 0
		if m.Spot {
			k = 1
		}
		n[k]++
		if m.FirstHeartbeatAt == 0 {
			booting[k]++
			continue
		}
		if m.IsIdle() {
			idle[k]++
		}
		room[k] += m.Capacity.MilliCPU / 1000
		m.ForEachPlacement(func(p *allocation.Placement) {
			if p.Job.IsService() {
				replicas[k] += p.Job.Request.MilliCPU / 1000
			} else {
				tasks[k] += p.Job.Request.MilliCPU / 1000
			}
		})
	}
	waiting := 0
	for _, j := range l.lg.Jobs {
		if !j.Cancelled {
			waiting += j.WaitingCount()
		}
	}
	l.c.log.Debug("fleet", "ordinary", n[0], "booting", booting[0], "idle", idle[0], "cpus", room[0], "replicas", replicas[0], "tasks", tasks[0],
		"spot", n[1], "spot_booting", booting[1], "spot_idle", idle[1], "spot_cpus", room[1], "spot_tasks", tasks[1], "waiting", waiting)
}

// goneFor is how long a deleted machine is remembered at least: late reports of it, and
// lists that lag, mean nothing.
const goneFor = 600 * clock.Second

// list reads the cloud's list now and then: for machines that failed, and for
// machines that nobody knows.
func (l *lead) list(now clock.Micros) {
	if l.listBusy || now < l.listAt {
		return
	}
	l.listBusy = true
	go func() {
		all, err := l.c.cloud.ListMachines()
		l.c.post(func() {
			if l.closed {
				return
			}
			now := clock.Now()
			l.listBusy = false
			l.listAt = now + 10*clock.Second
			if err != nil {
				l.listAt = now + 3*clock.Second
				return
			}
			names := make(map[string]bool, len(all))
			for i := range all {
				l.listed(&all[i], now)
				names[all[i].ID] = true
			}
			l.unlisted(names, now)
			maps.DeleteFunc(l.gone, func(name string, at clock.Micros) bool { return now-at > goneFor && !names[name] })
		})
	}()
}

// unlisted gives up machines that an earlier leader rented, that nobody has heard
// and that the cloud does not list: they are gone, though a record names them.
func (l *lead) unlisted(names map[string]bool, now clock.Micros) {
	late := clock.FromSeconds(2*l.c.cfg.Deployment.Cloud.ListLagSeconds) + clock.Second
	for name, m := range l.lg.Machines {
		if m.FirstHeartbeatAt == 0 && m.CreatedAt < l.since && !names[name] && now-m.CreatedAt > l.pl.BootTimeout(m.Type)+late {
			l.c.log.Info("machine not listed", "machine", name)
			l.delete(m)
		}
	}
}

func (l *lead) listed(k *wire.ListedMachine, now clock.Micros) {
	if _, ok := l.gone[k.ID]; ok {
		return // the list lags
	}
	m := l.lg.Machines[k.ID]
	if m == nil {
		if _, ok := l.unknown[k.ID]; !ok {
			l.unknown[k.ID] = now
		}
		return
	}
	if m.Address == "" {
		m.Address = k.Address
	}
	if a := l.machines[k.ID]; a != nil {
		a.booting = k.State == wire.MachineBooting
	}
	if k.State == wire.MachineFailed {
		l.c.log.Info("machine failed", "machine", k.ID)
		l.delete(m)
	}
}
