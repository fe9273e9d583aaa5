package leader

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// issueToken issues a higher fencing token when the tracker asks for one, so that the tracker can
// forget attempts; see package allocation. The token takes effect later, at takesEffectAt.
func (term *Term) issueToken(now clock.Micros) {
	if term.tokenIssue.takesEffectAt != 0 && now >= term.tokenIssue.takesEffectAt {
		term.tokenIssue.takesEffectAt = 0
		term.tracker.RaiseToken()
	}
	if !term.mayIssueToken(now) || !term.tracker.TakeTokenRaiseRequest() {
		return
	}
	term.tokenIssue.isInFlight = true
	write := &kvstore.Write{Priority: kvstore.Required, Changes: []wire.Change{{PutKey: records.TokenKey, Value: []byte(`{}`)}}}
	term.commitWithHandlers(write, outcomeHandlers{
		committed: func(revision uint64) {
			term.tokenIssue.issuedAt = clock.Now()
			term.tracker.IssueToken(revision)
			// The other members have to learn the token before it takes effect, from two heartbeats: a
			// delegate can't reply to a worker that has seen a higher token than the delegate knows.
			term.tokenIssue.takesEffectAt = term.tokenIssue.issuedAt + 2*HeartbeatInterval
			term.host.SendHeartbeatNow()
		},
		afterwards: func() { term.tokenIssue.isInFlight = false },
	})
}

// mayIssueToken reports whether the newest token, which is the last one issued or the term's own, has
// taken effect and is at least half a lease old. A worker reports a higher token immediately at most
// once in half a lease (PROTOCOL, "Workers -> controller nodes"), so issuing tokens more often would
// have no use.
func (term *Term) mayIssueToken(now clock.Micros) bool {
	issue := &term.tokenIssue
	interval := clock.FromSeconds(term.environment.Config.Deployment.Workers.LeaseSeconds) / 2
	return !issue.isInFlight && issue.takesEffectAt == 0 && now-max(issue.issuedAt, term.liveness.startedAt) >= interval
}
