package leader

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// A worker may be commanded once it has shown the leader's token. It does so by itself half a second
// after the first reply, but at most once in half a lease: after a second failover in that time it
// would wait for its next regular heartbeat. So a leader asks for the token to be confirmed.
//
// Added after a leader had replied to a machine and ended 2.8 s later, before the machine's next
// heartbeat; its first decision had come 2 s after the reply (docs/incidents/renewed-without-stops.md).

// confirmationDelay is how long after the first reply a worker is asked: longer than a worker takes
// that confirms by itself, so that an ordinary failover costs no requests.
const confirmationDelay = clock.Second

// tokenConfirmations are the machines to be asked, in the order in which they are due.
type tokenConfirmations struct {
	queue    []pendingConfirmation
	isQueued map[*allocation.Machine]bool
}

// pendingConfirmation is one of them.
type pendingConfirmation struct {
	machine *allocation.Machine
	dueAt   clock.Micros
}

// queueConfirmationRequest has a machine asked later whose heartbeat didn't show the leader's token.
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

// sendConfirmationRequests asks the machines that are due and have not confirmed by themselves. Half
// of the requests in flight is left to commands.
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

// sendConfirmationRequest asks one machine, unless its commands have to wait: its next heartbeat has it
// asked again.
func (term *Term) sendConfirmationRequest(machine *allocation.Machine, now clock.Micros) {
	machineInfo := term.machines[machine.Name]
	if term.tracker.Machines[machine.Name] != machine || machineInfo == nil || machineInfo.isDeleting || term.isCommandBlocked(machine, machineInfo, now) {
		return
	}
	if request := term.tracker.BuildConfirmationRequest(machine, now); request != nil {
		term.postCommandRequest(machine, machineInfo, request, nil)
	}
}
