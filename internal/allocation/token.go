package allocation

// FencingToken returns the token that messages to workers carry.
//
// At first this is the revision of the leader's lock. It rises during a term, because the network may
// deliver a copy of a command request that already got a response. While the worker lists the request's
// attempt, the copy has no effect. After the attempt is reaped, the copy would run the task again if the
// token and the incarnation were unchanged. So the token is raised to the revision of a later transaction
// that was conditional on the lock. That revision is higher than the lock's own and lower than that of
// any later lock. A worker that has seen it refuses every copy of earlier requests, so the attempts that
// these requests started can be reaped (invariant 2).
func (tracker *Tracker) FencingToken() uint64 { return tracker.currentToken }

// IssuedToken returns the highest token of this leader that a worker may have seen.
func (tracker *Tracker) IssuedToken() uint64 { return tracker.issuedToken }

// IssueToken sets a higher token, which workers may see from now on. The caller has to announce the token
// to the delegates and then call RaiseToken.
func (tracker *Tracker) IssueToken(token uint64) {
	tracker.issuedToken = max(tracker.issuedToken, token)
}

// RaiseToken makes messages carry the highest token that was issued.
func (tracker *Tracker) RaiseToken() { tracker.currentToken = tracker.issuedToken }

// TakeTokenRaiseRequest reports whether a higher token is needed, and resets the request. A higher token is
// needed if an exited attempt can't be reaped under the current token, or if that token has few attempt
// numbers left.
func (tracker *Tracker) TakeTokenRaiseRequest() bool {
	needed := tracker.needsHigherToken
	tracker.needsHigherToken = false
	return needed
}
