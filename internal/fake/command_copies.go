package fake

import (
	"time"

	"firwood.dev/firwood/wire"
)

// maxRecordedRequests bounds how many executed command requests the cloud records. Beyond it, the oldest half is dropped.
const maxRecordedRequests = 4000

// executedRequest is a command request that a worker has executed.
type executedRequest struct {
	worker  *workerProcess
	request *wire.CommandRequest
}

// recordExecuted records a command request that a worker has executed, so that a copy of it can be delivered later. The
// caller holds the cloud's lock.
func (cloud *Cloud) recordExecuted(worker *workerProcess, request *wire.CommandRequest) {
	if len(cloud.executedRequests) == maxRecordedRequests {
		cloud.executedRequests = append([]executedRequest(nil), cloud.executedRequests[maxRecordedRequests/2:]...)
	}
	cloud.executedRequests = append(cloud.executedRequests, executedRequest{worker, request})
}

// RedeliverCommandRequests delivers a copy of each recorded command request to its worker, in the order of their execution,
// as a network may do at any later time. A worker treats a copy like any request: it refuses one with an outdated token
// or incarnation. The responses are discarded. A hanging machine executes its copies when it goes on.
func (cloud *Cloud) RedeliverCommandRequests() {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	var delayed []executedRequest
	for _, copied := range cloud.executedRequests {
		if copied.worker.fault == MachineHanging {
			delayed = append(delayed, copied)
			continue
		}
		cloud.deliverCopy(copied)
	}
	if len(delayed) > 0 {
		cloud.goroutines.Go(func() {
			cloud.mu.Lock()
			defer cloud.mu.Unlock()
			for _, copied := range delayed {
				copied.worker.waitWhileHanging()
				cloud.deliverCopy(copied)
			}
		})
	}
}

// deliverCopy delivers a copy of a command request. The caller holds the cloud's lock.
func (cloud *Cloud) deliverCopy(copied executedRequest) {
	if copied.worker.executeIfValid(copied.request) {
		cloud.messages.ExecutedCopies++
	}
	copied.worker.heartbeat.Sequence++ // the number of the response, which is lost
}

// RedeliverReplies has each healthy worker execute the commands of the last reply to its heartbeats again, if it has sent no
// heartbeat since and would not drop the reply as too late.
func (cloud *Cloud) RedeliverReplies() {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	for _, worker := range cloud.workers {
		if worker.fault == MachineHealthy && worker.lastReply != nil && time.Since(worker.leaseStartedAt) < replyTimeout {
			worker.advance()
			worker.executeCommands(worker.lastReply.Commands)
		}
	}
}
