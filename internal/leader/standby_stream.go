package leader

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/standby"
)

// decisionStream is the leader's side of the stream of decisions that replicas copy its
// allocation table from; see package standby. It implements allocation.Replicator.
type decisionStream struct {
	publisher *standby.Publisher
	// inSync is the set of members whose replicas are in step, with its durable record.
	inSync *standby.InSyncSet
}

// setUpStandby prepares the stream of a new leader's decisions, and has its allocation table
// begin with what this member's replica of the last leader's table proves.
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

// RecordStarted appends an attempt that may begin from now on, and returns the decision's number.
func (decisions *decisionStream) RecordStarted(task string, attempt uint64, machine string) uint64 {
	placement := standby.Placement{Task: task, Attempt: attempt, Machine: machine}
	return decisions.publisher.AppendDecision(standby.Decision{Kind: standby.Started, Placement: placement})
}

// RecordEnded appends the end of an attempt, whose result, if it has one, is durable.
func (decisions *decisionStream) RecordEnded(task string, attempt uint64, machine string) {
	placement := standby.Placement{Task: task, Attempt: attempt, Machine: machine}
	decisions.publisher.AppendDecision(standby.Decision{Kind: standby.Ended, Placement: placement})
}

// RecordUnconfirmed appends that attempts of a task, or of a whole job, that an earlier leader
// started may run on any machine.
func (decisions *decisionStream) RecordUnconfirmed(id string) {
	decisions.publisher.AppendDecision(standby.Decision{Kind: standby.Started, Placement: standby.UnconfirmedPlacement(id)})
}

// RecordResolved appends that what RecordUnconfirmed has appended is resolved.
func (decisions *decisionStream) RecordResolved(id string) {
	decisions.publisher.AppendDecision(standby.Decision{Kind: standby.Ended, Placement: standby.UnconfirmedPlacement(id)})
}

// MaySendStart tells whether the start with a decision's number may be sent.
func (decisions *decisionStream) MaySendStart(number uint64) bool {
	return decisions.inSync.MaySendStart(number)
}

// streamDecisions sends the replicas the decisions that they lack, and writes the record of those
// in step when it has changed.
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
