package leader

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// newTermWithFleet returns an entitled term of token 9 with so many machines, and their names.
func newTermWithFleet(t *testing.T, machines int) (*Term, []string) {
	t.Helper()
	var names []string
	for i := range machines {
		names = append(names, fmt.Sprintf("i-%06d", i))
	}
	term := newTestTerm(t, names...)
	term.entitlement.actDeadline.Store(1 << 62)
	return term, names
}

// Machines that have not confirmed the token a while after the first reply are asked, no more at a time
// than half of what may be in flight, and all in the end. Those that confirm by themselves are not asked.
func TestConfirmationRequestsAreBounded(t *testing.T) {
	const machineCount, confirmedCount = 200, 50
	term, names := newTermWithFleet(t, machineCount)
	owner := ownerOf(term)
	for i, name := range names {
		for sequence, token := range []uint64{4, 9} {
			if token == 4 || i < confirmedCount {
				heartbeat := &wire.Heartbeat{MachineID: name, Address: "127.0.0.1:1", Zone: "x", Incarnation: 1, Sequence: uint64(sequence + 1), FencingToken: token}
				term.HandleHeartbeat(heartbeat, &server.Reply{})
			}
		}
	}
	now := clock.Now()
	term.sendConfirmationRequests(now + confirmationDelay/2)
	if term.commandRequestsInFlight != 0 {
		t.Fatalf("%d requests before the delay", term.commandRequestsInFlight)
	}
	limit := term.environment.WorkerRequests.MaxInFlight / 2
	now += 2 * confirmationDelay
	term.sendConfirmationRequests(now)
	if term.commandRequestsInFlight != limit {
		t.Fatalf("%d requests in flight, of %d", term.commandRequestsInFlight, limit)
	}
	asked := term.commandRequestsInFlight
	runUntil(t, owner, func() bool { // nothing listens there, so each request fails
		before := term.commandRequestsInFlight
		term.sendConfirmationRequests(now)
		asked += term.commandRequestsInFlight - before
		return len(term.confirmations.queue) == 0 && term.commandRequestsInFlight == 0
	})
	if asked != machineCount-confirmedCount {
		t.Fatalf("%d machines asked, of %d that have not confirmed", asked, machineCount-confirmedCount)
	}
}

// A request that asks for a confirmation carries the stops that are due, and nothing else; its answer
// confirms the token.
func TestConfirmationRequestCarriesStops(t *testing.T) {
	term := newTermWithCancelledJob(t)
	machine := term.tracker.Machines["i-1"]
	replyTo(t, term, heartbeatWith("i-1", cancelledTask, 5, 4))
	request := term.tracker.BuildConfirmationRequest(machine, clock.Now())
	if request == nil || request.FencingToken != 9 || request.Incarnation != 1 || len(request.Commands) != 1 || request.Commands[0].Action != wire.ActionStop {
		t.Fatalf("request %+v", request)
	}
	if term.tracker.BuildConfirmationRequest(machine, clock.Now()) != nil {
		t.Fatal("a second request while one is in flight")
	}
	term.handleCommandResponse(machine, term.machines["i-1"], nil, allocation.CommandExecuted, &wire.Heartbeat{MachineID: "i-1", Incarnation: 1, Sequence: 6, FencingToken: 9})
	if !machine.TokenConfirmed || !machine.Reconciled {
		t.Fatal("the answer doesn't confirm the token")
	}
	if term.tracker.BuildConfirmationRequest(machine, clock.Now()) != nil {
		t.Fatal("a machine that has confirmed is asked again")
	}
}

// A machine that is being deleted, is gone, or has just left a request unanswered is not asked, and
// leaves the queue: its next heartbeat has it asked again.
func TestConfirmationRequestSkipsUnavailableMachines(t *testing.T) {
	for name, makeUnavailable := range map[string]func(term *Term){
		"deleted":     func(term *Term) { term.machines["i-1"].isDeleting = true },
		"forgotten":   func(term *Term) { term.tracker.RemoveMachine(term.tracker.Machines["i-1"], clock.Now()) },
		"just failed": func(term *Term) { term.machines["i-1"].commandsBlockedUntil = clock.Now() + 60*clock.Second },
	} {
		term := newTestTerm(t, "i-1")
		term.entitlement.actDeadline.Store(1 << 62)
		replyTo(t, term, heartbeatWith("i-1", cancelledTask, 5, 4))
		makeUnavailable(term)
		term.sendConfirmationRequests(clock.Now() + 2*confirmationDelay)
		if term.commandRequestsInFlight != 0 || len(term.confirmations.queue) != 0 || len(term.confirmations.isQueued) != 0 {
			t.Errorf("%s: %d in flight, %d queued", name, term.commandRequestsInFlight, len(term.confirmations.queue))
		}
	}
}

// A machine that leaves the question for the token unanswered isn't taken for unreachable by that: it
// gets tasks as soon as it confirms. One that leaves commands unanswered is.
func TestUnansweredConfirmationLeavesMachineReachable(t *testing.T) {
	term := newTermWithCancelledJob(t)
	machine := term.tracker.Machines["i-1"]
	replyTo(t, term, heartbeatWith("i-1", cancelledTask, 5, 4))
	for i := range 2 {
		if i == 0 && term.tracker.BuildConfirmationRequest(machine, clock.Now()) == nil {
			t.Fatal("no request")
		}
		term.handleCommandResponse(machine, term.machines["i-1"], nil, allocation.CommandOutcomeUnknown, nil)
		if isUnreachable := machine.UnreachableUntil > 0; isUnreachable != (i == 1) {
			t.Fatalf("request %d: unreachable is %v", i, isUnreachable)
		}
	}
}
