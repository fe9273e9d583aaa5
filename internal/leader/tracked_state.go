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

// trackedState is what the leader knows of scale-out requests, machines and jobs in addition to the
// allocation table. Each map is by name or ID.
type trackedState struct {
	scaleOuts map[string]*scaleout.Request
	machines  map[string]*machineState
	jobs      map[string]*jobState
}

// machineState is what the leader knows of a machine in addition to the allocation table.
type machineState struct {
	scaleOut             *scaleout.Request
	workerHost           *client.Host
	commandsBlockedUntil clock.Micros // no command request is sent before this instant
	isDeleting           bool
	probes               health.Probes
	faults               health.Faults
	sentHint             hints.SentImages
	// isListedBooting is whether the cloud's last list showed the machine as booting. For a machine
	// that an earlier leader requested, this is the only sign that it has never booted.
	isListedBooting bool
}

// jobState is what the leader knows of a job in addition to the allocation table.
type jobState struct {
	isRecordingStarts   bool         // a write by recordStarts is in flight
	isWriting           bool         // a write of the job's progress or end is in flight
	lastProgressWriteAt clock.Micros // when the last write of the job's progress began
	layout              records.ProgressLayout
	keyVersions         map[int]uint64 // the last known versions of progress keys, by key number
	hasWarnedLate       bool
	isEndDurable        bool    // the record of the job's end is durable
	observedRuns        int     // the number of tasks whose full run this leader has observed
	observedRunSeconds  float64 // the total duration of these runs
	isJobRunObserved    bool    // the scheduler has got their mean as the job's run time
	firstStartAt        int64   // wall-clock time in microseconds, or 0 if no task has started
}

// setKeyVersion records the version of a progress key if it is newer than the known one.
func (jobInfo *jobState) setKeyVersion(number int, version uint64) {
	if jobInfo.keyVersions == nil {
		jobInfo.keyVersions = map[int]uint64{}
	}
	jobInfo.keyVersions[number] = max(jobInfo.keyVersions[number], version)
}

// updateKeyVersions records the versions of the progress keys that the view has.
func (jobInfo *jobState) updateKeyVersions(parts map[int]storeview.ProgressPart) {
	for number, part := range parts {
		jobInfo.setKeyVersion(number, part.Version)
	}
}
