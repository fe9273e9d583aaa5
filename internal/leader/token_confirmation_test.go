package leader

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// newTermWithFleet returns an entitled term with token 9 and the given number of machines, and their names.
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

// Machines that have not confirmed the token within confirmationDelay of the first reply are asked to. At
// most half of the allowed requests are in flight at a time, and all such machines are asked in the end.
// Machines that confirm on their own are not asked.
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
		t.Fatalf("got %d requests in flight before the delay, want 0", term.commandRequestsInFlight)
	}
	limit := term.environment.WorkerRequests.MaxInFlight / 2
	now += 2 * confirmationDelay
	term.sendConfirmationRequests(now)
	if term.commandRequestsInFlight != limit {
		t.Fatalf("got %d requests in flight, want %d", term.commandRequestsInFlight, limit)
	}
	asked := term.commandRequestsInFlight
	runUntil(t, owner, func() bool { // nothing listens at the machines' address, so each request fails
		before := term.commandRequestsInFlight
		term.sendConfirmationRequests(now)
		asked += term.commandRequestsInFlight - before
		return len(term.confirmations.queue) == 0 && term.commandRequestsInFlight == 0
	})
	if asked != machineCount-confirmedCount {
		t.Fatalf("got %d machines asked, want the %d that have not confirmed", asked, machineCount-confirmedCount)
	}
}

// A confirmation request carries the stops that are due and nothing else, and its response confirms the
// token.
func TestConfirmationRequestCarriesStops(t *testing.T) {
	term := newTermWithCancelledJob(t)
	machine := term.tracker.Machines["i-1"]
	replyTo(t, term, heartbeatWith("i-1", cancelledTask, 5, 4))
	request := term.tracker.BuildConfirmationRequest(machine, clock.Now())
	if request == nil || request.FencingToken != 9 || request.Incarnation != 1 || len(request.Commands) != 1 || request.Commands[0].Action != wire.ActionStop {
		t.Fatalf("got request %+v, want token 9, incarnation 1 and one stop", request)
	}
	if term.tracker.BuildConfirmationRequest(machine, clock.Now()) != nil {
		t.Fatal("got a second request while one is in flight, want none")
	}
	term.handleCommandResponse(machine, term.machines["i-1"], nil, allocation.CommandExecuted, &wire.Heartbeat{MachineID: "i-1", Incarnation: 1, Sequence: 6, FencingToken: 9})
	if !machine.TokenConfirmed || !machine.Reconciled {
		t.Fatal("the token is not confirmed, or the machine not reconciled, after the response; want both")
	}
	if term.tracker.BuildConfirmationRequest(machine, clock.Now()) != nil {
		t.Fatal("got a request to a machine that has confirmed, want none")
	}
}

// A machine that is being deleted, is gone, or has just left a request unanswered is not asked for a
// confirmation and leaves the queue. Its next heartbeat queues a request again.
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
			t.Errorf("%s: got %d requests in flight and %d queued, want 0 and 0", name, term.commandRequestsInFlight, len(term.confirmations.queue))
		}
	}
}

// A machine that leaves a confirmation request unanswered does not count as unreachable because of it: it
// gets tasks as soon as it confirms. A machine that leaves commands unanswered counts as unreachable.
func TestUnansweredConfirmationLeavesMachineReachable(t *testing.T) {
	term := newTermWithCancelledJob(t)
	machine := term.tracker.Machines["i-1"]
	replyTo(t, term, heartbeatWith("i-1", cancelledTask, 5, 4))
	for i := range 2 {
		if i == 0 && term.tracker.BuildConfirmationRequest(machine, clock.Now()) == nil {
			t.Fatal("got no confirmation request, want one")
		}
		term.handleCommandResponse(machine, term.machines["i-1"], nil, allocation.CommandOutcomeUnknown, nil)
		if isUnreachable := machine.UnreachableUntil > 0; isUnreachable != (i == 1) {
			t.Fatalf("request %d: got unreachable %v, want true only after request 1", i, isUnreachable)
		}
	}
}
