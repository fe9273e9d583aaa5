package leader

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// A worker may get commands once it has shown the leader's token. It does so on its own half a second
// after the leader's first reply, but at most once in half a lease: after a second failover within that
// time it would show the token only in its next regular heartbeat. So the leader sends a request that
// asks the worker to confirm the token.
//
// Before these requests existed, a leader replied to a machine, made its first decision 2 s after the
// reply, and ended 2.8 s after the reply, before the machine's next heartbeat
// (docs/incidents/renewed-without-stops.md).

// confirmationDelay is the time from the first reply to a worker until the leader asks the worker to
// confirm the token. It is longer than a worker that confirms on its own takes, so that an ordinary
// failover causes no requests.
const confirmationDelay = clock.Second

// tokenConfirmations holds the machines to be asked for a confirmation, in the order in which they are
// due.
type tokenConfirmations struct {
	queue    []pendingConfirmation
	isQueued map[*allocation.Machine]bool // the machines in queue
}

// pendingConfirmation is a machine that is to be asked, and when.
type pendingConfirmation struct {
	machine *allocation.Machine
	dueAt   clock.Micros
}

// queueConfirmationRequest schedules a confirmation request to a machine whose heartbeat didn't show the
// leader's token. It does nothing if one is queued already.
func (term *Term) queueConfirmationRequest(machine *allocation.Machine, now clock.Micros) {
	confirmations := &term.confirmations
	if machine.TokenConfirmed || confirmations.isQueued[machine] {
		return
	}
	if confirmations.isQueued == nil {
		confirmations.isQueued = map[*allocation.Machine]bool{}
	}
	confirmations.isQueued[machine] = true
	confirmations.queue = append(confirmations.queue, pendingConfirmation{machine, now + confirmationDelay})
}

// sendConfirmationRequests asks the machines that are due and have not confirmed the token on their own.
// It uses at most half of the allowed requests in flight and leaves the rest to commands.
func (term *Term) sendConfirmationRequests(now clock.Micros) {
	confirmations := &term.confirmations
	for len(confirmations.queue) > 0 && confirmations.queue[0].dueAt <= now {
		if term.commandRequestsInFlight >= term.environment.WorkerRequests.MaxInFlight/2 {
			return
		}
		machine := confirmations.queue[0].machine
		confirmations.queue = confirmations.queue[1:]
		delete(confirmations.isQueued, machine)
		term.sendConfirmationRequest(machine, now)
	}
}

// sendConfirmationRequest asks one machine, unless the machine is gone or being deleted or its commands
// have to wait. In that case its next heartbeat queues a request again.
func (term *Term) sendConfirmationRequest(machine *allocation.Machine, now clock.Micros) {
	machineInfo := term.machines[machine.Name]
	if term.tracker.Machines[machine.Name] != machine || machineInfo == nil || machineInfo.isDeleting || term.isCommandBlocked(machine, machineInfo, now) {
		return
	}
	if request := term.tracker.BuildConfirmationRequest(machine, now); request != nil {
		term.postCommandRequest(machine, machineInfo, request, nil)
	}
}
