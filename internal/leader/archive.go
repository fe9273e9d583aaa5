package leader

import (
	"strings"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

const (
	// archivePageSize is the maximum number of records that one request reads.
	archivePageSize = 200
	// archiveInterval is the time between two requests, and archivePassInterval the time between
	// two passes over all records.
	archiveInterval, archivePassInterval = clock.Second, 60 * clock.Second
	// maxMovesInFlight bounds how many records are being moved at a time.
	maxMovesInFlight = 64
)

// archiver moves the records of jobs that finished long ago to the archive, a page at a time, if
// `archive_finished_after_s` is above 0. The archive is a set of keys below a prefix of its own, which
// members neither load at startup nor watch. If the setting is 0, archiver moves archived records back,
// so that a version that doesn't know the archive can take over. A record is moved in one transaction,
// so it is always in exactly one of the two places, and a submission requires its absence from both.
type archiver struct {
	term          *Term
	afterKey      string // the last key that was read in this pass, or empty at the start of a pass
	nextAt        clock.Micros
	isReading     bool
	movesInFlight int
	// isWritingMarker is true from the start of a write of the archive marker, the key that says that
	// the archive may hold records, until archiveInterval after the outcome of that write.
	isWritingMarker bool
}

// tick starts the next step of moving records to the archive or back, if one is due.
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

// writeMarker writes the archive marker before the first record is moved to the archive, or deletes
// the marker once the archive is empty. It ignores the write's outcome: the view shows whether the
// marker exists.
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
	isOnlyPage bool // whether the prefix has no other records
}

// readPage reads the next page of records below a prefix and passes it to handlePage.
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

// archiveExpired moves those records of a page to the archive whose jobs finished long enough ago.
func (archiver *archiver) archiveExpired(page archivePage) {
	finishedBefore := clock.WallTime() - clock.FromSeconds(archiver.term.environment.Tuning.ArchiveFinishedAfterS)
	for _, item := range page.records {
		id := strings.TrimPrefix(item.Key, records.JobPrefix)
		if isExpired(item.Value, finishedBefore) && archiver.hasOnlyRecord(id) {
			archiver.move(item, records.ArchiveKey(id))
		}
	}
}

// isExpired reports whether a stored record is that of a job that finished no later than
// finishedBefore, a wall-clock time.
func isExpired(value []byte, finishedBefore clock.Micros) bool {
	var record records.Job
	return record.UnmarshalJSON(value) == nil && record.IsFinished() && clock.Micros(record.EndedAt) <= finishedBefore
}

// hasOnlyRecord reports whether only the record of a job is left: the job has no other keys, and the
// leader doesn't track it.
func (archiver *archiver) hasOnlyRecord(id string) bool {
	term := archiver.term
	view := term.environment.View
	return view.Progress[id] == nil && view.Dependencies[id] == nil && term.tracker.Jobs[id] == nil && term.jobs[id] == nil
}

// restore moves a page of archived records back. If the archive is empty, restore deletes the marker.
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

// move moves a record to another key, provided that it is unchanged since it was read. If
// maxMovesInFlight moves are in flight, move does nothing, and a later pass moves the record.
func (archiver *archiver) move(item wire.KeyValue, newKey string) {
	if archiver.movesInFlight >= maxMovesInFlight {
		return
	}
	archiver.movesInFlight++
	write := &kvstore.Write{
		Priority:   kvstore.Background,
		Conditions: []wire.Condition{{Key: item.Key, Version: item.Version}, {Key: newKey}},
		Changes:    []wire.Change{{PutKey: newKey, Value: fitEnded(item.Value, StoreLimits(archiver.term.environment.Config))}, {DeleteKey: item.Key}},
	}
	archiver.term.commit(write, func(kvstore.Outcome) { archiver.movesInFlight-- })
}

// fitEnded returns the stored record of a finished job, shortened if it was written under a higher limit than the present
// one: the store would refuse each move of the whole record.
func fitEnded(value []byte, limits records.Limits) []byte {
	if len(value) <= limits.MaxValueBytes() {
		return value
	}
	var record records.Job
	if record.UnmarshalJSON(value) != nil {
		return value
	}
	shortened, err := records.EncodeEnded(&record, limits)
	if err != nil {
		return value
	}
	return shortened
}
