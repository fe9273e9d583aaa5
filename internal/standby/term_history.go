package standby

import "slices"

// maxTerms is how many leadership terms a member remembers at most; beyond that the older half is
// dropped. A record of a term that was dropped makes no replica trusted.
const maxTerms = 64

// TermHistory is the gapless sequence of leadership terms that a member has observed.
type TermHistory struct{ terms []leadershipTerm }

// leadershipTerm is the time for which one leader had the lock.
type leadershipTerm struct {
	token uint64
	// isRecordFirst: the leader sends no start before an in-sync record of its own is in force.
	isRecordFirst bool
}

// ObserveTerm appends the lock's present term. It has to be called for each change of the lock,
// in order, or Reset after a gap.
func (history *TermHistory) ObserveTerm(token uint64, isRecordFirst bool) {
	if token == history.LastToken() {
		return
	}
	if len(history.terms) == maxTerms {
		history.terms = slices.Delete(history.terms, 0, maxTerms/2)
	}
	history.terms = append(history.terms, leadershipTerm{token, isRecordFirst})
}

// Reset forgets all terms; it is called when changes of the lock may have been missed.
func (history *TermHistory) Reset() { history.terms = nil }

// LastToken returns the token of the last term observed; 0 if there is none.
func (history *TermHistory) LastToken() uint64 {
	if len(history.terms) == 0 {
		return 0
	}
	return history.terms[len(history.terms)-1].token
}

// IsRecordFirstSince reports whether the term of a token was observed and every later term was
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
