package leader

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/standby"
)

// decisionStream is the leader's side of the stream of decisions from which replicas copy its
// allocation table; see package standby. It implements allocation.Replicator.
type decisionStream struct {
	publisher *standby.Publisher
	// inSync is the set of members whose replicas are in sync, with its durable record.
	inSync *standby.InSyncSet
}

// setUpStandby creates the stream of a new leader's decisions. If this member's replica of the previous
// leader's table can be trusted, the new allocation table uses it to tell which tasks may have started.
func (term *Term) setUpStandby(allocationConfig *allocation.Config) {
	environment := term.environment
	if environment.Replica == nil {
		return
	}
	term.standby = newDecisionStream(term)
	allocationConfig.Replicator = term.standby
	view := environment.View
	if replicaTable, ok := environment.Replica.TrustedTable(view.Standby, &view.Terms, environment.Config.Member); ok && view.Terms.LastToken() == term.token {
		allocationConfig.MayHaveStarted = replicaTable.MayBeRunning
	}
}

func newDecisionStream(term *Term) *decisionStream {
	view := term.environment.View
	var others []string
	for _, other := range term.environment.Config.Peers {
		others = append(others, other.Member)
	}
	publisher := standby.NewPublisher(term.token, others)
	return &decisionStream{
		publisher: publisher,
		inSync:    standby.NewInSyncSet(publisher, view.Standby, view.StandbyVersion, others, term.liveness.startedAt),
	}
}

// RecordStarted appends the start of an attempt, before that start may be sent, and returns the decision's
// number.
func (decisions *decisionStream) RecordStarted(task string, attempt uint64, machine string) uint64 {
	placement := standby.Placement{Task: task, Attempt: attempt, Machine: machine}
	return decisions.publisher.AppendDecision(standby.Decision{Kind: standby.Started, Placement: placement})
}

// RecordEnded appends the end of an attempt. The attempt's result, if any, is durable.
func (decisions *decisionStream) RecordEnded(task string, attempt uint64, machine string) {
	placement := standby.Placement{Task: task, Attempt: attempt, Machine: machine}
	decisions.publisher.AppendDecision(standby.Decision{Kind: standby.Ended, Placement: placement})
}

// RecordUnconfirmed appends an entry that says that a task, or any task of a whole job, may be running on
// an unknown machine because an earlier leader started it.
func (decisions *decisionStream) RecordUnconfirmed(id string) {
	decisions.publisher.AppendDecision(standby.Decision{Kind: standby.Started, Placement: standby.UnconfirmedPlacement(id)})
}

// RecordResolved appends an entry that says that the entry of an earlier RecordUnconfirmed no longer holds.
func (decisions *decisionStream) RecordResolved(id string) {
	decisions.publisher.AppendDecision(standby.Decision{Kind: standby.Ended, Placement: standby.UnconfirmedPlacement(id)})
}

// MaySendStart reports whether the start with this decision number may be sent.
func (decisions *decisionStream) MaySendStart(number uint64) bool {
	return decisions.inSync.MaySendStart(number)
}

// streamDecisions sends to each replica the decisions that it lacks, and writes the record of the members
// in sync if it has changed.
func (term *Term) streamDecisions(now clock.Micros) {
	if term.standby == nil {
		return
	}
	for _, other := range term.environment.Config.Peers {
		if message, ok := term.standby.publisher.NextMessage(other.Member, now); ok {
			term.host.SendStreamMessage(other.Member, &peer.Heartbeat{Member: term.environment.Config.Member, StandbyFrame: peer.StandbyFrame{StandbyMessage: message}})
		}
	}
	term.writeStandbyRecord(now)
}
