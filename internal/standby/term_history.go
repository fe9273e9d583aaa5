package standby

import "slices"

// maxTerms is how many leads a member remembers.
const maxTerms = 64

// TermHistory is what a member has seen, without a gap, of who held the lock.
type TermHistory struct{ terms []leadershipTerm }

// leadershipTerm is one time for which the lock was held.
type leadershipTerm struct {
	token uint64
	// isRecordFirst: the leader sends no start before a record of its own is in force.
	isRecordFirst bool
}

// ObserveTerm takes the lock as it is now. Each change of it has to be told, in order, or Forget
// called.
func (history *TermHistory) ObserveTerm(token uint64, isRecordFirst bool) {
	if token == history.LastToken() {
		return
	}
	if len(history.terms) == maxTerms {
		history.terms = slices.Delete(history.terms, 0, maxTerms/2)
	}
	history.terms = append(history.terms, leadershipTerm{token, isRecordFirst})
}

// Reset takes the news that changes of the lock may have been missed.
func (history *TermHistory) Reset() { history.terms = nil }

// LastToken is the token of the last lead seen, 0 if there is none.
func (history *TermHistory) LastToken() uint64 {
	if len(history.terms) == 0 {
		return 0
	}
	return history.terms[len(history.terms)-1].token
}

// IsRecordFirstSince tells whether the lead of a token was seen, and each one after it was bound.
func (history *TermHistory) IsRecordFirstSince(token uint64) bool {
	for _, term := range slices.Backward(history.terms) {
		if term.token == token {
			return true
		}
		if !term.isRecordFirst {
			return false
		}
	}
	return false
}
