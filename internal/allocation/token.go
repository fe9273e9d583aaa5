package allocation

// FencingToken returns the token that messages to workers carry.
//
// It is the revision of the leader's lock, and rises during a term: a command request that was
// answered may arrive again, as a copy that the network kept. While its attempt is listed the copy
// has no effect; after the attempt is reaped it would run the task again, under a token and an
// incarnation that haven't changed. So the token is raised to the revision of a later transaction
// that was conditional on the lock, which is higher than the lock's own and lower than that of any
// later lock. A worker that has seen it refuses every copy of earlier requests, and the attempts
// that they started can be reaped (invariant 2).
func (tracker *Tracker) FencingToken() uint64 { return tracker.currentToken }

// IssuedToken returns the highest token that a worker may have seen from this leader.
func (tracker *Tracker) IssuedToken() uint64 { return tracker.issuedToken }

// IssueToken sets a higher token, which workers may see from now on. The caller tells the delegates
// of it and then calls RaiseToken.
func (tracker *Tracker) IssueToken(token uint64) {
	tracker.issuedToken = max(tracker.issuedToken, token)
}

// RaiseToken makes messages carry the highest token that was issued.
func (tracker *Tracker) RaiseToken() { tracker.currentToken = tracker.issuedToken }

// TakeTokenRaiseRequest tells whether an exit could not be reaped before the token rises, or the
// token has few attempts left, and resets the request.
func (tracker *Tracker) TakeTokenRaiseRequest() bool {
	needed := tracker.needsHigherToken
	tracker.needsHigherToken = false
	return needed
}
