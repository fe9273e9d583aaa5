package controller

import (
	"errors"
	"fmt"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/cloud"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/scheduler"
	"firwood.dev/firwood/wire"
)

// rental is one from its record on, until the last machine of it is gone.
type rental struct {
	name     string
	rec      rentalRecord
	at       clock.Micros
	resolved bool // the cloud has answered
	writing  bool
	stale    bool // the record has to be written again
	// shrinking: a write without the machines that are gone is due.
	shrinking bool
	version   uint64 // of the record as last known
}

// rentalsAtOnce bounds the rentals under way: what the cloud answers in a second
// or so, and the two records of each within the rate of writes.
func (l *lead) rentalsAtOnce() int {
	d := &l.c.cfg.Deployment
	return max(int(min(2*d.Cloud.RPS, d.Store.Effective().WriteRPS/4)), 2)
}

// rent begins a rental: its record comes first, so that whoever leads next knows
// which machines may exist.
func (l *lead) rent(r scheduler.ScaleOutRequest, now clock.Micros) {
	for n := r.Count; n > 0; n -= wire.MaxScaleOutCount {
		l.names++
		h := &rental{
			name: fmt.Sprintf("%s-%d-%d", l.c.cfg.Member, l.token, l.names), at: now,
			rec: rentalRecord{Type: r.Pool.Type, Zone: r.Pool.Zone, Spot: r.Pool.Spot, Count: min(n, wire.MaxScaleOutCount), At: int64(clock.WallTime())},
		}
		l.rentals[h.name] = h
		l.recordRental(h, kvstore.Required, func() { l.sendRental(h) })
	}
}

// recordRental writes the rental's record until it is durable, then goes on. Each
// write is conditional on the record's version: one that is carried out late, or
// again, must not take back the names of machines that have tasks by then.
func (l *lead) recordRental(h *rental, rank kvstore.Priority, then func()) {
	if h.writing {
		h.stale = true
		return
	}
	h.writing, h.stale = true, false
	c := wire.Change{PutKey: prefixRental + h.name}
	if h.resolved && len(h.rec.Machines) == 0 {
		c = wire.Change{DeleteKey: prefixRental + h.name}
	} else {
		v, err := h.rec.MarshalJSON()
		if err != nil {
			return
		}
		c.Value = v
	}
	dropped := c.DeleteKey != ""
	w := &kvstore.Write{
		Priority: rank, Conditions: []wire.Condition{{Key: prefixRental + h.name, Version: h.version}}, Changes: []wire.Change{c},
	}
	l.writeRev(w, func(o kvstore.Outcome, rev uint64) {
		if o != kvstore.Committed {
			l.rereadRental(h, func() { l.recordRental(h, rank, then) })
			return
		}
		h.writing, h.version = false, rev
		if dropped {
			h.version = 0
		}
		switch {
		case h.stale:
			l.recordRental(h, rank, then)
		default:
			if dropped {
				delete(l.rentals, h.name)
			}
			then()
		}
	})
}

// rereadRental learns the version of a rental's record, a little later.
func (l *lead) rereadRental(h *rental, then func()) {
	l.after(200*clock.Millisecond, func() {
		l.c.view.wantSync(func(err error) {
			switch {
			case l.closed:
				return
			case err != nil:
				l.rereadRental(h, then)
				return
			}
			h.writing, h.version = false, 0
			if rec := l.c.view.rentals[h.name]; rec != nil {
				h.version = rec.version
			}
			then()
		}, clock.Now()+2*clock.Second)
	})
}

// shrinkEvery is how long the record of a rental waits to be written after one of its
// machines has gone.
const shrinkEvery = clock.Second

// shrinkRental has machines that are gone taken out of a rental's record. A new leader
// that finds them there looks for them until the cloud's list lacks them, so it is done
// soon, but not for each machine at once, and where there is a backlog with what the rate
// has to spare: these records took half of the rate of changes in a fleet of 4,000
// machines that shrank.
func (l *lead) shrinkRental(h *rental) {
	if h.shrinking {
		return
	}
	h.shrinking = true
	l.after(shrinkEvery, func() {
		h.shrinking = false
		rank := kvstore.Required
		if l.c.store.BacklogDuration() > backlogged {
			rank = kvstore.Background
		}
		l.recordRental(h, rank, func() {})
	})
}

func (l *lead) sendRental(h *rental) {
	if !l.c.entitled() {
		l.after(300*clock.Millisecond, func() { l.sendRental(h) })
		return
	}
	req := wire.ScaleOutRequest{RequestID: h.name, MachineType: h.rec.Type, Zone: h.rec.Zone, Spot: h.rec.Spot, Count: h.rec.Count}
	go func() {
		names, err := l.c.cloud.ScaleOut(req, l.until)
		l.c.post(func() {
			if !l.closed {
				l.hired(h, names, err)
			}
		})
	}()
}

func (l *lead) hired(h *rental, names []string, err error) {
	now := clock.Now()
	pool := scheduler.Pool{Type: h.rec.Type, Zone: h.rec.Zone, Spot: h.rec.Spot}
	l.dirty = true
	switch {
	case err == nil:
		l.pl.ObserveFilled(pool, h.rec.Count, len(names), now)
		l.c.log.Debug("hired", "hire", h.name, "zone", h.rec.Zone, "spot", h.rec.Spot, "asked", h.rec.Count, "got", len(names))
		h.resolved, h.rec.Resolved, h.rec.Machines = true, true, names
		for _, n := range names {
			delete(l.unknown, n)
			if _, gone := l.gone[n]; !gone {
				l.addMachine(h, n)
			}
		}
		l.recordRental(h, kvstore.Required, func() {
			// Only machines that the record names may get tasks.
			for _, n := range h.rec.Machines {
				if m := l.lg.Machines[n]; m != nil {
					m.RecordedInStore = true
				}
			}
			l.dirty = true
		})
	case errors.Is(err, cloud.ErrNoCapacity), errors.Is(err, cloud.ErrInvalidRequest):
		l.pl.ObserveEmptyPool(pool, now)
		l.c.log.Debug("nothing to hire", "hire", h.name, "zone", h.rec.Zone, "spot", h.rec.Spot, "error", err)
		h.resolved, h.rec.Resolved = true, true
		l.recordRental(h, kvstore.Required, func() {})
	default:
		l.c.log.Debug("hire not answered", "hire", h.name, "error", err)
		l.after(clock.Second, func() { l.sendRental(h) })
	}
}

// delete returns a machine to the cloud.
func (l *lead) delete(m *allocation.Machine) {
	a := l.machines[m.Name]
	if a == nil || a.deleting {
		return
	}
	a.deleting = true
	m.Draining = true
	l.deletes = append(l.deletes, m.Name)
}

func (l *lead) sendDeletes(now clock.Micros) {
	if len(l.deletes) == 0 || l.deleteBusy || now < l.deleteAt {
		return
	}
	n := min(len(l.deletes), wire.MaxMachinesPerDelete)
	batch := slices.Clone(l.deletes[:n])
	l.deletes = slices.Delete(l.deletes, 0, n)
	l.deleteBusy = true
	go func() {
		err := l.c.cloud.DeleteMachines(batch, l.until)
		l.c.post(func() {
			if !l.closed {
				l.deleted(batch, err)
			}
		})
	}()
}

func (l *lead) deleted(batch []string, err error) {
	now := clock.Now()
	l.deleteBusy = false
	if err != nil {
		l.c.log.Debug("deletion not answered", "error", err)
		l.deletes = append(batch, l.deletes...)
		l.deleteAt = now + clock.Second
		return
	}
	touched := map[*rental]bool{}
	for _, n := range batch {
		l.gone[n] = now
		delete(l.unknown, n)
		if m := l.lg.Machines[n]; m != nil {
			l.lg.RemoveMachine(m, now)
		}
		if a := l.machines[n]; a != nil {
			if a.host != nil {
				a.host.Close()
			}
			if a.rental != nil {
				a.rental.rec.Machines = slices.DeleteFunc(a.rental.rec.Machines, func(s string) bool { return s == n })
				touched[a.rental] = true
			}
			delete(l.machines, n)
		}
	}
	for h := range touched {
		l.shrinkRental(h)
	}
	l.settle(now)
	l.dirty = true
}
