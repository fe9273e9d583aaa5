package leader

import (
	"strings"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

const (
	// archivePageSize is how many records are read in one request.
	archivePageSize = 200
	// archiveInterval is the time between two requests, archivePassInterval that between two
	// passes through all records.
	archiveInterval, archivePassInterval = clock.Second, 60 * clock.Second
	// maxMovesInFlight bounds the records that are being moved.
	maxMovesInFlight = 64
)

// archiver moves records of jobs that finished long ago to the archive: keys below a prefix that
// is neither loaded at the start nor watched. It does so with `archive_finished_after_s` set, a
// page at a time. With the setting at 0 it moves archived records back, so that a version that
// knows no archive can take over. A record is moved in one transaction, so it is always in
// exactly one of the two places, and a submission requires its absence from both.
type archiver struct {
	term          *Term
	afterKey      string // the last key that was read in this pass
	nextAt        clock.Micros
	isReading     bool
	movesInFlight int
	// isWritingMarker: the key that says whether there may be an archive is being written.
	isWritingMarker bool
}

// tick goes on with moving records into the archive, or back.
func (archiver *archiver) tick(now clock.Micros) {
	environment := archiver.term.environment
	isEnabled, hasArchive := environment.Tuning.ArchiveFinishedAfterS > 0, environment.View.HasArchive
	switch {
	case archiver.isBusy() || now < archiver.nextAt || environment.Store.IsFailing(now):
	case isEnabled && !hasArchive:
		archiver.writeMarker(wire.Change{PutKey: records.ArchiveMarkerKey, Value: []byte("{}")})
	case isEnabled:
		archiver.readPage(records.JobPrefix, archiver.archiveExpired)
	case hasArchive:
		archiver.readPage(records.ArchivePrefix, archiver.restore)
	}
}

func (archiver *archiver) isBusy() bool {
	return archiver.isReading || archiver.movesInFlight > 0 || archiver.isWritingMarker
}

// writeMarker makes it durable that there may be an archive, before the first record is moved
// there, or that there is none any more. The view shows whether it was executed.
func (archiver *archiver) writeMarker(change wire.Change) {
	term := archiver.term
	archiver.isWritingMarker = true
	term.commit(&kvstore.Write{Priority: kvstore.Background, Changes: []wire.Change{change}}, func(kvstore.Outcome) {
		term.runAfter(archiveInterval, func() { archiver.isWritingMarker = false })
	})
}

// archivePage is a page of records below a prefix.
type archivePage struct {
	records    []wire.KeyValue
	isOnlyPage bool // there are no other records below the prefix
}

// readPage reads the next page of records below a prefix.
func (archiver *archiver) readPage(prefix string, handlePage func(archivePage)) {
	term := archiver.term
	archiver.isReading = true
	after := archiver.afterKey
	term.background(func() func() {
		page, err := term.environment.Store.ReadPage(prefix, after, archivePageSize)
		return func() {
			archiver.isReading = false
			archiver.nextAt = clock.Now() + archiveInterval
			if err != nil {
				return
			}
			archiver.afterKey = ""
			if page.HasMore {
				archiver.afterKey = page.KeyValues[len(page.KeyValues)-1].Key
			} else {
				archiver.nextAt = clock.Now() + archivePassInterval
			}
			handlePage(archivePage{records: page.KeyValues, isOnlyPage: after == "" && !page.HasMore})
		}
	})
}

// archiveExpired moves those records of a page to the archive whose jobs finished long ago.
func (archiver *archiver) archiveExpired(page archivePage) {
	finishedBefore := clock.WallTime() - clock.FromSeconds(archiver.term.environment.Tuning.ArchiveFinishedAfterS)
	for _, item := range page.records {
		id := strings.TrimPrefix(item.Key, records.JobPrefix)
		if isExpired(item.Value, finishedBefore) && archiver.hasOnlyRecord(id) {
			archiver.move(item, records.ArchiveKey(id))
		}
	}
}

// isExpired tells whether a stored record is that of a job that finished before a time of day.
func isExpired(value []byte, finishedBefore clock.Micros) bool {
	var record records.Job
	return record.UnmarshalJSON(value) == nil && record.IsFinished() && clock.Micros(record.EndedAt) <= finishedBefore
}

// hasOnlyRecord tells whether nothing is left of a job but its record: neither other keys
// nor a place in the allocation table.
func (archiver *archiver) hasOnlyRecord(id string) bool {
	term := archiver.term
	view := term.environment.View
	return view.Progress[id] == nil && view.Dependencies[id] == nil && term.tracker.Jobs[id] == nil && term.jobs[id] == nil
}

// restore moves a page of the archive back. Once the archive is empty, its marker is removed.
func (archiver *archiver) restore(page archivePage) {
	if len(page.records) == 0 && page.isOnlyPage {
		archiver.term.environment.Log.Info("archive emptied; a version without an archive may take over")
		archiver.writeMarker(wire.Change{DeleteKey: records.ArchiveMarkerKey})
		return
	}
	archiver.nextAt = clock.Now() + archiveInterval
	for _, item := range page.records {
		archiver.move(item, records.JobPrefix+strings.TrimPrefix(item.Key, records.ArchivePrefix))
	}
}

// move moves a record to another key, if it is still as it was read. What is over the bound on
// moves under way is moved in the next pass.
func (archiver *archiver) move(item wire.KeyValue, newKey string) {
	if archiver.movesInFlight >= maxMovesInFlight {
		return
	}
	archiver.movesInFlight++
	write := &kvstore.Write{
		Priority:   kvstore.Background,
		Conditions: []wire.Condition{{Key: item.Key, Version: item.Version}, {Key: newKey}},
		Changes:    []wire.Change{{PutKey: newKey, Value: item.Value}, {DeleteKey: item.Key}},
	}
	archiver.term.commit(write, func(kvstore.Outcome) { archiver.movesInFlight-- })
}
