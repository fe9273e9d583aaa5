package allocation

// A direct start that was answered may come again: a copy that the network kept.
// While its attempt is listed it has no effect; once the attempt is forgotten it
// would run the task again, under a token and a session that have not changed. So
// the token rises: to the revision of a later transaction that was conditional on
// the lock, which is higher than the lock's own and lower than that of any later
// lock. A worker that has seen it refuses every copy of what was sent before, and
// what was started then can be forgotten.

// Token is what messages to workers carry.
func (l *Ledger) Token() uint64 { return l.token }

// Issued is the highest token that a worker may have seen of this leader.
func (l *Ledger) Issued() uint64 { return l.issued }

// Issue takes a higher token, which may be seen from now on; Raise uses it. Those
// who are delegates are told in between.
func (l *Ledger) Issue(token uint64) { l.issued = max(l.issued, token) }

// Raise has messages carry the highest token that was issued.
func (l *Ledger) Raise() { l.token = l.issued }

// WantsToken tells whether an attempt was not forgotten for want of a higher
// token since this was last asked.
func (l *Ledger) WantsToken() bool {
	w := l.heldBack
	l.heldBack = false
	return w
}
