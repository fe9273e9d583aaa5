package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/wire"
)

// The leader learns of withdrawals by reading the state service. While that refuses
// the leader alone, others go on confirming withdrawals, and an outage for all may
// follow before another leader is elected. So every member tells the others which
// withdrawals are durable, again and again until their views are as new; the leader
// stops those tasks while it is still entitled to.

// withdrawalLog holds recent durable withdrawals, in the order in which this member
// learnt of them.
type withdrawalLog struct {
	entries []withdrawalEntry
	keep    clock.Micros
	most    int // the oldest entries go when there are more
	// next is where the next message begins, if not all fit into one.
	next int
	// news: one has come in that this member should tell without delay.
	news   bool
	toldAt clock.Micros
}

type withdrawalEntry struct {
	peer.Cancellation
	learntAt clock.Micros
}

// tellEvery bounds how often news is told outside of the regular messages.
const tellEvery = 100 * clock.Millisecond

// newWithdrawalLog makes a log that keeps entries for the cancellation time: after
// that the tasks are gone. In that time no more withdrawals become durable than the
// state service takes changes; what a reload brings at once is as many again.
func newWithdrawalLog(cancellation clock.Micros, changesPerSecond float64) withdrawalLog {
	return withdrawalLog{keep: cancellation, most: 2 * (int(changesPerSecond*cancellation.Seconds()) + 1)}
}

// add takes a job's record, if it is that of a recent withdrawal.
func (w *withdrawalLog) add(id string, r *jobRecord, now, wall clock.Micros) {
	if r.State != wire.JobCancelled || r.Job == nil || wall-clock.Micros(r.End) > w.keep {
		return
	}
	if len(w.entries) >= w.most {
		w.entries = append(w.entries[:0], w.entries[len(w.entries)/2:]...)
	}
	w.entries = append(w.entries, withdrawalEntry{
		Cancellation: peer.Cancellation{Job: id, Revision: r.version, CancelledAt: clock.Micros(r.End)},
		learntAt:     now,
	})
	w.news = true
}

// unknownTo lists entries that a view of some revision may lack. When they are more
// than a message takes, the next message goes on where this one ends.
func (w *withdrawalLog) unknownTo(revision uint64, now clock.Micros) []peer.Cancellation {
	w.expire(now)
	var unknown []peer.Cancellation
	for _, e := range w.entries {
		if e.Revision > revision {
			unknown = append(unknown, e.Cancellation)
		}
	}
	if len(unknown) <= peer.MaxCancellations {
		return unknown
	}
	from := w.next % len(unknown)
	w.next = from + peer.MaxCancellations
	rotated := append(unknown[from:len(unknown):len(unknown)], unknown[:from]...)
	return rotated[:peer.MaxCancellations]
}

func (w *withdrawalLog) expire(now clock.Micros) {
	old := 0
	for old < len(w.entries) && now-w.entries[old].learntAt > w.keep {
		old++
	}
	w.entries = append(w.entries[:0], w.entries[old:]...)
}

// revisionOf is how new a member's view is, as far as it has told lately. A member
// that is not heard may have been restarted since.
func (c *Core) revisionOf(member string) uint64 {
	seen := c.beats[member]
	if seen == nil || clock.Now()-seen.at > silentMember {
		return 0
	}
	return seen.beat.StoreRevision
}

// tellWithdrawals tells news of withdrawals without waiting for the next regular
// message, if some other member may lack it. The leader has no need to: it is the
// one that acts on them.
func (c *Core) tellWithdrawals(now clock.Micros) {
	w := &c.withdrawals
	if c.lead != nil || !w.news || now-w.toldAt < tellEvery {
		return
	}
	w.news, w.toldAt = false, now
	for _, o := range c.cfg.Peers {
		if len(w.unknownTo(c.revisionOf(o.Member), now)) > 0 {
			c.sendBeats(now)
			return
		}
	}
}

// toldWithdrawals takes what another member knows to be durable. Of a job that is
// not in the view nothing can have been started here.
func (c *Core) toldWithdrawals(told []peer.Cancellation) {
	for _, w := range told {
		rec := c.view.jobs[w.Job]
		if rec == nil || rec.over() || rec.Job == nil || w.Revision <= rec.version {
			continue
		}
		over := overRecord(rec, wire.JobCancelled, w.CancelledAt)
		over.version = w.Revision
		c.setJob(w.Job, over)
		c.log.Debug("withdrawal told by another member", "job", w.Job, "revision", w.Revision)
	}
}
