package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// issueToken has the token rise while attempts cannot be forgotten without that;
// see package allocation. A worker takes a higher token for a change once in half its
// lease, so oftener would be of no use.
func (term *leaderTerm) issueToken(now clock.Micros) {
	if term.tokenIssue.raiseAt != 0 && now >= term.tokenIssue.raiseAt {
		term.tokenIssue.raiseAt = 0
		term.tracker.RaiseToken()
	}
	every := clock.FromSeconds(term.controller.cfg.Deployment.Workers.LeaseSeconds) / 2
	if term.tokenIssue.isInFlight || term.tokenIssue.raiseAt != 0 || now-max(term.tokenIssue.issuedAt, term.liveness.startedAt) < every || !term.tracker.TakeTokenRaiseRequest() {
		return
	}
	term.tokenIssue.isInFlight = true
	write := &kvstore.Write{Priority: kvstore.Required, Changes: []wire.Change{{PutKey: records.TokenKey, Value: []byte(`{}`)}}}
	term.commitHandled(write, outcomeHandlers{
		committed: func(revision uint64) {
			term.tokenIssue.issuedAt = clock.Now()
			term.tracker.IssueToken(revision)
			// Those who are delegates hear of it first: they could not answer a worker that
			// has seen a higher token than they know.
			term.tokenIssue.raiseAt = term.tokenIssue.issuedAt + 2*heartbeatInterval
			term.controller.members.nextHeartbeatAt = 0
		},
		afterwards: func() { term.tokenIssue.isInFlight = false },
	})
}
