package leader

import (
	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/health"
	"firwood.dev/firwood/internal/hints"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/scaleout"
	"firwood.dev/firwood/internal/storeview"
)

// tracked is what the leader knows of requests, machines and jobs besides the allocation table,
// by name.
type tracked struct {
	scaleOuts map[string]*scaleout.Request
	machines  map[string]*machineState
	jobs      map[string]*jobState
}

// machineState is what the leader knows of a machine besides the allocation table.
type machineState struct {
	scaleOut             *scaleout.Request
	workerHost           *client.Host
	commandsBlockedUntil clock.Micros // no command requests before this instant
	isDeleting           bool
	probes               health.Probes
	faults               health.Faults
	sentHint             hints.SentImages
	// isListedBooting: the cloud's last list said that it boots. For a machine that an
	// earlier leader requested this is the only sign that it has never booted.
	isListedBooting bool
}

// jobState is what the leader knows of a job besides the allocation table.
type jobState struct {
	isRecordingStarts   bool         // see recordStarts
	isWriting           bool         // a write of its progress or its end is under way
	lastProgressWriteAt clock.Micros // when the last write of its progress was begun
	layout              records.ProgressLayout
	keyVersions         map[int]uint64 // of progress keys as last known, by number
	hasWarnedLate       bool
	isEndDurable        bool    // its end is durable
	observedRuns        int     // tasks whose whole run this leader has seen
	observedRunSeconds  float64 // of these runs in all
	isJobRunObserved    bool    // the scheduler has their mean as a run of the job
	firstStartAt        int64   // time of day in microseconds, 0: no task has started
}

// setKeyVersion records the version of a progress key, if it is newer than the one known.
func (jobInfo *jobState) setKeyVersion(number int, version uint64) {
	if jobInfo.keyVersions == nil {
		jobInfo.keyVersions = map[int]uint64{}
	}
	jobInfo.keyVersions[number] = max(jobInfo.keyVersions[number], version)
}

// updateKeyVersions takes the versions of progress keys from the view.
func (jobInfo *jobState) updateKeyVersions(parts map[int]storeview.ProgressPart) {
	for number, part := range parts {
		jobInfo.setKeyVersion(number, part.Version)
	}
}
