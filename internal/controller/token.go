package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/wire"
)

// raiseToken has the token rise while attempts cannot be forgotten without that;
// see package allocation. A worker takes a higher token for a change once in half its
// lease, so oftener would be of no use.
func (l *lead) raiseToken(now clock.Micros) {
	if l.raiseAt != 0 && now >= l.raiseAt {
		l.raiseAt = 0
		l.lg.RaiseToken()
	}
	every := clock.FromSeconds(l.c.cfg.Deployment.Workers.LeaseSeconds) / 2
	if l.issuing || l.raiseAt != 0 || now-max(l.issuedAt, l.since) < every || !l.lg.TakeTokenRaiseRequest() {
		return
	}
	l.issuing = true
	l.writeRev(&kvstore.Write{Priority: kvstore.Required, Changes: []wire.Change{{PutKey: keyToken, Value: []byte(`{}`)}}}, func(o kvstore.Outcome, rev uint64) {
		l.issuing = false
		if o != kvstore.Committed {
			return
		}
		l.issuedAt = clock.Now()
		l.lg.IssueToken(rev)
		// Those who are delegates hear of it first: they could not answer a worker that
		// has seen a higher token than they know.
		l.raiseAt = l.issuedAt + 2*beatEvery
		l.c.nextBeat = 0
	})
}
