package controller

import (
	"strings"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// The archive holds records of jobs that finished long ago, below a prefix that is neither
// read at the start nor watched. With `archive_finished_after_s` set the leader moves them
// there, a page at a time; without it, it moves back what is there, so that a version that
// knows no archive can take over. A record is moved in one transaction, so it is always in
// exactly one place, and a submission asks for its absence from both.

const (
	// archivePageSize is how many records are looked at in one request.
	archivePageSize = 200
	// archiveInterval is the time between two requests, archivePassInterval that between two times
	// through all records.
	archiveInterval, archivePassInterval = clock.Second, 60 * clock.Second
	// maxMovesInFlight bounds the records that are being moved.
	maxMovesInFlight = 64
)

// archiveState is how far the leader has gone through the records.
type archiveState struct {
	afterKey      string // the last key that was looked at
	nextAt        clock.Micros
	isReading     bool
	movesInFlight int
	// isWritingMarker: that there may be an archive is being made durable.
	isWritingMarker bool
}

// tickArchive goes on with moving records there, or back.
func (term *leaderTerm) tickArchive(now clock.Micros) {
	archive := &term.archiver
	isWanted := term.controller.tuning.ArchiveFinishedAfterS > 0
	switch {
	case archive.isReading || archive.movesInFlight > 0 || archive.isWritingMarker || now < archive.nextAt || term.controller.store.IsFailing(now):
	case isWanted && !term.controller.view.HasArchive:
		term.writeArchiveMarker(wire.Change{PutKey: records.ArchiveMarkerKey, Value: []byte("{}")})
	case isWanted:
		term.readArchivePage(records.JobPrefix, term.archiveExpired)
	case term.controller.view.HasArchive:
		term.readArchivePage(records.ArchivePrefix, term.restoreArchived)
	}
}

// writeArchiveMarker makes it durable that there may be an archive, before the first record is
// moved there, or that there is none any more.
func (term *leaderTerm) writeArchiveMarker(change wire.Change) {
	archive := &term.archiver
	archive.isWritingMarker = true
	term.commit(&kvstore.Write{Priority: kvstore.Background, Changes: []wire.Change{change}}, func(kvstore.Outcome) {
		// The watch tells whether it was carried out.
		term.runAfter(archiveInterval, func() { archive.isWritingMarker = false })
	})
}

// readArchivePage looks at the next page of records below a prefix.
func (term *leaderTerm) readArchivePage(prefix string, handlePage func(page []wire.KeyValue, isAll bool)) {
	archive := &term.archiver
	archive.isReading = true
	after := archive.afterKey
	term.background(func() func() {
		page, err := term.controller.store.ReadPage(prefix, after, archivePageSize)
		return func() {
			archive.isReading = false
			archive.nextAt = clock.Now() + archiveInterval
			if err != nil {
				return
			}
			archive.afterKey = ""
			if page.HasMore {
				archive.afterKey = page.KeyValues[len(page.KeyValues)-1].Key
			} else {
				archive.nextAt = clock.Now() + archivePassInterval
			}
			handlePage(page.KeyValues, after == "" && !page.HasMore)
		}
	})
}

// archiveExpired moves those of a page that finished long ago to the archive.
func (term *leaderTerm) archiveExpired(page []wire.KeyValue, _ bool) {
	before := clock.WallTime() - clock.FromSeconds(term.controller.tuning.ArchiveFinishedAfterS)
	for _, item := range page {
		id := strings.TrimPrefix(item.Key, records.JobPrefix)
		var record records.Job
		if record.UnmarshalJSON(item.Value) != nil || !record.IsFinished() || clock.Micros(record.EndedAt) > before || !term.canArchive(id) {
			continue
		}
		term.moveRecord(item, records.ArchiveKey(id))
	}
}

// canArchive tells whether nothing of a finished job is left but its record.
func (term *leaderTerm) canArchive(id string) bool {
	view := term.controller.view
	return view.Progress[id] == nil && view.Dependencies[id] == nil && term.tracker.Jobs[id] == nil && term.jobs[id] == nil
}

// restoreArchived moves a page of the archive back; once there is nothing left of it, that is said.
func (term *leaderTerm) restoreArchived(page []wire.KeyValue, isAll bool) {
	if len(page) == 0 && isAll {
		term.controller.log.Info("the archive is empty; versions without one may lead")
		term.writeArchiveMarker(wire.Change{DeleteKey: records.ArchiveMarkerKey})
		return
	}
	term.archiver.nextAt = clock.Now() + archiveInterval
	for _, item := range page {
		term.moveRecord(item, records.JobPrefix+strings.TrimPrefix(item.Key, records.ArchivePrefix))
	}
}

// moveRecord moves a record as it was read to another key.
func (term *leaderTerm) moveRecord(item wire.KeyValue, newKey string) {
	archive := &term.archiver
	if archive.movesInFlight >= maxMovesInFlight {
		return // the next time through
	}
	archive.movesInFlight++
	write := &kvstore.Write{
		Priority:   kvstore.Background,
		Conditions: []wire.Condition{{Key: item.Key, Version: item.Version}, {Key: newKey}},
		Changes:    []wire.Change{{PutKey: newKey, Value: item.Value}, {DeleteKey: item.Key}},
	}
	term.commit(write, func(kvstore.Outcome) { archive.movesInFlight-- })
}
