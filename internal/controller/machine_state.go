package controller

import (
	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/health"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/storeview"
)

// machineState is what the ledger need not know of a machine.
type machineState struct {
	scaleOut             *scaleOutRequest
	host                 *client.Host
	commandsBlockedUntil clock.Micros // no direct messages before this instant
	isDeleting           bool
	probes               health.Probes
	faults               health.Faults
	sentHint             sentHint
	// isListedBooting: the cloud's last list said so. Of a machine that an earlier
	// leader rented this alone tells that it has never come up.
	isListedBooting bool
}

// jobState is what the ledger need not know of a job.
type jobState struct {
	isRecordingStarts  bool
	isWriting          bool
	writtenAt          clock.Micros
	layout             records.ProgressLayout
	keyVersions        map[int]uint64 // versions of progress keys as last known, by number
	hasWarnedLate      bool
	isEndDurable       bool    // its end is durable
	observedRuns       int     // tasks that this leader saw run to their end
	observedRunSeconds float64 // how long they ran in all, in seconds
	isJobRunObserved   bool    // they are in the screen as one run
	firstStartAt       int64
}

// setKeyVersion notes the version of a progress key.
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
