package standby

import "slices"

// maxTerms is the maximum number of leadership terms that a member remembers. When it is reached,
// the older half is dropped. An in-sync record from a dropped term makes no replica trusted.
const maxTerms = 64

// TermHistory is the sequence, without gaps, of the leadership terms that a member has observed.
type TermHistory struct{ terms []leadershipTerm }

// leadershipTerm is the period during which one leader holds the lock.
type leadershipTerm struct {
	token uint64
	// isRecordFirst is whether the leader sends no start before an in-sync record of its own is in
	// force.
	isRecordFirst bool
}

// ObserveTerm appends the present term of the lock. The caller must report each change of the lock,
// in order, and must call Reset first if it may have missed one.
func (history *TermHistory) ObserveTerm(token uint64, isRecordFirst bool) {
	if token == history.LastToken() {
		return
	}
	if len(history.terms) == maxTerms {
		history.terms = slices.Delete(history.terms, 0, maxTerms/2)
	}
	history.terms = append(history.terms, leadershipTerm{token, isRecordFirst})
}

// Reset forgets all terms. The caller uses it when it may have missed changes of the lock.
func (history *TermHistory) Reset() { history.terms = nil }

// LastToken returns the token of the last term observed, or 0 if there is none.
func (history *TermHistory) LastToken() uint64 {
	if len(history.terms) == 0 {
		return 0
	}
	return history.terms[len(history.terms)-1].token
}

// IsRecordFirstSince reports whether the term with this token was observed and every later term was
// record-first.
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
