package controller

import (
	"strings"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/wire"
)

// The archive holds records of jobs that finished long ago, below a prefix that is neither
// read at the start nor watched. With `archive_finished_after_s` set the leader moves them
// there, a page at a time; without it, it moves back what is there, so that a version that
// knows no archive can take over. A record is moved in one transaction, so it is always in
// exactly one place, and a submission asks for its absence from both.

const (
	// archivePage is how many records are looked at in one request.
	archivePage = 200
	// archiveEvery is the time between two requests, archiveRest that between two times
	// through all records.
	archiveEvery, archiveRest = clock.Second, 60 * clock.Second
	// movesAtOnce bounds the records that are being moved.
	movesAtOnce = 64
)

// archiver is how far the leader has gone through the records.
type archiver struct {
	after   string // the last key that was looked at
	nextAt  clock.Micros
	reading bool
	moving  int
	// marking: that there may be an archive is being made durable.
	marking bool
}

// archive goes on with moving records there, or back.
func (l *lead) archive(now clock.Micros) {
	a := &l.archiver
	isWanted := l.c.tuning.ArchiveFinishedAfterS > 0
	switch {
	case a.reading || a.moving > 0 || a.marking || now < a.nextAt || l.c.store.IsFailing(now):
	case isWanted && !l.c.view.hasArchive:
		l.markArchive(wire.Change{PutKey: keyArchive, Value: []byte("{}")})
	case isWanted:
		l.readRecords(prefixJob, l.archiveOld)
	case l.c.view.hasArchive:
		l.readRecords(prefixArchive, l.restore)
	}
}

// markArchive makes it durable that there may be an archive, before the first record is
// moved there, or that there is none any more.
func (l *lead) markArchive(change wire.Change) {
	a := &l.archiver
	a.marking = true
	l.write(&kvstore.Write{Priority: kvstore.Background, Changes: []wire.Change{change}}, func(kvstore.Outcome) {
		// The watch tells whether it was carried out.
		l.after(archiveEvery, func() { a.marking = false })
	})
}

// readRecords looks at the next page of records below a prefix.
func (l *lead) readRecords(prefix string, each func(page []wire.KeyValue, isAll bool)) {
	a := &l.archiver
	a.reading = true
	after := a.after
	go func() {
		page, err := l.c.store.ReadPage(prefix, after, archivePage)
		l.c.post(func() {
			if l.closed {
				return
			}
			a.reading = false
			a.nextAt = clock.Now() + archiveEvery
			if err != nil {
				return
			}
			a.after = ""
			if page.HasMore {
				a.after = page.KeyValues[len(page.KeyValues)-1].Key
			} else {
				a.nextAt = clock.Now() + archiveRest
			}
			each(page.KeyValues, after == "" && !page.HasMore)
		})
	}()
}

// archiveOld moves those of a page that finished long ago to the archive.
func (l *lead) archiveOld(page []wire.KeyValue, _ bool) {
	before := clock.WallTime() - clock.FromSeconds(l.c.tuning.ArchiveFinishedAfterS)
	for _, item := range page {
		id := strings.TrimPrefix(item.Key, prefixJob)
		var r jobRecord
		if r.UnmarshalJSON(item.Value) != nil || !r.isFinished() || clock.Micros(r.End) > before || !l.mayArchive(id) {
			continue
		}
		l.move(item, prefixArchive+id)
	}
}

// mayArchive tells whether nothing of a finished job is left but its record.
func (l *lead) mayArchive(id string) bool {
	v := &l.c.view
	return v.done[id] == nil && v.awaits[id] == nil && l.lg.Jobs[id] == nil && l.jobs[id] == nil
}

// restore moves a page of the archive back; once there is nothing left of it, that is said.
func (l *lead) restore(page []wire.KeyValue, isAll bool) {
	if len(page) == 0 && isAll {
		l.c.log.Info("the archive is empty; versions without one may lead")
		l.markArchive(wire.Change{DeleteKey: keyArchive})
		return
	}
	l.archiver.nextAt = clock.Now() + archiveEvery
	for _, item := range page {
		l.move(item, prefixJob+strings.TrimPrefix(item.Key, prefixArchive))
	}
}

// move moves a record as it was read to another key.
func (l *lead) move(item wire.KeyValue, to string) {
	a := &l.archiver
	if a.moving >= movesAtOnce {
		return // the next time through
	}
	a.moving++
	w := &kvstore.Write{
		Priority:   kvstore.Background,
		Conditions: []wire.Condition{{Key: item.Key, Version: item.Version}, {Key: to}},
		Changes:    []wire.Change{{PutKey: to, Value: item.Value}, {DeleteKey: item.Key}},
	}
	l.write(w, func(kvstore.Outcome) { a.moving-- })
}
