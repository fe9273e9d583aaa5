package allocation

// A direct start that was answered may come again: a copy that the network kept.
// While its attempt is listed it has no effect; once the attempt is forgotten it
// would run the task again, under a token and a session that have not changed. So
// the token rises: to the revision of a later transaction that was conditional on
// the lock, which is higher than the lock's own and lower than that of any later
// lock. A worker that has seen it refuses every copy of what was sent before, and
// what was started then can be forgotten.

// FencingToken is what messages to workers carry.
func (tracker *Tracker) FencingToken() uint64 { return tracker.currentToken }

// IssuedToken is the highest token that a worker may have seen of this leader.
func (tracker *Tracker) IssuedToken() uint64 { return tracker.issuedToken }

// IssueToken takes a higher token, which may be seen from now on; Raise uses it. Those
// who are delegates are told in between.
func (tracker *Tracker) IssueToken(token uint64) {
	tracker.issuedToken = max(tracker.issuedToken, token)
}

// RaiseToken has messages carry the highest token that was issued.
func (tracker *Tracker) RaiseToken() { tracker.currentToken = tracker.issuedToken }

// TakeTokenRaiseRequest tells whether an attempt was not forgotten for want of a higher
// token since this was last asked.
func (tracker *Tracker) TakeTokenRaiseRequest() bool {
	needed := tracker.needsHigherToken
	tracker.needsHigherToken = false
	return needed
}
