package controller

import (
	"errors"
	"strings"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/standby"
	"firwood.dev/firwood/wire"
)

// view is this process's copy of what is in the state service. It is never
// behind by guess: an answer to a user that could be overtaken waits for a
// watch that was opened after the question came, and so proves its revision.
type view struct {
	loaded bool
	rev    uint64
	jobs   map[string]*jobRecord
	// done is the progress of jobs, by the number of its key.
	done map[string]map[int]progressPart
	// awaits are the parts of what jobs await, where those have keys of their own.
	awaits  map[string]map[int][]string
	rentals map[string]*rentalRecord
	lock    election.Lock
	// promises are those of leaders, with its version.
	promises        delegation.Constraints
	promisesVersion uint64
	// standby is the record of those in step with a leader, with its version.
	standby        standby.InSyncRecord
	standbyVersion uint64
	// hasArchive: there may be finished jobs in the archive.
	hasArchive bool
	// leads are those that were seen since all keys were last read.
	leads standby.TermHistory

	waiters  []*waiter
	syncing  int // syncs under way
	lastSync clock.Micros
	polling  bool
	nextPoll clock.Micros
	loading  bool
}

type waiter struct {
	f     func(error)
	until clock.Micros
	taken bool // a watch that will serve it is under way
	over  bool
}

func (w *waiter) end(err error) {
	if !w.over {
		w.over = true
		w.f(err)
	}
}

var errNoView = errors.New("the state service does not answer")

func (v *view) init() {
	v.jobs = map[string]*jobRecord{}
	v.done = map[string]map[int]progressPart{}
	v.awaits = map[string]map[int][]string{}
	v.rentals = map[string]*rentalRecord{}
}

// wantSync calls f once the view is at least as new as this call, or with an
// error when that could not be had in time.
func (v *view) wantSync(f func(error), until clock.Micros) {
	v.waiters = append(v.waiters, &waiter{f: f, until: until})
}

func (v *view) expireWaiters(now clock.Micros) {
	var late []*waiter
	kept := v.waiters[:0]
	for _, w := range v.waiters {
		switch {
		case w.over:
		case now >= w.until:
			late = append(late, w)
		default:
			kept = append(kept, w)
		}
	}
	clear(v.waiters[len(kept):])
	v.waiters = kept
	for _, w := range late {
		w.end(errNoView)
	}
}

func (c *Core) malformed(key string, err error) {
	c.store.MalformedResponses.Add(1)
	c.dropped("a record makes no sense", "key", key, "error", err)
}

func (c *Core) put(key string, value []byte, version uint64) {
	v := &c.view
	switch {
	case key == keyLock:
		var r lockRecord
		if err := r.UnmarshalJSON(value); err != nil {
			c.malformed(key, err)
			return
		}
		if version != v.leads.LastToken() {
			v.leads.ObserveTerm(version, r.Standby)
			c.seenTakeOver(version)
		}
		v.lock = election.Lock{Exists: true, Holder: r.Member, LeaseID: r.Lease, Version: version}
	case key == keyTypes:
		var t wire.MachineTypeList
		if err := t.UnmarshalJSON(value); err != nil {
			c.malformed(key, err)
			return
		}
		if len(c.types) == 0 {
			c.setTypes(t.Types)
		}
	case key == keyPromises:
		var r promisesRecord
		if err := r.UnmarshalJSON(value); err != nil {
			c.malformed(key, err)
			return
		}
		c.seenPromises(r.Promises, version)
	case key == keyStandby:
		c.seenStandby(value, version)
	case key == keyArchive:
		v.hasArchive = true
		c.mayForgetFrom()
	case strings.HasPrefix(key, prefixAsked):
		var r askedRecord
		if err := r.UnmarshalJSON(value); err != nil {
			c.malformed(key, err)
			return
		}
		c.seenAsked(key, r)
	case strings.HasPrefix(key, prefixJob):
		id := key[len(prefixJob):]
		r := &jobRecord{}
		if err := r.UnmarshalJSON(value); err != nil {
			c.malformed(key, err)
			return
		}
		r.version = version
		old := v.jobs[id]
		if old != nil && old.version >= version {
			return
		}
		c.setJob(id, r)
	case strings.HasPrefix(key, prefixAwaits):
		id, part, ok := parseAwaitsKey(key)
		var r awaitsRecord
		if err := r.UnmarshalJSON(value); err != nil || !ok {
			c.malformed(key, err)
			return
		}
		c.setAwaits(id, part, r.Awaits)
	case strings.HasPrefix(key, prefixDone):
		c.putProgress(key, value, version)
	case strings.HasPrefix(key, prefixRental):
		r := &rentalRecord{}
		if err := r.UnmarshalJSON(value); err != nil {
			c.malformed(key, err)
			return
		}
		r.version = version
		v.rentals[key[len(prefixRental):]] = r
	}
}

// setJob takes a newer record of a job into the view.
func (c *Core) setJob(id string, r *jobRecord) {
	c.view.jobs[id] = r
	if r.over() {
		c.counts.forget(id)
	}
	if r.isFinished() {
		c.finished.Touch(id)
	}
	c.withdrawals.add(id, r, clock.Now(), clock.WallTime())
	r.cancelledWith = r.State == "" && c.graph.IsCancelled(id)
	c.follow(id, r)
	if c.lead != nil {
		c.lead.jobChanged(id, r)
	}
}

// setAwaits takes a part of what a job awaits; its record may have come before.
func (c *Core) setAwaits(id string, part int, ids []string) {
	parts := c.view.awaits[id]
	if parts == nil {
		parts = map[int][]string{}
		c.view.awaits[id] = parts
	}
	parts[part] = ids
	if r := c.view.jobs[id]; r != nil && !r.over() && len(parts) == r.Parts {
		c.setJob(id, r)
	}
}

func (c *Core) dropAwaits(key string) {
	id, part, ok := parseAwaitsKey(key)
	if !ok {
		return
	}
	dropPart(c.view.awaits, id, part)
}

// dropPart takes one of a job's numbered parts away, and the job with the last one.
func dropPart[V any](parts map[string]map[int]V, id string, number int) {
	delete(parts[id], number)
	if len(parts[id]) == 0 {
		delete(parts, id)
	}
}

func (c *Core) drop(key string) {
	v := &c.view
	switch {
	case key == keyLock:
		v.lock = election.Lock{}
	case key == keyArchive:
		v.hasArchive = false
	case strings.HasPrefix(key, prefixJob):
		if r := v.jobs[key[len(prefixJob):]]; r != nil {
			r.isArchived = true // records are deleted for that alone
		}
	case strings.HasPrefix(key, prefixDone):
		c.dropProgress(key)
	case strings.HasPrefix(key, prefixAwaits):
		c.dropAwaits(key)
	case strings.HasPrefix(key, prefixRental):
		delete(v.rentals, key[len(prefixRental):])
	}
}
