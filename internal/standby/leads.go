package standby

import "slices"

// mostLeads is how many leads a member remembers.
const mostLeads = 64

// Leads is what a member has seen, without a gap, of who held the lock.
type Leads struct{ seen []lead }

// lead is one time for which the lock was held.
type lead struct {
	token uint64
	// isBound: the leader sends no start before a record of its own is in force.
	isBound bool
}

// Seen takes the lock as it is now. Each change of it has to be told, in order, or Forget
// called.
func (l *Leads) Seen(token uint64, isBound bool) {
	if token == l.Last() {
		return
	}
	if len(l.seen) == mostLeads {
		l.seen = slices.Delete(l.seen, 0, mostLeads/2)
	}
	l.seen = append(l.seen, lead{token, isBound})
}

// Forget takes the news that changes of the lock may have been missed.
func (l *Leads) Forget() { l.seen = nil }

// Last is the token of the last lead seen, 0 if there is none.
func (l *Leads) Last() uint64 {
	if len(l.seen) == 0 {
		return 0
	}
	return l.seen[len(l.seen)-1].token
}

// BoundSince tells whether the lead of a token was seen, and each one after it was bound.
func (l *Leads) BoundSince(token uint64) bool {
	for _, lead := range slices.Backward(l.seen) {
		if lead.token == token {
			return true
		}
		if !lead.isBound {
			return false
		}
	}
	return false
}
